package news

import (
	"log/slog"
	"net/netip"
	"time"

	"slipcrank.example/core/demand"
	"slipcrank.example/daemon/event"
)

// SetRefusalHandler sets the function that is called with each request that another host has
// refused. It must be called before Run.
func (n *Exchange) SetRefusalHandler(f func(demand.Refusal)) { n.refusals = f }

// SendRefusal reports a refused request to other hosts.
func (n *Exchange) SendRefusal(host uint32, r demand.Refusal) {
	n.send(message{
		Kind: kindRefusal, Host: host, Service: r.Service, Priority: r.Priority + 1, HeadHash: r.Identity,
		LeftMS: r.TimeLeft.Milliseconds(), WaitedMS: r.Waited.Milliseconds(),
		Value: int64(r.Work.Value * 1000), EngineMS: r.Work.EngineTime.Milliseconds(),
	})
}

// applyRefusal passes a refusal to its handler. One with a negative figure is dropped: it
// would make others of the same service look cheaper than they are.
func (n *Exchange) applyRefusal(m message, from netip.AddrPort) {
	if m.Service == "" || m.Priority < 1 || m.LeftMS < 0 || m.WaitedMS < 0 || m.Value < 0 || m.EngineMS < 0 {
		n.log.Write(event.UpdateLost, slog.String("from", from.String()), slog.String("error", "a refusal lacks its service or priority, or has a negative figure"))
		return
	}
	n.refusals(demand.Refusal{
		Service: m.Service, Priority: m.Priority - 1, Identity: m.HeadHash,
		TimeLeft: time.Duration(m.LeftMS) * time.Millisecond, Waited: time.Duration(m.WaitedMS) * time.Millisecond,
		Work: demand.Work{Value: float64(m.Value) / 1000, EngineTime: time.Duration(m.EngineMS) * time.Millisecond},
	})
}
