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

// moveCrossover changes the crossover of workspace till and waits until all daemons
// have the change.
func moveCrossover(t *testing.T, f *devel.Fleet, state template.State, percent int) template.Template {
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
	eventually(t, "all daemons have the change of the crossover", func() bool {
		for _, n := range f.Nodes {
			if n.Loop().View().Templates.Number() < c.Number {
				return false
			}
		}
		return true
	})
	return c.Template
}

func TestRepeatedRequestGoesToSameSite(t *testing.T) {
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(1))
	half := moveCrossover(t, f, template.Returning, 50)
	oldCount := 0
	for i := range 20 {
		key := fmt.Sprint("ticket-", i)
		wantOld := crossover.Choose(half, key) == crossover.OldSite
		if wantOld {
			oldCount++
		}
		for _, n := range f.Nodes {
			status, body := post(t, n.Callers(), "/v1/completions", "till", prompt(t, "hello", 2, i%2 == 0), map[string]string{"X-Stable-Key": key})
			if gotOld := strings.Contains(body, oldsite.TokenText); status != http.StatusOK || gotOld != wantOld {
				t.Errorf("key %s: status %d, old site %v, want %v", key, status, gotOld, wantOld)
			}
		}
	}
	if oldCount == 0 || oldCount == 20 {
		t.Errorf("%d of 20 keys went to the old site at 50%%", oldCount)
	}
	moveCrossover(t, f, template.New, 100)
	before := f.OldSite.Completed()
	post(t, f.Nodes[1].Callers(), "/v1/completions", "till", prompt(t, "hello", 2, false), nil)
	if f.OldSite.Completed() != before {
		t.Error("the old site got a request after the end of the crossover")
	}
}

func TestCallRunsOnceDuringCrossover(t *testing.T) {
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(1))
	var keys []string
	for range 30 {
		keys = append(keys, uuid.Must(uuid.NewV7()).String())
	}
	callAll := func() {
		var wg sync.WaitGroup
		for _, k := range keys {
			for _, n := range f.Nodes {
				wg.Go(func() {
					post(t, n.Callers(), "/v1/services/issue", "till", "{}", map[string]string{"Idempotency-Key": k})
				})
			}
		}
		wg.Wait()
	}
	callAll()
	for _, step := range []struct {
		state   template.State
		percent int
	}{{template.Returning, 50}, {template.Old, 0}, {template.Moving, 70}} {
		moveCrossover(t, f, step.state, step.percent)
		callAll()
	}
	for _, k := range keys {
		n := f.Runners[0].Count(k) + f.OldSite.Count(k)
		if n != 1 {
			t.Errorf("key %s ran %d times on both sites together, want 1", k, n)
		}
	}
	fresh := uuid.Must(uuid.NewV7()).String()
	moveCrossover(t, f, template.Returning, 0)
	if status, body := post(t, f.Nodes[0].Callers(), "/v1/services/issue", "till", "{}", map[string]string{"Idempotency-Key": fresh}); status != http.StatusOK || f.OldSite.Count(fresh) != 1 {
		t.Errorf("a new call on the old site got %d %s", status, body)
	}
}
