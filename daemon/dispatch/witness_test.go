package dispatch

import (
	"testing"

	"slipcrank.example/core/directory"
	"slipcrank.example/core/member"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/control"
)

// TestLaterLifeProvesAnEnd has a prompt end an engine by one daemon's word, and looks
// at the engine as the daemon sees it afterwards.
func TestLaterLifeProvesAnEnd(t *testing.T) {
	engine := func(incarnation uint64, s directory.Status) *control.View {
		return &control.View{Engines: []directory.Engine{{Addr: "a", Hall: "h", Incarnation: incarnation, Status: s}}}
	}
	for name, tc := range map[string]struct {
		then   *control.View
		proved bool
	}{
		"in another life":    {engine(2, directory.Up), true},
		"only unreachable":   {engine(1, directory.Down), false},
		"not known any more": {&control.View{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, id := newSuspects(), quarantine.Request{Target: "/deadly"}.Identity()
			s.check(engine(1, directory.Up))
			s.book.AddCrash(id, quarantine.Crash{Server: quarantine.ServerDigest(startOf("a", 1)), Reporter: 1}, s.clock.Now())
			s.check(tc.then)
			if r, _ := s.book.Lookup(id.Fingerprint, s.clock.Now()); r.HasUnconfirmed() == tc.proved {
				t.Errorf("known of the prompt: %+v, want proved %v", r.Crashes, tc.proved)
			}
		})
	}
}

// TestDaemonsOfTheHallAreWitnesses asks each of three daemons whether it is to look at
// an engine that one of them has found closed.
func TestDaemonsOfTheHallAreWitnesses(t *testing.T) {
	members := []member.Member{{Addr: "a1", Hall: "a"}, {Addr: "a2", Hall: "a"}, {Addr: "b1", Hall: "b"}}
	e := quarantine.Crash{Server: 7, Reporter: quarantine.ServerDigest("b1")}
	for _, m := range members {
		v := &control.View{Self: m, Members: members}
		if got := witnesses(v, "a", e); got != (m.Hall == "a") {
			t.Errorf("%s is a witness: %v", m.Addr, got)
		}
	}
}
