package capacity_test

import (
	"os"
	"strings"
	"testing"

	"slipcrank.example/cmd/capacity"
)

// TestPageHasEverySlope checks that docs/CAPACITY.md lists the names of all slopes.
// The values are not compared, since they differ from run to run.
func TestPageHasEverySlope(t *testing.T) {
	b, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(b), "| slope | value | unit |")
	if !ok {
		t.Fatal("docs/CAPACITY.md has no table of slopes")
	}
	listed := map[string]bool{}
	for _, l := range strings.Split(rest, "\n") {
		if cells := strings.Split(l, " | "); len(cells) == 3 {
			listed[strings.TrimPrefix(cells[0], "| ")] = true
		}
	}
	names := capacity.Names()
	for _, n := range names {
		if !listed[n] {
			t.Errorf("docs/CAPACITY.md does not list %q", n)
		}
	}
	if len(names) < 30 {
		t.Errorf("only %d slopes are measured", len(names))
	}
}
