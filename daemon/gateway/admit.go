package gateway

import (
	"net/http"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

// continues reports whether a call may have reached a server before, here or at another host, or
// its caller has a part of its stream. A server to which the path was lost counts, too, although
// the attempt there doesn't.
func (c *call) continues() bool {
	return c.attempts > 0 || c.sent > 0 || c.mayHaveRun ||
		c.route.Kind == site.Stream && c.route.Resume && c.lastEventID != ""
}

// admit applies the admission policy to a placed call, before any of it is sent. A call
// that has already reached a server is always continued.
func (g *Gateway) admit(c *call, p schedule.Placement) *refusalResponse {
	if c.continues() {
		return nil
	}
	decision, refused := g.scarcity.Policy().Decide(admission.Request{
		Stream:          c.route.Kind == site.Stream,
		TimeLeft:        time.Until(c.deadline),
		Objective:       c.route.Objective,
		Waited:          c.waited,
		LateRisk:        p.LateRisk,
		SlotsUsed:       p.SlotsUsed,
		Served:          g.served(c, p.Service),
		FirstToken:      p.FirstToken,
		IdleFirstToken:  p.IdleFirstToken,
		DisplacedRatio:  p.DisplacedRatio,
		EnginesFilled:   p.EnginesFilled,
		SpareFraction:   p.SpareFraction,
		DisplacedWeight: p.Share.DisplacedWeight,
		OverShare:       p.Share.OverShare,
		SlotScarcity:    p.SlotScarcity,
	})
	g.countAdmission(p, decision)
	if !refused {
		return nil
	}
	if decision.Reason == admission.OverShare {
		g.recordOverShare(c, p)
	}
	g.countRefused(c, p.Service, decision.Reason)
	g.metrics.Count("gateway_postponed", 1, "route", c.route.Name)
	return refuse(http.StatusServiceUnavailable, string(decision.Reason), decision.RetryAfter)
}

// countAdmission counts a decision by how much of the engines' memory the prompt fills,
// so that a policy which serves prompts of some sizes less often than others shows.
func (g *Gateway) countAdmission(p schedule.Placement, decision admission.Refusal) {
	if p.EnginesFilled == 0 {
		return // not an engine
	}
	result := "admitted"
	if decision.Reason != "" {
		result = string(decision.Reason)
	}
	g.metrics.Count("gateway_admissions", 1, "engines_filled", filledRange(p.EnginesFilled), "result", result)
}

// filledRange returns the range in which the number of engines lies whose memory a
// prompt fills.
func filledRange(engines float64) string {
	switch {
	case engines <= 0.5:
		return "0-0.5"
	case engines <= 1:
		return "0.5-1"
	case engines <= 1.5:
		return "1-1.5"
	}
	return "1.5+"
}
