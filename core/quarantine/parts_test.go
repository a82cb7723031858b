package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"slipcrank.example/core/quarantine"
)

// TestPartsStage adds crashes under prompts of two parts, of which one may be answered in between.
func TestPartsStage(t *testing.T) {
	shared, fatal := quarantine.PartIdentity("w", "shared"), quarantine.PartIdentity("w", "fatal")
	for name, tc := range map[string]struct {
		crashes       int
		together      bool // instead of half a second apart
		unconfirmed   bool
		answered      bool // a prompt with "shared", between any two crashes
		answeredOnce  bool // the same, before the first crash
		after         time.Duration
		shared, fatal quarantine.Stage
	}{
		"one crash":                        {crashes: 1, answered: true, after: time.Minute},
		"two":                              {crashes: 2, answered: true, after: time.Minute, fatal: quarantine.Serialized},
		"two that aren't confirmed":        {crashes: 2, unconfirmed: true, answered: true, after: time.Minute},
		"five that aren't confirmed":       {crashes: 5, unconfirmed: true, answered: true, after: time.Minute},
		"four":                             {crashes: 4, answered: true, after: time.Minute, fatal: quarantine.Serialized},
		"five":                             {crashes: 5, answered: true, after: time.Minute, fatal: quarantine.Blocked},
		"five, soon after the first":       {crashes: 5, answered: true, after: 900 * time.Millisecond, fatal: quarantine.Serialized},
		"seven together":                   {crashes: 7, together: true, answered: true, after: time.Minute, fatal: quarantine.Serialized},
		"sixteen together":                 {crashes: 16, together: true, answered: true, after: time.Minute, fatal: quarantine.Blocked},
		"five without answers":             {crashes: 5, after: time.Minute, shared: quarantine.Blocked, fatal: quarantine.Blocked},
		"four, answered once before":       {crashes: 4, answeredOnce: true, after: time.Minute, fatal: quarantine.Serialized},
		"five, answered once before":       {crashes: 5, answeredOnce: true, after: time.Minute, shared: quarantine.Serialized, fatal: quarantine.Blocked},
		"eight, answered once before them": {crashes: 8, answeredOnce: true, after: time.Minute, shared: quarantine.Blocked, fatal: quarantine.Blocked},
	} {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.NewPartRegistry()
			interval := 500 * time.Millisecond
			if tc.together {
				interval = 10 * time.Millisecond
			}
			for n := range tc.crashes {
				crash := confirmedCrash(fmt.Sprint(n), false)
				crash.Confirmed = !tc.unconfirmed
				at := time.Duration(n) * interval
				reg.AddCrash(shared, crash, at)
				reg.AddCrash(fatal, crash, at)
				if tc.answered {
					reg.ClearAnswered(shared.Fingerprint, at)
				}
			}
			answered := func(h quarantine.HeadHash) bool { return tc.answeredOnce && h == shared.HeadHash }
			if got := reg.PartsStage([]quarantine.Identity{shared}, answered, tc.after).Stage; got != tc.shared {
				t.Errorf("prompts with the shared part alone are %v, want %v", got, tc.shared)
			}
			if got := reg.PartsStage([]quarantine.Identity{shared, fatal}, answered, tc.after).Stage; got != max(tc.shared, tc.fatal) {
				t.Errorf("prompts with both parts are %v, want %v", got, max(tc.shared, tc.fatal))
			}
			other := []quarantine.Identity{quarantine.PartIdentity("other", "fatal")}
			if got := reg.PartsStage(other, answered, tc.after).Stage; got != quarantine.Clear {
				t.Errorf("the fatal part in prompts of another workspace is %v", got)
			}
		})
	}
}

// TestPartsOfSoundPromptsHaveTheirOwnTurn compares the turns of prompts with and without a fatal part.
func TestPartsOfSoundPromptsHaveTheirOwnTurn(t *testing.T) {
	a, b, fatal := quarantine.PartIdentity("w", "a"), quarantine.PartIdentity("w", "b"), quarantine.PartIdentity("w", "fatal")
	reg := quarantine.NewPartRegistry()
	for n := range 3 {
		for _, id := range []quarantine.Identity{a, b, fatal} {
			reg.AddCrash(id, confirmedCrash(fmt.Sprint(n), false), 0)
		}
	}
	never := func(quarantine.HeadHash) bool { return false }
	group := func(ids ...quarantine.Identity) quarantine.HeadHash { return reg.PartsStage(ids, never, 0).Group }
	if group(a, b) != group(b, a) || group(a, b) == group(a, fatal, b) {
		t.Error("sound prompts share their turn with others, or don't with each other")
	}
}

// TestAnswerRefutesCrash has a server that is held for crashed answer requests sent at different times.
func TestAnswerRefutesCrash(t *testing.T) {
	const crashed = 2 * time.Second
	for name, tc := range map[string]struct {
		server       string
		sent, answer time.Duration // after the crash
		want         bool
	}{
		"sent after it":        {"s", 50 * time.Millisecond, 100 * time.Millisecond, true},
		"sent before it":       {"s", -50 * time.Millisecond, 100 * time.Millisecond, false},
		"another server":       {"other", 50 * time.Millisecond, 100 * time.Millisecond, false},
		"it has started again": {"s", time.Second, 1100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			part, reg := quarantine.PartIdentity("w", "a"), quarantine.NewPartRegistry()
			reg.AddCrash(part, confirmedCrash("s", false), crashed)
			got := reg.Refute(quarantine.ServerDigest(tc.server), crashed+tc.sent, crashed+tc.answer)
			if got != tc.want || (reg.Stage(part.Fingerprint) == quarantine.Clear) != tc.want {
				t.Errorf("refuted: %v, want %v", got, tc.want)
			}
		})
	}
}
