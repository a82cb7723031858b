package load

import (
	"bufio"
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/fault"
)

func TestReadEvents(t *testing.T) {
	const token = "id: 1\ndata: {\"choices\":[{\"text\":\"x\"}]}\n\n"
	for name, tc := range map[string]struct {
		stream string
		tokens int
		kind   fault.Kind // of the error; "" if none is expected
	}{
		"complete":                 {token + ": waiting\n\n" + token + "data: {\"usage\":{}}\n\ndata: [DONE]\n\n", 2, ""},
		"truncated":                {token, 1, fault.Internal},
		"error event":              {token + "event: error\ndata: {\"error\":{\"kind\":\"overloaded\"}}\n\n", 1, fault.Overloaded},
		"error event without kind": {"event: error\ndata: {}\n\n", 0, fault.Internal},
	} {
		t.Run(name, func(t *testing.T) {
			got := 0
			err := readEvents(bufio.NewReader(strings.NewReader(tc.stream)), func(n int) { got = n })
			if got != tc.tokens || (err == nil) != (tc.kind == "") || (err != nil && fault.From(err).Kind() != tc.kind) {
				t.Errorf("got %d tokens and %v, want %d and %q", got, err, tc.tokens, tc.kind)
			}
		})
	}
}

func TestArrivalRateAndMix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := DefaultPlan().WithTargets("a", "b")
		p.Rate, p.Duration = 100, time.Minute
		p.Workspaces = []Workspace{{Name: "till", Weight: 1}, {Name: "ledgers", Weight: 1, Long: true}}
		count, long, longInShortOnly := 0, 0, 0
		for j := range arrivals(context.Background(), p) {
			count++
			if j.tokens > midMaxTokens {
				long++
				if j.workspace.Name != "ledgers" {
					t.Errorf("a prompt of %d tokens came from %s", j.tokens, j.workspace.Name)
				}
			}
			if j.shortOnly && j.tokens > shortMaxTokens {
				longInShortOnly++
			}
		}
		if count < 5200 || count > 6000 {
			t.Errorf("%d arrivals in a minute at 100/s, without the mid and long ones of the first third; want 5200 to 6000", count)
		}
		if long < 50 || long > 120 {
			t.Errorf("%d prompts over 100k tokens, want about 80", long)
		}
		if longInShortOnly > 0 {
			t.Errorf("%d mid or long prompts in the short-only phase", longInShortOnly)
		}
	})
}

func TestReportAndPlot(t *testing.T) {
	c := newCollector()
	for range 100 {
		c.add(Result{Bucket: "1k-4k", ShortOnly: true, FirstToken: 100 * time.Millisecond, InTime: true, Tokens: 2})
		c.add(Result{Bucket: "1k-4k", FirstToken: 150 * time.Millisecond, TokenGaps: []time.Duration{20 * time.Millisecond}, InTime: true, Tokens: 2})
	}
	c.add(Result{ErrorKind: fault.Overloaded})
	r := c.report(DefaultPlan(), 10*time.Second)
	if r.Slowdown.P99 < 1.49 || r.Slowdown.P99 > 1.51 || r.Goodput != 20 || r.Refused[fault.Overloaded] != 1 || r.Sent != 201 {
		t.Errorf("got %+v", r)
	}
	var b bytes.Buffer
	if err := r.Plot(&b); err != nil || !strings.Contains(b.String(), "100 ms") && !strings.Contains(b.String(), "150 ms") {
		t.Errorf("the plot has no label of a time: %v", err)
	}
}

func TestValidateRejectsInvalidPlans(t *testing.T) {
	good := DefaultPlan().WithTargets("a")
	good.Workspaces = []Workspace{{Name: "till"}}
	for name, change := range map[string]func(*Plan){
		"no target":               func(p *Plan) { p.Targets = nil },
		"no rate":                 func(p *Plan) { p.Rate = 0 },
		"sum of fractions over 1": func(p *Plan) { p.MidFraction, p.LongFraction = 0.9, 0.9 },
		"no workspace":            func(p *Plan) { p.Workspaces = nil },
	} {
		t.Run(name, func(t *testing.T) {
			p := good
			change(&p)
			var f *fault.Error
			if err := p.Validate(); !errors.As(err, &f) || f.Remedy() == "" {
				t.Errorf("got %v, want an error with a remedy", err)
			}
		})
	}
}
