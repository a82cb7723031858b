package gateway_test

import "testing"

// TestSilenceDoesNotCutStreamThatNoOtherServerCanResume has the only server of a service fall silent and go on.
func TestSilenceDoesNotCutStreamThatNoOtherServerCanResume(t *testing.T) {
	f := start(t, streamWithSilence)
	a := f.do("POST", "/wait/", "b", "Size", "1000,10")
	if a.err != nil || a.body != allEvents() {
		t.Errorf("error %v, got %q, want all events", a.err, a.body)
	}
}
