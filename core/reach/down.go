package reach

import "time"

// maxRounds is after how many slow rounds of probes, all with the same result, a server counts
// as down.
const maxRounds = 3

// DownCheck finds out whether a server is down, rather than out of reach. Its functions probe
// servers, and count no probe that was begun before since.
type DownCheck struct {
	Now func() time.Duration
	// Refused reports whether the server's port is closed.
	Refused func(since time.Duration) bool
	// ReachesOther reports whether a server is reached that must be reachable if the path to
	// this one is sound.
	ReachesOther func(since time.Duration) bool
	// RoundTime is the time that the timeouts of one call of ReachesOther and two of Refused
	// allow. A round takes longer if this process has to wait for the processor.
	RoundTime time.Duration
}

// Down reports whether the server's port is closed before and after another server is reached:
// all ports may look closed while there is no path, which may be lost or come back meanwhile.
// During a slow round it may do both, so such a round has to be confirmed by others.
func (d DownCheck) Down() bool {
	began := d.Now()
	if !d.Refused(began) {
		return false
	}
	for range maxRounds {
		if !d.ReachesOther(d.Now()) {
			return false
		}
		again := d.Now()
		if !d.Refused(again) {
			return false
		}
		if d.Now()-began <= d.RoundTime {
			return true
		}
		began = again
	}
	return true
}
