package backend_test

import (
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/feed"
)

// revision returns the revision of a counter in an era.
func revision(t *testing.T, era, counter int64) int64 {
	t.Helper()
	r, err := feed.NewRevision(era, counter)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestServersAfterPlatformComesBackFromCopy(t *testing.T) {
	const returned = time.Minute
	ready := backend.Server{ID: "a", Service: "s", Addr: "127.0.0.1:1", Slots: 1}
	draining := ready
	draining.Draining = true
	for name, tc := range map[string]struct {
		before, after func(r *backend.Registry, rev func(era, counter int64) int64)
		want          map[time.Duration]bool // whether the server accepts work, by the time since the return
	}{
		"it was leaving, the copy says that it is ready": {
			func(r *backend.Registry, rev func(era, counter int64) int64) { r.Put(draining, rev(0, 30)) },
			func(r *backend.Registry, rev func(era, counter int64) int64) { r.Put(ready, rev(1, 10)) },
			map[time.Duration]bool{0: false, time.Hour: false},
		},
		"its entry was gone, and is in the copy": {
			func(r *backend.Registry, rev func(era, counter int64) int64) { r.Remove("a", rev(0, 30), 0) },
			func(r *backend.Registry, rev func(era, counter int64) int64) { r.Put(ready, rev(1, 10)) },
			map[time.Duration]bool{0: false, 5 * time.Second: false, 7 * time.Second: true},
		},
		"its entry was gone, is in the copy, and goes again": {
			func(r *backend.Registry, rev func(era, counter int64) int64) { r.Remove("a", rev(0, 30), 0) },
			func(r *backend.Registry, rev func(era, counter int64) int64) {
				r.Put(ready, rev(1, 10))
				r.Remove("a", rev(1, 25), returned+3*time.Second)
			},
			map[time.Duration]bool{0: false, 7 * time.Second: false},
		},
		"its entry was gone, and is written again": {
			func(r *backend.Registry, rev func(era, counter int64) int64) { r.Remove("a", rev(0, 30), 0) },
			func(r *backend.Registry, rev func(era, counter int64) int64) {
				r.Put(ready, rev(1, 10))
				r.Put(ready, rev(1, 26))
			},
			map[time.Duration]bool{0: true},
		},
		"its entry was gone, and was written again before the first list": {
			func(r *backend.Registry, rev func(era, counter int64) int64) { r.Remove("a", rev(0, 30), 0) },
			func(r *backend.Registry, rev func(era, counter int64) int64) { r.Put(ready, rev(1, 26)) },
			map[time.Duration]bool{0: true},
		},
		"its entry has lapsed, and is in the copy": {
			func(r *backend.Registry, rev func(era, counter int64) int64) {
				r.PlatformReturned(returned - time.Second)
				r.Remove("a", rev(0, 30), returned-time.Second)
			},
			func(r *backend.Registry, rev func(era, counter int64) int64) { r.Put(ready, rev(1, 10)) },
			map[time.Duration]bool{0: true, 3 * time.Second: true, time.Hour: true},
		},
		"its entry is lost": {
			func(*backend.Registry, func(era, counter int64) int64) {},
			func(r *backend.Registry, rev func(era, counter int64) int64) {
				r.RemoveMissing(map[string]bool{}, rev(1, 5), returned)
			},
			map[time.Duration]bool{time.Second: true, 3 * time.Second: false},
		},
		"its entry is lost, and written again at a lower revision": {
			func(*backend.Registry, func(era, counter int64) int64) {},
			func(r *backend.Registry, rev func(era, counter int64) int64) {
				r.RemoveMissing(map[string]bool{}, rev(1, 5), returned)
				r.Put(ready, rev(1, 6))
			},
			map[time.Duration]bool{0: true, 3 * time.Second: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			rev := func(era, counter int64) int64 { return revision(t, era, counter) }
			r := backend.NewRegistry()
			r.Put(ready, rev(0, 10))
			tc.before(r, rev)
			r.PlatformReturned(returned)
			tc.after(r, rev)
			for _, since := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second, time.Hour} {
				if want, ok := tc.want[since]; ok && r.View(returned+since).AcceptsWork("a") != want {
					t.Errorf("%v after the return, it accepts work: %v, want %v", since, !want, want)
				}
			}
		})
	}
}
