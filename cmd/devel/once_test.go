package devel_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/fault"
	"slipcrank.example/standin/platform"
	"slipcrank.example/standin/runner"
)

// platformFaults draws a fault for each request to the platform from a seed.
type platformFaults struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	enabled bool
}

func (f *platformFaults) draw(op string) platform.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.enabled || (op != "commit" && op != "read") {
		return platform.Fault{}
	}
	switch x := f.rnd.Float64(); {
	case x < 0.25:
		return platform.Fault{LoseAnswer: true}
	case x < 0.35:
		return platform.Fault{Down: true}
	case x < 0.5:
		return platform.Fault{Delay: time.Duration(f.rnd.IntN(20)) * time.Millisecond}
	default:
		return platform.Fault{}
	}
}

func (f *platformFaults) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enabled = true
}

func TestCallRunsAtMostOnceAcrossSixDaemons(t *testing.T) {
	const keys, repeats = 40, 2
	faults := &platformFaults{rnd: rand.New(rand.NewPCG(7, 7))}
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(6), devel.WithEngines(1),
		devel.WithPlatform(platform.WithFault(faults.draw)),
		devel.WithRunner(
			runner.WithDelay(func(key string) time.Duration { return time.Duration(key[35]%4) * 5 * time.Millisecond }),
			runner.WithCloseConn(func(key string) bool { return key[34]%8 == 0 }),
		))
	faults.start()
	type result struct {
		key  string
		kind fault.Kind // "" for a successful answer
	}
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for range keys {
		key := uuid.Must(uuid.NewV7()).String()
		for _, n := range f.Nodes {
			for range repeats {
				wg.Go(func() {
					status, body := post(t, n.Callers(), "/v1/services/issue", "till", `{"voucher":1}`,
						map[string]string{"Idempotency-Key": key, "X-Deadline-Ms": "3000"})
					var e errorAnswer
					_ = json.Unmarshal([]byte(body), &e)
					if status != http.StatusOK && e.Error.Kind == "" {
						t.Errorf("status %d without a kind: %s", status, body)
					}
					mu.Lock()
					defer mu.Unlock()
					results = append(results, result{key, e.Error.Kind})
				})
			}
		}
	}
	wg.Wait()
	counts := map[fault.Kind]int{}
	for _, s := range results {
		n := f.Runners[0].Count(s.key)
		counts[s.kind]++
		if n > 1 {
			t.Errorf("key %s ran %d times", s.key, n)
		}
		if s.kind == "" && n != 1 {
			t.Errorf("key %s was answered but ran %d times", s.key, n)
		}
		if s.kind == fault.NotRun && n != 0 {
			t.Errorf("key %s was answered with not_run but ran", s.key)
		}
	}
	t.Logf("%d answers by kind: %v", len(results), counts)
	if counts[""] == 0 {
		t.Error("no call succeeded, so the test is void")
	}
}

func TestNotRunIsFinalWhenServiceHasNoHost(t *testing.T) {
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(1))
	f.Platform.SetHosts(nil) // the list no longer has a host of the service
	eventually(t, "no daemon knows a host of the service", func() bool {
		return len(f.Nodes[0].Loop().View().ServiceHosts("vouchers")) == 0 && len(f.Nodes[1].Loop().View().ServiceHosts("vouchers")) == 0
	})
	key := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
	for i, n := range f.Nodes {
		_, body := post(t, n.Callers(), "/v1/services/issue", "till", "{}", key)
		var e errorAnswer
		if err := json.Unmarshal([]byte(body), &e); err != nil || e.Error.Kind != fault.NotRun {
			t.Fatalf("daemon %d answered %s, want not_run", i, body)
		}
	}
	f.Platform.SetHosts(f.Hosts()) // the service is listed again; the claim of the key must stay void
	eventually(t, "the service is known again", func() bool { return len(f.Nodes[1].Loop().View().ServiceHosts("vouchers")) == 1 })
	_, body := post(t, f.Nodes[1].Callers(), "/v1/services/issue", "till", "{}", key)
	var e errorAnswer
	if err := json.Unmarshal([]byte(body), &e); err != nil || e.Error.Kind != fault.NotRun {
		t.Errorf("a repeat got %s, want not_run", body)
	}
	if n := f.Runners[0].Count(key["Idempotency-Key"]); n != 0 {
		t.Errorf("a call that was answered with not_run ran %d times", n)
	}
}

func TestUndecidedWhilePlatformIsDown(t *testing.T) {
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(1), devel.WithEngines(1))
	f.Platform.SetFault(platform.Fault{Down: true})
	key := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}
	_, body := post(t, f.Nodes[0].Callers(), "/v1/services/issue", "till", "{}", key)
	var e errorAnswer
	if err := json.Unmarshal([]byte(body), &e); err != nil || e.Error.Kind != fault.Undecided {
		t.Errorf("got %s, want undecided", body)
	}
	if status, body := post(t, f.Nodes[0].Callers(), "/v1/completions", "till", prompt(t, "go on", 2, false), nil); status != http.StatusOK {
		t.Errorf("a repeatable request got %d %s while the platform is down", status, body)
	}
	f.Platform.SetFault(platform.Fault{})
	status, body := post(t, f.Nodes[0].Callers(), "/v1/services/issue", "till", "{}", key)
	if status != http.StatusOK || f.Runners[0].Count(key["Idempotency-Key"]) != 1 {
		t.Errorf("after the outage the same key got %d %s", status, body)
	}
}
