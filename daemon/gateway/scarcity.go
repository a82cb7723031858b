package gateway

import (
	"log/slog"
	"math"
	"strconv"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/demand"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/event"
)

// Scarcity holds what the gateway needs to decide while callers ask for more than the engines
// have room for.
type Scarcity struct {
	// Policy returns the admission policy in force.
	Policy func() admission.Policy
	// Ledger counts what callers ask for and what is admitted, on all hosts.
	Ledger *demand.Ledger
	// SendRefusal reports a refused request to other hosts.
	SendRefusal func(demand.Refusal)
	// Counts reports whether the settings in force need the ledger.
	Counts func() bool
}

// WithScarcity sets how requests are admitted and counted.
func WithScarcity(s Scarcity) Option { return func(g *Gateway) { g.scarcity = s } }

// defaultScarcity admits by the default policy and counts nothing.
func defaultScarcity() Scarcity {
	return Scarcity{
		Policy: admission.Default, Ledger: demand.NewLedger(),
		SendRefusal: func(demand.Refusal) {}, Counts: func() bool { return false },
	}
}

// priority returns the operator's priority of a call: its workspace's, or that of its route.
func (c *call) priority() int {
	if c.workspace.Priority >= 0 {
		return c.workspace.Priority
	}
	return c.route.Priority
}

// workOf returns the size of a call in terms of the ledger.
func workOf(e *site.Engine, w schedule.Work) demand.Work {
	return demand.Work{Value: schedule.Value(e, w), EngineTime: schedule.EngineTime(e, w)}
}

// recognize finds out whether a call was refused before, by this host or another, and how long
// its caller has waited.
func (g *Gateway) recognize(c *call) {
	if c.work.Prompt == 0 || !g.scarcity.Counts() {
		return
	}
	if waited, ok := g.scarcity.Ledger.Returning(uint64(c.headHash), time.Until(c.deadline), g.clock.Now()); ok {
		c.returning, c.waited = true, max(waited-time.Since(c.arrivedAt), 0)
	}
}

// CountPlacement counts a placement of this host or another in the ledger, unless an earlier one
// of the same request was counted.
func (g *Gateway) CountPlacement(p schedule.Placement) {
	if p.Retry || p.Counted || p.Work.Prompt == 0 || !g.scarcity.Counts() {
		return
	}
	e := g.engine(p.Service)
	if e == nil {
		return
	}
	count := g.scarcity.Ledger.Admit
	if p.Returning {
		count = g.scarcity.Ledger.AdmitReturning
	}
	count(p.Service, p.Priority, workOf(e, p.Work), g.clock.Now())
}

// served returns the fractions of requests of a service that are admitted, or the zero value if
// they can't be compared by priority.
func (g *Gateway) served(c *call, service string) demand.Shares {
	shares, known := g.scarcity.Ledger.Shares(service, c.priority(), g.clock.Now())
	if !known {
		return demand.Shares{}
	}
	return shares
}

// countRefused counts a call that the policy has refused, and reports it to other hosts. A caller
// without time, or of a workspace over its share, says nothing about what the engines have room for.
func (g *Gateway) countRefused(c *call, service string, why admission.Reason) {
	g.metrics.Count("gateway_refused_by_priority", 1, "priority", strconv.Itoa(c.priority()))
	e := g.engine(service)
	if e == nil || c.demandCounted || why == admission.NoTime || why == admission.OverShare || !g.scarcity.Counts() {
		return
	}
	r := demand.Refusal{
		Service: service, Priority: c.priority(), Work: workOf(e, c.work), Identity: uint64(c.headHash),
		TimeLeft: max(time.Until(c.deadline), 0), Waited: c.waited + time.Since(c.arrivedAt),
	}
	g.scarcity.Ledger.Refuse(r, g.clock.Now())
	g.scarcity.SendRefusal(r)
}

// ReceiveRefusal counts a request that another host has refused, of a service with engines.
func (g *Gateway) ReceiveRefusal(r demand.Refusal) {
	if g.scarcity.Counts() && g.engine(r.Service) != nil {
		g.scarcity.Ledger.Refuse(r, g.clock.Now())
	}
}

// engine returns the performance model of a service's engines, or nil if it has none.
func (g *Gateway) engine(service string) *site.Engine {
	s := g.state()
	if s.Config == nil {
		return nil
	}
	svc, _ := s.Config.Service(service)
	return svc.Engine
}

// logScarce logs when the work asked of a service begins or ceases to exceed its engines' time.
func (g *Gateway) logScarce(service string, price float64) {
	if scarce := price > 0; scarce != g.scarceServices[service] {
		g.scarceServices[service] = scarce
		g.log.Write(event.EngineTimeScarce, slog.String("service", service), slog.Bool("scarce", scarce), slog.Float64("value_per_second", price))
	}
}

// UpdatePrices expires the ledger, and returns the price of a second of an engine for each
// service whose demand is known. It must be called regularly, and not concurrently.
func (g *Gateway) UpdatePrices() map[string]float64 {
	now := g.clock.Now()
	g.scarcity.Ledger.Expire(now)
	prices := map[string]float64{}
	s := g.state()
	if s.Config == nil {
		return prices
	}
	for _, name := range s.Config.Services() {
		if g.engine(name) == nil {
			continue
		}
		price, ok := g.scarcity.Ledger.Price(name, len(s.usableServers(name)), now)
		if !ok {
			continue
		}
		prices[name] = price
		g.logScarce(name, price)
		g.metrics.Set("scarcity_price_millivalue", int64(math.Round(1000*price)), "service", name)
	}
	return prices
}
