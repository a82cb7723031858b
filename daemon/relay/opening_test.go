package relay_test

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/pause"
)

// openingDelay is how long a new connection takes to open.
const openingDelay = 1500 * time.Millisecond

// proxy is what lies between two hosts.
type proxy struct {
	openingDelay   time.Duration // until it forwards anything on a new connection
	bytesPerSecond int           // of what the server sends, 0 for no limit
	gate           *sync.Mutex   // while it is locked, nothing of that is forwarded; nil for none
}

// start starts the proxy before an address, and returns its own address.
func (p proxy) start(t *testing.T, to string) string {
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
			time.AfterFunc(p.openingDelay, func() { p.forward(c, to) })
		}
	}()
	return l.Addr().String()
}

// forward forwards a connection to an address until either side closes it.
func (p proxy) forward(c net.Conn, to string) {
	d, err := net.Dial("tcp", to)
	if err != nil {
		_ = c.Close()
		return
	}
	go func() { _, _ = io.Copy(d, c) }() // ends when the connection is closed
	var answers io.Reader = d
	if p.bytesPerSecond > 0 {
		answers = &slowReader{d, p.bytesPerSecond}
	}
	if p.gate != nil {
		answers = gatedReader{answers, p.gate}
	}
	_, _ = io.Copy(c, answers)
	_ = c.Close()
}

// gatedReader holds back what it has read while its gate is locked.
type gatedReader struct {
	io.Reader
	gate *sync.Mutex
}

func (r gatedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.gate.Lock()
	defer r.gate.Unlock()
	return n, err
}

// slowReader reads a limited number of bytes a second.
type slowReader struct {
	io.Reader
	bytesPerSecond int
}

// Read implements [io.Reader].
func (r *slowReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b[:min(len(b), 4<<10)])
	_ = pause.For(context.Background(), time.Duration(n)*time.Second/time.Duration(r.bytesPerSecond)) // never ends early
	return n, err
}

// TestSlowConnectionSetupDoesNotAgeProofs has a host receive updates over a connection
// that takes long to open, which must not add to the age of the proofs.
func TestSlowConnectionSetupDoesNotAgeProofs(t *testing.T) {
	reader, last := newWatcher(t, func() int { return 3 }), newWatcher(t, nil)
	receive(t, last, proxy{openingDelay: openingDelay}.start(t, serve(t, reader)))
	eventually(t, "the last host has the configuration", hasConfig(last, 3))
	eventually(t, "the last host has a proof that is fresh", func() bool {
		age, ok := last.ConfigAge()
		return ok && age < time.Second
	})
}

// TestSlowFirstAnswerDoesNotAgeProofs has a host subscribe to one that gets its first answer
// of the platform only later. The wait must not add to the age of the proofs while the
// subscription lasts.
func TestSlowFirstAnswerDoesNotAgeProofs(t *testing.T) {
	answering := make(chan struct{})
	reader, last := newWatcher(t, func() int { <-answering; return 3 }), newWatcher(t, nil)
	receive(t, last, serve(t, reader))
	time.AfterFunc(openingDelay, func() { close(answering) })
	eventually(t, "the last host has the configuration", hasConfig(last, 3))
	eventually(t, "the last host has a proof that is fresh", func() bool {
		age, ok := last.ConfigAge()
		return ok && age < openingDelay/3
	})
}

// partitionTime is how long the SYN packets to a host are dropped. The kernel
// retransmits them each second at first, then at doubling intervals.
const partitionTime = 7600 * time.Millisecond

// startPartitionedProxy starts a proxy that drops SYN packets for partitionTime and
// forwards connections to an address after that. It returns the proxy's address.
func startPartitionedProxy(t *testing.T, to string) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.CombineErrors(
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}),
		syscall.Listen(fd, 0),
	); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	_ = f.Close() // the listener has a copy
	t.Cleanup(func() { _ = l.Close() })
	for { // fill the accept queue, so that further SYN packets are dropped
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	time.AfterFunc(partitionTime, func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if n > 0 { // the first one was opened to fill the queue
				go proxy{}.forward(c, to)
			}
		}
	})
	return l.Addr().String()
}

// TestStreamOpensSoonAfterAPartition guards against requests that reach servers seconds
// after these have reported that they are leaving. While the SYN packets to another
// host are dropped, the kernel retransmits them at growing intervals. An attempt to
// connect that began in the partition succeeds only seconds after its end, and no
// updates arrive until then. With attempts that end after a second, updates arrive
// within 2 s of the end.
func TestStreamOpensSoonAfterAPartition(t *testing.T) {
	t.Parallel()
	reader, last := newWatcher(t, func() int { return 3 }), newWatcher(t, nil)
	addr := startPartitionedProxy(t, serve(t, reader))
	begun := time.Now()
	receive(t, last, addr)
	eventually(t, "the last host has the configuration", hasConfig(last, 3))
	if d := time.Since(begun) - partitionTime; d > 2*time.Second {
		t.Errorf("received the configuration %v after the end of the partition", d)
	}
}
