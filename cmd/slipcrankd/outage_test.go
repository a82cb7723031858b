package main_test

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/google/uuid"
)

// leaseHolder returns the holder of the hall's control lease as last seen by
// daemon i, or "" if its status can't be read.
func (f *fleet) leaseHolder(i int) string {
	f.t.Helper()
	c := exec.Command(filepath.Join(binDir, "slipcrank"), "template", "status", "--json", "--addr", f.daemons[i].operatorsAddr)
	c.Env = append(os.Environ(), "SLIPCRANK_TOKEN="+operatorToken)
	b, err := c.Output()
	if err != nil {
		return ""
	}
	var r struct {
		LeaseHolder string `json:"lease_holder"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		f.t.Fatal(err)
	}
	return r.LeaseHolder
}

// holdsLease reports whether daemon i sees itself as the holder of the lease.
func (f *fleet) holdsLease(i int) bool {
	return strings.HasPrefix(f.leaseHolder(i), f.daemons[i].peerAddr+"/")
}

// TestFrozenLeaseHolderDoesNotTakeLeaseBack freezes the lease holder until another
// daemon holds the lease. Once resumed, the first must serve but not take the
// lease back.
func TestFrozenLeaseHolderDoesNotTakeLeaseBack(t *testing.T) {
	f := startFleet(t, 2, 1)
	first := -1
	f.eventually("a daemon holds the lease", func() bool {
		for i := range f.daemons {
			if f.holdsLease(i) {
				first = i
			}
		}
		return first >= 0
	})
	second := 1 - first
	f.daemons[first].signal(syscall.SIGSTOP)
	f.eventually("the other daemon holds the lease", func() bool { return f.holdsLease(second) })
	f.daemons[first].signal(syscall.SIGCONT)
	f.eventually("the resumed daemon sees that it has lost the lease", func() bool {
		return strings.HasPrefix(f.leaseHolder(first), f.daemons[second].peerAddr+"/")
	})
	if !f.holdsLease(second) {
		t.Error("the resumed daemon took the lease back from a running daemon")
	}
	f.eventually("the resumed daemon serves", func() bool {
		s, _ := f.complete(f.daemons[first], 2, "")
		return s == http.StatusOK
	})
}

// TestFrozenPlatformDoesNotStopRepeatableRequests freezes the platform.
// Repeatable requests must be served; a call that isn't repeatable must not run
// until its claim can be written again.
func TestFrozenPlatformDoesNotStopRepeatableRequests(t *testing.T) {
	f := startFleet(t, 2, 2)
	f.platform.signal(syscall.SIGSTOP)
	for i := range 10 {
		if s, text := f.complete(f.daemons[i%2], 3, ""); s != http.StatusOK || text == "" {
			t.Errorf("request %d got status %d, text %q", i, s, text)
		}
	}
	header := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String(), "X-Deadline-Ms": "1500"}
	resp, err := request(f.daemons[0].addr, "/v1/services/issue", "{}", header)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		t.Error("a call that is not repeatable ran without a claim")
	}
	f.platform.signal(syscall.SIGCONT)
	f.eventually("a new call runs after the platform has resumed", func() bool {
		fresh := uuid.Must(uuid.NewV7()).String()
		resp, err := request(f.daemons[1].addr, "/v1/services/issue", "{}", map[string]string{"Idempotency-Key": fresh})
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	var c struct {
		Counts map[string]int `json:"counts"`
	}
	f.control(f.runner, "/control/counts", nil, &c)
	for k, n := range c.Counts {
		if n > 1 {
			t.Errorf("key %s ran %d times", k, n)
		}
	}
}
