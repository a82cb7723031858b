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
	// templateTimeout bounds the read of the head, and what follows it.
	templateTimeout = 3 * time.Second
	// askPeers is how many daemons are asked for changes that were heard of.
	askPeers = 2
)

// readTemplates brings the templates up to date: it reads the head, which is
// one small row, and fetches what is missing, from another daemon if one has
// it, or else from the table service. Where the platform can't be read, what
// was heard from other daemons takes the place of the head.
func (u *Upkeep) readTemplates(ctx context.Context) {
	limit := 2 * templateTimeout
	if u.loop.View().Templates.Number() == 0 {
		limit = startTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if heard, _ := control.Ask(ctx, u.loop, (*control.State).LatestTemplateNumber); heard > u.loop.View().Templates.Number() {
		u.fetchFromPeers(ctx, heard) // first, since the platform may be silent
	}
	head, err := u.head(ctx)
	heard, _ := control.Ask(ctx, u.loop, func(s *control.State) uint64 {
		s.SetPlatformReachable(err == nil)
		s.ObserveTemplateNumber(head)
		return s.LatestTemplateNumber()
	})
	known := u.loop.View().Templates.Number()
	if heard <= known {
		return
	}
	if u.fetchFromPeers(ctx, heard) {
		return
	}
	if err != nil {
		return
	}
	if known == 0 && u.fetchInOrder(ctx, heard) {
		return
	}
	u.fetchFromPlatform(ctx, head)
}

// head reads the template head. It leaves time for what follows.
func (u *Upkeep) head(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, templateTimeout)
	defer cancel()
	return u.changes.Head(ctx)
}

// fetchFromPeers asks a few daemons, and reports whether number was reached.
func (u *Upkeep) fetchFromPeers(ctx context.Context, number uint64) bool {
	from := u.others(ctx, askPeers, func(member.Member) bool { return true })
	for _, f := range from {
		_ = u.fetchFrom(ctx, f) // the next may have it
		if u.loop.View().Templates.Number() >= number {
			return true
		}
	}
	return false
}

// fetchFrom takes what one daemon has.
func (u *Upkeep) fetchFrom(ctx context.Context, addr string) error {
	up, err := u.peers.Changes(ctx, addr, u.loop.View().Templates.Number())
	if err == nil {
		u.move(ctx, up)
	}
	return err
}

// fetchFromPlatform reads pages of changes. A daemon that has nothing yet, or
// that lags behind the start of the log, begins with the stored snapshot.
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
			u.move(ctx, template.Update{Changes: cs})
		}
		after := u.loop.View().Templates.Number()
		if after == before {
			return // nothing there yet
		}
		before = after
	}
}

func (u *Upkeep) loadSnapshot(ctx context.Context) {
	b, err := u.changes.LoadSnapshot(ctx)
	if err != nil || b.Number() <= u.loop.View().Templates.Number() {
		return
	}
	event.SnapshotLoaded.Info("number", b.Number())
	u.move(ctx, template.Update{Snapshot: b})
}

// move puts an update in force and waits until traffic sees it.
func (u *Upkeep) move(ctx context.Context, up template.Update) {
	u.loop.Do(ctx, func(s *control.State) { s.UpdateTemplates(up) })
	u.loop.Do(ctx, func(*control.State) {}) // the view is out once this has run
}
