package dispatch

import (
	"testing"

	"slipcrank.example/core/directory"
	"slipcrank.example/core/member"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/control"
)

// TestLaterIncarnationConfirmsCrash records an unconfirmed crash of an engine, and
// then reconciles it with a view in which the engine has restarted, is unreachable or
// is missing.
func TestLaterIncarnationConfirmsCrash(t *testing.T) {
	engine := func(incarnation uint64, s directory.Status) *control.View {
		return &control.View{Engines: []directory.Engine{{Addr: "a", Hall: "h", Incarnation: incarnation, Status: s}}}
	}
	for name, tc := range map[string]struct {
		next      *control.View
		confirmed bool
	}{
		"later incarnation":     {engine(2, directory.Up), true},
		"unreachable":           {engine(1, directory.Down), false},
		"missing from the view": {&control.View{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, id := newSuspects(), quarantine.Request{Target: "/deadly"}.Identity()
			s.reconcile(engine(1, directory.Up))
			s.registry.AddCrash(id, quarantine.Crash{Server: quarantine.ServerDigest(instanceID("a", 1)), Reporter: 1}, s.clock.Now())
			s.reconcile(tc.next)
			if r, _ := s.registry.Lookup(id.Fingerprint, s.clock.Now()); r.HasUnconfirmed() == tc.confirmed {
				t.Errorf("crashes: %+v, want confirmed %v", r.Crashes, tc.confirmed)
			}
		})
	}
}

// TestOnlyDaemonsInTheEnginesHallAreWitnesses checks for each of three daemons
// whether it is a witness for an engine that the daemon b1, in the other hall, has
// found closed.
func TestOnlyDaemonsInTheEnginesHallAreWitnesses(t *testing.T) {
	members := []member.Member{{Addr: "a1", Hall: "a"}, {Addr: "a2", Hall: "a"}, {Addr: "b1", Hall: "b"}}
	e := quarantine.Crash{Server: 7, Reporter: quarantine.ServerDigest("b1")}
	for _, m := range members {
		v := &control.View{Self: m, Members: members}
		if got := isWitness(v, "a", e); got != (m.Hall == "a") {
			t.Errorf("%s is a witness: %v", m.Addr, got)
		}
	}
}
