package notice

import (
	"slices"
	"testing"
	"time"

	"slipcrank.example/core/backend"
)

func TestReadLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want Limit
		bad  bool
	}{
		"none":             {"", Limit{}, false},
		"whole":            {"3", Limit{Limited: true, Rate: 3}, false},
		"fraction":         {"1.7", Limit{Limited: true, Rate: 1.7}, false},
		"zero":             {"0", Limit{Limited: true}, false},
		"negative":         {"-1", Limit{}, true},
		"not a number":     {"NaN", Limit{}, true},
		"infinite":         {"Inf", Limit{}, true},
		"beyond all range": {"1e999", Limit{}, true},
		"text":             {"soon", Limit{}, true},
	} {
		got, err := ParseLimit(tc.text)
		if got != tc.want || (err != nil) != tc.bad {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

// TestLimitByAnswers plays answers that overtake each other.
func TestLimitByAnswers(t *testing.T) {
	type answer struct {
		limit     Limit
		sent, now time.Duration
	}
	one, two := Limit{Limited: true, Rate: 1}, Limit{Limited: true, Rate: 2}
	for name, tc := range map[string]struct {
		answers []answer
		want    Limit
	}{
		"none is named":                    {[]answer{{Limit{}, 1, 2}}, Limit{}},
		"one is named":                     {[]answer{{one, 1, 2}}, Limit{1, true, 1}},
		"the same again":                   {[]answer{{one, 1, 2}, {one, 3, 4}}, Limit{1, true, 1}},
		"a lower one holds at once":        {[]answer{{two, 1, 2}, {one, 0, 3}}, Limit{2, true, 1}},
		"an earlier answer doesn't end it": {[]answer{{one, 1, 2}, {Limit{}, 1, 3}}, Limit{1, true, 1}},
		"nor raise it":                     {[]answer{{one, 1, 2}, {two, 2, 3}}, Limit{1, true, 1}},
		"a later answer ends it":           {[]answer{{one, 1, 2}, {Limit{}, 3, 4}}, Limit{Version: 2}},
		"a later answer raises it":         {[]answer{{one, 1, 2}, {two, 3, 4}}, Limit{2, true, 2}},
		"named again after its end":        {[]answer{{one, 1, 2}, {Limit{}, 3, 4}, {one, 3, 5}}, Limit{3, true, 1}},
	} {
		b := NewRegistry()
		for _, a := range tc.answers {
			b.UpdateLimit("i-1", a.limit, a.sent, a.now)
		}
		if got := b.Limit("i-1"); got != tc.want {
			t.Errorf("%s: %+v, want %+v", name, got, tc.want)
		}
	}
}

// TestLimitByNews has two hosts tell each other of a server in either order.
func TestLimitByNews(t *testing.T) {
	named, lower, ended := Limit{1, true, 2}, Limit{1, true, 1}, Limit{Version: 2}
	for name, tc := range map[string]struct {
		told []Limit
		want Limit
	}{
		"nothing is known":       {[]Limit{{}}, Limit{}},
		"the newer holds":        {[]Limit{named, ended}, ended},
		"in the other order too": {[]Limit{ended, named}, ended},
		"of equals the lower":    {[]Limit{named, lower}, lower},
		"and so the other way":   {[]Limit{lower, named}, lower},
	} {
		b := NewRegistry()
		for _, l := range tc.told {
			b.MergeLimit("i-1", l, 1)
		}
		if got := b.Limit("i-1"); got != tc.want {
			t.Errorf("%s: %+v, want %+v", name, got, tc.want)
		}
	}
}

func TestReadRest(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want time.Duration
		bad  bool
	}{
		"none":     {"", 0, false},
		"whole":    {"3", 3 * time.Second, false},
		"fraction": {"0.25", 250 * time.Millisecond, false},
		"negative": {"-1", 0, true},
		"NaN":      {"NaN", 0, true},
		"too long": {"1e12", 0, true},
		"a date":   {"Thu, 03 Dec 2026 09:00:00 GMT", 0, true},
	} {
		got, err := ParseBackoff(tc.text)
		if got != tc.want || (err != nil) != tc.bad {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}

func TestForget(t *testing.T) {
	b := NewRegistry()
	b.UpdateLimit("listed", Limit{Limited: true, Rate: 1}, 0, 0)
	b.UpdateLimit("gone", Limit{Limited: true, Rate: 1}, 0, 0)
	listed := func(id string) bool { return id == "listed" }
	b.Prune(listed, keepTime)
	if !b.Limit("gone").Limited {
		t.Error("forgotten while its entry may come back")
	}
	b.Prune(listed, 2*keepTime+1)
	if b.Limit("gone").Limited || !b.Limit("listed").Limited {
		t.Error("the wrong one was forgotten")
	}
}

// TestOpen has servers say things, and looks which may get a request a second later.
func TestOpen(t *testing.T) {
	const now = time.Minute
	servers := []backend.Server{{ID: "i-1"}, {ID: "i-2"}}
	limit := Limit{Limited: true, Rate: 1}
	for name, tc := range map[string]struct {
		said func(b *Registry)
		want []string
		wait time.Duration
	}{
		"nothing": {func(*Registry) {}, []string{"i-1", "i-2"}, 0},
		"one leaves": {func(b *Registry) {
			b.SetLeaving("i-1", now)
			b.UpdateLimit("i-1", limit, now, now)
		}, []string{"i-2"}, 0},
		"both leave": {func(b *Registry) {
			b.SetLeaving("i-1", now)
			b.SetLeaving("i-2", now)
		}, nil, 0},
		"one leaves, by another's word": {func(b *Registry) { b.SetReportedLeaving("i-1", now) }, []string{"i-2"}, 0},
		"both leave, by another's word": {func(b *Registry) {
			b.SetReportedLeaving("i-1", now)
			b.SetReportedLeaving("i-2", now)
		}, []string{"i-1", "i-2"}, 0},
		"one leaves, the other is said to": {func(b *Registry) {
			b.SetLeaving("i-1", now)
			b.SetReportedLeaving("i-2", now)
		}, []string{"i-2"}, 0},
		"one has all its requests": {func(b *Registry) {
			b.UpdateLimit("i-1", limit, 0, now)
			b.CloseUntil("i-1", now+3*time.Second)
		}, []string{"i-2"}, 0},
		"both have": {func(b *Registry) {
			for n, s := range servers {
				b.UpdateLimit(s.ID, limit, 0, now)
				b.CloseUntil(s.ID, now+time.Duration(n+3)*time.Second)
			}
		}, nil, 2 * time.Second},
		"one rests": {func(b *Registry) { b.ExtendBackoff("i-1", now+3*time.Second, now) }, []string{"i-2"}, 0},
		"a shorter rest doesn't end it": {func(b *Registry) {
			b.ExtendBackoff("i-1", now+3*time.Second, now)
			b.ExtendBackoff("i-1", now+time.Millisecond, now)
		}, []string{"i-2"}, 0},
		"nor does an answer without": {func(b *Registry) {
			b.ExtendBackoff("i-1", now+3*time.Second, now)
			b.UpdateLimit("i-1", Limit{}, now+1, now+1)
		}, []string{"i-2"}, 0},
		"one has rested": {func(b *Registry) { b.ExtendBackoff("i-1", now+time.Second, now) }, []string{"i-1", "i-2"}, 0},
		"one rests, the other has all its requests": {func(b *Registry) {
			b.ExtendBackoff("i-1", now+3*time.Second, now)
			b.UpdateLimit("i-2", limit, 0, now)
			b.CloseUntil("i-2", now+5*time.Second)
		}, nil, 2 * time.Second},
		"one had, until its limit ended": {func(b *Registry) {
			b.UpdateLimit("i-1", limit, 0, now)
			b.CloseUntil("i-1", now+time.Hour)
			b.UpdateLimit("i-1", Limit{}, now+1, now+1)
		}, []string{"i-1", "i-2"}, 0},
	} {
		b := NewRegistry()
		tc.said(b)
		open, wait := b.Available(servers, now+time.Second)
		var got []string
		for _, s := range open {
			got = append(got, s.ID)
		}
		if !slices.Equal(got, tc.want) || wait != tc.wait {
			t.Errorf("%s: open are %v, wait %v; want %v, %v", name, got, wait, tc.want, tc.wait)
		}
	}
}
