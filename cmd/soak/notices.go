package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/platform/standin"
)

const (
	// noticeStream selects the random stream for notices, independent of the streams
	// for faults and callers.
	noticeStream = 1 << 32
	// meanNoticeInterval is the mean time between two notices, maxNoticeTime the
	// maximum time for which a server sends one.
	meanNoticeInterval = time.Second
	maxNoticeTime      = 9 * time.Second
	// A server may get limitFactor times its limit, plus limitAllowance requests, in
	// any limitWindow. limitSyncTime is the time that hosts have to exchange a limit
	// among themselves.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	limitSyncTime  = 3 * time.Second
	// noticeDelay is the time after which a host must apply a notice that it has
	// received. maxDuringBackoff is the number of requests that a server may still
	// get from the host later within a backoff.
	noticeDelay      = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// arrival is a request that reached a server, with the answer of the server.
type arrival struct {
	standin.Answer
	request *request
}

// injectNotices makes random servers send notices in their answers until ctx ends.
func (w *world) injectNotices(ctx context.Context, rnd *rand.Rand) {
	notices := []func(context.Context, *rand.Rand, *serverSlot, time.Duration){w.reportLimit, w.reportLeaving, w.requestBackoff}
	for {
		s := w.slots[rnd.IntN(len(w.slots))]
		duration := maxNoticeTime/4 + time.Duration(rnd.Int64N(int64(maxNoticeTime*3/4)))
		notices[rnd.IntN(len(notices))](ctx, rnd, s, duration)
		if pause.UpTo(ctx, 2*w.noticeInterval) != nil {
			return
		}
	}
}

// reportLimit makes a server report a limit for d, then another limit or none.
func (w *world) reportLimit(ctx context.Context, rnd *rand.Rand, s *serverSlot, d time.Duration) {
	server := s.currentServer()
	server.SetLimit(strconv.FormatFloat(6*rnd.Float64(), 'f', 1, 64))
	next := ""
	if rnd.IntN(3) == 0 {
		next = strconv.Itoa(rnd.IntN(8))
	}
	runAfter(ctx, d, func() { server.SetLimit(next) })
}

// reportLeaving makes a server report in its answers, but not in its entry, that
// it leaves, and stops it after d.
func (w *world) reportLeaving(ctx context.Context, _ *rand.Rand, s *serverSlot, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer == nil {
		return // the server is being replaced
	}
	s.server.SetLeaving(true)
	w.scheduleReplacement(ctx, s, d, time.Second)
}

// requestBackoff makes a server refuse half of the requests for d and request a
// backoff with each refusal.
func (w *world) requestBackoff(ctx context.Context, rnd *rand.Rand, s *serverSlot, d time.Duration) {
	server, backoff := s.currentServer(), strconv.FormatFloat(0.5+3*rnd.Float64(), 'f', 2, 64)
	serverRnd := rand.New(rand.NewPCG(rnd.Uint64(), 0))
	server.SetShedding(func() string {
		if serverRnd.IntN(2) == 0 {
			return ""
		}
		return backoff
	})
	runAfter(ctx, d, func() { server.SetShedding(func() string { return "" }) })
}

func (s *serverSlot) currentServer() *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}

// checkNotices checks the requests that reached each server against the notices
// that it had sent before.
func (w *world) checkNotices() {
	w.mu.Lock()
	byAttempt := map[string]*request{}
	for _, req := range w.requests {
		byAttempt[req.attempt] = req
	}
	w.mu.Unlock()
	for _, s := range w.slots {
		s.mu.Lock()
		servers, startTimes := slices.Clone(s.servers), slices.Clone(s.startTimes)
		s.mu.Unlock()
		for n, server := range servers {
			if n > 0 { // the first one is warm
				w.checkCold(server, startTimes[n], s.proxy)
			}
			var arrivals []arrival
			for _, a := range server.Answers() {
				if req := byAttempt[a.Attempt]; req != nil {
					arrivals = append(arrivals, arrival{a, req})
				}
			}
			w.checkReportedLeaving(server.ID(), arrivals)
			w.checkBackoff(arrivals, s.proxy)
			w.checkLimit(server.ID(), arrivals, s.proxy)
		}
	}
}

// firstForwarded returns the earliest time at which a caller had received, from
// the host, an answer of the server that matches, and whether there is one.
func firstForwarded(arrivals []arrival, server string, h *host, matches func(a arrival) bool) (time.Time, bool) {
	var earliest time.Time
	for _, a := range arrivals {
		received := a.request.sentAt.Add(a.request.duration)
		if a.request.host == h && a.request.seal == server && matches(a) && (earliest.IsZero() || received.Before(earliest)) {
			earliest = received
		}
	}
	return earliest, !earliest.IsZero()
}

// checkReportedLeaving checks that no host sent a request to a server later than
// allowed after it had forwarded an answer which reports that the server leaves.
func (w *world) checkReportedLeaving(server string, arrivals []arrival) {
	for _, h := range w.hosts {
		forwarded, ok := firstForwarded(arrivals, server, h, func(a arrival) bool { return a.Leaving })
		if !ok {
			continue
		}
		for _, a := range arrivals {
			if a.request.host == h && a.request.sentAt.After(forwarded.Add(configBound)) && !h.hadOutage(forwarded, a.At) {
				w.failf("request %s of %s reached %s, sent %v after the host forwarded an answer which reports that this server leaves",
					a.Attempt, h.name, server, a.request.sentAt.Sub(forwarded))
			}
		}
	}
}

// checkBackoff checks that a host sent at most maxDuringBackoff requests to a
// server that had requested a backoff from it, its own or those that others had
// delegated to it.
func (w *world) checkBackoff(arrivals []arrival, p *proxy) {
	for _, refused := range arrivals {
		if refused.Backoff == "" {
			continue
		}
		seconds, err := strconv.ParseFloat(refused.Backoff, 64)
		if err != nil {
			panic(err) // the value is formatted by this package
		}
		from, to := refused.At.Add(noticeDelay), refused.At.Add(time.Duration(seconds*float64(time.Second)))
		sender := func(a arrival) *host { return cmp.Or(w.hostAt(p.clientOf(a.From, a.At)), a.request.host) }
		h, n := sender(refused), 0
		for _, a := range arrivals {
			if sender(a) == h && a.At.After(from) && a.At.Before(to) {
				n++
			}
		}
		if n > maxDuringBackoff && !h.hadOutage(refused.At, to) && !p.disturbedDuring(refused.At.Add(-limitSyncTime), to) {
			w.failf("%d requests of %s reached the server within the backoff of %v s that the answer to request %s asked for", n, h.name, seconds, refused.Attempt)
		}
	}
}

// checkLimit checks that a server got no more requests than its limit allows in
// any limitWindow that begins at least limitSyncTime after the limit was first
// reported. Only requests of hosts that had received a limit are counted.
func (w *world) checkLimit(server string, arrivals []arrival, p *proxy) {
	first := slices.IndexFunc(arrivals, func(a arrival) bool { return a.Limit != "" })
	if first < 0 {
		return
	}
	forwardedAt := map[*host]time.Time{}
	for _, h := range w.hosts {
		if forwarded, ok := firstForwarded(arrivals, server, h, func(a arrival) bool { return a.Limit != "" }); ok {
			forwardedAt[h] = forwarded
		}
	}
	for i, begin := range arrivals {
		if i <= first || begin.At.Before(arrivals[first].At.Add(limitSyncTime)) {
			continue
		}
		end := begin.At.Add(limitWindow)
		limit, known := maxLimit(arrivals, begin.At.Add(-limitSyncTime), end)
		if !known || p.disturbedDuring(begin.At.Add(-limitSyncTime), end) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			forwarded, ok := forwardedAt[a.request.host]
			if a.At.Before(end) && ok && forwarded.Add(noticeDelay).Before(a.At) && !a.request.host.hadOutage(begin.At.Add(-limitSyncTime), a.At) {
				n++
			}
		}
		if allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitAllowance; n > allowed {
			w.failf("%d requests in %v reached a server that reports a limit of %v per second; allowed %d (from request %s on)",
				n, limitWindow, limit, allowed, begin.Attempt)
			return
		}
	}
}

// maxLimit returns the highest limit in the answers within [from, to], and whether
// all of these answers report a limit.
func maxLimit(arrivals []arrival, from, to time.Time) (float64, bool) {
	highest := 0.0
	for _, a := range arrivals {
		if a.At.Before(from) || a.At.After(to) {
			continue
		}
		l, err := strconv.ParseFloat(a.Limit, 64)
		if err != nil {
			return 0, false // the answer reports no limit
		}
		highest = max(highest, l)
	}
	return highest, true
}
