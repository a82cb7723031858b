package backend_test

import (
	"testing"
	"time"

	"slipcrank.example/core/backend"
)

// TestStarts tells a book of one server's starts, as rows come late, are relayed
// or can't be read, and asks which start takes new work.
func TestStarts(t *testing.T) {
	first := backend.Server{ID: "i@1", Name: "i", StartedMillis: 1, Service: "plain", Addr: "127.0.0.1:1", Slots: 1}
	second := first
	second.ID, second.StartedMillis = "i@2", 2
	for name, tc := range map[string]struct {
		tell func(b *backend.Registry)
		want string
	}{
		"a later start": {func(b *backend.Registry) { b.Put(second, 2) }, "i@2"},
		"an older row of it, relayed late": {func(b *backend.Registry) {
			b.Put(second, 2)
			b.Put(first, 1)
		}, "i@2"},
		"what the earlier start wrote, carried out late": {func(b *backend.Registry) {
			b.Put(second, 2)
			b.Put(first, 3)
		}, "i@2"},
		"a row that can't be read": {func(b *backend.Registry) { b.MarkUnreadable("i", 2) }, ""},
		"an older one that can't be": {func(b *backend.Registry) {
			b.Put(second, 3)
			b.MarkUnreadable("i", 2)
		}, "i@2"},
		"one that can be read again": {func(b *backend.Registry) {
			b.MarkUnreadable("i", 2)
			b.Put(first, 3)
		}, "i@1"},
		"a server that has gone": {func(b *backend.Registry) { b.Remove("i", 2, time.Minute) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := backend.NewRegistry()
			b.Put(first, 1)
			tc.tell(b)
			v := b.View(time.Hour)
			var got string
			if ready := v.Ready("plain"); len(ready) > 0 {
				got = ready[0].ID
			}
			if got != tc.want {
				t.Errorf("start %q takes new work, want %q", got, tc.want)
			}
			if v.Replaced(first) != (tc.want == "i@2") {
				t.Errorf("the first start is replaced: %v", v.Replaced(first))
			}
		})
	}
}
