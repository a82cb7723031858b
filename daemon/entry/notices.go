package entry

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"slipcrank.example/core/notice"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/grants"
	"slipcrank.example/daemon/watch"
)

// setGrantHosts sets the hosts that may hold the buckets of rate-limited servers. These
// are all hosts of the fleet, since hosts of several cells use the servers of small
// services. It skips and logs hosts with a malformed address.
func (e *Entry) setGrantHosts(others []watch.Host) {
	hosts := make([]grants.Host, 0, len(others))
	for _, h := range others {
		a, err := netip.ParseAddrPort(h.Addr)
		if err != nil {
			e.log.Write(event.UpdateLost, slog.String("of", h.Name), slog.String("error", err.Error()))
			continue
		}
		hosts = append(hosts, grants.Host{Name: h.Name, Hall: h.Hall, Addr: a, Number: h.Number})
	}
	slices.SortFunc(hosts, func(a, b grants.Host) int { return cmp.Compare(a.Name, b.Name) })
	e.grants.SetHosts(hosts)
}

// applyLimit applies a server's limit reported by another host. It ignores hosts that are
// not in the platform's table of hosts.
func (e *Entry) applyLimit(host uint32, server string, l notice.Limit) {
	if !e.hostListed(host) {
		e.metrics.Count("notices_of_unknown_hosts", 1)
		return
	}
	e.gateway.ReceiveLimit(strconv.FormatUint(uint64(host), 10), server, l)
}

// applyLeaving applies another host's report that a server is leaving. It ignores hosts
// that are not in the platform's table of hosts.
func (e *Entry) applyLeaving(host uint32, server string) {
	if !e.hostListed(host) {
		e.metrics.Count("notices_of_unknown_hosts", 1)
		return
	}
	e.gateway.ReceiveLeaving(strconv.FormatUint(uint64(host), 10), server)
}

// applyCold records which servers are cold, and how many requests they accept meanwhile.
// Servers of a hall whose evacuation was taken back may have turned cold shortly before,
// whatever their entries say.
func (e *Entry) applyCold(s *watch.State) {
	if s.Config == nil {
		return
	}
	now := e.clock.Now()
	for _, name := range s.Servers.Services() {
		service, ok := s.Config.Service(name)
		if !ok || service.ColdRate <= 0 {
			continue
		}
		for _, server := range s.Servers.Ready(name) {
			until := server.ColdUntil
			if ended, ok := s.Servers.EvacuationEndedAt(server.Hall); ok {
				until = max(until, ended+service.ColdTime)
			}
			e.notices.SetCold(server.ID, service.ColdRate, until, now)
		}
	}
}

// orderAllowed reports whether an order may be sent now to the server at an address, given
// the backoff and the limit that the server has reported. If not, it returns the time
// until it may be.
func (e *Entry) orderAllowed(ctx context.Context, addr string) (bool, time.Duration) {
	s, known := e.watcher.State().Servers.Find(addr)
	if !known {
		return true, 0
	}
	if backoff := e.notices.Backoff(s.ID, e.clock.Now()); backoff > 0 {
		return false, backoff
	}
	if !e.notices.ReportedLimit(s.ID).Limited {
		return true, 0 // a cold server bears few requests, but orders take no work
	}
	return e.grants.Take(ctx, s)
}
