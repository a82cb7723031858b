package entry

import (
	"slipcrank.example/core/admission"
	"slipcrank.example/core/demand"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/gateway"
)

// scarcity returns how the gateway decides while engines have too little room. The settings in
// force apply to each decision.
func (e *Entry) scarcity() gateway.Scarcity {
	return gateway.Scarcity{
		Policy:      e.admissionPolicy,
		Ledger:      demand.NewLedger(),
		SendRefusal: func(r demand.Refusal) { e.exchange.SendRefusal(e.startNumber, r) },
		Counts:      func() bool { return e.settings.Load().Scarcity.Counts() },
	}
}

// admissionPolicy returns the admission policy of the settings in force.
func (e *Entry) admissionPolicy() admission.Policy {
	s := e.settings.Load().Scarcity
	return admission.Default().WithSlotRisk(s.Spreads()).WithYield(s.Yields()).WithUrgency(s.Ranks())
}

// updateScarcity applies the settings in force to the scheduler, and tells it how many of the
// other hosts this one hears and what an engine's time is worth. Without enough hosts heard,
// the counts of demand are incomplete, so there is no price.
func (e *Entry) updateScarcity() {
	s := e.settings.Load().Scarcity
	heard := e.heardFraction()
	e.scheduler.SetPolicy(schedule.Policy{}.WithSpread(s.Spreads()))
	e.scheduler.SetHeardFraction(heard)
	e.metrics.Set("scarcity_hosts_heard_percent", int64(100*heard))
	e.metrics.Set("scarcity_delay_microseconds", e.scheduler.NewsDelay(e.clock.Now()).Microseconds())
	var prices map[string]float64
	if known := e.gateway.UpdatePrices(); s.Prices() && !e.scheduler.KnowsLittle() {
		prices = known
	}
	e.scheduler.SetPrices(prices)
}

// heardFraction returns the fraction of the listed other hosts of the cell from which messages
// have arrived recently. A host that hasn't read the list yet knows of none.
func (e *Entry) heardFraction() float64 {
	n := e.neighbors.Load()
	switch {
	case len(n.listed) == 0:
		return 0
	case len(n.peers) == 0:
		return 1
	}
	return float64(n.hosts.CountOthers(e.hostAlive())) / float64(len(n.peers))
}
