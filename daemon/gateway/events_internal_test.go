package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"slipcrank.example/daemon/upstream"
)

// FuzzEndOfStream checks that the events of any body are whole, that nothing between them is
// lost, and that only a body which ends after an event is a whole stream.
func FuzzEndOfStream(f *testing.F) {
	for _, body := range []string{
		"", "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\ndata: a\n", "id: 1\r\ndata: a\r\n\r", ": comment\n\ndata", "\n\n", "x",
	} {
		f.Add([]byte(body), true)
		f.Add([]byte(body), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, byClose bool) {
		framing := upstream.FramedByChunks
		if byClose {
			framing = upstream.FramedByClose
		}
		r := newEventReader(&upstream.Answer{Body: bytes.NewReader(body), Framing: framing}, newBuffers(defaultBufferBytes))
		var got []byte
		var err error
		for err == nil {
			var e []byte
			e, err = r.next()
			if lines := strings.TrimRight(string(e), "\r\n"); err == nil && strings.Contains(strings.ReplaceAll(lines, "\r", ""), "\n\n") {
				t.Errorf("two events in one: %q", e)
			}
			got = append(got, e...)
		}
		if !bytes.HasPrefix(body, got) || len(got)+r.partial != len(body) {
			t.Errorf("got %q and %d bytes of another event, of %q", got, r.partial, body)
		}
		whole := r.partial == 0 && (len(got) > 0 || !byClose)
		if errors.Is(err, io.EOF) != whole {
			t.Errorf("%q ended by %v, want a whole stream: %v", body, err, whole)
		}
	})
}

// TestLineThatFillsTheBufferDoesNotEndItsEvent cuts streams right after lines about as long as the read buffer.
func TestLineThatFillsTheBufferDoesNotEndItsEvent(t *testing.T) {
	for _, n := range []int{readBufferBytes - 1, readBufferBytes, readBufferBytes + 1, 2*readBufferBytes - 1, 2 * readBufferBytes} {
		for _, lineEnd := range []string{"\n", "\r\n"} {
			line := "data: " + strings.Repeat("x", n-len("data: ")) + lineEnd
			r := newEventReader(&upstream.Answer{Body: strings.NewReader("id: 1\n\n" + line), Framing: upstream.FramedByClose}, newBuffers(defaultBufferBytes))
			if _, err := r.next(); err != nil {
				t.Fatal(err)
			}
			if e, err := r.next(); !errors.Is(err, errInsideEvent) {
				t.Errorf("a line of %d bytes and %q: got an event of %d bytes, %v, want errInsideEvent", n, lineEnd, len(e), err)
			}
		}
	}
}
