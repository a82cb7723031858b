package limit

import "time"

const (
	// minShare is the share of a workspace whose template states none.
	minShare = 0.01
	// burst is how far a workspace may exceed its share before its requests are
	// delayed, in time of the engine, so that one prompt of medium length doesn't
	// delay the short ones that follow it.
	burst = 2 * time.Second
)

// FairQueue keeps workspaces to their shares of one engine by fair queueing. The
// virtual time advances with the work that the engine can do for the workspaces
// that have work. Each workspace has a virtual finish time, which its work advances
// in inverse proportion to its share. A workspace whose finish time is ahead of the
// virtual time has used more than its share, and its requests are delayed behind
// those of others by the time that the engine needs to catch up.
//
// It refuses no request and reserves no capacity: a workspace that is alone advances
// the virtual time by itself. It is not safe for concurrent use.
type FairQueue struct {
	virtual    float64 // virtual time, in tokens divided by share
	workspaces map[string]finish
	last       time.Time
}

// NewFairQueue returns a queue without work.
func NewFairQueue(now time.Time) *FairQueue {
	return &FairQueue{workspaces: map[string]finish{}, last: now}
}

// finish holds the virtual finish times of a workspace, in tokens divided by share.
// That of short requests isn't advanced by long ones, so that short requests don't
// wait behind their own workspace's long ones; long ones wait behind both.
type finish struct {
	short, all float64
	share      float64
}

// Delay returns how long a request of the workspace is to be delayed behind those
// of others that arrive now. The rate is the engine's, in tokens per second.
func (q *FairQueue) Delay(workspace string, long bool, rate float64, now time.Time) time.Duration {
	q.advance(rate, now)
	f, ok := q.workspaces[workspace]
	if !ok {
		return 0
	}
	end := f.short
	if long {
		end = f.all
	}
	ahead := time.Duration(max(0, end-q.virtual) * q.activeShares() / rate * float64(time.Second))
	return max(0, ahead-burst)
}

// Charge records work of a workspace, in tokens.
func (q *FairQueue) Charge(workspace string, long bool, share, tokens, rate float64, now time.Time) {
	q.advance(rate, now)
	f := q.workspaces[workspace]
	f.share = max(share, minShare)
	f.all = max(f.all, q.virtual) + tokens/f.share
	if !long {
		f.short = max(f.short, q.virtual) + tokens/f.share
	}
	q.workspaces[workspace] = f
}

// advance moves the virtual time to now, one finish time after the other, since a
// workspace that has finished leaves more of the engine to the others.
func (q *FairQueue) advance(rate float64, now time.Time) {
	tokens := max(0, now.Sub(q.last).Seconds()*rate)
	q.last = now
	for len(q.workspaces) > 0 {
		next, name := q.earliest()
		need := (next - q.virtual) * q.activeShares()
		if need > tokens {
			q.virtual += tokens / q.activeShares()
			return
		}
		tokens -= need
		q.virtual = next
		delete(q.workspaces, name)
	}
}

// activeShares returns the sum of the shares of workspaces that have work.
func (q *FairQueue) activeShares() float64 {
	sum := 0.0
	for _, f := range q.workspaces {
		sum += f.share
	}
	return sum
}

// earliest returns the workspace that finishes first, and its finish time.
func (q *FairQueue) earliest() (float64, string) {
	best, name := 0.0, ""
	for k, f := range q.workspaces {
		if name == "" || f.all < best {
			best, name = f.all, k
		}
	}
	return best, name
}
