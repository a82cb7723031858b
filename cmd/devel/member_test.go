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

// streamText returns the concatenated text of a stream's events.
func streamText(t *testing.T, stream string) string {
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
		for _, choice := range c.Choices {
			out.WriteString(choice.Text)
		}
	}
	return out.String()
}

// lendingEngine returns the number of an engine that reserves memory for a group
// but runs no stream itself, or -1.
func lendingEngine(f *devel.Fleet) int {
	return slices.IndexFunc(f.EngineAddrs, func(a string) bool {
		hs := f.Engines[slices.Index(f.EngineAddrs, a)].Holdings()
		return len(hs) > 0 && !slices.ContainsFunc(hs, func(h protocol.Holding) bool { return h.Kind == "stream" })
	})
}

// TestStreamOfGroupSurvivesDeathOfMember kills an engine whose memory another
// engine uses for a running prompt. The other engine produces no token from then
// on, but continues to send signs of life. The caller must still get the complete
// answer.
func TestStreamOfGroupSurvivesDeathOfMember(t *testing.T) {
	p := smallEngines()
	p.StepBase = 20 * time.Millisecond
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(6), devel.WithParams(p))
	body := prompt(t, textOfTokens(8000), 200, true)
	_, stream := post(t, f.Nodes[1].Callers(), "/v1/completions", "captions", body, nil)
	want := streamText(t, stream)
	eventually(t, "the group of the first prompt is free", func() bool { return usedTokens(f) == 0 })

	_, b := openStream(t, context.Background(), f.Nodes[0].Callers(), "captions", body)
	dead := lendingEngine(f)
	if dead < 0 {
		t.Fatal("no engine lends memory to the group")
	}
	f.KillEngine(dead)
	killed := time.Now()
	tail, err := io.ReadAll(b)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("the answer ended %v after the engine was killed", time.Since(killed).Round(100*time.Millisecond))
	if got := streamText(t, string(tail)); got != want || !strings.HasSuffix(string(tail), "data: [DONE]\n\n") {
		t.Errorf("after a member was killed, the answer has %d characters, want %d; it ends in %.300q",
			len(got), len(want), string(tail[max(0, len(tail)-300):]))
	}
	eventually(t, "all memory of the remaining engines is free", func() bool {
		n := usedTokens(f) - f.Engines[dead].Used()
		return n == 0
	})
}

// TestPrefillOfGroupDoesNotDelayShortRequests gets offers for a short request while
// an engine prefills the prompt of a group. The predicted wait must not include the
// tokens of that prompt.
func TestPrefillOfGroupDoesNotDelayShortRequests(t *testing.T) {
	p := smallEngines()
	p.PrefillRate = 400
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(1), devel.WithEngines(4), devel.WithParams(p))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	openStream(t, ctx, f.Nodes[0].Callers(), "ledgers", prompt(t, textOfTokens(9000), 3, true))
	work := func() int { return slices.MaxFunc(f.Engines, comparePrefill).Totals().PrefillTokens }
	eventually(t, "an engine prefills for the group", func() bool { return work() > 0 })
	ask := route.Prompt{Model: devel.Model, Version: devel.Version, Tokens: 100, MaxTokens: 3}
	eventually(t, "several load reports include the prompt", func() bool {
		ask.Deadline = time.Now().Add(time.Hour)
		ask.Priority = route.Priority(template.Interactive, ask.Tokens, time.Now(), ask.Deadline)
		for _, o := range f.Nodes[0].Loop().Offers(ctx, ask) {
			if o.Wait > 100*time.Millisecond { // the 9,000 tokens would add 225 ms
				t.Fatalf("a short request is predicted to wait %v at %s", o.Wait, o.Addr)
			}
		}
		return work() > 1000
	})
}

func comparePrefill(a, b *engine.Engine) int {
	return cmp.Compare(a.Totals().PrefillTokens, b.Totals().PrefillTokens)
}
