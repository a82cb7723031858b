package main_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/google/uuid"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/template"
)

// site is two halls of one daemon each. What daemons say to each other and to
// the platform goes through relays.
type site struct {
	*fleet
	peers, stores []*relay // by daemon
}

func startSite(t *testing.T) *site {
	t.Helper()
	f := &fleet{t: t, platform: standin(t, "platform"), runner: standin(t, "runner")}
	s := &site{fleet: f}
	var list []hosts.Host
	for _, hall := range []string{"leon", "celaya"} {
		list = append(list, hosts.Host{Addr: f.runner.addr, Hall: hall, Role: hosts.Service, Service: "vouchers"})
		e := standin(t, "engine")
		list = append(list, hosts.Host{Addr: e.addr, Hall: hall, Role: hosts.Engine, ChecksFence: true})
		peer, store := newRelay(t), newRelay(t)
		store.passTo(f.platform.addr)
		d := daemonWith(t, hall, store.addr, fmt.Sprintf("advertise:\n  peers: %s\n", peer.addr))
		peer.passTo(d.logged("listens"))
		f.daemons, s.peers, s.stores = append(f.daemons, d), append(s.peers, peer), append(s.stores, store)
		list = append(list, hosts.Host{Addr: peer.addr, Hall: hall, Role: hosts.Entry})
	}
	f.must(f.platform, "/control/hosts", map[string]any{"hosts": list}, nil)
	f.eventually("a daemon answers operators", func() bool { return f.apply(devel.Templates()[0]) == nil })
	f.eventually("both daemons serve and know each other", func() bool { return f.serves(0) && f.serves(1) && s.alive(0) == 2 && s.alive(1) == 2 })
	return s
}

func (f *fleet) serves(i int) bool {
	status, text := f.complete(f.daemons[i], 2, "")
	return status == http.StatusOK && text != ""
}

type siteStatus struct {
	Number       uint64 `json:"number"`
	PlatformDown bool   `json:"platform_down"`
	Daemons      []struct {
		Status string `json:"status"`
	} `json:"daemons"`
}

func (s *site) status(i int) siteStatus {
	s.t.Helper()
	c := exec.Command(filepath.Join(binaries, "slipcrank"), "template", "status", "--json", "--addr", s.daemons[i].ops)
	c.Env = append(os.Environ(), "SLIPCRANK_TOKEN="+token)
	var r siteStatus
	b, err := c.Output()
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return r
}

// alive returns how many daemons daemon i sees alive, itself among them.
func (s *site) alive(i int) int {
	n := 0
	for _, d := range s.status(i).Daemons {
		if d.Status == "alive" {
			n++
		}
	}
	return n
}

// issue sends an unrepeatable call and returns its status and answer.
func (f *fleet) issue(i int, key string) (int, string) {
	f.t.Helper()
	a, err := request(f.daemons[i].addr, "/v1/services/issue", "{}", map[string]string{"Idempotency-Key": key, "X-Deadline-Ms": "3000"})
	if err != nil {
		f.t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return a.StatusCode, string(b)
}

// ran returns how often the runner ran a key.
func (f *fleet) ran(key string) int {
	f.t.Helper()
	var c struct {
		Counts map[string]int `json:"counts"`
	}
	f.must(f.runner, "/control/counts", nil, &c)
	return c.Counts[key]
}

func errorKind(t *testing.T, body string) string {
	t.Helper()
	var e struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatalf("not an error answer: %q", body)
	}
	return e.Error.Kind
}

// TestHallCutFromTheOtherAndFromThePlatform cuts the second hall off from
// everything but its callers and its engines, and heals it.
func TestHallCutFromTheOtherAndFromThePlatform(t *testing.T) {
	const near, far = 0, 1 // the far hall is cut off
	s := startSite(t)
	cut := func(c bool) {
		s.peers[near].cutOff(c)
		s.peers[far].cutOff(c)
		s.stores[far].cutOff(c)
	}
	cut(true)
	s.eventually("the far hall says that it is without the platform", func() bool { return s.status(far).PlatformDown })
	s.eventually("each sees the other gone", func() bool { return s.alive(near) == 1 && s.alive(far) == 1 })
	for i := range s.daemons {
		if !s.serves(i) {
			t.Errorf("cut off, daemon %d does not serve", i)
		}
	}

	key := uuid.Must(uuid.NewV7()).String()
	if status, body := s.issue(far, key); status == http.StatusOK || errorKind(t, body) != "undecided" {
		t.Errorf("without the platform an unrepeatable call got status %d, %s", status, body)
	}
	if n := s.ran(key); n != 0 {
		t.Errorf("the undecided call ran %d times", n)
	}
	if status, body := s.issue(near, uuid.Must(uuid.NewV7()).String()); status != http.StatusOK {
		t.Errorf("in the hall that has the platform an unrepeatable call got status %d, %s", status, body)
	}

	next := devel.Templates()[0].WithUrgency(template.Standard).WithVersion(1)
	if err := s.apply(next); err != nil {
		t.Fatalf("a template change through the hall that has the platform: %v", err)
	}
	s.eventually("the change is in force in the near hall", func() bool { return s.status(near).Number == 2 })
	if n := s.status(far).Number; n != 1 {
		t.Errorf("the far hall is at change %d before it was healed", n)
	}

	cut(false)
	s.eventually("the change is in force in both halls", func() bool { return s.status(near).Number == 2 && s.status(far).Number == 2 })
	s.eventually("both see each other again", func() bool { return s.alive(near) == 2 && s.alive(far) == 2 })
	s.eventually("the undecided call runs when it is asked for again", func() bool {
		status, _ := s.issue(far, key)
		return status == http.StatusOK
	})
	if _, body := s.issue(near, key); s.ran(key) != 1 {
		t.Errorf("the call ran %d times; the last answer is %s", s.ran(key), body)
	}
}
