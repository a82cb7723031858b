package dispatch

import (
	"slices"
	"strconv"

	"slipcrank.example/core/member"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/control"
)

// instanceID identifies one incarnation of an engine.
func instanceID(addr string, incarnation uint64) string {
	return addr + "@" + strconv.FormatUint(incarnation, 10)
}

// reconcile compares the recorded crashes with the engines of a view. An engine with
// a later incarnation than before has crashed or restarted. An engine that is only
// unreachable proves nothing, since the daemons that poll it may be cut off from it.
func (s *suspects) reconcile(v *control.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if v != s.rosterView {
		s.rosterView = v
		s.roster.Update(instances(v), now)
	}
	s.logChanges(s.registry.Reconcile(func(server uint32) quarantine.Listing {
		if l := s.roster.Listing(server, now); l == quarantine.Terminated {
			return l
		}
		return quarantine.Inconclusive // engines that are down stay in the view for minutes
	}, now))
}

// instances returns the engines of a view as entries for a roster.
func instances(v *control.View) []quarantine.Instance {
	var list []quarantine.Instance
	for _, e := range v.Engines {
		list = append(list, quarantine.Instance{ID: instanceID(e.Addr, e.Incarnation), Name: e.Addr, Hall: e.Hall})
	}
	return list
}

// probeAsWitness probes, in the background, those engines of an unconfirmed record
// for which this daemon is a witness.
func (d *Dispatcher) probeAsWitness(r quarantine.Record) {
	v := d.loop.View()
	for _, crash := range r.Crashes {
		if crash.Confirmed {
			continue
		}
		for _, e := range v.Engines {
			if quarantine.ServerDigest(instanceID(e.Addr, e.Incarnation)) == crash.Server && isWitness(v, e.Hall, crash) {
				d.background(func() { d.confirmCrash(v, e.Addr, crash.Server) })
			}
		}
	}
}

// isWitness reports whether this daemon has to probe an engine in a hall to confirm
// a crash.
func isWitness(v *control.View, hall string, crash quarantine.Crash) bool {
	var hosts []quarantine.Host
	for _, m := range v.Members {
		if m.Status == member.Alive || m.Status == member.Suspect {
			hosts = append(hosts, quarantine.Host{Number: quarantine.ServerDigest(m.Addr), Hall: m.Hall})
		}
	}
	return slices.Contains(quarantine.Witnesses(crash.Server, hall, crash.Reporter, hosts), quarantine.ServerDigest(v.Self.Addr))
}

// confirmCrash probes an engine. If its port is closed and those of others are not, it
// confirms the crash and sends the changed records to other daemons.
func (d *Dispatcher) confirmCrash(v *control.View, addr string, digest uint32) {
	if !d.foundDown(v, addr, witnessProbeTimeout) {
		return
	}
	rs, changes := d.suspects.registry.ConfirmCrash(digest, d.suspects.clock.Now())
	d.suspects.logChanges(changes)
	if len(rs) > 0 {
		d.suspects.send(rs)
	}
}
