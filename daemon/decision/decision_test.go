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

// TestFloodHidesNoCutRequest guards against rates that drop lines of requests whose answers were cut.
func TestFloodHidesNoCutRequest(t *testing.T) {
	const flood, cut = 20_000, 1000
	for name, every := range map[string]int{"spread over the flood": flood / cut, "all at once": 1} {
		t.Run(name, func(t *testing.T) {
			out := newSlowOutput() // takes no line before the end
			l := decision.New(out)
			id := func(n int) slog.Attr { return slog.String("id", fmt.Sprintf("cut-%d.", n)) }
			named := 0
			for n := range flood {
				l.Write(event.RequestRefused)
				l.Write(event.RequestEnded, slog.String("id", "other"))
				if n%every == 0 && named < cut {
					l.WriteReserved(event.RequestEnded, id(named))
					named++
				}
			}
			close(out.allowed)
			l.Close()
			missing := 0
			for n := range cut {
				if !strings.Contains(out.String(), fmt.Sprintf(`"id":"cut-%d."`, n)) {
					missing++
				}
			}
			if missing > 0 {
				t.Errorf("%d of %d cut requests have no line", missing, cut)
			}
		})
	}
}

// TestReservedLinesAreBounded guards against a log whose memory and volume grow with the load.
func TestReservedLinesAreBounded(t *testing.T) {
	out := newSlowOutput()
	l := decision.New(out)
	const lines, most = 100_000, 5000
	for range lines {
		l.WriteReserved(event.RequestEnded)
	}
	if kept := lines - l.Dropped(); kept > most {
		t.Errorf("%d of %d lines are queued, want at most %d", kept, lines, most)
	}
	close(out.allowed)
	l.Close()
}
