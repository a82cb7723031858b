package relay_test

import (
	"io"
	"net"
	"testing"
	"time"
)

// openingTime is how long it takes until a connection through slowly passes
// anything on.
const openingTime = 1500 * time.Millisecond

// slowly passes connections on to an address after openingTime.
func slowly(t *testing.T, to string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(openingTime, func() { pass(c, to) })
		}
	}()
	return l.Addr().String()
}

// pass passes a connection on to an address until either side ends it.
func pass(c net.Conn, to string) {
	d, err := net.Dial("tcp", to)
	if err != nil {
		_ = c.Close()
		return
	}
	go func() { _, _ = io.Copy(d, c) }() // ends with its connection
	_, _ = io.Copy(c, d)
	_ = c.Close()
}

// TestSlowOpeningDoesNotAgeProofs has a host hear another over a connection
// that takes long to open. What it hears then is as fresh as ever.
func TestSlowOpeningDoesNotAgeProofs(t *testing.T) {
	reader, last := watcher(t, func() int { return 3 }), watcher(t, nil)
	hear(t, last, slowly(t, serve(t, reader)))
	eventually(t, "the last host has the configuration", inForce(last, 3))
	eventually(t, "the last host has a proof that is fresh", func() bool {
		age, ok := last.ConfigAge()
		return ok && age < time.Second
	})
}
