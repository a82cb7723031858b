package web

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// statusLineBytes is the length of the version, the status and the byte behind it.
const statusLineBytes = len("HTTP/1.1 200 ")

// ErrNoStatus reports a response whose status is none of HTTP's.
var ErrNoStatus = errors.New("the response has no status of HTTP")

// statusCheck checks the status of a response by its first bytes. fasthttp takes the status 0
// for 200, and waits for another response after any below 200. The zero value is ready to use.
type statusCheck struct {
	line [statusLineBytes]byte
	read int // of line
}

// allows reports whether the response may go on with the bytes that were read next.
func (c *statusCheck) allows(b []byte) bool {
	if c.read == statusLineBytes {
		return true
	}
	c.read += copy(c.line[c.read:], b)
	if c.read < statusLineBytes || !bytes.HasPrefix(c.line[:], []byte("HTTP/1.")) {
		return true // fasthttp refuses what isn't HTTP
	}
	status, end := string(c.line[9:12]), c.line[12]
	switch {
	case end != ' ' && end != '\r' && end != '\n':
		return false
	case status[0] == '1':
		return status == "100" || status == "102" || status == "103"
	}
	return status[0] >= '2' && status[0] <= '5'
}
