package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime  = 2 * time.Second         // drain-ms
	configTime = 2 * time.Second         // config-ms
	freezeTime = 3500 * time.Millisecond // for_s of node_freeze
	// rounds is how often the daemons freeze.
	rounds = 3
	// settleTime is how long the daemons have, once they are ready, to choose from whom they hear.
	settleTime = 8 * time.Second
)

// sourcesOf returns the addresses of the daemons from which a daemon hears the store's tables, by
// the last line of its log that tells them.
func (d *daemon) sourcesOf() ([]string, error) {
	file, err := os.Open(filepath.Join(d.fleet.dir, d.name+".log"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var hears []string
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var l struct {
			Hears string `json:"hears"`
		}
		if json.Unmarshal(lines.Bytes(), &l) == nil && strings.Contains(lines.Text(), `"hears"`) {
			hears = strings.Split(l.Hears, ",")
		}
	}
	return hears, nil
}

// daemonAt returns the daemon with an address of updates.
func (f *fleet) daemonAt(addr string) *daemon {
	for _, d := range f.daemons {
		if strings.HasPrefix(addr, d.ip+":") {
			return d
		}
	}
	return nil
}

// zoneReaders returns the daemons from which the others of a zone hear the store's tables.
func (f *fleet) zoneReaders(zone string) ([]*daemon, error) {
	count := map[string]int{}
	for _, d := range f.daemons {
		if d.zone != zone {
			continue
		}
		hears, err := d.sourcesOf()
		if err != nil {
			return nil, err
		}
		for _, a := range hears {
			count[a]++
		}
	}
	var found []*daemon
	for a, n := range count {
		if d := f.daemonAt(a); d != nil && d.zone == zone && n > 2 {
			found = append(found, d)
		}
	}
	if len(found) != 2 {
		return nil, fmt.Errorf("%s has %d daemons that others hear, want 2: %v", zone, len(found), count)
	}
	return found, nil
}

// fleetOf starts a deployment with a number of daemons in each zone.
func (f *fleet) fleetOf(perZone ...int) error {
	f.configure(routes(), services(), tenants())
	zones := []string{"leon", "celaya", "irapuato"}
	for i, zone := range zones {
		for j := range 2 {
			if _, err := f.addRunner(fmt.Sprintf("i-app%d%d", i, j), "app", zone, 6, plain(20*time.Millisecond)); err != nil {
				return err
			}
		}
	}
	for i, zone := range zones {
		for range perZone[i] {
			if _, err := f.addDaemon(zone, true); err != nil {
				return err
			}
		}
	}
	return f.awaitReady(20 * time.Second)
}

// throughFreeze has the two daemons freeze from which the others of a zone hear the store's tables,
// and the platform change something right after that. The other daemons of the zone go on: nothing
// hits them, and the store answers all. It returns what their clients have seen, and when the store
// has acknowledged the change.
func (f *fleet) throughFreeze(trouble bool, key string, change func()) ([]reply, time.Time, error) {
	time.Sleep(settleTime)
	frozen, err := f.zoneReaders("leon")
	if err != nil {
		return nil, time.Time{}, err
	}
	f.rec.line("the others of leon hear %s and %s", frozen[0].name, frozen[1].name)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var seen []reply
	end := time.Now().Add(7 * time.Second)
	for _, d := range f.daemons {
		if d.zone != "leon" || slices.Contains(frozen, d) {
			continue
		}
		clients.Go(func() {
			for time.Now().Before(end) {
				p := f.do(d.front(), "GET", "/safe/"+d.name, key, 2*time.Second, "")
				mu.Lock()
				seen = append(seen, p)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, d := range frozen {
			d.signal(syscall.SIGSTOP)
		}
		time.AfterFunc(freezeTime, func() {
			for _, d := range frozen {
				d.signal(syscall.SIGCONT)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	change()
	acked := time.Now()
	clients.Wait()
	return seen, acked, nil
}

// mayBeOfFrozen reports whether a daemon that was frozen, and isn't in touch yet, runs again so long after
// the acknowledgement: the daemon that took a request may have passed it to that one. The rules don't
// count such requests.
func mayBeOfFrozen(trouble bool, after time.Duration) bool {
	return trouble && after > freezeTime-100*time.Millisecond
}

// drain has a runner say that it leaves, one in each round. No request may reach it later than
// drain-ms after the store has acknowledged that.
func drain(f *fleet, trouble bool) (bool, string, error) {
	if err := f.fleetOf(12, 4, 4); err != nil {
		return false, "", err
	}
	late, last := 0, time.Duration(0)
	for _, left := range f.runners[:rounds] {
		_, acked, err := f.throughFreeze(trouble, key, left.drain)
		if err != nil {
			return false, "", err
		}
		for _, a := range left.arrivals() {
			if after := a.at.Sub(acked); a.executed && after > drainTime && !mayBeOfFrozen(trouble, after) {
				late, last = late+1, max(last, after)
				f.rec.line("late: attempt %s reaches %s %d ms after the acknowledgement", a.attempt, a.runner, after.Milliseconds())
			}
		}
	}
	return late > 0, fmt.Sprintf("DRAIN: %d requests reached the leaving runner later than drain-ms (%s) after the acknowledgement, the last %s after it",
		late, drainTime, last.Round(time.Millisecond)), nil
}

// config has a key taken away. No request with the key may run that its client has sent later than
// config-ms after the store has acknowledged that.
func config(f *fleet, trouble bool) (bool, string, error) {
	if err := f.fleetOf(12, 4, 4); err != nil {
		return false, "", err
	}
	late, last := 0, time.Duration(0)
	for range rounds {
		f.configure(routes(), services(), tenants())
		seen, acked, err := f.throughFreeze(trouble, otherKey, func() {
			f.configure(routes(), services(), []tenant{{Name: owner, Keys: []string{key}, Priority: 1}})
		})
		if err != nil {
			return false, "", err
		}
		ran := map[string]bool{}
		for _, x := range f.runners {
			for _, a := range x.arrivals() {
				ran[a.attempt] = ran[a.attempt] || a.executed
			}
		}
		for _, p := range seen {
			if after := p.sent.Sub(acked); ran[p.attempt] && after > configTime && !mayBeOfFrozen(trouble, after) {
				late, last = late+1, max(last, after)
				f.rec.line("late: attempt %s runs, sent %d ms after the acknowledgement", p.attempt, after.Milliseconds())
			}
		}
	}
	return late > 0, fmt.Sprintf("CONFIG: %d requests ran with the key that was taken away, sent later than config-ms (%s) after the acknowledgement, the last %s after it",
		late, configTime, last.Round(time.Millisecond)), nil
}
