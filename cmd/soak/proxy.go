package soak

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Modes of a proxy, which apply to all of its connections.
const (
	forward   mode = iota
	delayed        // each read is forwarded after forwardDelay
	blocked        // nothing is forwarded in either direction
	noReplies      // nothing is forwarded to the client
)

const (
	forwardDelay = 120 * time.Millisecond
	// modePollInterval is the time between two checks whether blocked bytes may be
	// forwarded.
	modePollInterval = 10 * time.Millisecond
	bufferSize       = 16 << 10
)

type (
	mode int

	// proxy is a TCP proxy in front of one server, which injects network faults.
	proxy struct {
		listener net.Listener
		target   string
		cuts     *cuts // nil: clients are not cut off

		mu           sync.Mutex
		mode         mode
		conns        map[net.Conn]bool
		blackholed   map[net.Conn]bool        // permanently blocked connections
		clients      map[string][]proxyClient // by address of the connection to the server, in order
		disturbances disturbances
	}

	// proxyClient is the IP address of a client, and when it was connected to the server.
	proxyClient struct {
		ip    string
		since time.Time
	}
)

// newProxy listens on addr and forwards connections to target.
func newProxy(addr, target string, c *cuts) (*proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener: l, target: target, cuts: c,
		conns: map[net.Conn]bool{}, blackholed: map[net.Conn]bool{}, clients: map[string][]proxyClient{},
	}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.cuts.of(client) == cutReset || p.cuts.of(client) == cutNew {
			closeWithReset(client)
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close() // the server is down
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.addClient(server.LocalAddr().String(), ipOf(client), time.Now())
		p.mu.Unlock()
		go p.copyBytes(server, client, client, false)
		go p.copyBytes(client, server, client, true)
	}
}

func (p *proxy) copyBytes(to, from, client net.Conn, reply bool) {
	defer p.closeConn(to)
	defer p.closeConn(from)
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		p.waitUntilForwarded(from, client, reply)
		if wasReset(from) {
			return // a reset discards bytes that are still in transit
		}
		if _, w := to.Write(b[:n]); w != nil || err != nil {
			return
		}
	}
}

// wasReset reports whether the peer has reset a connection.
func wasReset(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	code := 0
	err = raw.Control(func(fd uintptr) { code, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return err == nil && code != 0
}

// addClient records the client whose bytes arrive at the server from addr from now on. The caller
// holds p.mu.
func (p *proxy) addClient(addr, ip string, now time.Time) {
	p.clients[addr] = append(p.clients[addr], proxyClient{ip, now})
}

// clientOf returns the IP address of the client whose bytes arrived at the server from addr at a
// time. Connections that follow each other may have the same address.
func (p *proxy) clientOf(addr string, at time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range slices.Backward(p.clients[addr]) {
		if !c.since.After(at) {
			return c.ip
		}
	}
	return ""
}

// waitUntilForwarded blocks until bytes from c may be forwarded. reply says that
// they go to the client.
func (p *proxy) waitUntilForwarded(c, client net.Conn, reply bool) {
	for first := true; ; first = false {
		switch m := p.modeOf(c); {
		case p.cuts.of(client) == cutSilent:
			time.Sleep(modePollInterval)
		case m == delayed && first:
			time.Sleep(forwardDelay)
			return
		case m == blocked, m == noReplies && reply:
			time.Sleep(modePollInterval)
		default:
			return
		}
	}
}

// modeOf returns the mode that applies to a connection.
func (p *proxy) modeOf(c net.Conn) mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blackholed[c] && p.conns[c] {
		return blocked
	}
	return p.mode
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.disturbances.setActive(m != forward)
}

// blackhole permanently blocks all open connections without a reset. New
// connections work.
func (p *proxy) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbances.addInstant()
	for c := range p.conns {
		p.blackholed[c] = true
	}
}

// disturbedDuring reports whether the proxy disturbed connections at any time in
// [from, to].
func (p *proxy) disturbedDuring(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbances.overlap(from, to)
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbances.addInstant()
	for c := range p.conns {
		closeWithReset(c)
	}
}

// resetClient closes the open connections of a client with a TCP reset.
func (p *proxy) resetClient(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if ipOf(c) == ip {
			closeWithReset(c)
		}
	}
}

func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // if it fails, the connection is closed without a reset
	}
	_ = c.Close()
}

func (p *proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.blackholed, c)
	p.mu.Unlock()
	_ = c.Close()
}
