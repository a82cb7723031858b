package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/feed"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/watch"
)

// testHosts returns hosts of three halls. The address of each is its name.
func testHosts(perHall int) []watch.Host {
	var hs []watch.Host
	for n := range 3 * perHall {
		name := fmt.Sprintf("host-%d", n)
		hs = append(hs, watch.Host{Name: name, Addr: name, Hall: fmt.Sprintf("hall-%d", n%3)})
	}
	return hs
}

// inputOf returns the input of a host to which all others are alive, with a bound of 3 s.
func inputOf(hosts []watch.Host, host watch.Host) sourceInput {
	others := slices.DeleteFunc(slices.Clone(hosts), func(o watch.Host) bool { return o.Name == host.Name })
	return sourceInput{ranking: newRanking(host, others), alive: func(watch.Host) bool { return true }, bound: 3 * time.Second}
}

// inputAt returns the input of the host at a rank of its hall, with a bound of 3 s.
func inputAt(hosts []watch.Host, rank int, relayedAge, provenAge time.Duration) sourceInput {
	first := slices.IndexFunc(hosts, func(h watch.Host) bool { return h.Hall == "hall-0" })
	in := inputOf(hosts, inputOf(hosts, hosts[first]).ranking.hall[rank])
	in.relayedAge, in.provenAge = relayedAge, provenAge
	return in
}

func TestChooseSourcesAndQueries(t *testing.T) {
	const (
		fresh, late, later = time.Second, 2800 * time.Millisecond, 3100 * time.Millisecond
		latest, silent     = 4 * time.Second, 6 * time.Second
		hallPause          = 25 * maxPausePerHost
	)
	for name, tc := range map[string]struct {
		perHall, rank         int
		relayedAge, provenAge time.Duration
		queries               watch.PollScope
		sources               int
		pause                 time.Duration
	}{
		"first reader":  {25, 0, fresh, fresh, watch.PollAll, 2, maxReaderPause},
		"second reader": {25, 1, fresh, fresh, watch.PollNothing, 2, maxReaderPause},
		"second reader, no proof relayed for 2.8 s":  {25, 1, late, fresh, watch.PollAll, 2, maxReaderPause},
		"second reader, no proof for 2.8 s":          {25, 1, late, late, watch.PollAll, 7 + remoteSourcesStale, maxReaderPause},
		"third host":                                 {25, 2, fresh, fresh, watch.PollNothing, 2, maxReaderPause},
		"host of low rank":                           {25, 20, fresh, fresh, watch.PollNothing, 2, hallPause},
		"third host, no proof for 2.8 s":             {25, 2, late, late, watch.PollNothing, 2, maxReaderPause},
		"third host, no proof for 3.1 s":             {25, 2, later, later, watch.PollAll, 2, maxReaderPause},
		"fifth host, no proof for 3.1 s":             {25, 4, later, later, watch.PollNothing, 2, maxReaderPause},
		"fifth host, no proof for 4 s":               {25, 4, latest, latest, watch.PollAll, 2, maxReaderPause},
		"host of low rank, no proof for 3.1 s":       {25, 20, later, later, watch.PollNothing, 2, hallPause},
		"host of low rank, no proof for 4 s":         {25, 20, latest, latest, watch.PollConfig, 2, hallPause},
		"host of low rank, no proof for 6 s":         {25, 20, silent, silent, watch.PollConfig, 2, hallPause},
		"host of low rank, no proof relayed for 6 s": {25, 20, silent, fresh, watch.PollAll, 2, hallPause},
		"only host of its hall":                      {1, 0, fresh, fresh, watch.PollAll, 1, maxReaderPause},
	} {
		t.Run(name, func(t *testing.T) {
			c := inputAt(testHosts(tc.perHall), tc.rank, tc.relayedAge, tc.provenAge).choose()
			if c.queries != tc.queries || len(c.sources) != tc.sources || c.pause != tc.pause {
				t.Errorf("queries %v, sources %v, maximum pause %v; want %v, %d sources, %v", c.queries, c.sources, c.pause, tc.queries, tc.sources, tc.pause)
			}
		})
	}
}

// TestBothReadersOfOnlyHallQuery checks that the second reader of the only hall queries the
// platform too: no reader of another hall relays what the first reader misses.
func TestBothReadersOfOnlyHallQuery(t *testing.T) {
	oneHall := slices.DeleteFunc(testHosts(25), func(h watch.Host) bool { return h.Hall != "hall-0" })
	in := inputAt(oneHall, 1, time.Second, time.Second)
	if c := in.choose(); c.queries != watch.PollAll {
		t.Errorf("second reader of the only hall queries %v", c.queries)
	}
}

// TestStaleServerListIsQueried guards against a list of servers that stays old because the
// sources of a host relay new proofs of the configuration, but no new list, and the host
// doesn't query the list itself.
func TestStaleServerListIsQueried(t *testing.T) {
	const fresh, bound = time.Second, 3 * time.Second
	for name, tc := range map[string]struct {
		stale []bool // on each tick of upkeep, whether the list is too old
		want  watch.PollScope
	}{
		"list not too old":               {[]bool{false, false}, watch.PollNothing},
		"list too old for two ticks":     {[]bool{false, true, true}, watch.PollNothing},
		"list too old for eight ticks":   {slices.Repeat([]bool{true}, 8), watch.PollAll},
		"list relayed after eight ticks": {append(slices.Repeat([]bool{true}, 8), false, true), watch.PollNothing},
	} {
		t.Run(name, func(t *testing.T) {
			st, now := sourceState{}, time.Now()
			for _, stale := range tc.stale {
				now = now.Add(upkeepInterval)
				st.recordServers(now, stale)
			}
			in := inputAt(testHosts(25), 20, fresh, fresh)
			in.bound, in.serversStaleFor = bound, st.serversStaleFor(now)
			if c := in.choose(); c.queries != tc.want {
				t.Errorf("queries %v, want %v", c.queries, tc.want)
			}
		})
	}
}

// TestHostThatHearsNobodyQueriesInTime guards against changes that are late since a host waits for others whose sources are silent, too. While
// sources show that they live, as in an outage of the platform, few hosts query it.
func TestHostThatHearsNobodyQueriesInTime(t *testing.T) {
	for name, tc := range map[string]struct {
		unheardFor, bound time.Duration
		want              watch.PollScope
	}{
		"heard":                             {0, 2 * time.Second, watch.PollNothing},
		"one sign of life late":             {900 * time.Millisecond, 2 * time.Second, watch.PollNothing},
		"time to find other sources":        {1200 * time.Millisecond, 2 * time.Second, watch.PollNothing},
		"silent":                            {1301 * time.Millisecond, 2 * time.Second, watch.PollAll},
		"silent for part of a longer bound": {1301 * time.Millisecond, 3 * time.Second, watch.PollNothing},
		"silent with a longer bound":        {2301 * time.Millisecond, 3 * time.Second, watch.PollAll},
		"signs of life with a short bound":  {300 * time.Millisecond, 800 * time.Millisecond, watch.PollNothing},
		"silent with a short bound":         {401 * time.Millisecond, 800 * time.Millisecond, watch.PollAll},
	} {
		t.Run(name, func(t *testing.T) {
			in := inputAt(testHosts(25), 20, tc.bound/2, tc.bound/2)
			in.bound, in.unheardFor = tc.bound, tc.unheardFor
			if c := in.choose(); c.queries != tc.want {
				t.Errorf("queries %v, want %v", c.queries, tc.want)
			}
		})
	}
}

// TestUpdatesReachAllHosts has the platform serve a single host and reject all others, and
// checks that the sources of the hosts relay its updates to every host.
func TestUpdatesReachAllHosts(t *testing.T) {
	for name, perHall := range map[string]int{"three hosts per hall": 3, "25 hosts per hall": 25, "100 hosts per hall": 100} {
		t.Run(name, func(t *testing.T) {
			hosts := testHosts(perHall)
			sources := map[string][]string{}
			for _, h := range hosts {
				in := inputOf(hosts, h)
				in.relayedAge, in.provenAge = 4*time.Second, 4*time.Second
				sources[h.Name] = in.choose().sources
			}
			for rank := range min(maxQuerying, perHall) {
				served := inputAt(hosts, rank, 0, 0).ranking.hall[rank].Name
				reached := map[string]bool{served: true}
				for range 8 { // hops
					for h, from := range sources {
						if slices.ContainsFunc(from, func(n string) bool { return reached[n] }) {
							reached[h] = true
						}
					}
				}
				if len(reached) != len(hosts) {
					t.Errorf("updates of %s, at rank %d of its hall, reach %d of %d hosts", served, rank, len(reached), len(hosts))
				}
			}
		})
	}
}

// TestSubscribersPerHostAreBounded counts the hosts of a large fleet that have each host as
// a source.
func TestSubscribersPerHostAreBounded(t *testing.T) {
	hosts := testHosts(100)
	subscribers := map[string]int{}
	for _, h := range hosts {
		for _, from := range inputOf(hosts, h).choose().sources {
			subscribers[from]++
		}
	}
	for h, n := range subscribers {
		if bound := sourcesPerHost*fanout + 2*readersPerHall + 2; n > bound {
			t.Errorf("%s is a source of %d hosts, want at most %d", h, n, bound)
		}
	}
}

// TestHostsWithFastLinksAreReaders gives two hosts of a hall faster links than the others,
// and checks that they are its readers.
func TestHostsWithFastLinksAreReaders(t *testing.T) {
	hosts := testHosts(25)
	for i := range hosts {
		hosts[i].Link = 20
	}
	hosts[3].Link, hosts[30].Link = 200, 200 // of hall-0
	querying, subscribers := 0, map[string]int{}
	for _, h := range hosts {
		if h.Hall != "hall-0" {
			continue
		}
		c := inputOf(hosts, h).choose()
		if c.queries != watch.PollNothing {
			querying++
			if h.Link != 200 {
				t.Errorf("%s with a link of %v Mbit/s queries the platform", h.Name, h.Link)
			}
		}
		for _, from := range c.sources {
			subscribers[from]++
		}
	}
	if querying != 1 {
		t.Errorf("%d hosts of the hall query the platform, want one", querying)
	}
	for _, fast := range []string{hosts[3].Name, hosts[30].Name} {
		if subscribers[fast] < fanout {
			t.Errorf("%s is a source of %d hosts of its hall, want at least %d", fast, subscribers[fast], fanout)
		}
	}
}

// TestSourcesChangeOnlyWithTheirHosts has a tenth of the hosts of a large fleet die, one
// after the other. A host's sources may change only when one of them dies: a new source
// sends whole tables first, which keep its link busy for seconds if many change at once.
func TestSourcesChangeOnlyWithTheirHosts(t *testing.T) {
	hosts := testHosts(100)
	dead := map[string]bool{}
	inputs := map[string]sourceInput{}
	for _, h := range hosts {
		in := inputOf(hosts, h)
		in.alive = func(o watch.Host) bool { return !dead[o.Name] }
		inputs[h.Name] = in
	}
	sources := func(host string) []string { return inputs[host].choose().sources }
	for n := 0; n < len(hosts); n += 10 {
		before := map[string][]string{}
		for _, h := range hosts {
			before[h.Name] = sources(h.Name)
		}
		dead[hosts[n].Name] = true
		for _, h := range hosts {
			now := sources(h.Name)
			reader := inputs[h.Name].ranking.liveBefore(inputs[h.Name].alive, maxQuerying) < readersPerHall
			if !dead[h.Name] && !reader && !slices.Contains(before[h.Name], hosts[n].Name) && !slices.Equal(now, before[h.Name]) {
				t.Fatalf("after %s died, the sources of %s changed from %v to %v", hosts[n].Name, h.Name, before[h.Name], now)
			}
			if len(now) == 0 || slices.ContainsFunc(now, func(s string) bool { return dead[s] }) {
				t.Fatalf("%s has the sources %v", h.Name, now)
			}
		}
	}
}

// TestSourcesWithoutLiveHosts checks that a host that takes all others for dead still tries
// to subscribe to some, since it may itself have been cut off.
func TestSourcesWithoutLiveHosts(t *testing.T) {
	in := inputAt(testHosts(100), 60, time.Second, time.Second)
	in.ranking.hall = in.ranking.hall[:61]
	in.alive = func(h watch.Host) bool { return h.Hall != "hall-0" }
	if c := in.choose(); c.queries != watch.PollAll || len(c.sources) == 0 {
		t.Errorf("queries %v, sources %v; want all tables, and hosts of other halls", c.queries, c.sources)
	}
}

func BenchmarkChooseSources(b *testing.B) {
	for _, perHall := range []int{33, 100, 330, 660} {
		b.Run(fmt.Sprintf("%d hosts", 3*perHall), func(b *testing.B) {
			in := inputAt(testHosts(perHall), perHall/2, time.Second, time.Second)
			for b.Loop() {
				in.choose()
			}
		})
	}
}

// TestChooseSourcesBeforeHostsAreRanked guards against sources chosen from no ranking: the
// watcher publishes the hosts just before they are ranked.
func TestChooseSourcesBeforeHostsAreRanked(t *testing.T) {
	source := feed.Source{
		List: func(_ context.Context, table string) (feed.Batch, error) {
			return feed.Batch{Rows: []feed.Row{{Key: "other", Value: []byte(`{"addr":"127.0.0.1:1"}`), Revision: 1}}, Revision: 1}, nil
		},
		Follow: func(ctx context.Context, _ string, _ int64, _ time.Duration) (feed.Batch, error) {
			<-ctx.Done()
			return feed.Batch{}, ctx.Err()
		},
	}
	tables := watch.Tables{Config: "config", Servers: "servers", Hosts: "hosts"}
	e, err := New(settings.Entry{Host: "h", Listen: settings.EntryListen{News: "127.0.0.1:0"}}, Platform{Source: source, Tables: tables})
	if err != nil {
		t.Fatal(err)
	}
	published := make(chan struct{})
	publish := sync.OnceFunc(func() { close(published) })
	e.watcher = watch.New(source, tables, watch.Decoders{
		Config: func([]byte) (*site.Config, error) { return nil, errors.New("no configuration") },
		Server: func(string, []byte) (backend.Server, error) { return backend.Server{}, errors.New("no server") },
	}, e.log, e.metrics, func(hosts []watch.Host) {
		if len(hosts) > 0 {
			publish()
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.watcher.Run(ctx)
	select {
	case <-published:
	case <-time.After(5 * time.Second):
		t.Fatal("no hosts published")
	}
	e.chooseSources(&sourceState{})
	if e.settled.Load() {
		t.Error("sources chosen before the hosts were ranked")
	}
}
