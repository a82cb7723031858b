package reach

import "time"

// DownCheck finds out whether a server is down, rather than out of reach. Its functions probe
// servers, and count no probe that was begun before since.
type DownCheck struct {
	Now func() time.Duration
	// Refused reports whether the server's port is closed.
	Refused func(since time.Duration) bool
	// ReachesOther reports whether a server is reached that must be reachable if the path to
	// this one is sound.
	ReachesOther func(since time.Duration) bool
}

// Down reports whether the server's port is closed before and after another server is reached:
// all ports may look closed while there is no path, which may be lost or come back meanwhile.
func (d DownCheck) Down() bool {
	return d.Refused(d.Now()) && d.ReachesOther(d.Now()) && d.Refused(d.Now())
}
