package gateway

import (
	"net/http"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

// admit refuses a call that had better not be served now, before anything of
// it is sent. A call that has reached a server is carried on.
func (g *Gateway) admit(c *call, p schedule.Placement) *refusal {
	if c.attempts > 0 || c.may {
		return nil
	}
	no, refused := g.admission.Decide(admission.Request{
		Stream:          c.route.Kind == site.Stream,
		TimeLeft:        time.Until(c.deadline),
		Objective:       c.route.Objective,
		FirstToken:      p.FirstToken,
		IdleFirstToken:  p.IdleFirstToken,
		DisplacedRatio:  p.DisplacementRatio,
		EngineMemory:    p.EnginesFilled,
		SpareFraction:   p.SpareFraction,
		DisplacedWeight: p.Share.Weight,
		OverShare:       p.Share.OverShare,
		SlotScarcity:    p.SlotScarcity,
	})
	if !refused {
		return nil
	}
	if no.Reason == admission.OverShare {
		g.holdToShare(c, p)
	}
	g.metrics.Count("gateway_postponed", 1, "route", c.route.Name)
	return refuse(http.StatusServiceUnavailable, string(no.Reason), no.RetryAfter)
}
