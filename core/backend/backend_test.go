package backend_test

import (
	"testing"
	"time"

	"slipcrank.example/core/backend"
)

// TestLatestStartAcceptsWork updates a registry with rows of one server's starts that
// arrive late, are relayed or can't be parsed, and checks which start accepts new work.
func TestLatestStartAcceptsWork(t *testing.T) {
	first := backend.Server{ID: "i@1", Name: "i", StartedMillis: 1, Service: "plain", Addr: "127.0.0.1:1", Slots: 1}
	second := first
	second.ID, second.StartedMillis = "i@2", 2
	for name, tc := range map[string]struct {
		update func(r *backend.Registry)
		want   string
	}{
		"a later start": {func(r *backend.Registry) { r.Put(second, 2) }, "i@2"},
		"a row of the earlier start, relayed late": {func(r *backend.Registry) {
			r.Put(second, 2)
			r.Put(first, 1)
		}, "i@2"},
		"a write by the earlier start, applied late": {func(r *backend.Registry) {
			r.Put(second, 2)
			r.Put(first, 3)
		}, "i@2"},
		"an unreadable row": {func(r *backend.Registry) { r.MarkUnreadable("i", 2) }, ""},
		"an older unreadable row": {func(r *backend.Registry) {
			r.Put(second, 3)
			r.MarkUnreadable("i", 2)
		}, "i@2"},
		"a row that is readable again": {func(r *backend.Registry) {
			r.MarkUnreadable("i", 2)
			r.Put(first, 3)
		}, "i@1"},
		"a removed server": {func(r *backend.Registry) { r.Remove("i", 2, time.Minute) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := backend.NewRegistry()
			r.Put(first, 1)
			tc.update(r)
			v := r.View(time.Hour)
			var got string
			if ready := v.Ready("plain"); len(ready) > 0 {
				got = ready[0].ID
			}
			if got != tc.want {
				t.Errorf("start %q accepts new work, want %q", got, tc.want)
			}
			if v.Replaced(first) != (tc.want == "i@2") {
				t.Errorf("the first start is replaced: %v, want the opposite", v.Replaced(first))
			}
		})
	}
}
