package callers

import (
	"strings"

	"github.com/valyala/fasthttp"

	"slipcrank.example/core/fault"
	"slipcrank.example/daemon/calls"
)

// serveCall forwards a call to a plain service if the workspace's template allows it.
func (s *Server) serveCall(c *fasthttp.RequestCtx, r request) error {
	path := strings.TrimPrefix(string(c.Path()), servicePrefix)
	x, ok := r.workspace.Call(path)
	if !ok {
		return fault.Newf(fault.UnknownService, "add the call to the template's calls",
			"workspace %s may not call %s", r.workspace.Workspace, path)
	}
	if !c.IsPost() {
		return fault.New(fault.BadRequest, "calls to services are sent with POST", "use POST")
	}
	a, err := s.calls.Run(r.ctx, calls.Call{
		Workspace:   r.workspace.Workspace,
		Service:     x.Service,
		Path:        path,
		Repeatable:  x.Repeatable,
		Key:         string(c.Request.Header.Peek(headerKey)),
		ContentType: string(c.Request.Header.ContentType()),
		Body:        c.PostBody(),
		Deadline:    r.deadline,
		OldSite:     onOldSite(c, r),
	})
	if err != nil {
		return err
	}
	c.SetStatusCode(a.Status)
	c.SetContentType(a.ContentType)
	c.SetBody(a.Body)
	return nil
}
