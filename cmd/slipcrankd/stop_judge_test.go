package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// Requests sent later than lateSend after SIGTERM must have a whole answer. Others may be
	// cut while their server is at work in the last part of the grace period.
	lateSend      = 3 * time.Second
	lastGracePart = 6
	// unreadSlack is the time from the last byte to the end of a request that counts as not
	// read by the host, unless it was passed on.
	unreadSlack = 200 * time.Millisecond
	cutEvent    = 1527
)

type (
	// plannedStop is a stop of a host, as seen from outside.
	plannedStop struct {
		host              *stopHost
		log               *logBuffer
		signalled, exited time.Time
		err               error // of the process
	}

	// cutLine is the line of the log about a request that the end of the process cut.
	cutLine struct {
		Event  int    `json:"event"`
		ID     string `json:"id"`
		Server string `json:"server"`
		Age    *int64 `json:"age"`
	}
)

// judge counts what happened to the requests in progress during a stop, and describes those
// that ended as they must not.
func (w *stopWorld) judge(s plannedStop) (counts map[string]int, faults []string) {
	counts = map[string]int{"stops": 1}
	end := s.signalled.Add(w.grace)
	if s.err != nil || s.exited.After(end) {
		faults = append(faults, fmt.Sprintf("%s exited %v after SIGTERM: %v", s.host.name, s.exited.Sub(s.signalled), s.err))
	}
	lines := s.cutLines()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		runs := w.runsOf(r.id)
		unread := len(runs) == 0 && (r.lastByte.IsZero() || r.end.Sub(r.lastByte) <= unreadSlack)
		if r.host != s.host || r.end.Before(s.signalled) || r.end.After(end.Add(time.Second)) || r.firstByte.After(s.exited) || !r.whole && unread {
			continue
		}
		counts["requests"]++
		switch {
		case r.refused():
			counts["refused"]++
		case r.whole && r.status != http.StatusOK:
			counts[fmt.Sprint("status ", r.status)]++
		case r.whole:
		case w.excuses(s, r, runs):
			counts["excused"]++
		default:
			counts["lost"]++
			faults = append(faults, "no whole answer: "+s.describe(r, runs))
		}
		if r.whole || len(runs) > 0 && runs[len(runs)-1].brokeOff || r.end.Before(s.exited.Add(-time.Second)) {
			continue
		}
		counts["cut by exit"]++
		if l, ok := lines[r.id]; !ok || l.Age == nil || len(runs) > 0 && l.Server != runs[len(runs)-1].server {
			counts["without a line"]++
			faults = append(faults, fmt.Sprintf("no line with server and age (%v): %s", l, s.describe(r, runs)))
		}
	}
	return counts, faults
}

// excuses reports whether a request may end without a whole answer in a stop.
func (w *stopWorld) excuses(s plannedStop, r *stopRequest, runs []stopRun) bool {
	if late := r.end.Sub(r.firstByte) >= stopDeadline; late || len(runs) == 0 {
		return late
	}
	if runs[len(runs)-1].brokeOff {
		return true
	}
	// Any run counts: a busy server may begin one that was given up after the one that replaced it.
	working := slices.ContainsFunc(runs, func(run stopRun) bool {
		inLastPart := !run.ended.Before(s.signalled.Add(w.grace - w.grace/lastGracePart))
		return run.ended.IsZero() || inLastPart && (run.cut || !run.ended.Before(r.end))
	})
	return working && !r.lastByte.IsZero() && r.lastByte.Sub(s.signalled) <= lateSend
}

// describe describes a request with times since SIGTERM.
func (s plannedStop) describe(r *stopRequest, runs []stopRun) string {
	since := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.3f", t.Sub(s.signalled).Seconds())
	}
	text := fmt.Sprintf("%s at %s sent %s..%s end %s status %d: %v", r.id, s.host.name, since(r.firstByte), since(r.lastByte), since(r.end), r.status, r.err)
	for _, run := range runs {
		text += fmt.Sprintf(" [%s from %s %s..%s cut=%v broke_off=%v]", run.server, run.from, since(run.began), since(run.ended), run.cut, run.brokeOff)
	}
	return text + fmt.Sprintf(" (exit %s)", since(s.exited))
}

// cutLines returns the lines about requests that the end of the process cut, by ID.
func (s plannedStop) cutLines() map[string]cutLine {
	lines := map[string]cutLine{}
	for text := range strings.Lines(s.log.String()) {
		var l cutLine
		if json.Unmarshal([]byte(text), &l) == nil && l.Event == cutEvent {
			lines[l.ID] = l
		}
	}
	return lines
}

// refusedRuns describes the requests that were refused although they ran.
func (w *stopWorld) refusedRuns() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var faults []string
	for _, r := range w.requests {
		if runs := w.runsOf(r.id); r.refused() && len(runs) > 0 {
			faults = append(faults, fmt.Sprintf("%s got status %d and ran %d times", r.id, r.status, len(runs)))
		}
	}
	return faults
}
