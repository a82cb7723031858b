package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// spoiledOf is one over x of the entry garble: of its answers, a faulty runner spoils one in so
// many.
const spoiledOf = 50

// seal has one of three runners spoil a few bytes in the head of some answers: those of the name
// and the value of X-Response-Seal.
func seal(f *fleet, trouble bool) (bool, string, error) {
	f.store.put("op", "config", configuration(11, 0))
	var garbling atomic.Bool
	var answers, spoiled atomic.Int64
	spoil := func(answer string) string {
		if !garbling.Load() || answers.Add(1)%spoiledOf != 0 {
			return answer
		}
		spoiled.Add(1)
		begin := strings.Index(answer, "X-Response-Seal: ")
		end := begin + strings.Index(answer[begin:], "\r\n")
		return answer[:begin] + strings.Repeat("x", end-begin-9) + ":" + strings.Repeat("x", 8) + answer[end:]
	}
	for n, z := range zones {
		r, err := f.startRunner("pedidos", z, 30*time.Millisecond)
		if err != nil {
			return false, "", err
		}
		if n == 0 {
			r.spoil = spoil
		}
	}
	if err := f.startHosts(3); err != nil {
		return false, "", err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	unsealed, counts := 0, map[int]int{}
	begun := time.Now()
	for n := 0; time.Since(begun) < 40*time.Second; n++ {
		// Six entries of 5 s each, 7 s apart, the last cut short.
		garbling.Store(trouble && time.Since(begun)%(7*time.Second) > 2*time.Second)
		wg.Go(func() {
			method, path := "GET", "/order/7"
			if n%2 == 0 {
				method, path = "POST", "/proof/7"
			}
			a := f.request(f.hosts[n%3], method, path, key(n%tenants), "", time.Second)
			mu.Lock()
			defer mu.Unlock()
			counts[a.status]++
			if a.status/100 == 2 && a.seal == "" {
				unsealed++
				f.rec.line("broken: the client of %s has a success without X-Response-Seal", a.attempt)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	f.rec.line("the faulty runner spoiled %d of %d answers", spoiled.Load(), answers.Load())
	if !trouble && counts[200] < 1000 {
		return false, "", fmt.Errorf("only %d requests got 200", counts[200])
	}
	return unsealed > 0, fmt.Sprintf("%d successes without X-Response-Seal; answers by status: %v", unsealed, counts), nil
}
