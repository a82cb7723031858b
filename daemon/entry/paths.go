package entry

import (
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"slipcrank.example/core/reach"
	"slipcrank.example/daemon/event"
)

const (
	// hostDialTimeout is how long opening a connection to another host may take. It is
	// short enough that a caller who waits for a second is still served by a third host.
	hostDialTimeout = 300 * time.Millisecond
	// maxIdleToHost bounds the idle connections to another host for delegated requests.
	maxIdleToHost = 8
	// pathTicks is the number of ticks of upkeep after which a lost path is reported again,
	// and lostPathTTL how long a report counts: three of these intervals.
	pathTicks   = 2
	lostPathTTL = 3 * pathTicks * upkeepInterval
)

type (
	// lostPaths holds to which services' servers other hosts have no path. It is safe for
	// concurrent use.
	lostPaths struct {
		mu     sync.Mutex
		byHost map[uint32]lostPath // by number of the start
	}

	lostPath struct {
		services []string
		at       time.Duration
	}
)

func newLostPaths() *lostPaths { return &lostPaths{byHost: map[uint32]lostPath{}} }

// set records a report of another host, and drops those that no longer count.
func (l *lostPaths) set(host uint32, services []string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for h, p := range l.byHost {
		if now-p.at > lostPathTTL {
			delete(l.byHost, h)
		}
	}
	delete(l.byHost, host)
	if len(services) > 0 {
		l.byHost[host] = lostPath{services, now}
	}
}

// lost reports whether a host has no path to the servers of any of the services.
func (l *lostPaths) lost(host uint32, services []string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.byHost[host]
	return ok && now-p.at <= lostPathTTL && slices.ContainsFunc(services, func(s string) bool { return slices.Contains(p.services, s) })
}

// sendPath reports to other hosts to which services' servers this host has no path.
func (e *Entry) sendPath() { e.exchange.SendPath(e.startNumber, e.gateway.LostServices()) }

// delegationPeers returns the hosts of the cell that have a path to the servers of the
// services, in the order in which they are to be asked.
func (e *Entry) delegationPeers(services []string) []reach.Peer {
	n, own, now, alive := e.neighbors.Load(), e.settings.Load(), e.clock.Now(), e.hostAlive()
	port, err := netip.ParseAddrPort(own.Listen.Delegation)
	if err != nil {
		e.log.Write(event.InternalError, slog.String("doing", "delegate"), slog.String("error", err.Error()))
		return nil
	}
	hallHosts := 1
	var peers []reach.Peer
	for _, h := range n.listed {
		if !n.peers[h.Name] {
			continue
		}
		if h.Hall == own.Hall {
			hallHosts++
		}
		addr, err := netip.ParseAddrPort(h.Addr)
		if err != nil || !alive(h.Number) || e.paths.lost(h.Number, services, now) {
			continue // a malformed address is logged when the hosts change
		}
		peers = append(peers, reach.Peer{Number: h.Number, Hall: h.Hall, Addr: netip.AddrPortFrom(addr.Addr(), port.Port()).String()})
	}
	return reach.Order(own.Hall, hallHosts, peers)
}
