package backend_test

import (
	"testing"
	"time"

	"slipcrank.example/core/backend"
)

// TestGraceEndsOnce guards against requests to servers seconds after their entries
// have gone. A server that is missing from the list right after an outage is retained,
// since its entry may have lapsed. Other hosts report the same return of the platform
// later, each with its own time; if such a report moved the end of the grace period,
// the server would be retained again and again.
func TestGraceEndsOnce(t *testing.T) {
	const grace = 2500 * time.Millisecond
	r := backend.NewRegistry()
	r.Put(backend.Server{ID: "a", Service: "s"}, 1)
	r.Put(backend.Server{ID: "b", Service: "s"}, 2)
	returned := time.Minute
	r.PlatformReturned(returned)
	r.Remove("a", 3, returned+100*time.Millisecond)
	for _, late := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		r.PlatformReturned(returned + late)
		if late == 2*time.Second && len(r.View(returned+late).Ready("s")) != 2 {
			t.Errorf("a server is dropped %v after the return", late)
		}
	}
	if n := len(r.View(returned + grace).Ready("s")); n != 1 {
		t.Errorf("%d servers are ready %v after the return, want 1", n, grace)
	}
}
