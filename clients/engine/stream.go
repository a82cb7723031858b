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

// maxEventBytes is the maximum length of one line of the event stream.
const maxEventBytes = 16 << 10

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
)

// Stream is the response to one attempt. Next may be called by one goroutine only.
type Stream struct {
	response    *fasthttp.Response
	once        sync.Once
	lines       *bufio.Reader
	request     string
	attempt     string
	offset      int
	ended       bool   // the end marker has been received
	incarnation uint64 // of the engine, from the first piece
}

func newStream(a *fasthttp.Response, request, attempt string, offset int) *Stream {
	return &Stream{
		response: a,
		lines:    bufio.NewReaderSize(a.BodyStream(), maxEventBytes),
		request:  request,
		attempt:  attempt,
		offset:   offset,
	}
}

// Next returns the next piece. Pieces come in order, without gaps or duplicates, and
// the end marker is the last one. After it Next returns io.EOF; a stream that fails
// gives [ErrTruncated], [ErrForeignPiece] or an I/O error.
func (s *Stream) Next() (Piece, error) {
	for {
		line, err := s.lines.ReadSlice('\n')
		if err != nil {
			return Piece{}, s.endError(err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
		if !ok {
			continue // a keep-alive comment or a blank line
		}
		if bytes.Equal(data, doneData) {
			continue // read on to the end of the body, so that the connection can be reused
		}
		p, isNew, err := s.accept(data)
		if err != nil {
			return Piece{}, err
		}
		if isNew {
			return p, nil
		}
	}
}

// accept decodes a piece, checks that it belongs to this stream and reports whether
// it is new.
func (s *Stream) accept(data []byte) (Piece, bool, error) {
	var p Piece
	if err := json.Unmarshal(data, &p); err != nil {
		return Piece{}, false, errors.Wrap(err, "decode piece")
	}
	if s.incarnation == 0 {
		s.incarnation = p.Incarnation
	}
	if p.Request != s.request || p.Attempt != s.attempt || p.Incarnation != s.incarnation {
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
		return Piece{}, false, nil // a duplicate
	}
	if p.Offset > s.offset {
		return Piece{}, false, ErrTruncated
	}
	s.offset++
	return p, true, nil
}

// endError returns the error of Next for an error of the body.
func (s *Stream) endError(err error) error {
	if s.ended {
		return io.EOF
	}
	if errors.Is(err, io.EOF) {
		return ErrTruncated
	}
	return errors.Wrap(err, "read stream")
}

// Offset returns the offset of the next token in the answer.
func (s *Stream) Offset() int { return s.offset }

// Close returns the connection to the pool if the stream was read to its end, and
// closes the connection otherwise. It may be called from another goroutine to
// interrupt Next, and more than once.
func (s *Stream) Close() {
	s.once.Do(func() { _ = s.response.CloseBodyStream() })
}
