package upstream

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// readHead reads the head of the answer, and skips interim answers and answers to
// other requests. It checks the answer.
func (p *Pool) readHead(c *conn, r Request) (*Answer, error) {
	defer c.limiter.lift()
	for range maxSkippedAnswers + 1 {
		c.limiter.limit(maxHeadBytes, slowHeadTimeout)
		req := &http.Request{Method: r.Method}
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, errors.Wrap(markInvalid(err), "read answer")
		}
		if isInterim(resp.StatusCode) {
			continue
		}
		if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
			return nil, errors.Mark(errors.Wrapf(errStatus, "status %q", resp.Status), ErrInvalidAnswer)
		}
		if id := resp.Header.Get(r.IDHeader); r.ID != "" && id != "" && id != r.ID {
			c.limiter.limit(maxSkippedBodyBytes, slowHeadTimeout)
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				return nil, errors.Mark(ErrIDMismatch, ErrInvalidAnswer)
			}
			continue
		}
		if r.Check != nil {
			if err := r.Check(resp.StatusCode, resp.Header); err != nil {
				return nil, errors.Mark(err, ErrInvalidAnswer)
			}
		}
		return &Answer{
			Status:  resp.StatusCode,
			Header:  resp.Header,
			Length:  resp.ContentLength,
			Framing: framingOf(resp),
			Body:    resp.Body,
			resp:    resp,
		}, nil
	}
	return nil, errors.Mark(ErrIDMismatch, ErrInvalidAnswer)
}

// isInterim reports whether the answer follows behind one with a status. Any other status below
// 200 is none that a request of this package asks for, and no answer may follow.
func isInterim(status int) bool {
	return status == http.StatusContinue || status == http.StatusProcessing || status == http.StatusEarlyHints
}

// markInvalid marks an error of reading the head of an answer with ErrInvalidAnswer, unless
// the connection has failed.
func markInvalid(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.HasInterface(err, (*net.Error)(nil)) {
		return err
	}
	return errors.Mark(err, ErrInvalidAnswer)
}

// framingOf returns the framing of a response. One without a body has the length 0.
func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}

// Addr returns the address of the server.
func (a *Answer) Addr() string { return a.addr }

// Announces reports whether the head of the answer announces a trailer.
func (a *Answer) Announces(name string) bool {
	_, ok := a.resp.Trailer[http.CanonicalHeaderKey(name)]
	return ok
}

// Trailer returns the value of a trailer, which is known once the body was read to its end.
func (a *Answer) Trailer(name string) string { return a.resp.Trailer.Get(name) }

// Finish records that the body was read to its end, so that Close may return the
// connection to the pool.
func (a *Answer) Finish() { a.complete = true }

// ReadShort reads a body of at most limit bytes, which has to arrive within the timeout, by
// the function read. It reports whether that was the whole body.
func (a *Answer) ReadShort(limit int64, timeout time.Duration, read func(io.Reader) ([]byte, error)) ([]byte, bool) {
	a.conn.limiter.limit(limit, timeout)
	defer a.conn.limiter.lift()
	body, err := read(io.LimitReader(a.Body, limit+1))
	if a.complete = err == nil && int64(len(body)) <= limit; !a.complete {
		return nil, false
	}
	return body, true
}

// Close ends the exchange. Without [Answer.Finish] it closes the connection, from
// which the backend server learns that the answer is no longer wanted.
func (a *Answer) Close() {
	if !a.stop() || !a.complete || a.resp.Close || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.putIdle(a.addr, a.conn, idleTimeout(a.Header.Get("Keep-Alive")))
}

// idleTimeout returns how long a connection may be idle, from the value of the
// server's Keep-Alive header.
func idleTimeout(keepAlive string) time.Duration {
	for param := range strings.SplitSeq(keepAlive, ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(k, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return max(time.Duration(n)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
