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
		First:     p.First,
		Idle:      p.Idle,
		Displaces: p.Displaces,
		Engines:   p.Engines,
		Spare:     p.Spare,
		Price:     p.Part.Price,
		Over:      p.Part.Over,
		Full:      p.Full,
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
