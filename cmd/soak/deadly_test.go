package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/site"
	"slipcrank.example/platform"
	"slipcrank.example/platform/standin"
)

const (
	deadlyHosts, deadlyServers = 9, 12
	// deadlyTime is the time for which callers repeat the deadly request,
	// deadlyInterval the time between two attempts of one caller.
	deadlyTime, deadlyInterval = 8 * time.Second, 100 * time.Millisecond
	// maxEnded is the maximum number of servers that one request may end.
	maxEnded = 4
)

// buildDaemon builds the daemon and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "slipcrankd")
	if out, err := exec.Command("go", "build", "-o", binary, "slipcrank.example/cmd/slipcrankd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// send sends a request to a host and reports whether the status was 200.
func send(h *host, path, attempt, body string) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.addr()+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Host = siteHost
	d := platform.Dialect()
	r.Header.Set("Authorization", d.KeyScheme+"key-0")
	r.Header.Set(d.AttemptID, attempt)
	r.Header.Set(d.Deadline, fmt.Sprint(requestDeadline.Milliseconds()))
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// TestDeadlyRequestEndsFewServers has three callers repeat a request that ends
// each server which starts to run it. They send it to nine hosts in three halls,
// which run as separate processes and know each other.
func TestDeadlyRequestEndsFewServers(t *testing.T) {
	runDeadlyRequests(t, func(hosts []*host) {
		waitForHosts(t, hosts, "know the other hosts", func(h *host) bool { return knowsHosts(h, deadlyHosts-1) })
	})
}

// TestDeadlyRequestEndsFewServersRightAfterStart guards against a deadly request
// that ends all twelve servers within half a second, one second after the start of
// all hosts. While hosts start, each reads the entries of the others only once per
// second. Until they know each other, hosts exchange no records of suspects, so
// each host treats the request as new. Hosts that know each other lose three or
// four servers to the same callers.
func TestDeadlyRequestEndsFewServersRightAfterStart(t *testing.T) {
	runDeadlyRequests(t, func([]*host) {})
}

// runDeadlyRequests starts hosts, calls ready with them once each serves, and then
// runs callers of a deadly request concurrently with callers of other requests.
func runDeadlyRequests(t *testing.T, ready func(hosts []*host)) {
	t.Helper()
	base := nextIPPrefix()
	store := standin.NewStore()
	l, err := net.Listen("tcp", base+"250:7000")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = http.Serve(l, store) }() // returns once the listener is closed
	var servers []*standin.Process
	for n := range deadlyServers {
		p, err := standin.StartProcess(store, backend.Server{
			ID: fmt.Sprintf("i-%d", n), Service: service, Addr: "127.0.0.1:0", Hall: fmt.Sprintf("hall-%d", n%hallCount), Slots: 8,
		}, n%2 == 0, time.Second, 500*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Stop)
		servers = append(servers, p)
	}
	store.PutConfig(1, []site.Route{{
		Name: "safe", Host: siteHost, Prefix: "/safe/", Attempts: 2, Timeout: 5 * time.Second, Objective: time.Second,
		Targets: []site.Target{{Service: service, Weight: 1}},
	}}, []string{service}, map[string]string{"key-0": "workspace-0"})
	hosts := startDeadlyHosts(t, base)
	waitForHosts(t, hosts, "serve", func(h *host) bool { return send(h, "/safe/probe", "probe", "harmless") })
	ready(hosts)
	ctx, cancel := context.WithTimeout(context.Background(), deadlyTime)
	defer cancel()
	var wg sync.WaitGroup
	for n := range 3 {
		wg.Go(func() {
			for i := 0; pause.For(ctx, deadlyInterval) == nil; i++ {
				send(hosts[(n+i)%len(hosts)], "/safe/bad", fmt.Sprintf("deadly-%d-%d", n, i), "one "+standin.FatalMarker)
			}
		})
	}
	var sent, answered atomic.Int64
	for n := range 6 {
		wg.Go(func() {
			for i := 0; pause.For(ctx, deadlyInterval/3) == nil; i++ {
				sent.Add(1)
				id := fmt.Sprintf("other-%d-%d", n, i)
				if send(hosts[(n+i)%len(hosts)], "/safe/"+id, id, "harmless") {
					answered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	ended := 0
	for _, p := range servers {
		ended += len(p.Crashes())
	}
	t.Logf("%d servers ended; %d of %d other requests were answered", ended, answered.Load(), sent.Load())
	if ended < 1 || ended > maxEnded {
		t.Errorf("one request ended %d servers, want 1 to %d", ended, maxEnded)
	}
}

// startDeadlyHosts starts deadlyHosts hosts, spread over all halls.
func startDeadlyHosts(t *testing.T, base string) []*host {
	t.Helper()
	dir, binary := t.TempDir(), buildDaemon(t)
	var hosts []*host
	for n := range deadlyHosts {
		h, err := newHost(dir, binary, fmt.Sprintf("host-%d", n), fmt.Sprintf("hall-%d", n%hallCount), fmt.Sprintf("%s%d", base, n+1))
		if err != nil {
			t.Fatal(err)
		}
		if h.store, err = newProxy(fmt.Sprintf("%s:%d", h.ip, storePort), base+"250:7000", nil); err != nil {
			t.Fatal(err)
		}
		if err := h.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { h.signal(syscall.SIGKILL) })
		hosts = append(hosts, h)
	}
	return hosts
}

// waitForHosts waits until ok is true of each host. condition describes it.
func waitForHosts(t *testing.T, hosts []*host, condition string, ok func(h *host) bool) {
	t.Helper()
	deadline := time.Now().Add(startTimeout)
	for _, h := range hosts {
		for !ok(h) {
			if time.Now().After(deadline) {
				t.Fatalf("%s does not %s within %v", h.name, condition, startTimeout)
			}
			_ = pause.For(context.Background(), callerInterval) // the context never ends
		}
	}
}

// knowsHosts reports whether, by its metrics, a host knows the given number of
// other hosts.
func knowsHosts(h *host, others int) bool {
	a, err := http.Get(fmt.Sprintf("http://%s:%d/", h.ip, metricsPort))
	if err != nil {
		return false
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return err == nil && strings.Contains(string(b), fmt.Sprintf("slipcrank_other_hosts %d\n", others))
}
