package soak

import (
	"os/exec"
	"sync"
	"testing"
)

// TestAddressIsFreeBesideStarts closes an address and takes it again while
// processes are started.
func TestAddressIsFreeBesideStarts(t *testing.T) {
	const addr, times = "127.83.9.9:7201", 500
	stop := make(chan struct{})
	var starts sync.WaitGroup
	for range 4 {
		starts.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					if err := exec.Command("true").Run(); err != nil {
						t.Errorf("start a process: %v", err)
						return
					}
				}
			}
		})
	}
	for range times {
		l, err := listenAgain(t.Context(), addr)
		if err != nil {
			t.Errorf("the address was not free: %v", err)
			break
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
	close(stop)
	starts.Wait()
}
