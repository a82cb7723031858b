package gateway

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// defaultBufferBytes bounds what all calls together buffer if the host's memory is
	// unknown.
	defaultBufferBytes = 64 << 20
	// BufferFraction is the fraction of a host's memory that calls may buffer. The
	// garbage collector lets the heap grow to twice of what is in use, and bodies are
	// copied when they are sent.
	BufferFraction = 1.0 / 8
	// serverFraction is the fraction of the buffers that the unfinished answers of one server
	// may occupy. Answers of sound servers find room beside those of some that send bytes
	// without end.
	serverFraction = 1.0 / 4
)

var (
	// errBuffersFull means that a body can't be buffered now, since callers and servers read
	// too slowly what is buffered already.
	errBuffersFull = errors.New("the bodies of other calls take all memory for buffers")
	// errServerShareFull means that a body can't be buffered, since the server has sent too much
	// of unfinished ones.
	errServerShareFull = errors.New("unfinished answers of the server take all memory that one server may have")
)

type (
	// buffers bounds what the bodies of all calls on this host occupy together. It is
	// safe for concurrent use.
	buffers struct {
		mu         sync.Mutex
		total      int64
		used       int64
		unfinished map[string]int64 // of used, what is read of answers, by the address of the server
	}

	// bodyBuffer counts the buffered bytes of one call.
	bodyBuffer struct {
		buffers *buffers
		bytes   int64
	}

	// countingReader adds what it reads to a call's buffer.
	countingReader struct {
		reader io.Reader
		buffer *bodyBuffer
	}

	// answerReader counts what it reads of the answer of a server, until that is settled.
	answerReader struct {
		reader  io.Reader
		buffers *buffers
		server  string
		bytes   int64
	}
)

func newBuffers(bytes int64) *buffers { return &buffers{total: bytes, unfinished: map[string]int64{}} }

// take counts bytes, and returns an error if there is no room for them.
func (b *buffers) take(n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.total {
		return errBuffersFull
	}
	b.used += n
	return nil
}

// give ends the counting of bytes.
func (b *buffers) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// takeUnfinished counts bytes of an answer that is being read.
func (b *buffers) takeUnfinished(server string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case float64(b.unfinished[server]+n) > serverFraction*float64(b.total):
		return errServerShareFull
	case b.used+n > b.total:
		return errBuffersFull
	}
	b.used += n
	b.unfinished[server] += n
	return nil
}

// settle ends the counting of bytes as unfinished. They stay in use.
func (b *buffers) settle(server string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unfinished[server] -= n; b.unfinished[server] == 0 {
		delete(b.unfinished, server)
	}
}

// readAll reads all that r has, and keeps it counted until release. It returns
// errBuffersFull as soon as there is no room for more.
func (b *bodyBuffer) readAll(r io.Reader) ([]byte, error) { return io.ReadAll(countingReader{r, b}) }

// readAnswer is like readAll, for the answer of the server with the given address. It returns
// errServerShareFull as soon as the server's unfinished answers have no room for more. After an error,
// nothing of the answer is counted.
func (b *bodyBuffer) readAnswer(server string, r io.Reader) ([]byte, error) {
	a := &answerReader{reader: r, buffers: b.buffers, server: server}
	body, err := io.ReadAll(a)
	b.buffers.settle(server, a.bytes)
	if err != nil {
		b.buffers.give(a.bytes)
		return nil, err
	}
	b.bytes += a.bytes
	return body, nil
}

// release ends the counting of everything that the call has buffered.
func (b *bodyBuffer) release() {
	b.buffers.give(b.bytes)
	b.bytes = 0
}

// Read implements [io.Reader].
func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if n == 0 {
		return n, err
	}
	if err := c.buffer.buffers.take(int64(n)); err != nil {
		return 0, err
	}
	c.buffer.bytes += int64(n)
	return n, err
}

// Read implements [io.Reader].
func (a *answerReader) Read(p []byte) (int, error) {
	n, err := a.reader.Read(p)
	if n == 0 {
		return n, err
	}
	if err := a.buffers.takeUnfinished(a.server, int64(n)); err != nil {
		return 0, err
	}
	a.bytes += int64(n)
	return n, err
}

// drop ends the counting of what was read so far.
func (a *answerReader) drop() {
	a.buffers.settle(a.server, a.bytes)
	a.buffers.give(a.bytes)
	a.bytes = 0
}
