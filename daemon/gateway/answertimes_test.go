package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// TestStopExpectsTimeOfAllTries guards against stops that expect calls to be as fast as their last tries.
func TestStopExpectsTimeOfAllTries(t *testing.T) {
	const firstTry = 450 * time.Millisecond
	var seen sync.Map
	answer := func(r *http.Request, w io.Writer) bool {
		if _, again := seen.LoadOrStore(r.Header.Get("Try"), true); again {
			return plainReply(200, "fine")(r, w)
		}
		<-time.After(firstTry)
		return plainReply(500, "x")(r, w)
	}
	f := start(t, slices.Repeat([]reply{answer}, 24)...)
	for n := range 12 {
		if a := f.do("POST", "/safe/", "b", "Try", fmt.Sprint("t", n)); a.status != http.StatusOK {
			t.Fatalf("got %+v for call %d", a, n)
		}
	}
	now := time.Now()
	f.gateway.Drain(now.Add(time.Hour), now.Add(firstTry*3/4))
	if a := f.do("POST", "/safe/", "b", "Try", "last"); a.status != http.StatusServiceUnavailable {
		t.Errorf("status %d although the host ends before the first try, want 503", a.status)
	}
}
