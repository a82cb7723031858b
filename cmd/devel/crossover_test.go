package devel_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/changes"
	"slipcrank.example/core/crossover"
	"slipcrank.example/core/template"
	"slipcrank.example/standin/oldsite"
)

// move moves the till's crossover and waits until it is in force everywhere.
func move(t *testing.T, f *devel.Fleet, state template.State, percent int) template.Template {
	t.Helper()
	now, _ := f.Nodes[0].Loop().View().Templates.Template("till")
	next, err := crossover.Next(now, state, percent)
	if err != nil {
		t.Fatal(err)
	}
	c, err := changes.New(f.Platform.Raw()).Apply(context.Background(), uuid.NewString(), next, now.Version)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the move is in force", func() bool {
		for _, n := range f.Nodes {
			if n.Loop().View().Templates.Number() < c.Number {
				return false
			}
		}
		return true
	})
	return c.Template
}

func TestRepeatLandsOnTheSameSite(t *testing.T) {
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(1))
	half := move(t, f, template.Returning, 50)
	old := 0
	for i := range 20 {
		key := fmt.Sprint("ticket-", i)
		want := crossover.Choose(half, key) == crossover.OldSite
		if want {
			old++
		}
		for _, n := range f.Nodes {
			status, body := post(t, n.Callers(), "/v1/completions", "till", prompt(t, "hello", 2, i%2 == 0), map[string]string{"X-Stable-Key": key})
			if got := strings.Contains(body, oldsite.TokenText); status != http.StatusOK || got != want {
				t.Errorf("key %s: status %d, old site %v, want %v", key, status, got, want)
			}
		}
	}
	if old == 0 || old == 20 {
		t.Errorf("%d of 20 keys went to the old site at 50%%", old)
	}
	move(t, f, template.New, 100)
	before := f.OldSite.Completed()
	post(t, f.Nodes[1].Callers(), "/v1/completions", "till", prompt(t, "hello", 2, false), nil)
	if f.OldSite.Completed() != before {
		t.Error("the old site got a request after the move had ended")
	}
}

func TestCallRunsOnOneSiteOnlyWhileItsWorkspaceMoves(t *testing.T) {
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(1))
	var keys []string
	for range 30 {
		keys = append(keys, uuid.Must(uuid.NewV7()).String())
	}
	ask := func() {
		var w sync.WaitGroup
		for _, k := range keys {
			for _, n := range f.Nodes {
				w.Go(func() {
					post(t, n.Callers(), "/v1/services/issue", "till", "{}", map[string]string{"Idempotency-Key": k})
				})
			}
		}
		w.Wait()
	}
	ask()
	for _, step := range []struct {
		state   template.State
		percent int
	}{{template.Returning, 50}, {template.Old, 0}, {template.Moving, 70}} {
		move(t, f, step.state, step.percent)
		ask()
	}
	for _, k := range keys {
		n := f.Runners[0].Count(k) + f.OldSite.Count(k)
		if n != 1 {
			t.Errorf("key %s ran %d times on the two sites", k, n)
		}
	}
	fresh := uuid.Must(uuid.NewV7()).String()
	move(t, f, template.Returning, 0)
	if status, body := post(t, f.Nodes[0].Callers(), "/v1/services/issue", "till", "{}", map[string]string{"Idempotency-Key": fresh}); status != http.StatusOK || f.OldSite.Count(fresh) != 1 {
		t.Errorf("a new call on the old site got %d %s", status, body)
	}
}
