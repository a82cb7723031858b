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

// relayedFleet has two halls with one daemon each. The daemons connect to each
// other and to the platform through relays.
type relayedFleet struct {
	*fleet
	peerRelays, platformRelays []*relay // by number of the daemon
}

func startRelayedFleet(t *testing.T) *relayedFleet {
	t.Helper()
	f := &fleet{t: t, platform: startStandin(t, "platform"), runner: startStandin(t, "runner")}
	rf := &relayedFleet{fleet: f}
	var list []hosts.Host
	for _, hall := range []string{"leon", "celaya"} {
		list = append(list, hosts.Host{Addr: f.runner.addr, Hall: hall, Role: hosts.Service, Service: "vouchers"})
		e := startStandin(t, "engine")
		list = append(list, hosts.Host{Addr: e.addr, Hall: hall, Role: hosts.Engine, ChecksFence: true})
		peer, store := newRelay(t), newRelay(t)
		store.forwardTo(f.platform.addr)
		d := startDaemonWith(t, hall, store.addr, fmt.Sprintf("advertise:\n  peers: %s\n", peer.addr))
		peer.forwardTo(d.loggedAddr("listens"))
		f.daemons, rf.peerRelays, rf.platformRelays = append(f.daemons, d), append(rf.peerRelays, peer), append(rf.platformRelays, store)
		list = append(list, hosts.Host{Addr: peer.addr, Hall: hall, Role: hosts.Entry})
	}
	f.control(f.platform, "/control/hosts", map[string]any{"hosts": list}, nil)
	f.eventually("a daemon answers operators", func() bool { return f.apply(devel.Templates()[0]) == nil })
	f.eventually("both daemons serve and see each other", func() bool { return f.serves(0) && f.serves(1) && rf.alive(0) == 2 && rf.alive(1) == 2 })
	return rf
}

func (f *fleet) serves(i int) bool {
	status, text := f.complete(f.daemons[i], 2, "")
	return status == http.StatusOK && text != ""
}

type templateStatus struct {
	ChangeNumber uint64 `json:"number"`
	PlatformDown bool   `json:"platform_down"`
	Daemons      []struct {
		Status string `json:"status"`
	} `json:"daemons"`
}

func (s *relayedFleet) status(i int) templateStatus {
	s.t.Helper()
	c := exec.Command(filepath.Join(binDir, "slipcrank"), "template", "status", "--json", "--addr", s.daemons[i].operatorsAddr)
	c.Env = append(os.Environ(), "SLIPCRANK_TOKEN="+operatorToken)
	var r templateStatus
	b, err := c.Output()
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return r
}

// alive returns the number of daemons that daemon i sees alive, itself included.
func (s *relayedFleet) alive(i int) int {
	n := 0
	for _, d := range s.status(i).Daemons {
		if d.Status == "alive" {
			n++
		}
	}
	return n
}

// issue sends an unrepeatable call to daemon i and returns the status and body of
// the answer.
func (f *fleet) issue(i int, key string) (int, string) {
	f.t.Helper()
	resp, err := request(f.daemons[i].addr, "/v1/services/issue", "{}", map[string]string{"Idempotency-Key": key, "X-Deadline-Ms": "3000"})
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// runCount returns the number of times that the runner ran the call with a key.
func (f *fleet) runCount(key string) int {
	f.t.Helper()
	var c struct {
		Counts map[string]int `json:"counts"`
	}
	f.control(f.runner, "/control/counts", nil, &c)
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

// TestHallCutFromOtherHallAndPlatform cuts the second hall off from everything but
// its callers and engines, and reconnects it later. Both halls must serve
// throughout. In the isolated hall, unrepeatable calls are undecided and template
// changes don't arrive until it is reconnected.
func TestHallCutFromOtherHallAndPlatform(t *testing.T) {
	const connected, isolated = 0, 1 // numbers of the halls' daemons
	s := startRelayedFleet(t)
	cut := func(c bool) {
		s.peerRelays[connected].setCut(c)
		s.peerRelays[isolated].setCut(c)
		s.platformRelays[isolated].setCut(c)
	}
	cut(true)
	s.eventually("the isolated hall reports that the platform is down", func() bool { return s.status(isolated).PlatformDown })
	s.eventually("neither daemon sees the other alive", func() bool { return s.alive(connected) == 1 && s.alive(isolated) == 1 })
	for i := range s.daemons {
		if !s.serves(i) {
			t.Errorf("daemon %d does not serve while the halls are disconnected", i)
		}
	}

	key := uuid.Must(uuid.NewV7()).String()
	if status, body := s.issue(isolated, key); status == http.StatusOK || errorKind(t, body) != "undecided" {
		t.Errorf("in the isolated hall an unrepeatable call got status %d, %s", status, body)
	}
	if n := s.runCount(key); n != 0 {
		t.Errorf("the undecided call ran %d times", n)
	}
	if status, body := s.issue(connected, uuid.Must(uuid.NewV7()).String()); status != http.StatusOK {
		t.Errorf("in the connected hall an unrepeatable call got status %d, %s", status, body)
	}

	changed := devel.Templates()[0].WithUrgency(template.Standard).WithVersion(1)
	if err := s.apply(changed); err != nil {
		t.Fatalf("apply a template change through the connected hall: %v", err)
	}
	s.eventually("the change is in force in the connected hall", func() bool { return s.status(connected).ChangeNumber == 2 })
	if n := s.status(isolated).ChangeNumber; n != 1 {
		t.Errorf("the isolated hall is at change %d before it is reconnected, want 1", n)
	}

	cut(false)
	s.eventually("the change is in force in both halls", func() bool { return s.status(connected).ChangeNumber == 2 && s.status(isolated).ChangeNumber == 2 })
	s.eventually("both daemons see each other again", func() bool { return s.alive(connected) == 2 && s.alive(isolated) == 2 })
	s.eventually("the undecided call runs when it is repeated", func() bool {
		status, _ := s.issue(isolated, key)
		return status == http.StatusOK
	})
	if _, body := s.issue(connected, key); s.runCount(key) != 1 {
		t.Errorf("the call ran %d times; the last answer is %s", s.runCount(key), body)
	}
}
