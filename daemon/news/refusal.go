package news

import (
	"log/slog"
	"net/netip"
	"time"

	"slipcrank.example/core/demand"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/event"
)

// Upper bounds of the figures in a refusal. No caller waits longer than the longest timeout that
// routes have, and no request is worth or takes more than a thousand usual ones.
const (
	maxRefusalMS    = 3_600_000
	maxRefusalValue = 1_000_000
	maxPriority     = 100
)

// SetPlacementHandler sets the function that is called with each placement of another host that
// is reported for the first time. It must be called before Run.
func (n *Exchange) SetPlacementHandler(f func(schedule.Placement)) { n.placements = f }

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

// applyRefusal passes a refusal to its handler. One with an impossible figure is dropped, since it
// would distort the price of the whole service.
func (n *Exchange) applyRefusal(m message, from netip.AddrPort) {
	if m.Service == "" || !within(int64(m.Priority), 1, maxPriority) || !within(m.LeftMS, 0, maxRefusalMS) ||
		!within(m.WaitedMS, 0, maxRefusalMS) || !within(m.EngineMS, 0, maxRefusalMS) || !within(m.Value, 0, maxRefusalValue) {
		n.log.Write(event.UpdateLost, slog.String("from", from.String()), slog.String("error", "a refusal lacks its service or priority, or has an impossible figure"))
		return
	}
	n.refusals(demand.Refusal{
		Service: m.Service, Priority: m.Priority - 1, Identity: m.HeadHash,
		TimeLeft: time.Duration(m.LeftMS) * time.Millisecond, Waited: time.Duration(m.WaitedMS) * time.Millisecond,
		Work: demand.Work{Value: float64(m.Value) / 1000, EngineTime: time.Duration(m.EngineMS) * time.Millisecond},
	})
}

// within reports whether a figure lies between two bounds, both included.
func within(x, low, high int64) bool { return low <= x && x <= high }
