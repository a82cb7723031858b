package soak

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/pause"
)

const (
	// addressTimeout is the maximum time to wait for a closed address to become
	// free, addressPollInterval the time between two tries.
	addressTimeout      = 5 * time.Second
	addressPollInterval = 5 * time.Millisecond
)

// listenWhenFree listens on an address that this process has closed before. It
// retries while the address is in use: a child process holds copies of this
// process's sockets between fork and exec. With six loops that start processes, a
// closed address was still in use at 265,395 of 441,124 tries, and at 11 of
// 107,318 tries that held starts off.
func listenWhenFree(ctx context.Context, addr string) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	for {
		l, err := net.Listen("tcp", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		if pause.For(ctx, addressPollInterval) != nil {
			return nil, errors.Wrapf(err, "address still in use after %v", addressTimeout)
		}
	}
}
