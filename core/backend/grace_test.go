package backend_test

import (
	"testing"
	"time"

	"slipcrank.example/core/backend"
)

// TestGraceEndsOnce: requests reached servers seconds after their entries had gone.
// The platform's list comes back after an outage and lacks a server, which is kept
// since its entry may have lapsed. Further hosts tell of the same return, each as it
// found it out, and each time the server is kept anew: one moment for the whole list
// decided, and a later one took the place of an earlier one.
func TestGraceEndsOnce(t *testing.T) {
	const grace = 2500 * time.Millisecond
	b := backend.NewRegistry()
	b.Put(backend.Server{ID: "a", Service: "s"}, 1)
	b.Put(backend.Server{ID: "b", Service: "s"}, 2)
	back := time.Minute
	b.PlatformReturned(back)
	b.Remove("a", 3, back+100*time.Millisecond)
	for _, late := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		b.PlatformReturned(back + late)
		if late == 2*time.Second && len(b.View(back+late).Ready("s")) != 2 {
			t.Errorf("a server is dropped %v after the return", late)
		}
	}
	if n := len(b.View(back + grace).Ready("s")); n != 1 {
		t.Errorf("%d servers are ready %v after the return, want 1", n, grace)
	}
}
