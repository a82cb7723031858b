package devel_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/daemon/node"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/standin/engine"
)

// TestCallersLearnThatAStopEndsTheirRequests stops a daemon whose requests take longer than drain.limit.
func TestCallersLearnThatAStopEndsTheirRequests(t *testing.T) {
	p := engine.DefaultParams()
	p.StepBase = 100 * time.Millisecond
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(1), devel.WithEngines(1), devel.WithParams(p),
		devel.WithSettings(func(s settings.Settings) settings.Settings {
			s.Drain.Limit = time.Second
			return s
		}))
	n := f.Nodes[0]
	_, b := openStream(t, context.Background(), n.Callers(), "till", prompt(t, "a stream", 200, true))
	type reply struct {
		status int
		body   string
	}
	whole := make(chan reply, 1)
	go func() {
		status, body := post(t, n.Callers(), "/v1/completions", "till", prompt(t, "a whole answer", 200, false), nil)
		whole <- reply{status, body}
	}()
	if err := n.Stop(context.Background()); !errors.Is(err, node.ErrDrainTimeout) {
		t.Errorf("got %v, want %v", err, node.ErrDrainTimeout)
	}
	if rest, err := io.ReadAll(b); err != nil || !strings.Contains(string(rest), "event: error") || !strings.Contains(string(rest), "draining") {
		t.Errorf("the stream ended with %q, %v, want an error event of kind draining", rest, err)
	}
	if r := <-whole; r.status != http.StatusServiceUnavailable || !strings.Contains(r.body, "draining") {
		t.Errorf("got status %d and %q, want 503 of kind draining", r.status, r.body)
	}
}
