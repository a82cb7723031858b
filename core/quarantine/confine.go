package quarantine

import (
	"slices"
	"time"
)

const (
	// confineAfterCrashes is the number of attributable crashes within confineWindow
	// after which all requests of a workspace are confined to one server. A single
	// crash may be chance. Without this rule a workspace that sends a new fatal
	// request after each one could crash all servers, although each request is
	// blocked in the end. A blocked request crashes no more servers and counts once.
	confineAfterCrashes = 3
	confineWindow       = time.Minute
	// crashPause is the time for which a confined workspace is paused after each
	// crash. A server restarts within about 4 s, so at most four servers are down at
	// the same time.
	crashPause = time.Second
)

type (
	// crashHistory holds the attributable crashes of a workspace's suspects, and the time of the
	// last crash of any kind.
	crashHistory struct {
		attributed []attributedCrash
		last       time.Duration
	}

	// attributedCrash is an attributable crash, or those of a blocked request, which count once.
	attributedCrash struct {
		servers []uint32
		at      time.Duration
	}
)

// Confined reports whether all requests of a workspace have to run on one server, and
// whether they have to wait because a server has just crashed while serving one of
// them. Requests without a workspace are never confined: they come from many callers,
// and one of these must not confine the others.
func (reg *Registry) Confined(workspace string, now time.Duration) (confined, paused bool) {
	return reg.ConfinedExcept(workspace, nil, now)
}

// ConfinedExcept is [Registry.Confined] without the crashes of servers for which something else
// is suspected.
func (reg *Registry) ConfinedExcept(workspace string, explained map[uint32]bool, now time.Duration) (confined, paused bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	h, found := reg.histories[workspace]
	if !found {
		return false, false
	}
	n := 0
	for _, a := range h.attributed {
		if now-a.at < confineWindow && !slices.ContainsFunc(a.servers, func(s uint32) bool { return explained[s] }) {
			n++
		}
	}
	return n >= confineAfterCrashes, n >= confineAfterCrashes && now-h.last < crashPause
}

// updateHistory recomputes the crash history of a workspace from its suspects. It is
// called whenever one of them changes, which is rare.
func (reg *Registry) updateHistory(workspace string) {
	if workspace == "" || reg.subject == parts {
		return
	}
	var h crashHistory
	for _, s := range reg.suspects {
		if s.record.Workspace != workspace || len(s.record.Crashes) == 0 {
			continue
		}
		h.last = max(h.last, s.changed)
		if reg.subject.stage(s.record) == Blocked {
			var servers []uint32
			for _, c := range s.record.Crashes {
				servers = append(servers, c.Server)
			}
			h.attributed = append(h.attributed, attributedCrash{servers, s.changed})
			continue
		}
		for server, at := range s.attributedAt {
			h.attributed = append(h.attributed, attributedCrash{[]uint32{server}, at})
		}
	}
	if len(h.attributed) == 0 {
		delete(reg.histories, workspace)
		return
	}
	reg.histories[workspace] = h
}
