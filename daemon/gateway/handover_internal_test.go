package gateway

import "testing"

// TestStreamOverPathsThatSeemLostHasBoundedRuns guards against one more run for each verdict on a path that isn't lost.
func TestStreamOverPathsThatSeemLostHasBoundedRuns(t *testing.T) {
	c := &call{attempts: 1, headSent: true, buffer: &bodyBuffer{buffers: newBuffers(1)}, exchange: &exchange{begun: true}}
	for range 5 {
		h := &handover{}
		h.call = c.forHandover(h)
		h.call.leave(outcome{reason: reasonPathLost})
		h.attempts = h.call.attempts
		h.call.attempts++ // another server runs it, and fails
		c.learn(h)
	}
	if c.attempts != 6 || c.forHandover(nil).attempts != c.attempts {
		t.Errorf("%d attempts count after 6 runs, want 6", c.attempts)
	}
	c.leave(outcome{reason: reasonPathLost})
	if c.attempts != 6 {
		t.Errorf("%d attempts count after another verdict, want 6", c.attempts)
	}
}

// TestStreamThatPathsSeemLostToInTurnHasBoundedRuns guards against one more run for each server that may get a stream when the path to it seems lost, too.
func TestStreamThatPathsSeemLostToInTurnHasBoundedRuns(t *testing.T) {
	c := &call{attempts: 1, headSent: true, buffer: &bodyBuffer{buffers: newBuffers(1)}, exchange: &exchange{begun: true}}
	for range 5 {
		h := &handover{}
		h.call = c.forHandover(h)
		h.call.leave(outcome{reason: reasonPathLost})
		h.attempts = h.call.attempts
		h.call.attempts++ // another server runs it
		h.call.returnAttempt()
		c.learn(h)
	}
	if c.attempts != 6 {
		t.Errorf("%d attempts count after 6 runs, want 6", c.attempts)
	}
}
