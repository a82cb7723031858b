package gateway

import (
	"log/slog"
	"sync"
	"time"

	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/event"
)

const (
	// heldTime is after how long without a refusal for its share a workspace
	// counts as held no longer: a few times what callers are told to wait.
	heldTime = 5 * time.Second
	// mostHeld bounds the workspaces whose holding is followed, and those that
	// are ever named in counters: the refusals of further ones are counted
	// together. Few workspaces crowd at a time, while a fleet has thousands.
	mostHeld = 64
	// otherWorkspaces names the further ones in counters.
	otherWorkspaces = "others"
)

// shares are the workspaces that this host holds to their share of engines.
// It is safe for use by many goroutines.
type shares struct {
	mu    sync.Mutex
	last  map[string]time.Time // when a request was refused for it last
	named map[string]bool      // in counters
}

func newShares() *shares {
	return &shares{last: map[string]time.Time{}, named: map[string]bool{}}
}

// refused notes a refusal. It returns by which name it is counted, and whether
// the workspace has been held only since now.
func (s *shares) refused(workspace string, now time.Time) (name string, begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, held := s.last[workspace]
	if held || len(s.last) < mostHeld {
		s.last[workspace] = now
		begins = !held
	}
	if s.named[workspace] || len(s.named) < mostHeld {
		s.named[workspace] = true
		return workspace, begins
	}
	return otherWorkspaces, begins
}

// released returns the workspaces that are held no longer, and forgets them.
func (s *shares) released(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for w, at := range s.last {
		if now.Sub(at) >= heldTime {
			out = append(out, w)
			delete(s.last, w)
		}
	}
	return out
}

// holdToShare notes that a call was refused for its workspace's share.
func (g *Gateway) holdToShare(c *call, p schedule.Placement) {
	name, begins := g.shares.refused(c.workspace.Name, time.Now())
	g.metrics.Count("gateway_over_share", 1, "workspace", name)
	if begins {
		g.log.Write(event.WorkspaceHeld, slog.String("workspace", c.workspace.Name), slog.String("id", c.id),
			slog.Float64("price", p.Part.Price), slog.Float64("part", p.Part.Fraction), slog.Int("workspaces", p.Part.Workspaces),
			slog.Float64("full", p.Full))
	}
}

// Upkeep notes which workspaces are held to their share no longer, and looks
// after what is known of suspects and of servers that have started again. It is
// called again and again.
func (g *Gateway) Upkeep(now time.Time) {
	for _, w := range g.shares.released(now) {
		g.log.Write(event.WorkspaceReleased, slog.String("workspace", w))
	}
	g.checkSuspects(g.clock.Now())
	g.forgetNotices(g.clock.Now())
	for _, s := range g.exchanges.giveUp(g.state().Servers.Replaced, g.clock.Now()) {
		g.pool.CloseIdle(s.Addr) // connections of the start that is over
	}
}
