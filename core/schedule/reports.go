package schedule

import "time"

const (
	// minReporters is the number of other hosts that have to report a server before
	// this host backs off from it without a failure of its own. A single reporter
	// may itself have lost its connection to the server.
	minReporters = 2
	// reportTTL is how long a report counts. If hosts can't reach a server, each of
	// them takes 0.6 to 1.5 s to find out.
	reportTTL = 2 * time.Second
	// maxReportedBackoff bounds the backoff after reports of other hosts, since this
	// host may be able to reach a server that they can't.
	maxReportedBackoff = 2 * time.Second
	// distrustTime is how long reports of a host are ignored after it has reported
	// a server that then served others: the fault is probably the reporter's own.
	distrustTime = 3 * time.Second
)

// failureReports are the times of the last reports of a server, by reporting host.
type failureReports map[uint32]time.Duration

// RecordRemoteFailure records another host's report that a server has failed.
func (sc *Scheduler) RecordRemoteFailure(host uint32, server string, now time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.reports[server] == nil {
		sc.reports[server] = failureReports{}
	}
	sc.reports[server][host] = now
	if sc.backoffs[server].until > now {
		return
	}
	reporters := 0
	for h, last := range sc.reports[server] {
		if now-last <= reportTTL && !sc.distrusted(h, now) {
			reporters++
		}
	}
	if reporters >= minReporters {
		sc.backOff(server, now, maxReportedBackoff)
	}
}

// distrusted reports whether reports of a host are ignored, since it has recently
// made a false one.
func (sc *Scheduler) distrusted(host uint32, now time.Duration) bool {
	last, ok := sc.falseReports[host]
	return ok && now-last <= distrustTime
}

// distrustReporters marks the current reports of a server as false, since the server
// has just served this host or another.
func (sc *Scheduler) distrustReporters(server string, now time.Duration) {
	for h, last := range sc.reports[server] {
		if now-last <= reportTTL {
			sc.falseReports[h] = now
		}
	}
}

// expireReports drops reports, and marks of false ones, that no longer count.
func (sc *Scheduler) expireReports(now time.Duration) {
	for h, last := range sc.falseReports {
		if now-last > distrustTime {
			delete(sc.falseReports, h)
		}
	}
	for server, r := range sc.reports {
		for h, last := range r {
			if now-last > reportTTL {
				delete(r, h)
			}
		}
		if len(r) == 0 {
			delete(sc.reports, server)
		}
	}
}
