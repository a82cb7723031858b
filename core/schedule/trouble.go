package schedule

import (
	"time"

	"slipcrank.example/core/backend"
)

const (
	// firstRest is how long a server that failed a request gets no more, and
	// doubles with each failure in a row up to longestRest.
	firstRest   = 500 * time.Millisecond
	longestRest = 4 * time.Second
	// most is the largest part of a service's servers that rest at once.
	most = 0.5
)

// Failed notes evidence against a server. It rests for a while, longer with
// each failure in a row.
func (b *Board) Failed(server string, now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.trouble[server]
	t.failures++
	rest := min(firstRest<<min(t.failures-1, 8), longestRest)
	t.until = now + rest
	b.trouble[server] = t
	return rest
}

// Served notes that a server has done what was asked.
func (b *Board) Served(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.trouble, server)
}

// able returns the servers that a request may go to. Servers that rest are
// left out unless too many do.
func (b *Board) able(now time.Duration, servers []backend.Server, avoid map[string]bool) []backend.Server {
	var able, resting []backend.Server
	for _, s := range servers {
		switch {
		case avoid[s.ID]:
		case b.trouble[s.ID].until > now:
			resting = append(resting, s)
		default:
			able = append(able, s)
		}
	}
	if float64(len(resting)) > most*float64(len(servers)) {
		able = append(able, resting...)
	}
	return able
}
