package entry

import (
	"testing"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/broadcast"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/watch"
)

// TestHeardFraction guards against a host that takes itself for well informed before it has read
// the list of hosts, as all do after a power failure.
func TestHeardFraction(t *testing.T) {
	list := []watch.Host{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	for name, tc := range map[string]struct {
		listed []watch.Host
		peers  map[string]bool
		alive  []uint32
		want   float64
	}{
		"list not read yet": {nil, nil, nil, 0},
		"only host":         {list[:1], nil, nil, 1},
		"hears none":        {list, map[string]bool{"b": true, "c": true}, nil, 0},
		"hears one of two":  {list, map[string]bool{"b": true, "c": true}, []uint32{2}, 0.5},
		"hears both":        {list, map[string]bool{"b": true, "c": true}, []uint32{2, 3}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry()
			others := []broadcast.Host{{Name: "b", StartNumber: 2}, {Name: "c", StartNumber: 3}}
			e.neighbors.Store(&neighbors{listed: tc.listed, peers: tc.peers, hosts: broadcast.NewHosts(broadcast.Host{Name: "a"}, others)})
			for _, host := range tc.alive {
				e.scheduler.RecordContact(host, e.clock.Now())
			}
			if got := e.heardFraction(); got != tc.want {
				t.Errorf("%v of the others are heard, want %v", got, tc.want)
			}
		})
	}
}

// TestScarcitySettingsSwitchTheRules guards against a rule that is in force although its setting
// is off, or the other way round.
func TestScarcitySettingsSwitchTheRules(t *testing.T) {
	for name, tc := range map[string]struct {
		settings settings.Scarcity
		want     admission.Policy
		counts   bool
	}{
		"nothing set":  {settings.Scarcity{}, admission.Default(), false},
		"defaults":     {settings.Scarcity{Placement: "ranked", LateCallers: "equal", Urgency: "length", Price: "fixed"}, admission.Default(), false},
		"placement":    {settings.Scarcity{Placement: "spread"}, admission.Default().WithSlotRisk(true), false},
		"late callers": {settings.Scarcity{LateCallers: "yield"}, admission.Default().WithYield(true), true},
		"urgency":      {settings.Scarcity{Urgency: "ranked"}, admission.Default().WithUrgency(true), true},
		"price":        {settings.Scarcity{Price: "demand"}, admission.Default(), true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry()
			e.settings.Store(&settings.Entry{Scarcity: tc.settings})
			if got := e.admissionPolicy(); got != tc.want {
				t.Errorf("policy %+v, want %+v", got, tc.want)
			}
			if counts := e.scarcity().Counts(); counts != tc.counts {
				t.Errorf("counts %v, want %v", counts, tc.counts)
			}
		})
	}
}

func newTestEntry() *Entry {
	return &Entry{scheduler: schedule.New(1), clock: boottime.New()}
}
