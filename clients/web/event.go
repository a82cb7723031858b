package web

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

// MaxEventBytes bounds the size of one event of a stream.
const MaxEventBytes = 1 << 20

// ErrEventTooLarge is returned for an event, or a line of one, that is larger than allowed.
var ErrEventTooLarge = errors.New("stream event larger than 1 MiB, or a line of it larger than allowed")

// ReadEvent reads one server-sent event including the empty line that ends it, of at most
// [MaxEventBytes], with lines of at most maxLineBytes. With an error it returns what it has
// read of the event: a stream that ends with io.EOF and a part of an event was broken off.
func ReadEvent(r *bufio.Reader, maxLineBytes int) ([]byte, error) {
	var e []byte
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		e = append(e, part...)
		switch {
		case len(e) > MaxEventBytes, len(e)-lineStart > maxLineBytes:
			return e, ErrEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the rest of the line follows
		case err != nil:
			return e, err
		case len(bytes.TrimRight(e[lineStart:], "\r\n")) == 0:
			return e, nil
		}
		lineStart = len(e)
	}
}
