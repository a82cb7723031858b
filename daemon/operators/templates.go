package operators

import (
	"context"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"slipcrank.example/core/crossover"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/event"
)

type (
	templatesReply struct {
		Number    uint64              `json:"number"`
		Templates []template.Template `json:"templates"`
	}

	applyRequest struct {
		ChangeID string `json:"change_id"`
		// YAML is the template. Its version is that of the template it was edited from.
		YAML string `json:"yaml"`
	}

	moveRequest struct {
		ChangeID  string         `json:"change_id"`
		Workspace string         `json:"workspace"`
		State     template.State `json:"state"`
		Percent   int            `json:"percent"`
	}

	changeReply struct {
		Number   uint64            `json:"number"`
		ChangeID string            `json:"change_id"`
		Template template.Template `json:"template"`
	}

	historyReply struct {
		Changes []template.Change `json:"changes"`
	}
)

// templates returns the template of the workspace name, or all if name is empty.
func (s *Server) templates(_ context.Context, _ *fasthttp.RequestCtx, name string) (any, error) {
	b := s.loop.View().Templates
	if name == "" {
		return templatesReply{Number: b.Number(), Templates: b.Templates()}, nil
	}
	t, ok := b.Template(name)
	if !ok {
		return nil, unknownWorkspace(name)
	}
	return templatesReply{Number: b.Number(), Templates: []template.Template{t}}, nil
}

// apply applies a template that the operator has edited.
func (s *Server) apply(ctx context.Context, c *fasthttp.RequestCtx, _ string) (any, error) {
	var r applyRequest
	if err := decode(c, &r); err != nil {
		return nil, err
	}
	t, err := template.Parse([]byte(r.YAML))
	if err != nil {
		return nil, err
	}
	return s.applyChange(ctx, r.ChangeID, t, t.Version)
}

// move changes the crossover of a workspace, in the template that is in force at this
// daemon.
func (s *Server) move(ctx context.Context, c *fasthttp.RequestCtx, _ string) (any, error) {
	var r moveRequest
	if err := decode(c, &r); err != nil {
		return nil, err
	}
	t, ok := s.loop.View().Templates.Template(r.Workspace)
	if !ok {
		return nil, unknownWorkspace(r.Workspace)
	}
	next, err := crossover.Next(t, r.State, r.Percent)
	if err != nil {
		return nil, err
	}
	return s.applyChange(ctx, r.ChangeID, next, t.Version)
}

// applyChange adds a change to the log of changes and puts it in force at this daemon
// immediately. base is the version that t was edited from. An empty id is replaced by
// a random one.
func (s *Server) applyChange(ctx context.Context, id string, t template.Template, base uint64) (any, error) {
	if id == "" {
		id = uuid.NewString()
	}
	x, err := s.changes.Apply(ctx, id, t, base)
	if err != nil {
		return nil, err
	}
	event.TemplateChangeAccepted.Info("workspace", t.Workspace, "version", x.Template.Version, "number", x.Number)
	s.loop.Do(ctx, func(st *control.State) {
		st.ObserveTemplateNumber(x.Number)
		st.UpdateTemplates(template.Update{Changes: []template.Change{x}})
	})
	return changeReply{Number: x.Number, ChangeID: id, Template: x.Template}, nil
}

// history returns the template changes of the workspace name.
func (s *Server) history(ctx context.Context, _ *fasthttp.RequestCtx, name string) (any, error) {
	if _, ok := s.loop.View().Templates.Template(name); !ok {
		return nil, unknownWorkspace(name)
	}
	cs, err := s.changes.History(ctx, name)
	if err != nil {
		return nil, fault.New(fault.PlatformDown, "the platform's table service did not answer",
			"ask again; what is in force stays in force").WithCause(err)
	}
	return historyReply{Changes: cs}, nil
}
