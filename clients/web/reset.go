package web

import "net"

// ResetOnClose makes closing c reset the connection, which discards data that has
// not been delivered yet. After an ordinary close the kernel still retransmits
// that data, so on a slow network it may arrive seconds after the sender gave up.
func ResetOnClose(c net.Conn) {
	if conn, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // on failure, the connection is closed without a reset
	}
}

// CloseInOrder undoes [ResetOnClose].
func CloseInOrder(c net.Conn) {
	if conn, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(-1) // on failure, the connection has been closed already
	}
}
