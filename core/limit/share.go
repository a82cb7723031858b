package limit

import "time"

const (
	// leastShare is the share of a workspace whose template states none.
	leastShare = 0.01
	// burst is how far a workspace may be ahead of its share before its
	// requests wait, in time of the engine: one prompt that is not quite
	// short must not hold up the short ones that follow it.
	burst = 2 * time.Second
)

// FairQueue keeps workspaces to their shares of one engine by fair queueing: a
// virtual time moves with the work that the engine can do for the workspaces
// that want some, and each workspace has a mark that its own work moves, the
// faster the smaller its share. A workspace whose mark is ahead of the virtual
// time has had more than its share; its requests wait behind others' by as
// long as the engine needs to catch up.
//
// Nothing is refused and nothing is kept free: a workspace that is alone moves
// the virtual time by itself. One goroutine owns it.
type FairQueue struct {
	virtual float64
	marks   map[string]mark
	last    time.Time
}

// NewFairQueue returns shares with no work yet.
func NewFairQueue(now time.Time) *FairQueue { return &FairQueue{marks: map[string]mark{}, last: now} }

// mark is how far a workspace's work reaches, in tokens divided by share. Short
// requests have a mark of their own, which long ones do not move, so that they
// need not wait behind their own workspace's long ones; long ones wait behind
// both.
type mark struct {
	short, all float64
	share      float64
}

// Delay returns how long a request of the workspace should wait behind those
// of others that arrive now. The rate is the engine's, in tokens a second.
func (s *FairQueue) Delay(workspace string, long bool, rate float64, now time.Time) time.Duration {
	s.advance(rate, now)
	m, ok := s.marks[workspace]
	if !ok {
		return 0
	}
	at := m.short
	if long {
		at = m.all
	}
	ahead := time.Duration(max(0, at-s.virtual) * s.active() / rate * float64(time.Second))
	return max(0, ahead-burst)
}

// Charge records work for a workspace, in tokens.
func (s *FairQueue) Charge(workspace string, long bool, share, tokens, rate float64, now time.Time) {
	s.advance(rate, now)
	m := s.marks[workspace]
	m.share = max(share, leastShare)
	m.all = max(m.all, s.virtual) + tokens/m.share
	if !long {
		m.short = max(m.short, s.virtual) + tokens/m.share
	}
	s.marks[workspace] = m
}

// advance moves the virtual time on, mark by mark, since each mark that it
// reaches leaves more of the engine to the others.
func (s *FairQueue) advance(rate float64, now time.Time) {
	left := max(0, now.Sub(s.last).Seconds()*rate)
	s.last = now
	for len(s.marks) > 0 {
		next, name := s.nearest()
		need := (next - s.virtual) * s.active()
		if need > left {
			s.virtual += left / s.active()
			return
		}
		left -= need
		s.virtual = next
		delete(s.marks, name)
	}
}

// active returns the sum of the shares of workspaces that have work.
func (s *FairQueue) active() float64 {
	sum := 0.0
	for _, m := range s.marks {
		sum += m.share
	}
	return sum
}

func (s *FairQueue) nearest() (float64, string) {
	best, name := 0.0, ""
	for k, m := range s.marks {
		if name == "" || m.all < best {
			best, name = m.all, k
		}
	}
	return best, name
}
