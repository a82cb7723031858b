package main

import (
	"fmt"
	"sync"
	"time"
)

// allowedOver is how many requests the rule lets run on more runners than their route allows.
const allowedOver = 3

// budget has all runners of the model service crash and come back. The runners of the other service
// are sound all the time. No request for it may run on more runners than its route's max-attempts.
func budget(f *fleet, trouble bool) (bool, string, error) {
	rs := routes()
	rs[0].Attempts = 1
	f.configure(rs, services(), tenants())
	var models []*runner
	for i, zone := range []string{"leon", "celaya", "irapuato"} {
		if _, err := f.addRunner(fmt.Sprintf("i-app%d", i), "app", zone, 6, plain(time.Second)); err != nil {
			return false, "", err
		}
		m, err := f.addRunner(fmt.Sprintf("i-llm%d", i), "llm", zone, 16, stream(10, 50*time.Millisecond, 30*time.Millisecond))
		if err != nil {
			return false, "", err
		}
		models = append(models, m)
	}
	for _, zone := range []string{"leon", "celaya"} {
		if _, err := f.addDaemon(zone, true); err != nil {
			return false, "", err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, "", err
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	end := time.Now().Add(20 * time.Second)
	for i := range 8 {
		d := f.daemons[i%2]
		clients.Go(func() {
			for time.Now().Before(end) {
				if i < 4 {
					p := f.do(d.front(), "GET", "/safe/1", key, 4*time.Second, "")
					mu.Lock()
					answers[p.status]++
					mu.Unlock()
				} else {
					f.do(d.front(), "POST", "/ask/1", key, 10*time.Second, "prompt")
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for round := range 2 {
		time.Sleep(4 * time.Second)
		if !trouble {
			continue
		}
		for _, m := range models {
			m.crash()
		}
		time.Sleep(4500 * time.Millisecond)
		for i, m := range models {
			if err := m.restart(fmt.Sprintf("i-llm%d-%d", i, round)); err != nil {
				return false, "", err
			}
		}
	}
	clients.Wait()
	runners, runs := map[string]map[string]bool{}, map[string]int{}
	for _, x := range f.runners {
		if x.service != "app" {
			continue
		}
		for _, a := range x.arrivals() {
			if !a.executed {
				continue
			}
			if runners[a.attempt] == nil {
				runners[a.attempt] = map[string]bool{}
			}
			runners[a.attempt][a.runner] = true
			runs[a.attempt]++
		}
	}
	over, most, mostRuns := 0, 0, 0
	for a, on := range runners {
		if len(on) > rs[0].Attempts {
			over, most, mostRuns = over+1, max(most, len(on)), max(mostRuns, runs[a])
			f.rec.line("over: attempt %s ran on %d runners, %d times", a, len(on), runs[a])
		}
	}
	return over > allowedOver, fmt.Sprintf("BUDGET: %d of %d requests ran on more runners than max-attempts (%d), the most on %d, the most runs of one %d; answers by status %v",
		over, len(runners), rs[0].Attempts, most, mostRuns, answers), nil
}
