package gateway

import (
	"fmt"
	"testing"
	"time"
)

func TestShareRefusalsTrackWorkspaces(t *testing.T) {
	s := newShareRefusals()
	at := time.Unix(1_000_000, 0)
	if label, first := s.record("till", at); label != "till" || !first {
		t.Errorf("label %q of the first refusal, first %v", label, first)
	}
	if _, first := s.record("till", at.Add(time.Second)); first {
		t.Error("a further refusal counts as the first one")
	}
	if ws := s.expire(at.Add(overShareRetention)); len(ws) != 0 {
		t.Errorf("%v expired %v after the last refusal", ws, overShareRetention-time.Second)
	}
	if ws := s.expire(at.Add(time.Second + overShareRetention)); len(ws) != 1 || ws[0] != "till" {
		t.Errorf("%v expired, want till", ws)
	}
	if _, first := s.record("till", at.Add(time.Minute)); !first {
		t.Error("a refusal after the expiry doesn't count as the first one")
	}
}

// TestShareRefusalLabelsAreBounded refuses calls of more workspaces than get their own
// metric label.
func TestShareRefusalLabelsAreBounded(t *testing.T) {
	s := newShareRefusals()
	at := time.Unix(1_000_000, 0)
	labels := map[string]bool{}
	for n := range 3 * maxTrackedWorkspaces {
		label, _ := s.record(fmt.Sprint(n), at.Add(time.Duration(n)*time.Second))
		labels[label] = true
		s.expire(at.Add(time.Duration(n) * time.Second))
	}
	if len(labels) != maxTrackedWorkspaces+1 || !labels[otherWorkspacesLabel] {
		t.Errorf("%d labels, want %d including %q", len(labels), maxTrackedWorkspaces, otherWorkspacesLabel)
	}
}
