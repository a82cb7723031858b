package schedule

import "time"

const (
	// paceWeight is the weight of each new pass in the moving average of a
	// server's pace: about the last ten passes count.
	paceWeight = 0.1
	// maxNormalPace is the ratio of a pass to the model that prefill in it causes
	// on a loaded engine: below it, a server counts as sound.
	maxNormalPace = 2
	// paceTTL is how long an observed pace is used. After that the server gets
	// requests as if it were sound, which shows whether it still is slow.
	paceTTL = 4 * time.Second
)

// pace is the moving average of a server's pass times, relative to the model.
type pace struct {
	ratio     float64
	updatedAt time.Duration
}

// RecordPass records the time between two events of a stream from a server, next
// to the time that the model predicts for it.
func (sc *Scheduler) RecordPass(server string, took, expected, now time.Duration) {
	if expected <= 0 {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.paces[server]
	if p.ratio == 0 || now-p.updatedAt > paceTTL {
		p.ratio = 1
	}
	p.ratio += paceWeight * (float64(took)/float64(expected) - p.ratio)
	p.updatedAt = now
	sc.paces[server] = p
}

// slowdown returns the ratio of a server's pass times to the model, or 1 for a
// server that is sound or has no recent observation.
func (sc *Scheduler) slowdown(server string, now time.Duration) float64 {
	p, ok := sc.paces[server]
	if !ok || now-p.updatedAt > paceTTL || p.ratio < maxNormalPace {
		return 1
	}
	return p.ratio
}
