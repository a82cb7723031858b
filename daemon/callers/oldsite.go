package callers

import (
	"bufio"
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/oldsite"
	"slipcrank.example/clients/web"
	"slipcrank.example/core/claim"
	"slipcrank.example/core/crossover"
	"slipcrank.example/core/deadline"
	"slipcrank.example/core/fault"
	"slipcrank.example/daemon/calls"
	"slipcrank.example/daemon/dispatch"
)

// eventBufferSize is the number of events of the old site's stream by which a slow
// caller may lag behind.
const eventBufferSize = 32

// stableKey returns the key by which the site of a request is chosen: a key given by
// the caller, or else a hash of the body, so that a repeated request goes to the same
// site.
func stableKey(c *fasthttp.RequestCtx) string {
	for _, h := range []string{headerStable, headerKey} {
		if k := c.Request.Header.Peek(h); len(k) > 0 {
			return string(k)
		}
	}
	return strconv.FormatUint(xxhash.Sum64(c.PostBody()), 16)
}

// onOldSite reports whether the old site serves the request. The key, which may
// require hashing the body, is computed only while the workspace is being moved
// between the sites.
func onOldSite(c *fasthttp.RequestCtx, r request) bool {
	if s, ok := crossover.Settled(r.workspace); ok {
		return s == crossover.OldSite
	}
	return crossover.Choose(r.workspace, stableKey(c)) == crossover.OldSite
}

// oldSiteAddr returns the address of a random host of the old site.
func (s *Server) oldSiteAddr() (string, error) {
	hs := s.loop.View().OldSite()
	if len(hs) == 0 {
		return "", fault.New(fault.NoEngine, "the workspace is on the old site, and no host of it is known",
			"see slipcrank hosts, or move the workspace").WithRetryAfter(time.Second)
	}
	return hs[rand.IntN(len(hs))].Addr, nil
}

// proxyToOldSite forwards a completion to the old site and relays the answer to the
// caller.
func (s *Server) proxyToOldSite(c *fasthttp.RequestCtx, r request, d dispatch.Request, stream bool) (bool, error) {
	addr, err := s.oldSiteAddr()
	if err != nil {
		return false, err
	}
	s.metrics.Count("old_site_requests_total", 1, "workspace", r.workspace.Workspace)
	ctx, cancel := context.WithDeadline(r.ctx, r.deadline)
	if stream {
		return true, s.proxyStreamToOldSite(ctx, cancel, c, addr, d)
	}
	defer cancel()
	a, err := s.oldSite.Send(ctx, addr, d.Path, d.Body)
	if err != nil {
		return false, oldSiteFault(ctx, err)
	}
	c.SetStatusCode(a.Status)
	c.SetContentType(a.ContentType)
	c.SetBody(a.Body)
	return false, nil
}

// proxyStreamToOldSite relays a streamed answer event by event. If the old site breaks
// off the stream, the caller gets an error event and no end marker.
func (s *Server) proxyStreamToOldSite(ctx context.Context, cancel context.CancelFunc, c *fasthttp.RequestCtx, addr string, d dispatch.Request) error {
	events := make(chan []byte, eventBufferSize)
	ended := make(chan error, 1)
	err := s.pool.Submit(func() {
		ended <- s.oldSite.Stream(ctx, addr, d.Path, d.Body, func(e []byte) error {
			select {
			case events <- e:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		close(events)
	})
	if err != nil {
		cancel()
		s.inProgress.Add(-1)
		return overloaded(err)
	}
	c.SetContentType("text/event-stream")
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.inProgress.Add(-1)
		defer cancel()
		if !writeEvents(w, events) {
			return
		}
		if err := <-ended; err != nil {
			_, _ = w.WriteString("event: error\n")
			_ = writeEvent(w, faultBody(d.ID, fault.From(oldSiteFault(ctx, err))))
		}
	})
	return nil
}

// writeEvents writes events until the channel is closed, and keepalive comments in
// between. It returns false if a write failed because the caller has disconnected.
func writeEvents(w *bufio.Writer, events <-chan []byte) bool {
	t := time.NewTicker(keepaliveInterval)
	defer t.Stop()
	for {
		select {
		case e, ok := <-events:
			if !ok {
				return true
			}
			_, _ = w.Write(e)
		case <-t.C:
			_, _ = w.WriteString(": waiting\n\n")
		}
		if w.Flush() != nil {
			return false
		}
	}
}

// sendOnceToOldSite sends a prompt that must not be executed more than once to the
// old site. The claim uses the same row as on the new site, so that a key is executed
// on only one of the sites.
func (s *Server) sendOnceToOldSite(ctx context.Context, d dispatch.Request) (claim.Answer, error) {
	addr, err := s.oldSiteAddr()
	if err != nil {
		return claim.Answer{}, errors.Mark(err, calls.ErrNotSent)
	}
	a, err := s.oldSite.Send(ctx, addr, d.Path, d.Body)
	if errors.Is(err, oldsite.ErrNotSent) {
		return claim.Answer{}, errors.Mark(err, calls.ErrNotSent)
	}
	return claim.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, err
}

func oldSiteFault(ctx context.Context, err error) error {
	var s *web.StatusError
	switch {
	case deadline.Err(ctx) != nil:
		return fault.New(fault.DeadlineExpired, "the old site did not answer in time", "ask again with more time").
			WithRetryAfter(time.Second)
	case errors.As(err, &s):
		return fault.Newf(fault.EngineFailed, "see the old site", "the old site answered with status %d", s.Status).WithCause(err)
	case errors.Is(err, oldsite.ErrNotSent):
		return fault.New(fault.NoEngine, "the old site can't be reached", "ask again").WithRetryAfter(time.Second).WithCause(err)
	default:
		return fault.New(fault.EngineFailed, "the old site broke off", "ask again").WithRetryAfter(time.Second).WithCause(err)
	}
}
