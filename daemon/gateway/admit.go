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
	no, refused := g.admission.Judge(admission.Request{
		Stream:    c.route.Kind == site.Stream,
		Left:      time.Until(c.deadline),
		Objective: c.route.Objective,
		First:     p.FirstToken,
		Idle:      p.IdleFirstToken,
		Displaces: p.DisplacementRatio,
		Engines:   p.EnginesFilled,
		Spare:     p.SpareFraction,
		Price:     p.Share.Weight,
		Over:      p.Share.OverShare,
		Full:      p.SlotScarcity,
	})
	if !refused {
		return nil
	}
	if no.Why == admission.OverShare {
		g.holdToShare(c, p)
	}
	g.metrics.Count("gateway_postponed", 1, "route", c.route.Name)
	return refuse(http.StatusServiceUnavailable, string(no.Why), no.After)
}
