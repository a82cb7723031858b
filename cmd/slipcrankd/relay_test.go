package main_test

import (
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to an address. While it is cut it behaves like a
// failed link: connections stay open, and bytes are held back without a reset. A
// new relay is cut until forwardTo sets its address.
type relay struct {
	addr string

	mu      sync.Mutex
	changed sync.Cond
	target  string
	cut     bool
	done    bool
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{addr: l.Addr().String(), cut: true}
	r.changed.L = &r.mu
	t.Cleanup(func() {
		_ = l.Close()
		r.update(func() { r.done = true })
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(c)
		}
	}()
	return r
}

func (r *relay) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.changed.Broadcast()
}

func (r *relay) setCut(cut bool) { r.update(func() { r.cut = cut }) }

// forwardTo sets the address that connections are forwarded to and starts
// forwarding.
func (r *relay) forwardTo(addr string) { r.update(func() { r.target, r.cut = addr, false }) }

// waitUntilForwarding blocks while the relay is cut and reports false once the
// test has ended.
func (r *relay) waitUntilForwarding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut && !r.done {
		r.changed.Wait()
	}
	return !r.done
}

func (r *relay) forward(from net.Conn) {
	defer from.Close()
	if !r.waitUntilForwarding() {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	var wg sync.WaitGroup
	wg.Go(func() { r.copyBytes(to, from) })
	wg.Go(func() { r.copyBytes(from, to) })
	wg.Wait()
}

func (r *relay) copyBytes(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && r.waitUntilForwarding() {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil || !r.waitUntilForwarding() {
			return
		}
	}
}
