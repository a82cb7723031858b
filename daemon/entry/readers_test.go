package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slipcrank.example/core/route"
	"slipcrank.example/daemon/watch"
)

// site returns hosts of three halls, whose names and addresses are the same.
func site(perHall int) []watch.Host {
	var hs []watch.Host
	for n := range 3 * perHall {
		name := fmt.Sprintf("host-%d", n)
		hs = append(hs, watch.Host{Name: name, Addr: name, Hall: fmt.Sprintf("hall-%d", n%3)})
	}
	return hs
}

// seenBy is the situation of the host at a place of its hall.
func seenBy(hosts []watch.Host, place int, told, proven time.Duration) situation {
	var hall []string
	for _, h := range hosts {
		if h.Hall == "hall-0" {
			hall = append(hall, h.Name)
		}
	}
	s := situation{host: route.Rank(readersKey, hall)[place], hall: "hall-0", told: told, proven: proven, bound: 3 * time.Second}
	for _, h := range hosts {
		if h.Name != s.host {
			s.others = append(s.others, h)
		}
	}
	return s
}

func TestChoose(t *testing.T) {
	const (
		fresh, late, later = time.Second, 2800 * time.Millisecond, 3100 * time.Millisecond
		latest, alone      = 4 * time.Second, 6 * time.Second
		hallPause          = 25 * othersPause
	)
	for name, tc := range map[string]struct {
		perHall, place int
		told, proven   time.Duration
		asking         watch.PollScope
		hears          int
		pause          time.Duration
	}{
		"a reader":                              {25, 0, fresh, fresh, watch.PollAll, 2, askersPause},
		"the second of its hall":                {25, 1, fresh, fresh, watch.PollNothing, 2, askersPause},
		"the second, told late":                 {25, 1, late, fresh, watch.PollAll, 2, askersPause},
		"the second, without news":              {25, 1, late, late, watch.PollAll, 7 + otherHallsStale, askersPause},
		"another":                               {25, 2, fresh, fresh, watch.PollNothing, 2, askersPause},
		"far down the order":                    {25, 20, fresh, fresh, watch.PollNothing, 2, hallPause},
		"the third, told late":                  {25, 2, late, late, watch.PollNothing, 2, askersPause},
		"the third, told later":                 {25, 2, later, later, watch.PollAll, 2, askersPause},
		"the fifth, told later":                 {25, 4, later, later, watch.PollNothing, 2, askersPause},
		"the fifth, told latest":                {25, 4, latest, latest, watch.PollAll, 2, askersPause},
		"far down the order, told later":        {25, 20, later, later, watch.PollNothing, 2, hallPause},
		"far down the order, told of no proof":  {25, 20, latest, latest, watch.PollConfig, 2, hallPause},
		"far down, no news while all is silent": {25, 20, alone, alone, watch.PollConfig, 2, hallPause},
		"far down, no news but from the store":  {25, 20, alone, fresh, watch.PollAll, 2, hallPause},
		"alone in its hall":                     {1, 0, fresh, fresh, watch.PollAll, 1, askersPause},
	} {
		t.Run(name, func(t *testing.T) {
			c := seenBy(site(tc.perHall), tc.place, tc.told, tc.proven).choose()
			if c.asking != tc.asking || len(c.hear) != tc.hears || c.pause != tc.pause {
				t.Errorf("asks %v, hears %v, pauses up to %v; want %v, %d hosts, %v", c.asking, c.hear, c.pause, tc.asking, tc.hears, tc.pause)
			}
		})
	}
}

// TestTwoOfAHallAskWhereThereIsNoOther has the second host of the only hall ask
// too: nobody else would tell it what the first one misses.
func TestTwoOfAHallAskWhereThereIsNoOther(t *testing.T) {
	s := seenBy(site(25), 1, time.Second, time.Second)
	s.others = slices.DeleteFunc(s.others, func(h watch.Host) bool { return h.Hall != s.hall })
	if c := s.choose(); c.asking != watch.PollAll {
		t.Errorf("the second host of the only hall asks %v", c.asking)
	}
}

// TestOldListIsAskedFor: a host's list of servers stayed old while the configuration
// was proven anew by those that told it, and nothing had it ask for the list itself.
func TestOldListIsAskedFor(t *testing.T) {
	const fresh, bound = time.Second, 3 * time.Second
	for name, tc := range map[string]struct {
		old  []bool // each quarter second, whether the list is too old
		want watch.PollScope
	}{
		"a list that is fresh":        {[]bool{false, false}, watch.PollNothing},
		"one that has just grown old": {[]bool{false, true, true}, watch.PollNothing},
		"one that stays old":          {slices.Repeat([]bool{true}, 8), watch.PollAll},
		"one that is told again":      {append(slices.Repeat([]bool{true}, 8), false, true), watch.PollNothing},
	} {
		t.Run(name, func(t *testing.T) {
			r, now := readers{}, time.Now()
			for _, old := range tc.old {
				now = now.Add(upkeepPeriod)
				r.noteList(now, old)
			}
			s := seenBy(site(25), 20, fresh, fresh)
			s.bound, s.listOld = bound, r.oldFor(now)
			if c := s.choose(); c.asking != tc.want {
				t.Errorf("asks %v, want %v", c.asking, tc.want)
			}
		})
	}
}

// TestNewsReachEachHost follows who hears whom, from one host that the
// platform serves while it turns away all others.
func TestNewsReachEachHost(t *testing.T) {
	for name, perHall := range map[string]int{"small halls": 3, "grown halls": 25, "large halls": 100} {
		t.Run(name, func(t *testing.T) {
			hosts := site(perHall)
			hears := map[string][]string{}
			for _, h := range hosts {
				s := situation{host: h.Name, hall: h.Hall, told: 4 * time.Second, proven: 4 * time.Second, bound: 3 * time.Second}
				s.others = slices.DeleteFunc(slices.Clone(hosts), func(o watch.Host) bool { return o.Name == h.Name })
				hears[h.Name] = s.choose().hear
			}
			for place := range min(hallAskers, perHall) {
				served := seenBy(hosts, place, 0, 0).host
				heard := map[string]bool{served: true}
				for range 8 { // steps from host to host
					for h, from := range hears {
						if slices.ContainsFunc(from, func(n string) bool { return heard[n] }) {
							heard[h] = true
						}
					}
				}
				if len(heard) != len(hosts) {
					t.Errorf("news of %s, at place %d of its hall, reach %d of %d hosts", served, place, len(heard), len(hosts))
				}
			}
		})
	}
}

// TestNoHostIsHeardByMany counts the listeners of each host of a large fleet.
func TestNoHostIsHeardByMany(t *testing.T) {
	hosts := site(100)
	listeners := map[string]int{}
	for _, h := range hosts {
		s := situation{host: h.Name, hall: h.Hall, bound: 3 * time.Second}
		s.others = slices.DeleteFunc(slices.Clone(hosts), func(o watch.Host) bool { return o.Name == h.Name })
		for _, from := range s.choose().hear {
			listeners[from]++
		}
	}
	for h, n := range listeners {
		if most := heardHosts*fanout + 2*hallReaders + 2; n > most {
			t.Errorf("%s is heard by %d hosts, want at most %d", h, n, most)
		}
	}
}

func TestWideLinksComeFirst(t *testing.T) {
	hosts := site(25)
	for i := range hosts {
		hosts[i].Link = 20
	}
	hosts[3].Link, hosts[30].Link = 200, 200 // of hall-0
	asking, listeners := 0, map[string]int{}
	for _, h := range hosts {
		if h.Hall != "hall-0" {
			continue
		}
		s := situation{host: h.Name, hall: h.Hall, link: h.Link, bound: 3 * time.Second}
		s.others = slices.DeleteFunc(slices.Clone(hosts), func(o watch.Host) bool { return o.Name == h.Name })
		c := s.choose()
		if c.asking != watch.PollNothing {
			asking++
			if h.Link != 200 {
				t.Errorf("%s with a link of %v Mbit/s asks the platform", h.Name, h.Link)
			}
		}
		for _, from := range c.hear {
			listeners[from]++
		}
	}
	if asking != 1 {
		t.Errorf("%d hosts of the hall ask, want one", asking)
	}
	for _, wide := range []string{hosts[3].Name, hosts[30].Name} {
		if listeners[wide] < fanout {
			t.Errorf("%s is heard by %d hosts of its hall, want at least %d", wide, listeners[wide], fanout)
		}
	}
}
