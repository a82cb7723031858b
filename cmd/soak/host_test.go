package soak

import (
	"net"
	"net/http"
	"syscall"
	"testing"

	"slipcrank.example/platform/standin"
)

// TestHostRestartsRightAfterKill guards against a host that stays down when it is
// started right after a kill, because start takes the exiting process for a
// running one.
func TestHostRestartsRightAfterKill(t *testing.T) {
	base := nextIPPrefix()
	l, err := net.Listen("tcp", base+"250:7000")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = http.Serve(l, standin.NewStore()) }() // returns once the listener is closed
	h, err := newHost(t.TempDir(), buildDaemon(t), "host-0", "hall-0", base+"1")
	if err != nil {
		t.Fatal(err)
	}
	if h.store, err = newProxy(base+"1:7104", base+"250:7000", nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.signal(syscall.SIGKILL) })
	answers := func(h *host) bool {
		a, err := http.Get("http://" + h.addr() + "/")
		if err != nil {
			return false
		}
		return a.Body.Close() == nil
	}
	for range 3 {
		if err := h.start(); err != nil {
			t.Fatal(err)
		}
		waitForHosts(t, []*host{h}, "answer", answers)
		h.signal(syscall.SIGKILL)
	}
}
