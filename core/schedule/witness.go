package schedule

import "time"

const (
	// witnesses is how many other hosts have to report a server before this
	// one rests it without evidence of its own: one host alone may have lost
	// its own way there.
	witnesses = 2
	// reportLife is how long a report counts. Servers that hosts can't reach
	// cost each of them 0.6 to 1.5 s to find out.
	reportLife = 2 * time.Second
	// longestShared bounds rests for what others report: this host may reach
	// a server that they can't.
	longestShared = 2 * time.Second
	// mostReported is the part of all servers above which a host's reports
	// count for nothing: then the fault is likely its own. A hall that is cut
	// off takes a third of the servers with it.
	mostReported = 0.5
)

// reports are who reported a server, and when last.
type reports map[uint32]time.Duration

// HeardFailed takes in another host's report that a server failed it.
func (b *Board) HeardFailed(host uint32, server string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reports[server] == nil {
		b.reports[server] = reports{}
	}
	b.reports[server][host] = now
	if b.trouble[server].until > now {
		return
	}
	seen := 0
	for h, at := range b.reports[server] {
		if now-at <= reportLife && !b.doubted(h, now) {
			seen++
		}
	}
	if seen >= witnesses {
		rest := min(b.rest(server, now), longestShared)
		t := b.trouble[server]
		t.until = now + rest
		b.trouble[server] = t
	}
}

// doubted reports whether a host reports so many servers that the fault is
// likely its own.
func (b *Board) doubted(host uint32, now time.Duration) bool {
	n := 0
	for _, r := range b.reports {
		if at, ok := r[host]; ok && now-at <= reportLife {
			n++
		}
	}
	return n > 1 && float64(n) > mostReported*float64(len(b.answers))
}

// forgetReports drops reports that no longer count.
func (b *Board) forgetReports(now time.Duration) {
	for server, r := range b.reports {
		for h, at := range r {
			if now-at > reportLife {
				delete(r, h)
			}
		}
		if len(r) == 0 {
			delete(b.reports, server)
		}
	}
}
