package operators

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/member"
	"slipcrank.example/daemon/control"
)

const (
	pingTimeout = 2 * time.Second
	// maxConcurrentPings is the maximum number of daemons pinged at the same time.
	maxConcurrentPings = 32
)

type (
	daemonStatus struct {
		Addr        string `json:"addr"`
		Hall        string `json:"hall"`
		Status      string `json:"status"`
		Incarnation uint64 `json:"incarnation"`
		// Number is the number of the last template change in force at the daemon,
		// 0 if it did not respond.
		Number uint64 `json:"number"`
		// Lags is set if Number is lower than that of the daemon that replies.
		Lags bool `json:"lags"`
	}

	statusReply struct {
		Self         string         `json:"self"`
		Number       uint64         `json:"number"`
		PlatformDown bool           `json:"platform_down"`
		LeaseHolder  string         `json:"lease_holder"`
		Daemons      []daemonStatus `json:"daemons"`
	}

	engineStatus struct {
		Addr        string   `json:"addr"`
		Hall        string   `json:"hall"`
		Status      string   `json:"status"`
		Role        string   `json:"role"`
		Copies      []string `json:"copies"`
		TotalTokens int      `json:"total_tokens"`
		Owner       string   `json:"owner"`
	}

	enginesReply struct {
		Engines []engineStatus `json:"engines"`
	}
)

// status returns the number of the last template change of every daemon. It pings the
// others.
func (s *Server) status(ctx context.Context, _ *fasthttp.RequestCtx, _ string) (any, error) {
	v := s.loop.View()
	r := statusReply{
		Self: v.Self.Addr, Number: v.Templates.Number(), PlatformDown: v.PlatformDown,
		LeaseHolder: s.leaseHolder(), Daemons: make([]daemonStatus, len(v.Members)),
	}
	var w sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPings)
	for i, m := range v.Members {
		w.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r.Daemons[i] = s.statusOf(ctx, v, m)
		})
	}
	w.Wait()
	return r, nil
}

// statusOf returns the status of one daemon. It pings the daemon unless that is
// this one or dead.
func (s *Server) statusOf(ctx context.Context, v *control.View, m member.Member) daemonStatus {
	d := daemonStatus{Addr: m.Addr, Hall: m.Hall, Status: m.Status.String(), Incarnation: m.Incarnation}
	switch {
	case m.Addr == v.Self.Addr:
		d.Number = v.Templates.Number()
	case m.Status != member.Dead:
		ctx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		n, err := s.peers.Ping(ctx, m.Addr, v.Self.Addr, v.Self.Hall, control.Gossip{TemplateNumber: v.Templates.Number()})
		if err == nil {
			d.Number = n.TemplateNumber
		}
	}
	d.Lags = d.Number < v.Templates.Number()
	return d
}

func (s *Server) hosts(context.Context, *fasthttp.RequestCtx, string) (any, error) {
	return s.loop.View().AllHosts(), nil
}

func (s *Server) engines(context.Context, *fasthttp.RequestCtx, string) (any, error) {
	v := s.loop.View()
	r := enginesReply{Engines: []engineStatus{}}
	for _, e := range v.Engines {
		x := engineStatus{
			Addr: e.Addr, Hall: e.Hall, Status: e.Status.String(), Role: e.Role,
			TotalTokens: e.TotalTokens, Owner: v.Owner(e.Addr),
		}
		for _, c := range e.Copies {
			x.Copies = append(x.Copies, c.Model+"@"+c.Version)
		}
		r.Engines = append(r.Engines, x)
	}
	return r, nil
}

// explain returns the record of a recent request.
func (s *Server) explain(_ context.Context, _ *fasthttp.RequestCtx, id string) (any, error) {
	record, ok := s.records.Get(id)
	if !ok {
		return nil, fault.Newf(fault.NotFound, "ask the entry host that served it; each keeps its last 2048 requests",
			"request %q is not among the last requests of this daemon", id)
	}
	return record, nil
}
