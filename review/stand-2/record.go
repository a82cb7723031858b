package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// line writes one line with the time since the start of the case in seconds.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
