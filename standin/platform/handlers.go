package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/store"
	"slipcrank.example/standin/listen"
)

type (
	// handlers handles the HTTP requests.
	handlers struct {
		platform *Platform
		store    store.Store
	}

	commitRequest struct {
		Writes []store.Write `json:"writes"`
	}

	readRequest struct {
		Refs []store.Ref `json:"refs"`
	}

	scanRequest struct {
		Table string `json:"table"`
		After string `json:"after"`
		Limit int    `json:"limit"`
	}

	rowsReply struct {
		Rows []store.Row `json:"rows"`
	}

	objectBody struct {
		Name  string `json:"name"`
		Bytes []byte `json:"bytes"`
	}

	hostsBody struct {
		Hosts []hosts.Host `json:"hosts"`
	}
)

func (h *handlers) handle(ctx context.Context, c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/table/commit":
		respond(c, func(r commitRequest) (store.Outcome, error) { return h.store.Commit(ctx, r.Writes) })
	case "/table/read":
		respond(c, func(r readRequest) (rowsReply, error) {
			rows, err := h.store.Read(ctx, r.Refs)
			return rowsReply{Rows: rows}, err
		})
	case "/table/scan":
		respond(c, func(r scanRequest) (rowsReply, error) {
			rows, err := h.store.Scan(ctx, r.Table, r.After, r.Limit)
			return rowsReply{Rows: rows}, err
		})
	case "/object/put":
		respond(c, func(r objectBody) (struct{}, error) { return struct{}{}, h.store.PutObject(ctx, r.Name, r.Bytes) })
	case "/object/get":
		respond(c, func(r objectBody) (objectBody, error) {
			b, err := h.store.GetObject(ctx, r.Name)
			return objectBody{Name: r.Name, Bytes: b}, err
		})
	case "/object/delete":
		respond(c, func(r objectBody) (struct{}, error) { return struct{}{}, h.store.DeleteObject(ctx, r.Name) })
	default:
		h.control(c)
	}
}

// control handles the host list, and the requests by which tests and the development
// system control the stand-in.
func (h *handlers) control(c *fasthttp.RequestCtx) {
	p := h.platform
	switch string(c.Path()) {
	case "/hosts":
		p.countRequest("hosts")
		f := p.decide("hosts")
		time.Sleep(f.Delay)
		if f.Down || f.LoseAnswer {
			c.Error(errDown.Error(), http.StatusGatewayTimeout)
			return
		}
		listen.Reply(c, hostsBody{Hosts: p.Hosts()})
		etag := strconv.FormatUint(xxhash.Sum64(c.Response.Body()), 16)
		c.Response.Header.Set(fasthttp.HeaderETag, etag)
		if string(c.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == etag {
			c.ResetBody()
			c.SetStatusCode(http.StatusNotModified)
		}
	case "/control/hosts":
		listen.Handle(c, func(b hostsBody) error { p.SetHosts(b.Hosts); return nil })
	case "/control/fault":
		listen.Handle(c, func(f Fault) error { p.SetFault(f); return nil })
	case "/control/counts":
		listen.Reply(c, p.Counts())
	default:
		c.SetStatusCode(http.StatusNotFound)
	}
}

// respond decodes a request, calls f and responds with its result or its error.
func respond[I, O any](c *fasthttp.RequestCtx, f func(I) (O, error)) {
	var in I
	if !listen.Read(c, &in) {
		return
	}
	out, err := f(in)
	if err != nil {
		c.Error(err.Error(), statusOf(err))
		return
	}
	listen.Reply(c, out)
}
