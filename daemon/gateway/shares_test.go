package gateway

import (
	"fmt"
	"testing"
	"time"
)

func TestSharesNoteWhoIsHeld(t *testing.T) {
	s := newShareRefusals()
	at := time.Unix(1_000_000, 0)
	if name, begins := s.record("till", at); name != "till" || !begins {
		t.Errorf("the first refusal counts for %q, begins %v", name, begins)
	}
	if _, begins := s.record("till", at.Add(time.Second)); begins {
		t.Error("a workspace that is held begins to be held again")
	}
	if ws := s.expire(at.Add(overShareRetention)); len(ws) != 0 {
		t.Errorf("%v are released %v after the last refusal", ws, overShareRetention-time.Second)
	}
	if ws := s.expire(at.Add(time.Second + overShareRetention)); len(ws) != 1 || ws[0] != "till" {
		t.Errorf("%v are released, want till", ws)
	}
	if _, begins := s.record("till", at.Add(time.Minute)); !begins {
		t.Error("a workspace that was released is not held anew")
	}
}

// TestSharesAreBounded has more workspaces over their share than are named.
func TestSharesAreBounded(t *testing.T) {
	s := newShareRefusals()
	at := time.Unix(1_000_000, 0)
	names := map[string]bool{}
	for n := range 3 * maxTrackedWorkspaces {
		name, _ := s.record(fmt.Sprint(n), at.Add(time.Duration(n)*time.Second))
		names[name] = true
		s.expire(at.Add(time.Duration(n) * time.Second))
	}
	if len(names) != maxTrackedWorkspaces+1 || !names[otherWorkspacesLabel] {
		t.Errorf("%d names are counted, want %d and %q", len(names), maxTrackedWorkspaces, otherWorkspacesLabel)
	}
}
