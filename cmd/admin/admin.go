// Package admin provides the command line's client of a daemon's operators'
// interface.
//
// # Usage
//
//	c := admin.New("127.0.0.1:19090", token)
//	var out templatesReply
//	err := c.Get(ctx, "/v1/templates", &out)
package admin

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/web"
	"slipcrank.example/core/fault"
)

type (
	// Client calls the operators' interface of one daemon.
	Client struct {
		web   *web.Client
		addr  string
		token string
	}

	errorBody struct {
		Error struct {
			Kind    fault.Kind `json:"kind"`
			Message string     `json:"message"`
			Remedy  string     `json:"remedy"`
		} `json:"error"`
	}
)

// New returns a client of the daemon whose operators' interface is at addr.
func New(addr, token string) *Client {
	return &Client{web: web.New(), addr: addr, token: token}
}

// Get requests path and decodes the JSON answer into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, fasthttp.MethodGet, path, nil, out)
}

// Post sends in as JSON to path and decodes the JSON answer into out.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	return c.call(ctx, fasthttp.MethodPost, path, in, out)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.addr + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		req.SetBodyRaw(b)
	}
	if err := c.web.Do(ctx, req, resp); err != nil {
		return fault.Newf(fault.PlatformDown, "start it, or give the address of another with --addr or SLIPCRANK_ADDR",
			"the daemon at %s does not answer", c.addr).WithCause(err)
	}
	b, err := web.ReadBody(resp)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return parseFault(b, resp.StatusCode())
	}
	return errors.Wrap(json.Unmarshal(b, out), "decode answer")
}

func parseFault(b []byte, status int) error {
	var e errorBody
	if err := json.Unmarshal(b, &e); err != nil || e.Error.Kind == "" {
		return fault.Newf(fault.Internal, "see the daemon's log", "the daemon answered with status %d", status)
	}
	return fault.New(e.Error.Kind, e.Error.Message, e.Error.Remedy)
}
