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

// setHolders sets the hosts that may hand out the requests of limited servers: all of
// the fleet, since hosts of several cells use the servers of small services.
func (e *Entry) setHolders(others []watch.Host) {
	hosts := make([]grants.Host, 0, len(others))
	for _, h := range others {
		a, err := netip.ParseAddrPort(h.Addr)
		if err != nil {
			e.log.Write(event.NewsLost, slog.String("of", h.Name), slog.String("error", err.Error()))
			continue
		}
		hosts = append(hosts, grants.Host{Name: h.Name, Hall: h.Hall, Addr: a, Number: h.Number})
	}
	slices.SortFunc(hosts, func(a, b grants.Host) int { return cmp.Compare(a.Name, b.Name) })
	e.grants.SetHosts(hosts)
}

// hearLimit takes in what another host tells of a server's limit, if it is one that
// the platform's table names.
func (e *Entry) hearLimit(host uint32, server string, l notice.Limit) {
	if !e.listed(host) {
		e.metrics.Count("notices_of_unknown_hosts", 1)
		return
	}
	e.gateway.ReceiveLimit(strconv.FormatUint(uint64(host), 10), server, l)
}

// hearLeaving takes in what another host tells of a server that leaves, if it is one
// that the platform's table names.
func (e *Entry) hearLeaving(host uint32, server string) {
	if !e.listed(host) {
		e.metrics.Count("notices_of_unknown_hosts", 1)
		return
	}
	e.gateway.ReceiveLeaving(strconv.FormatUint(uint64(host), 10), server)
}

// takesOrder reports whether a server takes an order now, by what it has said, and after
// how long it does if not.
func (e *Entry) takesOrder(ctx context.Context, addr string) (bool, time.Duration) {
	s, known := e.watcher.State().Servers.Find(addr)
	if !known {
		return true, 0
	}
	if rest := e.notices.Backoff(s.ID, e.clock.Now()); rest > 0 {
		return false, rest
	}
	return e.grants.Take(ctx, s)
}
