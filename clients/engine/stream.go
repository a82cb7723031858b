package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// lineBuffer bounds one event, in bytes.
const lineBuffer = 16 << 10

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// Stream is the answer to one attempt. One goroutine reads it.
type Stream struct {
	answer  *fasthttp.Response
	once    sync.Once
	lines   *bufio.Reader
	request string
	attempt string
	offset  int
	ended   bool
	born    uint64 // incarnation of the engine, from the first piece
}

func newStream(a *fasthttp.Response, request, attempt string, offset int) *Stream {
	return &Stream{
		answer:  a,
		lines:   bufio.NewReaderSize(a.BodyStream(), lineBuffer),
		request: request,
		attempt: attempt,
		offset:  offset,
	}
}

// Next returns the next piece, in order and without a gap or a repeat. It
// returns io.EOF only after the engine's end marker, and [ErrTruncated],
// [ErrForeignPiece] or an I/O error otherwise.
func (s *Stream) Next() (Piece, error) {
	for {
		line, err := s.lines.ReadSlice('\n')
		if err != nil {
			return Piece{}, s.endOf(err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
		if !ok {
			continue // a comment that shows that the engine lives, or a blank line
		}
		if bytes.Equal(data, doneMark) {
			continue // the body ends next, and then the connection is free
		}
		p, fresh, err := s.accept(data)
		if err != nil {
			return Piece{}, err
		}
		if fresh {
			return p, nil
		}
	}
}

// accept checks that a piece belongs here, and says whether it is new.
func (s *Stream) accept(data []byte) (Piece, bool, error) {
	var p Piece
	if err := json.Unmarshal(data, &p); err != nil {
		return Piece{}, false, errors.Wrap(err, "decode piece")
	}
	if s.born == 0 {
		s.born = p.Incarnation
	}
	if p.Request != s.request || p.Attempt != s.attempt || p.Incarnation != s.born {
		return Piece{}, false, ErrForeignPiece
	}
	if p.End {
		if p.Offset != s.offset {
			return Piece{}, false, ErrTruncated
		}
		s.ended = true
		return p, true, nil
	}
	if p.Offset < s.offset {
		return Piece{}, false, nil // a repeat
	}
	if p.Offset > s.offset {
		return Piece{}, false, ErrTruncated
	}
	s.offset++
	return p, true, nil
}

func (s *Stream) endOf(err error) error {
	if s.ended {
		return io.EOF
	}
	if errors.Is(err, io.EOF) {
		return ErrTruncated
	}
	return errors.Wrap(err, "read stream")
}

// Offset returns the offset of the next token.
func (s *Stream) Offset() int { return s.offset }

// Close gives the connection back if the stream was read to its end, and
// closes it otherwise. It may be called from another goroutine to interrupt
// Next, and more than once.
func (s *Stream) Close() {
	s.once.Do(func() { _ = s.answer.CloseBodyStream() })
}
