package reach_test

import (
	"testing"
	"time"

	"slipcrank.example/core/reach"
)

// step is one piece of evidence about a server of a group. In the tests one step takes 100 ms.
type step func(t *reach.Tracker, now time.Duration)

const stepTime = 100 * time.Millisecond

var listed = reach.Listed{Group: 6, All: 9}

func heard(service, server string) step {
	return func(t *reach.Tracker, now time.Duration) { t.Heard(service, server, now) }
}

func probed(server string) step {
	return func(t *reach.Tracker, now time.Duration) { t.Probed("s", server, now) }
}

func failed(service, server string) step {
	return func(t *reach.Tracker, now time.Duration) { t.Failed(service, server, listed, now) }
}

func notOpened(server string) step {
	return func(t *reach.Tracker, now time.Duration) { t.NotOpened("s", server, listed, now) }
}

func opened(server string) step {
	return func(t *reach.Tracker, now time.Duration) { t.Opened("s", server, now) }
}

func play(t *reach.Tracker, steps []step) {
	for i, s := range steps {
		s(t, time.Duration(i+1)*stepTime)
	}
}

func TestStateFollowsEvidence(t *testing.T) {
	lost := []step{failed("s", "a"), failed("s", "b"), failed("s", "c")}
	after := func(more ...step) []step { return append(append([]step{}, lost...), more...) }
	for name, tc := range map[string]struct {
		steps []step
		want  reach.State
	}{
		"no evidence":                      {nil, reach.Sound},
		"one server failed":                {[]step{heard("s", "a"), failed("s", "b")}, reach.Doubtful},
		"one server failed often":          {[]step{failed("s", "b"), failed("s", "b"), failed("s", "b")}, reach.Doubtful},
		"three servers failed, none heard": {after(), reach.Lost},
		"three of many failed": {[]step{
			heard("s", "d"), heard("s", "e"), heard("s", "f"), failed("s", "a"), failed("s", "b"), heard("s", "d"), failed("s", "c"), heard("s", "e"),
		}, reach.Sound},
		"more failed than serve":                     {[]step{heard("s", "d"), failed("s", "a"), heard("s", "d"), failed("s", "b"), heard("s", "d"), failed("s", "c")}, reach.Lost},
		"servers of several groups fail, none heard": {[]step{failed("r", "x"), failed("r", "y"), failed("s", "a")}, reach.Lost},
		"servers of another group fail, none heard":  {[]step{failed("r", "x"), failed("r", "y"), failed("r", "z")}, reach.Doubtful},
		"the same, after this group was heard":       {[]step{heard("s", "a"), failed("r", "x"), failed("r", "y"), failed("r", "z")}, reach.Doubtful},
		"the same, and one of this group fails":      {[]step{failed("r", "x"), failed("r", "y"), failed("r", "z"), failed("s", "a")}, reach.Lost},
		"others fail, but this one is heard":         {[]step{failed("r", "x"), failed("r", "y"), failed("r", "z"), heard("s", "a")}, reach.Sound},
		"lost, and one of them is heard":             {after(heard("s", "a")), reach.Lost},
		"lost, and as many heard as fail":            {after(heard("s", "a"), heard("s", "d")), reach.Sound},
		"lost, and two probes succeed":               {after(probed("a"), failed("s", "d"), failed("s", "e"), probed("b")), reach.Lost},
		"lost, and three probes succeed":             {after(failed("s", "d"), failed("s", "e"), failed("s", "f"), probed("a"), probed("b"), probed("c")), reach.Sound},
		"new connections fail, open ones work": {
			[]step{notOpened("a"), heard("s", "a"), notOpened("b"), heard("s", "b"), notOpened("c"), heard("s", "c")}, reach.Closed,
		},
		"new connections work again": {
			[]step{notOpened("a"), heard("s", "a"), notOpened("b"), heard("s", "b"), notOpened("c"), heard("s", "c"), opened("a"), opened("b")}, reach.Sound,
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := reach.New()
			play(tr, tc.steps)
			if got := tr.State("s", time.Duration(len(tc.steps)+1)*stepTime); got != tc.want {
				t.Errorf("state %v, want %v", got, tc.want)
			}
		})
	}
}

func TestServersThatAreNoLongerListedDontCount(t *testing.T) {
	tr := reach.New()
	play(tr, []step{failed("s", "a"), failed("s", "b"), failed("s", "c")})
	tr.Retain(func(server string) bool { return server > "c" })
	if got := tr.State("s", 5*stepTime); got != reach.Sound {
		t.Errorf("state %v after the servers that failed were removed, want sound", got)
	}
}

func TestSmallGroupIsLostWithMostOfItsServers(t *testing.T) {
	tr := reach.New()
	l := reach.Listed{Group: 3, All: 21}
	tr.Heard("other", "x", stepTime)
	tr.Heard("other", "y", stepTime)
	tr.Failed("s", "a", l, 2*stepTime)
	tr.Heard("s", "c", 3*stepTime)
	tr.Failed("s", "b", l, 4*stepTime)
	if got := tr.State("s", 5*stepTime); got != reach.Lost {
		t.Errorf("state %v after two of three servers failed, want lost", got)
	}
	if got := tr.State("other", 5*stepTime); got != reach.Sound {
		t.Errorf("the other group is %v, want sound", got)
	}
}

// TestResetsOfSomeServersLoseNoPath breaks the connections to several servers at the same
// moment, right before another one is heard.
func TestResetsOfSomeServersLoseNoPath(t *testing.T) {
	tr := reach.New()
	now := stepTime
	tr.Heard("s", "d", now)
	for _, s := range []string{"a", "b", "c"} {
		now += time.Millisecond
		tr.Failed("s", s, reach.Listed{Group: 18, All: 60}, now)
		if got := tr.State("s", now); got == reach.Lost {
			t.Errorf("lost %v after the last event", now-stepTime)
		}
	}
	for _, s := range []string{"d", "e", "f"} {
		now += time.Millisecond
		tr.Heard("s", s, now)
	}
	if got := tr.State("s", now+time.Second); got != reach.Sound {
		t.Errorf("state %v after others were heard, want sound", got)
	}
}

func TestHeardOther(t *testing.T) {
	tr := reach.New()
	tr.Heard("s", "a", 1)
	tr.Heard("s", "b", 2)
	tr.Heard("s", "b", 5)
	for name, tc := range map[string]struct {
		server string
		since  time.Duration
		want   bool
	}{
		"another later":          {"a", 5, true},
		"another earlier":        {"b", 2, false},
		"another at that time":   {"b", 1, true},
		"none since":             {"a", 6, false},
		"a server not yet heard": {"c", 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tr.HeardOther(tc.server, tc.since); got != tc.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestOnlyFailedConnectionsShowThatServerIsUnreached guards against giving up calls of a server
// that works on them, since it is silent or others fail.
func TestOnlyFailedConnectionsShowThatServerIsUnreached(t *testing.T) {
	for name, tc := range map[string]struct {
		steps []step
		since time.Duration
		want  bool
	}{
		"no evidence":                  {nil, 0, false},
		"others not reached":           {[]step{notOpened("b"), notOpened("c"), notOpened("d")}, 0, false},
		"broken connection":            {[]step{failed("s", "a")}, 0, false},
		"not reached":                  {[]step{notOpened("a")}, stepTime, true},
		"not reached before":           {[]step{notOpened("a")}, 2 * stepTime, false},
		"heard after it":               {[]step{notOpened("a"), heard("s", "a")}, 0, false},
		"heard before it":              {[]step{heard("s", "a"), notOpened("a")}, 0, true},
		"reached after it":             {[]step{notOpened("a"), probed("a")}, 0, false},
		"not reached, then not listed": {[]step{notOpened("a"), func(t *reach.Tracker, _ time.Duration) { t.Retain(func(string) bool { return false }) }}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			tr := reach.New()
			play(tr, tc.steps)
			if got := tr.Unreached("s", "a", tc.since); got != tc.want {
				t.Errorf("unreached %t, want %t", got, tc.want)
			}
		})
	}
}
