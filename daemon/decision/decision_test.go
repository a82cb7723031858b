package decision_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
)

// TestFloodOfOneEventHidesNoOthers has one event logged far above all rates.
func TestFloodOfOneEventHidesNoOthers(t *testing.T) {
	var out bytes.Buffer
	l := decision.New(&out)
	const flood, ended = 20_000, 60
	for n := range flood {
		l.Write(event.RequestRefused)
		if n%(flood/ended) == 0 {
			l.Write(event.RequestEnded, slog.String("id", fmt.Sprintf("e%d.", n)))
		}
	}
	l.WriteLast(event.RequestCut, slog.String("id", "cut."))
	l.Close()
	for n := 0; n < flood; n += flood / ended {
		if !strings.Contains(out.String(), fmt.Sprintf(`"id":"e%d."`, n)) {
			t.Errorf("the line of e%d was dropped", n)
		}
	}
	if !strings.Contains(out.String(), `"id":"cut."`) {
		t.Error("the last line is missing")
	}
}
