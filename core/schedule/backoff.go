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
	// serverDecay and serviceDecay are the part of earlier answers that counts
	// on with each further one: about the last ten of a server count, and the
	// last hundred of a service.
	serverDecay, serviceDecay = 0.9, 0.99
	// fewAnswers is how many answers have to count before a server may be
	// taken for worse than the others.
	fewAnswers = 3
	// worseTimes and worsePart are by how much the part of its answers that
	// are failures has to exceed that of the service: services may fail a
	// tenth and more by themselves.
	worseTimes = 2
	worsePart  = 0.15
	// supposed is how many answers of a service are supposed before any is
	// known.
	supposed = 10
)

// trouble is evidence against a server.
type trouble struct {
	failures int // in a row
	until    time.Duration
}

// answers are decayed counts of answers.
type answers struct {
	failed, all float64
}

// with returns the counts with one more answer, on top of the decayed ones.
func (a answers) with(failed bool, decay float64) answers {
	a.failed, a.all = a.failed*decay, a.all*decay+1
	if failed {
		a.failed++
	}
	return a
}

// part is the part that failed, on top of earlier answers of which so many are
// supposed, one of them a failure.
func (a answers) part(supposed float64) float64 {
	if a.all+supposed == 0 {
		return 0
	}
	return (a.failed + min(supposed, 1)) / (a.all + supposed)
}

// RecordFailure notes evidence against a server: it could not be reached, refused,
// broke off or fell silent. It rests for a while, longer with each failure in
// a row.
func (b *Scheduler) RecordFailure(server string, now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest(server, now, longestRest)
}

// rest keeps requests from a server, for at most longest, and returns for how
// long.
func (b *Scheduler) rest(server string, now, longest time.Duration) time.Duration {
	t := b.trouble[server]
	t.failures++
	rest := min(firstRest<<min(t.failures-1, 8), longest)
	t.until = now + rest
	b.trouble[server] = t
	return rest
}

// RecordAnswer notes that a server has answered, with a failure of its own or
// not. One that fails much more often than its service does rests; the time
// for which is returned, zero for none.
func (b *Scheduler) RecordAnswer(service, server string, failed bool, now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.answers[server].with(failed, serverDecay)
	b.answers[server] = own
	usual := b.usual[service]
	if own.all >= fewAnswers && own.part(0) > worseTimes*usual.part(supposed)+worsePart {
		return b.rest(server, now, longestRest)
	}
	// Servers that are much worse don't change what is usual.
	b.usual[service] = usual.with(failed, serviceDecay)
	if !failed {
		delete(b.trouble, server)
		b.serves(server, now)
	}
	return 0
}

// able returns the servers that a request may go to. Servers that rest are
// left out unless too many do.
func (b *Scheduler) able(now time.Duration, servers []backend.Server, avoid map[string]bool) []*backend.Server {
	able, resting := b.scratch.able[:0], b.scratch.resting[:0]
	for i := range servers {
		s := &servers[i]
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
	b.scratch.able, b.scratch.resting = able, resting
	return able
}
