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
