package devel_test

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/route"
	"slipcrank.example/core/template"
	"slipcrank.example/standin/engine"
)

// texts returns the text of a stream's events.
func texts(t *testing.T, stream string) string {
	t.Helper()
	var out strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatalf("not an event: %s", data)
		}
		for _, x := range c.Choices {
			out.WriteString(x.Text)
		}
	}
	return out.String()
}

// lender returns the number of an engine that holds memory for a group and runs
// no stream itself, or -1.
func lender(f *devel.Fleet) int {
	return slices.IndexFunc(f.EngineAddrs, func(a string) bool {
		hs := f.Engines[slices.Index(f.EngineAddrs, a)].Holdings()
		return len(hs) > 0 && !slices.ContainsFunc(hs, func(h protocol.Holding) bool { return h.Kind == "stream" })
	})
}

// TestGroupOutlivesTheDeathOfAMember kills an engine whose memory another one
// uses for a running prompt. The other one gives no token after that, but goes
// on saying that it lives.
func TestGroupOutlivesTheDeathOfAMember(t *testing.T) {
	p := smallEngines()
	p.StepBase = 20 * time.Millisecond
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(6), devel.WithParams(p))
	body := prompt(t, tokens(8000), 200, true)
	_, whole := post(t, f.Nodes[1].Callers(), "/v1/completions", "captions", body, nil)
	want := texts(t, whole)
	eventually(t, "the group of the first prompt is free", func() bool { return used(f) == 0 })

	_, b := open(t, context.Background(), f.Nodes[0].Callers(), "captions", body)
	dead := lender(f)
	if dead < 0 {
		t.Fatal("no engine lends its memory")
	}
	f.KillEngine(dead)
	killed := time.Now()
	rest, err := io.ReadAll(b)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("the answer ended %v after the death", time.Since(killed).Round(100*time.Millisecond))
	if got := texts(t, string(rest)); got != want || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Errorf("after the death of a member the answer has %d characters, want %d; it ends in %.300q",
			len(got), len(want), string(rest[max(0, len(rest)-300):]))
	}
	eventually(t, "all memory of the living engines is free", func() bool {
		n := used(f) - f.Engines[dead].Used()
		return n == 0
	})
}

// TestGroupsPrefillKeepsNoShortRequest asks for offers while an engine prefills
// a prompt that a group was reserved for.
func TestGroupsPrefillKeepsNoShortRequest(t *testing.T) {
	p := smallEngines()
	p.PrefillRate = 400
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(1), devel.WithEngines(4), devel.WithParams(p))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	open(t, ctx, f.Nodes[0].Callers(), "ledgers", prompt(t, tokens(9000), 3, true))
	work := func() int { return slices.MaxFunc(f.Engines, moreWork).Totals().PrefillTokens }
	eventually(t, "an engine prefills for the group", func() bool { return work() > 0 })
	ask := route.Prompt{Model: devel.Model, Version: devel.Version, Tokens: 100, MaxTokens: 3}
	eventually(t, "a few reports have shown the prompt", func() bool {
		ask.Deadline = time.Now().Add(time.Hour)
		ask.Priority = route.Priority(template.Interactive, ask.Tokens, time.Now(), ask.Deadline)
		for _, o := range f.Nodes[0].Loop().Offers(ctx, ask) {
			if o.Wait > 100*time.Millisecond { // the 9,000 tokens would be 225 ms
				t.Fatalf("a short request is predicted to wait %v at %s", o.Wait, o.Addr)
			}
		}
		return work() > 1000
	})
}

func moreWork(a, b *engine.Engine) int {
	return cmp.Compare(a.Totals().PrefillTokens, b.Totals().PrefillTokens)
}
