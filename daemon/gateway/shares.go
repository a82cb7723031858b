package gateway

import (
	"log/slog"
	"sync"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/event"
)

const (
	// overShareRetention is the time without refusals after which a workspace no longer
	// counts as over its share. It is a few times the Retry-After of such refusals.
	overShareRetention = 5 * time.Second
	// maxTrackedWorkspaces bounds the workspaces that are tracked, and those that get
	// their own metric label. Only a few workspaces are over their share at a time, but
	// a fleet has thousands of workspaces.
	maxTrackedWorkspaces = 64
	// otherWorkspacesLabel is the metric label of all further workspaces.
	otherWorkspacesLabel = "others"
)

// shareRefusals tracks the workspaces that are refused because they use more than their
// share of the engines. It is safe for concurrent use.
type shareRefusals struct {
	mu          sync.Mutex
	lastRefusal map[string]time.Time // by workspace
	labels      map[string]bool      // workspaces with their own metric label
}

func newShareRefusals() *shareRefusals {
	return &shareRefusals{lastRefusal: map[string]time.Time{}, labels: map[string]bool{}}
}

// record records a refusal. It returns the metric label of the workspace, and whether
// this is the first refusal since the workspace was last within its share.
func (s *shareRefusals) record(workspace string, now time.Time) (label string, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, tracked := s.lastRefusal[workspace]
	if tracked || len(s.lastRefusal) < maxTrackedWorkspaces {
		s.lastRefusal[workspace] = now
		first = !tracked
	}
	if s.labels[workspace] || len(s.labels) < maxTrackedWorkspaces {
		s.labels[workspace] = true
		return workspace, first
	}
	return otherWorkspacesLabel, first
}

// expire removes and returns the workspaces without a refusal in the last
// overShareRetention.
func (s *shareRefusals) expire(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for w, refusedAt := range s.lastRefusal {
		if now.Sub(refusedAt) >= overShareRetention {
			out = append(out, w)
			delete(s.lastRefusal, w)
		}
	}
	return out
}

// recordOverShare counts the refusal of a call whose workspace is over its share, and
// logs the first in a row.
func (g *Gateway) recordOverShare(c *call, p schedule.Placement) {
	label, first := g.shareRefusals.record(c.workspace.Name, time.Now())
	g.metrics.Count("gateway_over_share", 1, "workspace", label)
	if first {
		g.log.Write(event.WorkspaceLimited, slog.String("workspace", c.workspace.Name), slog.String("id", c.id),
			slog.Float64("price", p.Share.DisplacedWeight), slog.Float64("part", p.Share.Fraction), slog.Int("workspaces", p.Share.Workspaces),
			slog.Float64("full", p.SlotScarcity))
	}
}

// Maintain does the periodic maintenance: it expires over-share workspaces, suspects
// and notices, and cancels calls that are stuck. It must be called regularly, and not concurrently.
func (g *Gateway) Maintain(now time.Time) {
	for _, w := range g.shareRefusals.expire(now) {
		g.log.Write(event.WorkspaceLimitLifted, slog.String("workspace", w))
	}
	g.updateSuspects(g.clock.Now())
	g.pruneNotices(g.clock.Now())
	servers := g.state().Servers
	g.maintainPaths()
	ended := func(s backend.Server) bool { return servers.Replaced(s) || servers.AddressTaken(s) }
	for _, s := range g.exchanges.cancelStale(ended, g.clock.Now()) {
		g.pool.CloseIdle(s.Addr) // connections to the replaced instance
	}
}
