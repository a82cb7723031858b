package upkeep

import (
	"context"
	"time"

	"slipcrank.example/core/member"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/event"
)

const (
	// templateTimeout limits the read of the head. A complete run may take twice
	// as long.
	templateTimeout = 3 * time.Second
	// maxPeersAsked is the number of daemons that are asked for missing changes.
	maxPeersAsked = 2
)

// readTemplates updates the templates. It reads the head, which is one small
// row, and fetches the missing changes from another daemon that has them, or
// else from the table service. If the platform does not answer, the highest
// change number that other daemons have sent replaces the head.
func (u *Upkeep) readTemplates(ctx context.Context) {
	limit := 2 * templateTimeout
	if u.loop.View().Templates.Number() == 0 {
		limit = startTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if latest, _ := control.Ask(ctx, u.loop, (*control.State).LatestTemplateNumber); latest > u.loop.View().Templates.Number() {
		u.fetchFromPeers(ctx, latest) // before the head, since the platform may not answer
	}
	head, err := u.head(ctx)
	latest, _ := control.Ask(ctx, u.loop, func(s *control.State) uint64 {
		s.SetPlatformReachable(err == nil)
		s.ObserveTemplateNumber(head)
		return s.LatestTemplateNumber()
	})
	current := u.loop.View().Templates.Number()
	if latest <= current {
		return
	}
	if u.fetchFromPeers(ctx, latest) {
		return
	}
	if err != nil {
		return
	}
	if current == 0 && u.fetchInStartOrder(ctx, latest) {
		return
	}
	u.fetchFromPlatform(ctx, head)
}

// head reads the template head. Its timeout leaves time for the fetches that
// follow.
func (u *Upkeep) head(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, templateTimeout)
	defer cancel()
	return u.changes.Head(ctx)
}

// fetchFromPeers fetches changes from a few daemons, and reports whether the
// change number is now in force.
func (u *Upkeep) fetchFromPeers(ctx context.Context, number uint64) bool {
	addrs := u.randomDaemons(ctx, maxPeersAsked, func(member.Member) bool { return true })
	for _, a := range addrs {
		_ = u.fetchFrom(ctx, a) // after an error, the next daemon is asked
		if u.loop.View().Templates.Number() >= number {
			return true
		}
	}
	return false
}

// fetchFrom applies the changes that one daemon has and this one lacks.
func (u *Upkeep) fetchFrom(ctx context.Context, addr string) error {
	update, err := u.peers.Changes(ctx, addr, u.loop.View().Templates.Number())
	if err == nil {
		u.applyTemplates(ctx, update)
	}
	return err
}

// fetchFromPlatform reads the changes up to number from the log, in pages. A
// daemon without templates, or one whose next change has been trimmed from the
// log, loads the stored snapshot first.
func (u *Upkeep) fetchFromPlatform(ctx context.Context, number uint64) {
	if u.loop.View().Templates.Number() == 0 {
		u.loadSnapshot(ctx)
	}
	for before := u.loop.View().Templates.Number(); before < number; {
		cs, err := u.changes.After(ctx, before)
		if err != nil {
			return
		}
		if len(cs) > 0 && cs[0].Number > before+1 {
			u.loadSnapshot(ctx)
		} else {
			u.applyTemplates(ctx, template.Update{Changes: cs})
		}
		after := u.loop.View().Templates.Number()
		if after == before {
			return // the changes are not in the log yet
		}
		before = after
	}
}

// loadSnapshot applies the stored snapshot if it is newer than the templates in
// force.
func (u *Upkeep) loadSnapshot(ctx context.Context) {
	snapshot, err := u.changes.LoadSnapshot(ctx)
	if err != nil || snapshot.Number() <= u.loop.View().Templates.Number() {
		return
	}
	event.SnapshotLoaded.Info("number", snapshot.Number())
	u.applyTemplates(ctx, template.Update{Snapshot: snapshot})
}

// applyTemplates puts an update in force and returns once the view shows it.
func (u *Upkeep) applyTemplates(ctx context.Context, update template.Update) {
	u.loop.Do(ctx, func(s *control.State) { s.UpdateTemplates(update) })
	u.loop.Do(ctx, func(*control.State) {}) // the view is published once this has run
}
