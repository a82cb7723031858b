package gateway

import (
	"testing"
	"time"
)

// TestSilenceThatPassesItsBoundWhileCheckedExpires guards against calls that stay with a silent server for another second.
func TestSilenceThatPassesItsBoundWhileCheckedExpires(t *testing.T) {
	expired := make(chan struct{})
	timer := &silenceTimer{
		timeout: 10 * time.Millisecond,
		extension: func(time.Duration) time.Duration {
			<-time.After(30 * time.Millisecond) // on a busy host
			return 20 * time.Millisecond
		},
		onExpire: func() { close(expired) },
	}
	timer.start()
	defer timer.stop()
	select {
	case <-expired:
	case <-time.After(silenceRecheckInterval / 2):
		t.Error("the silence has not expired")
	}
}

// TestStandstillOfHostIsNoSilence guards against servers that are judged by what a host has not read yet.
func TestStandstillOfHostIsNoSilence(t *testing.T) {
	for name, tc := range map[string]struct {
		late    time.Duration // the check
		read    bool          // what arrived during the standstill
		expires bool
	}{
		"in time, silent":        {0, false, true},
		"standstill, then read":  {2 * maxTimerDelay, true, false},
		"standstill, and silent": {2 * maxTimerDelay, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			expired := make(chan struct{})
			timer := &silenceTimer{
				timeout: time.Hour, extension: func(time.Duration) time.Duration { return 0 }, onExpire: func() { close(expired) },
			}
			timer.start()
			defer timer.stop()
			timer.mu.Lock()
			timer.timeout = time.Second
			timer.lastActivity = time.Now().Add(-time.Minute)
			timer.due = time.Now().Add(-tc.late)
			timer.mu.Unlock()
			timer.check()
			if tc.read {
				timer.reset()
			}
			select {
			case <-expired:
				if !tc.expires {
					t.Error("the silence has expired")
				}
			case <-time.After(4 * standstillWait):
				if tc.expires {
					t.Error("the silence has not expired")
				}
			}
		})
	}
}
