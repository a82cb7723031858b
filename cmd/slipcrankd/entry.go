package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"slipcrank.example/clients/web"
	"slipcrank.example/daemon/entry"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/platform"
)

// settingsPollInterval is the time between two checks whether the settings file
// has changed, since it may change without a signal. No setting is urgent.
const settingsPollInterval = 2 * time.Second

// memoryLimitFraction is the fraction of the host's memory above which garbage is collected
// as often as needed. The kernel's buffers and the process's code take the rest.
const memoryLimitFraction = 0.7

// runEntry serves as an entry host on the users' platform until SIGTERM or
// SIGINT, and returns the exit code. It reloads the settings on SIGHUP and when
// their file changes.
func runEntry() int {
	signal.Ignore(syscall.SIGPIPE) // a write to a log that nobody reads any more would end the process
	// Separate channels: a stop must not wait for settings that can't be read, nor be lost
	// behind other signals.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	stopRequested := make(chan time.Time, 1)
	go func() {
		<-stop
		stopRequested <- time.Now() // the grace period counts from here, also during the start
	}()
	path := platform.SettingsPath()
	s, err := settings.LoadEntry(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(s.Memory * memoryLimitFraction * 1e6))
	}
	e, err := entry.New(s, entry.Platform{
		Source:   platform.Source(web.New(), s.Platform),
		Orders:   platform.Orders(web.New(web.WithMaxBody(platform.MaxOrderAnswerBytes))),
		Tables:   platform.Tables(),
		Decoders: platform.Decoders(),
		Dialect:  platform.Dialect(),
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if err := e.Start(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go settings.Follow(ctx, path, settingsPollInterval, e.Reload)
	go func() {
		for range reload {
			e.Reload(settings.LoadEntry(path))
		}
	}()
	e.StopSince(context.Background(), <-stopRequested)
	return 0
}
