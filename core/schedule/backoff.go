package schedule

import (
	"time"

	"slipcrank.example/core/backend"
)

const (
	// minBackoff is how long a server gets no further requests after a failure. It
	// doubles with each consecutive failure, up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxBackoffFraction is the largest fraction of a service's servers that are
	// kept from requests at once; if more are backing off, all get requests.
	maxBackoffFraction = 0.5
	// serverDecay and serviceDecay are the factors by which earlier answers decay
	// with each further one: about the last ten answers of a server count, and the
	// last hundred of a service.
	serverDecay, serviceDecay = 0.9, 0.99
	// minAnswers is the decayed number of answers from which on a server's failure
	// rate is compared with that of its service.
	minAnswers = 3
	// A server backs off if its failure rate exceeds excessRateFactor times that
	// of its service by excessRateMargin: a tenth and more of a service's answers
	// may be failures that aren't the fault of a server.
	excessRateFactor = 2
	excessRateMargin = 0.15
	// priorAnswers is the weight, in answers, of the prior for the failure rate of
	// a service.
	priorAnswers = 10
)

// backoff is the backoff of a server after failures.
type backoff struct {
	failures int // consecutive
	until    time.Duration
}

// answerCounts are exponentially decayed counts of answers.
type answerCounts struct {
	failed, total float64
}

// add returns the counts with one more answer, after the earlier ones have decayed.
func (a answerCounts) add(failed bool, decay float64) answerCounts {
	a.failed, a.total = a.failed*decay, a.total*decay+1
	if failed {
		a.failed++
	}
	return a
}

// failureRate returns the fraction of answers that are failures, with a prior of
// so many answers of which one is a failure.
func (a answerCounts) failureRate(prior float64) float64 {
	if a.total+prior == 0 {
		return 0
	}
	return (a.failed + min(prior, 1)) / (a.total + prior)
}

// RecordFailure records that a server could not be reached, refused a request,
// broke off an answer or fell silent. It returns for how long the server gets no
// further requests, which grows with each consecutive failure.
func (sc *Scheduler) RecordFailure(server string, now time.Duration) time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.backOff(server, now, maxBackoff)
}

// ForgetFailures ends the backoff of a server that has turned out to be reachable.
func (sc *Scheduler) ForgetFailures(server string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	delete(sc.backoffs, server)
}

// backOff keeps requests from a server for a time, at most limit, and returns the
// time.
func (sc *Scheduler) backOff(server string, now, limit time.Duration) time.Duration {
	b := sc.backoffs[server]
	b.failures++
	wait := min(minBackoff<<min(b.failures-1, 8), limit)
	b.until = now + wait
	sc.backoffs[server] = b
	return wait
}

// RecordAnswer records that a server has answered, and whether the answer was a
// failure of the server itself. If the server's failure rate is far above that of
// its service, the server gets no further requests for the returned time; otherwise
// that is zero.
func (sc *Scheduler) RecordAnswer(service, server string, failed bool, now time.Duration) time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	own := sc.serverAnswers[server].add(failed, serverDecay)
	sc.serverAnswers[server] = own
	usual := sc.serviceAnswers[service]
	if own.total >= minAnswers && own.failureRate(0) > excessRateFactor*usual.failureRate(priorAnswers)+excessRateMargin {
		return sc.backOff(server, now, maxBackoff)
	}
	// Answers of servers with an excessive failure rate don't count towards the
	// rate of the service.
	sc.serviceAnswers[service] = usual.add(failed, serviceDecay)
	if !failed {
		delete(sc.backoffs, server)
		sc.distrustReporters(server, now)
	}
	return 0
}

// available returns the servers that a request may go to. Servers that are backing
// off are left out unless they exceed maxBackoffFraction.
func (sc *Scheduler) available(now time.Duration, servers []backend.Server, avoid map[string]bool) []*backend.Server {
	available, backingOff := sc.scratch.available[:0], sc.scratch.backingOff[:0]
	for i := range servers {
		s := &servers[i]
		switch {
		case avoid[s.ID]:
		case sc.backoffs[s.ID].until > now:
			backingOff = append(backingOff, s)
		default:
			available = append(available, s)
		}
	}
	if float64(len(backingOff)) > maxBackoffFraction*float64(len(servers)) {
		available = append(available, backingOff...)
	}
	sc.scratch.available, sc.scratch.backingOff = available, backingOff
	return available
}
