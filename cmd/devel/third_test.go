package devel_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"

	"slipcrank.example/cmd/devel"
)

// TestThirdOfDaemonsAndEnginesDies kills a third of the daemons and of the engines
// during streams and unrepeatable calls. The streams of the other daemons must
// complete, and no call may run twice.
func TestThirdOfDaemonsAndEnginesDies(t *testing.T) {
	const perDaemon, tokens = 12, 60
	f := start(t, devel.WithHalls("oslo-a", "oslo-b"), devel.WithDaemons(3), devel.WithEngines(3))
	survivors := []int{1, 2, 4, 5}
	var running, wg sync.WaitGroup
	var mu sync.Mutex
	lost, keys := 0, []string{}
	for _, i := range survivors {
		for range perDaemon {
			running.Add(1)
			wg.Go(func() {
				once := sync.OnceFunc(running.Done)
				defer once()
				_, b := openStream(t, t.Context(), f.Nodes[i].Callers(), "captions", prompt(t, "a caption", tokens, true))
				once()
				done, last := false, ""
				for {
					line, err := b.ReadString('\n')
					if err != nil {
						break
					}
					done = done || strings.HasPrefix(line, "data: [DONE]")
					if strings.HasPrefix(line, "data: ") {
						last = line
					}
				}
				mu.Lock()
				defer mu.Unlock()
				if !done {
					lost++
					t.Logf("incomplete stream, last event: %s", last)
				}
			})
			key := uuid.Must(uuid.NewV7()).String()
			keys = append(keys, key)
			wg.Go(func() {
				status, body := post(t, f.Nodes[i].Callers(), "/v1/services/issue", "till", "{}", map[string]string{"Idempotency-Key": key})
				if status != http.StatusOK && errorKind(t, body) == "" {
					t.Errorf("a call got %d %s", status, body)
				}
			})
		}
	}
	running.Wait()
	for _, i := range []int{0, 3} {
		f.Nodes[i].Close()
	}
	for _, i := range []int{0, 3} {
		f.KillEngine(i)
	}
	wg.Wait()
	if lost > 0 {
		t.Errorf("%d of %d streams of the remaining daemons are incomplete", lost, len(survivors)*perDaemon)
	}
	for _, k := range keys {
		if n := f.Runners[0].Count(k) + f.Runners[1].Count(k); n > 1 {
			t.Errorf("key %s ran %d times", k, n)
		}
	}
}
