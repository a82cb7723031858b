package main

import (
	"fmt"
	"sync"
	"time"
)

// streamReply is a reply, and whether its request may run at most once.
type streamReply struct {
	reply
	once bool
}

// second has runners crash while others send second answers, late. Book reviews
// may not be resumed, and so run at most once.
func second(f *fleet, trouble bool) (bool, string, error) {
	const hosts = 3
	c := prompts(11)
	for _, r := range c["routes"].([]map[string]any) {
		if r["name"] == "book-review" {
			r["stream-resume"] = false
		}
	}
	f.store.put("op", "config", c)
	for n := range 6 {
		if _, err := f.startEngine(zones[n%3]); err != nil {
			return false, "", err
		}
	}
	if err := f.startHosts(hosts); err != nil {
		return false, "", err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var replies []streamReply
	send := func(n int, path string, deadline time.Duration) {
		wg.Go(func() {
			a := streamReply{f.request(f.hosts[n%hosts], "POST", path, key(n%tenants), "prompt", deadline), path == "/book/1"}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, a)
		})
	}
	// For 96 s, 25 caption drafts and 3.1 book reviews a second.
	const tick, length = 40 * time.Millisecond, 96 * time.Second
	end, round := time.Now().Add(length), time.Now().Add(3*time.Second)
	for n := 0; time.Now().Before(end); n++ {
		send(n, "/caption/1", 10*time.Second)
		if n%8 == 0 {
			send(n, "/book/1", 15*time.Second)
		}
		if trouble && time.Now().After(round) {
			round = time.Now().Add(roundTime)
			f.disturb()
		}
		time.Sleep(tick)
	}
	wg.Wait()
	ran := map[string]int{}
	f.runMu.Lock()
	defer f.runMu.Unlock()
	for _, r := range f.streamRuns {
		ran[r.attempt]++
	}
	refused, twice, ok := 0, 0, 0
	for _, a := range replies {
		if a.status == 200 {
			ok++
		}
		if a.once && ran[a.attempt] > 0 && promisesNotRun(a.status) {
			refused++
			f.rec.line("broken: %s got %d, and ran", a.attempt, a.status)
		}
		if a.once && ran[a.attempt] > 1 {
			twice++
			f.rec.line("broken: %s ran %d times", a.attempt, ran[a.attempt])
		}
	}
	f.rec.line("%d of %d answers of garbling runners were followed by a second one", f.secondAnswers, f.garbledOf)
	return refused > 0, fmt.Sprintf("of %d requests %d got 200; %d got a promise (408, 421, 429, 503) and ran, %d ran more than once", len(replies), ok, refused, twice), nil
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// roundTime is for_s of the entry srv_crash.
const roundTime = 4500 * time.Millisecond

// disturb begins one round: one runner crashes, another start of it comes at the end of the
// round, and three of the other five send second answers.
func (f *fleet) disturb() {
	live := f.liveEngines()
	for n, e := range live {
		e.setGarbling(n > 0 && n <= len(live)/2)
	}
	live[0].crash()
	go func() {
		time.Sleep(roundTime - 100*time.Millisecond)
		_, _ = f.startEngine(live[0].zone) // without it, the next round has one runner less
	}()
}

// prompts returns a configuration with the routes and the service of the prompts, too.
func prompts(version int) map[string]any {
	c := configuration(version, 0)
	c["routes"] = append(c["routes"].([]map[string]any),
		map[string]any{"name": "book-review", "host": "shop.example", "path-prefix": "/book/", "service": "redaccion", "kind": "streaming", "timeout-ms": 15000, "slo-ms": 2500, "max-attempts": 2, "priority": 1, "stream-resume": true, "gap_aim_ms": 1000},
		map[string]any{"name": "caption-draft", "host": "shop.example", "path-prefix": "/caption/", "service": "redaccion", "kind": "streaming", "timeout-ms": 10000, "slo-ms": 300, "max-attempts": 2, "priority": 1, "stream-resume": true, "gap_aim_ms": 250})
	c["services"] = append(c["services"].([]map[string]any), map[string]any{"name": "redaccion", "health-path": "/health", "max-conns": 274,
		"engine": map[string]any{"slots": 16, "kv-tokens": 232000, "stride": 43, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "usual": map[string]any{"prompt": 12000, "answer": 1200}}})
	return c
}
