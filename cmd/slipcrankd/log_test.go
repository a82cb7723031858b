package main_test

import (
	"bytes"
	"regexp"
	"sync"
	"time"
)

// logBuffer stores the output of a process and lets a test wait for a matching
// line.
type logBuffer struct {
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{} // closed by the next Write
}

// Write appends b and wakes waiting tests.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written != nil {
		close(l.written)
		l.written = nil
	}
	return l.text.Write(b)
}

// String returns the output so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// waitFor waits until the output matches pattern and returns the first group of
// the match, or false after waitTimeout.
func (l *logBuffer) waitFor(pattern *regexp.Regexp) (string, bool) {
	timeout := time.After(waitTimeout)
	for {
		group, written := l.match(pattern)
		if group != "" {
			return group, true
		}
		select {
		case <-written:
		case <-timeout:
			return "", false
		}
	}
}

// match returns the first group of a match or, without a match, a channel that the
// next Write closes.
func (l *logBuffer) match(pattern *regexp.Regexp) (string, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := pattern.FindSubmatch(l.text.Bytes()); m != nil {
		return string(m[1]), nil
	}
	if l.written == nil {
		l.written = make(chan struct{})
	}
	return "", l.written
}
