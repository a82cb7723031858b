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

// crashHistory holds the times of the last confineAfterCrashes attributable crashes of
// a workspace's suspects, and the time of the last crash of any kind.
type crashHistory struct {
	attributedAt []time.Duration
	last         time.Duration
}

// Confined reports whether all requests of a workspace have to run on one server, and
// whether they have to wait because a server has just crashed while serving one of
// them. Requests without a workspace are never confined: they come from many callers,
// and one of these must not confine the others.
func (reg *Registry) Confined(workspace string, now time.Duration) (confined, paused bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	h, found := reg.histories[workspace]
	if !found || len(h.attributedAt) < confineAfterCrashes || now-h.attributedAt[0] >= confineWindow {
		return false, false
	}
	return true, now-h.last < crashPause
}

// updateHistory recomputes the crash history of a workspace from its suspects. It is
// called whenever one of them changes, which is rare.
func (reg *Registry) updateHistory(workspace string) {
	if workspace == "" {
		return
	}
	var h crashHistory
	for _, s := range reg.suspects {
		if s.record.Workspace != workspace || len(s.record.Crashes) == 0 {
			continue
		}
		h.last = max(h.last, s.changed)
		switch {
		case s.record.Stage() == Blocked:
			h.attributedAt = append(h.attributedAt, s.changed)
		default:
			h.attributedAt = append(h.attributedAt, s.attributedAt...)
		}
	}
	if len(h.attributedAt) == 0 {
		delete(reg.histories, workspace)
		return
	}
	slices.Sort(h.attributedAt)
	h.attributedAt = h.attributedAt[max(len(h.attributedAt)-confineAfterCrashes, 0):]
	reg.histories[workspace] = h
}
