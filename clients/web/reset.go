package web

import "net"

// ResetOnClose has the end of a connection take back what was written to it. A plain end still
// delivers that, seconds after its sender gave it up, if a network has held it up.
func ResetOnClose(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0) // a failure only makes it a softer end
	}
}
