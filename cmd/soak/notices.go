package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/platform/standin"
)

const (
	// speakStream numbers the draws of what servers say of themselves, apart from those
	// of other faults.
	speakStream = 1 << 32
	// speakPause is the mean time between two servers that begin to say something, and
	// speakTime how long they say it at most.
	speakPause = time.Second
	speakTime  = 9 * time.Second
	// limitWindow is the span in which requests to a limited server are counted, and
	// limitTimes and limitExtra are how many times the limit, and how many beside, it may
	// get; limitLead is how long hosts have to know of each other.
	limitWindow = 4 * time.Second
	limitTimes  = 1.5
	limitExtra  = 5
	limitLead   = 3 * time.Second
	// toldLead is how long before a request its host has to have been told, and restMost
	// how many may come after that within a rest.
	toldLead = 500 * time.Millisecond
	restMost = 2
)

// arrival is a request that reached a server, with what its answer said.
type arrival struct {
	standin.Answer
	request *request
}

// speak has servers say things of themselves until ctx ends.
func (w *world) speak(ctx context.Context, rnd *rand.Rand) {
	says := []func(context.Context, *rand.Rand, *slot, time.Duration){w.nameLimit, w.sayLeaving, w.askForRest}
	for {
		s := w.slots[rnd.IntN(len(w.slots))]
		d := speakTime/4 + time.Duration(rnd.Int64N(int64(speakTime*3/4)))
		says[rnd.IntN(len(says))](ctx, rnd, s, d)
		if pause.UpTo(ctx, 2*speakPause) != nil {
			return
		}
	}
}

// nameLimit has a server name a limit, then another or none.
func (w *world) nameLimit(ctx context.Context, rnd *rand.Rand, s *slot, d time.Duration) {
	server := s.current()
	server.SetLimit(strconv.FormatFloat(6*rnd.Float64(), 'f', 1, 64))
	next := ""
	if rnd.IntN(3) == 0 {
		next = strconv.Itoa(rnd.IntN(8))
	}
	later(ctx, d, func() { server.SetLimit(next) })
}

// sayLeaving has a server say in its answers alone that it leaves, and end later.
func (w *world) sayLeaving(ctx context.Context, _ *rand.Rand, s *slot, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return // it is being replaced
	}
	s.server.SetLeaving(true)
	w.replace(ctx, s, d, time.Second)
}

// askForRest has a server turn half of the requests away and ask for rest.
func (w *world) askForRest(ctx context.Context, rnd *rand.Rand, s *slot, d time.Duration) {
	server, rest := s.current(), strconv.FormatFloat(0.5+3*rnd.Float64(), 'f', 2, 64)
	own := rand.New(rand.NewPCG(rnd.Uint64(), 0))
	server.SetShedding(func() string {
		if own.IntN(2) == 0 {
			return ""
		}
		return rest
	})
	later(ctx, d, func() { server.SetShedding(func() string { return "" }) })
}

func (s *slot) current() *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}

// checkNotices compares what reached servers with what they had said before.
func (w *world) checkNotices() {
	w.mu.Lock()
	byAttempt := map[string]*request{}
	for _, q := range w.requests {
		byAttempt[q.attempt] = q
	}
	w.mu.Unlock()
	for _, s := range w.slots {
		s.mu.Lock()
		servers := slices.Clone(s.all)
		s.mu.Unlock()
		for _, server := range servers {
			var as []arrival
			for _, a := range server.Answers() {
				if q := byAttempt[a.Attempt]; q != nil {
					as = append(as, arrival{a, q})
				}
			}
			w.checkSaidLeaving(server.ID(), as)
			w.checkRest(as, s.proxy)
			w.checkLimit(server.ID(), as, s.proxy)
		}
	}
}

// passed is when a host had passed on each server's answer that says something, the
// earliest, or no time.
func passed(as []arrival, server string, h *host, says func(a arrival) bool) (time.Time, bool) {
	var first time.Time
	for _, a := range as {
		at := a.request.sent.Add(a.request.took)
		if a.request.host == h && a.request.seal == server && says(a) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// checkSaidLeaving looks whether hosts sent something to a server later than allowed after
// they had passed on that it leaves.
func (w *world) checkSaidLeaving(server string, as []arrival) {
	for _, h := range w.hosts {
		told, ok := passed(as, server, h, func(a arrival) bool { return a.Leaving })
		if !ok {
			continue
		}
		for _, a := range as {
			if a.request.host == h && a.request.sent.After(told.Add(configDue)) && !h.stoodStill(told, a.At) {
				w.fail("request %s of %s reached %s, %v after the host had passed on that this leaves",
					a.Attempt, h.name, server, a.request.sent.Sub(told))
			}
		}
	}
}

// checkRest looks whether a host that was asked for rest left the server alone.
func (w *world) checkRest(as []arrival, way *proxy) {
	for _, asked := range as {
		if asked.Backoff == "" {
			continue
		}
		seconds, err := strconv.ParseFloat(asked.Backoff, 64)
		if err != nil {
			panic(err) // it is made in this package
		}
		from, to := asked.At.Add(toldLead), asked.At.Add(time.Duration(seconds*float64(time.Second)))
		h, n := asked.request.host, 0
		for _, a := range as {
			if a.request.host == h && a.At.After(from) && a.At.Before(to) {
				n++
			}
		}
		if n > restMost && !h.stoodStill(asked.At, to) && !way.harmed(asked.At.Add(-limitLead), to) {
			w.fail("%d requests of %s within a rest of %v s that request %s was answered with", n, h.name, seconds, asked.Attempt)
		}
	}
}

// checkLimit looks whether a server got more than its limit allows from hosts that had
// been told, in any span that begins long enough after it was first named.
func (w *world) checkLimit(server string, as []arrival, way *proxy) {
	first := slices.IndexFunc(as, func(a arrival) bool { return a.Limit != "" })
	if first < 0 {
		return
	}
	told := map[*host]time.Time{}
	for _, h := range w.hosts {
		if at, ok := passed(as, server, h, func(a arrival) bool { return a.Limit != "" }); ok {
			told[h] = at
		}
	}
	for i, begin := range as {
		if i <= first || begin.At.Before(as[first].At.Add(limitLead)) {
			continue
		}
		end := begin.At.Add(limitWindow)
		most, named := limitWithin(as, begin.At.Add(-limitLead), end)
		if !named || way.harmed(begin.At.Add(-limitLead), end) {
			continue
		}
		n := 0
		for _, a := range as[i:] {
			t, ok := told[a.request.host]
			if a.At.Before(end) && ok && t.Add(toldLead).Before(a.At) && !a.request.host.stoodStill(begin.At.Add(-limitLead), a.At) {
				n++
			}
		}
		if allowed := int(limitTimes*most*limitWindow.Seconds()) + limitExtra; n > allowed {
			w.fail("%d requests in %v reached a server that names a limit of %v a second; allowed %d (from %s on)",
				n, limitWindow, most, allowed, begin.Attempt)
			return
		}
	}
}

// limitWithin returns the highest limit that was named in a span, and whether one was
// named right through it.
func limitWithin(as []arrival, from, to time.Time) (float64, bool) {
	most := 0.0
	for _, a := range as {
		if a.At.Before(from) || a.At.After(to) {
			continue
		}
		l, err := strconv.ParseFloat(a.Limit, 64)
		if err != nil {
			return 0, false // none is named
		}
		most = max(most, l)
	}
	return most, true
}
