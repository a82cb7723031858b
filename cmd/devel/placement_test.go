package devel_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"slipcrank.example/clients/engine"
	"slipcrank.example/clients/web"
	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/changes"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/settings"
	standin "slipcrank.example/standin/engine"
)

// TestVersionChangeServesThroughout changes the model's version in every template.
// The engines are ordered to load the new version and then to unload the old one.
// Requests must be served throughout.
func TestVersionChangeServesThroughout(t *testing.T) {
	p := standin.DefaultParams()
	p.LoadTime = 0
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(2), devel.WithParams(p),
		devel.WithSettings(func(s settings.Settings) settings.Settings {
			s.Periods.Lease = settings.Default().Periods.Lease / 4
			return s
		}))
	log := changes.New(f.Platform.Raw())
	for _, x := range devel.Templates() {
		next := x.WithModels(template.Model{Name: devel.Model, Version: "2"})
		if x.Workspace == "till" { // till stays on the old version for now
			continue
		}
		if _, err := log.Apply(context.Background(), "v2-"+x.Workspace, next, 1); err != nil {
			t.Fatal(err)
		}
	}
	served := func(workspace string) bool {
		for _, n := range f.Nodes {
			if status, _ := post(t, n.Callers(), "/v1/completions", workspace, prompt(t, "hello", 1, false), nil); status != http.StatusOK {
				return false
			}
		}
		return true
	}
	eventually(t, "the new version is loaded and served", func() bool {
		if !served("till") {
			t.Fatal("a workspace on the old version is not served while the new one is loaded")
		}
		return served("captions")
	})
	till, _ := f.Nodes[0].Loop().View().Templates.Template("till")
	if _, err := log.Apply(context.Background(), "v2-till", till.WithModels(template.Model{Name: devel.Model, Version: "2"}), till.Version); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the old version is unloaded everywhere", func() bool {
		for _, e := range f.Engines {
			for _, c := range e.Report().Copies {
				if c.Version != "2" {
					return false
				}
			}
		}
		return served("till")
	})
}

func TestOrderWithOldFenceIsRefused(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for name, checks := range map[string]bool{"engine checks fences": true, "engine does not check fences": false} {
		t.Run(name, func(t *testing.T) {
			p := standin.DefaultParams()
			p.ChecksFence = checks
			addr, err := standin.New(standin.WithParams(p)).Serve(ctx, "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			c := engine.New(web.New())
			order := func(fence uint64) error {
				return c.Command(ctx, addr, engine.Order{Fence: fence, Action: engine.SetRole, Role: engine.Short})
			}
			if err := order(7); err != nil {
				t.Fatal(err)
			}
			err = order(6)
			if refused := err != nil; refused != checks {
				t.Errorf("an order with an old fence gave error %v", err)
			}
			if checks && !strings.Contains(err.Error(), "412") {
				t.Errorf("got %v, want the refusal of the fence", err)
			}
		})
	}
}

// TestPlacementFollowsDemand has four models, of which callers request only one.
// That model must be loaded on three engines in the end, and each model must have an
// engine.
func TestPlacementFollowsDemand(t *testing.T) {
	p := standin.DefaultParams()
	p.LoadTime = 0
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(4), devel.WithParams(p),
		devel.WithSettings(func(s settings.Settings) settings.Settings {
			s.Periods.Lease, s.Periods.Demand = settings.Default().Periods.Lease/4, time.Second
			return s
		}))
	log := changes.New(f.Platform.Raw())
	models := []string{devel.Model, "b", "c", "d"}
	for i, x := range devel.Templates() {
		next := x.WithModels(template.Model{Name: models[i], Version: devel.Version})
		if _, err := log.Apply(context.Background(), "model-"+x.Workspace, next, 1); err != nil {
			t.Fatal(err)
		}
	}
	copies := func() map[string]int {
		out := map[string]int{}
		for _, e := range f.Engines {
			for _, c := range e.Report().Copies {
				out[c.Model]++
			}
		}
		return out
	}
	eventually(t, "each model has an engine", func() bool { return len(copies()) == len(models) })
	busy := devel.Templates()[3].Workspace // of model d, which started with no engine
	body := strings.Replace(prompt(t, textOfTokens(2000), 1, false), devel.Model, models[3], 1)
	eventually(t, "the daemons know the model's engine", func() bool {
		status, _ := post(t, f.Nodes[1].Callers(), "/v1/completions", busy, body, nil)
		return status == http.StatusOK
	})
	scaledUp := func() bool {
		for range 10 {
			if status, answer := post(t, f.Nodes[1].Callers(), "/v1/completions", busy, body, nil); status != http.StatusOK {
				t.Fatalf("status %d %s", status, answer)
			}
		}
		return copies()[models[3]] >= 3
	}
	eventually(t, "the requested model is on three engines", scaledUp)
	for _, m := range models {
		if copies()[m] == 0 {
			t.Errorf("model %s has no engine: %v", m, copies())
		}
	}
}
