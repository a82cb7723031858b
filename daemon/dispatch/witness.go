package dispatch

import (
	"slices"
	"strconv"

	"slipcrank.example/core/member"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/control"
)

// startOf names the life that an engine is in.
func startOf(addr string, incarnation uint64) string {
	return addr + "@" + strconv.FormatUint(incarnation, 10)
}

// check compares what is known of suspects with the engines of a view. One whose
// incarnation is a later one has ended. An engine that is only unreachable proves
// nothing: the daemons that poll it may be cut off.
func (s *suspects) check(v *control.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if v != s.seen {
		s.seen = v
		s.roster.Update(starts(v), now)
	}
	s.note(s.book.Reconcile(func(server uint32) quarantine.Listing {
		if l := s.roster.Listing(server, now); l == quarantine.Terminated {
			return l
		}
		return quarantine.Inconclusive // engines that are down stay in the view for minutes
	}, now))
}

// starts lists the engines for a roster.
func starts(v *control.View) []quarantine.Instance {
	var list []quarantine.Instance
	for _, e := range v.Engines {
		list = append(list, quarantine.Instance{ID: startOf(e.Addr, e.Incarnation), Name: e.Addr, Hall: e.Hall})
	}
	return list
}

// witness looks at engines that another daemon has found closed, where this one is a
// witness, and tells others if it finds them closed too. Nobody waits for it.
func (d *Dispatcher) witness(r quarantine.Record) {
	v := d.loop.View()
	for _, e := range r.Crashes {
		if e.Confirmed {
			continue
		}
		for _, g := range v.Engines {
			if quarantine.ServerDigest(startOf(g.Addr, g.Incarnation)) == e.Server && witnesses(v, g.Hall, e) {
				d.background(func() { d.look(g.Addr, e.Server) })
			}
		}
	}
}

// witnesses reports whether this daemon is to look at an engine of a hall.
func witnesses(v *control.View, hall string, e quarantine.Crash) bool {
	var hosts []quarantine.Host
	for _, m := range v.Members {
		if m.Status == member.Alive || m.Status == member.Suspect {
			hosts = append(hosts, quarantine.Host{Number: quarantine.ServerDigest(m.Addr), Hall: m.Hall})
		}
	}
	return slices.Contains(quarantine.Witnesses(e.Server, hall, e.Reporter, hosts), quarantine.ServerDigest(v.Self.Addr))
}

// look proves an engine's end, if this daemon finds it closed too.
func (d *Dispatcher) look(addr string, digest uint32) {
	if !d.closed(addr, lookTime) {
		return
	}
	rs, changes := d.suspects.book.ConfirmCrash(digest, d.suspects.clock.Now())
	d.suspects.note(changes)
	if len(rs) > 0 {
		d.suspects.tell(rs)
	}
}
