package gateway

import (
	"net/http"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

// admit applies the admission policy to a placed call, before any of it is sent. A call
// that has already reached a server is always continued.
func (g *Gateway) admit(c *call, p schedule.Placement) *refusalResponse {
	if c.attempts > 0 || c.mayHaveRun {
		return nil
	}
	decision, refused := g.admission.Decide(admission.Request{
		Stream:          c.route.Kind == site.Stream,
		TimeLeft:        time.Until(c.deadline),
		Objective:       c.route.Objective,
		FirstToken:      p.FirstToken,
		IdleFirstToken:  p.IdleFirstToken,
		DisplacedRatio:  p.DisplacedRatio,
		EnginesFilled:   p.EnginesFilled,
		SpareFraction:   p.SpareFraction,
		DisplacedWeight: p.Share.DisplacedWeight,
		OverShare:       p.Share.OverShare,
		SlotScarcity:    p.SlotScarcity,
	})
	if !refused {
		return nil
	}
	if decision.Reason == admission.OverShare {
		g.recordOverShare(c, p)
	}
	g.metrics.Count("gateway_postponed", 1, "route", c.route.Name)
	return refuse(http.StatusServiceUnavailable, string(decision.Reason), decision.RetryAfter)
}
