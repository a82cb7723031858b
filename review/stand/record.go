package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since its start.
type record struct {
	begun time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{begun: time.Now(), file: f}, err
}

func (r *record) now() time.Duration { return time.Since(r.begun) }

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}
