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
	// deadlyPlay is for how long a deadly request comes again, deadlyPause between
	// two tries of one caller.
	deadlyPlay, deadlyPause = 8 * time.Second, 100 * time.Millisecond
	// mostEnded is how many servers one request may end in all.
	mostEnded = 4
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

// ask sends a request to a host and reports whether it was answered well.
func ask(h *host, path, attempt, body string) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.addr()+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Host = callerHost
	d := platform.Dialect()
	r.Header.Set("Authorization", d.KeyScheme+"key-0")
	r.Header.Set(d.AttemptID, attempt)
	r.Header.Set(d.Deadline, fmt.Sprint(deadline.Milliseconds()))
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// TestFewServersEndAcrossProcesses has three callers send a request that ends each
// server which begins to run it to nine hosts in three halls, which are processes of
// their own and know each other.
func TestFewServersEndAcrossProcesses(t *testing.T) {
	playDeadly(t, "127.1.77.", func(hosts []*host) {
		await(t, hosts, "know the others", func(h *host) bool { return knows(h, deadlyHosts-1) })
	})
}

// TestFewServersEndAsHostsStart: a request ended all twelve servers in half a second,
// and each host took it for new. All hosts had started a second before. What a host
// reads of the others as they start it reads a second apart, and until then nobody
// tells it under which request servers ended, nor does it tell others. The evidence:
// the log of who knows how many others; hosts that know each other lose three or four
// servers to the same callers.
func TestFewServersEndAsHostsStart(t *testing.T) {
	playDeadly(t, "127.1.78.", func([]*host) {})
}

// playDeadly starts hosts, calls ready with them once each serves, and plays callers
// of a deadly request beside others.
func playDeadly(t *testing.T, base string, ready func(hosts []*host)) {
	t.Helper()
	store := standin.NewStore()
	l, err := net.Listen("tcp", base+"250:7000")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = http.Serve(l, store) }() // ends with the listener
	var servers []*standin.Process
	for n := range deadlyServers {
		p, err := standin.StartProcess(store, backend.Server{
			ID: fmt.Sprintf("i-%d", n), Service: service, Addr: "127.0.0.1:0", Hall: fmt.Sprintf("hall-%d", n%halls), Slots: 8,
		}, n%2 == 0, time.Second, 500*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Stop)
		servers = append(servers, p)
	}
	store.PutConfig(1, []site.Route{{
		Name: "safe", Host: callerHost, Prefix: "/safe/", Attempts: 2, Timeout: 5 * time.Second, Objective: time.Second,
		Targets: []site.Target{{Service: service, Weight: 1}},
	}}, []string{service}, map[string]string{"key-0": "workspace-0"})
	hosts := deadlyFleet(t, base)
	await(t, hosts, "serve", func(h *host) bool { return ask(h, "/safe/probe", "probe", "harmless") })
	ready(hosts)
	ctx, cancel := context.WithTimeout(context.Background(), deadlyPlay)
	defer cancel()
	var all sync.WaitGroup
	for n := range 3 {
		all.Go(func() {
			for i := 0; pause.For(ctx, deadlyPause) == nil; i++ {
				ask(hosts[(n+i)%len(hosts)], "/safe/bad", fmt.Sprintf("deadly-%d-%d", n, i), "one "+standin.FatalMarker)
			}
		})
	}
	var asked, answered atomic.Int64
	for n := range 6 {
		all.Go(func() {
			for i := 0; pause.For(ctx, deadlyPause/3) == nil; i++ {
				asked.Add(1)
				id := fmt.Sprintf("other-%d-%d", n, i)
				if ask(hosts[(n+i)%len(hosts)], "/safe/"+id, id, "harmless") {
					answered.Add(1)
				}
			}
		})
	}
	all.Wait()
	ended := 0
	for _, p := range servers {
		ended += len(p.Crashes())
	}
	t.Logf("%d servers ended; %d of %d other requests were answered", ended, answered.Load(), asked.Load())
	if ended < 1 || ended > mostEnded {
		t.Errorf("%d servers ended under one request, want 1 to %d", ended, mostEnded)
	}
}

// deadlyFleet starts hosts in three halls.
func deadlyFleet(t *testing.T, base string) []*host {
	t.Helper()
	dir, binary := t.TempDir(), buildDaemon(t)
	var hosts []*host
	for n := range deadlyHosts {
		h, err := newHost(dir, binary, fmt.Sprintf("host-%d", n), fmt.Sprintf("hall-%d", n%halls), fmt.Sprintf("%s%d", base, n+1))
		if err != nil {
			t.Fatal(err)
		}
		if h.store, err = newProxy(fmt.Sprintf("%s:%d", h.ip, storePort), base+"250:7000"); err != nil {
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

// await waits until something holds of each host.
func await(t *testing.T, hosts []*host, what string, holds func(h *host) bool) {
	t.Helper()
	end := time.Now().Add(startTime)
	for _, h := range hosts {
		for !holds(h) {
			if time.Now().After(end) {
				t.Fatalf("%s doesn't %s within %v", h.name, what, startTime)
			}
			_ = pause.For(context.Background(), callerPause) // never ends early
		}
	}
}

// knows reports whether a host knows so many others, by its metrics.
func knows(h *host, others int) bool {
	a, err := http.Get(fmt.Sprintf("http://%s:%d/", h.ip, metricsPort))
	if err != nil {
		return false
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return err == nil && strings.Contains(string(b), fmt.Sprintf("slipcrank_other_hosts %d\n", others))
}
