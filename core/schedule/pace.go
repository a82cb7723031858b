package schedule

import "time"

const (
	// paceStep is the weight of one more pass in what is known of a server's
	// pace: about the last ten passes count.
	paceStep = 0.1
	// usualPace is how much longer than the model's a pass takes with what is
	// read in it on a loaded engine; below it a server counts as sound.
	usualPace = 2
	// paceLife is how long an observation holds: then the server is tried
	// again with real work.
	paceLife = 4 * time.Second
)

// pace is how a server's passes compare with the model.
type pace struct {
	ratio float64
	at    time.Duration
}

// RecordPass notes that a server took so long from one event of a stream to the
// next, where the model says expected.
func (b *Scheduler) RecordPass(server string, took, expected, now time.Duration) {
	if expected <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.paces[server]
	if p.ratio == 0 || now-p.at > paceLife {
		p.ratio = 1
	}
	p.ratio += paceStep * (float64(took)/float64(expected) - p.ratio)
	p.at = now
	b.paces[server] = p
}

// slowness is by how much a server is slower than the model, 1 for one that
// is sound or not known.
func (b *Scheduler) slowness(server string, now time.Duration) float64 {
	p, ok := b.paces[server]
	if !ok || now-p.at > paceLife || p.ratio < usualPace {
		return 1
	}
	return p.ratio
}
