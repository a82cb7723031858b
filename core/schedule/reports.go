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
	// doubtTime is for how long a host isn't believed that reported a server
	// which then served others: the fault is likely its own.
	doubtTime = 3 * time.Second
)

// reports are who reported a server, and when last.
type reports map[uint32]time.Duration

// RecordRemoteFailure takes in another host's report that a server failed it.
func (b *Scheduler) RecordRemoteFailure(host uint32, server string, now time.Duration) {
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
		b.rest(server, now, longestShared)
	}
}

// doubted reports whether a host was found wrong lately.
func (b *Scheduler) doubted(host uint32, now time.Duration) bool {
	at, ok := b.wrong[host]
	return ok && now-at <= doubtTime
}

// serves notes that a server works for this host or another: whoever has just
// reported it is not believed for a while.
func (b *Scheduler) serves(server string, now time.Duration) {
	for h, at := range b.reports[server] {
		if now-at <= reportLife {
			b.wrong[h] = now
		}
	}
}

// forgetReports drops reports that no longer count.
func (b *Scheduler) forgetReports(now time.Duration) {
	for h, at := range b.wrong {
		if now-at > doubtTime {
			delete(b.wrong, h)
		}
	}
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
