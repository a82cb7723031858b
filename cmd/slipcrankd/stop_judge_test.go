package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"slipcrank.example/core/pause"
)

const (
	// Requests sent later than lateSend after SIGTERM must have a whole answer. Others may be
	// cut while their server is at work in the last part of the grace period.
	lateSend      = 3 * time.Second
	lastGracePart = 6
	// unreadSlack is the time from the last byte to the end of a request that counts as not
	// read by the host, unless it was passed on, and of an answer that counts as not read.
	unreadSlack = 200 * time.Millisecond
	endEvent    = 1514
	cutEvent    = 1527
	// workSlack is how long before the end of an answer a run that the host has cut may end.
	workSlack = 200 * time.Millisecond
	// logDelay is how long after the end of a request its line is written at the latest.
	logDelay = time.Second
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
	lines := linesOf(s.log, cutEvent)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		runs := w.runsOf(r.id)
		unread := len(runs) == 0 && (r.lastByte.IsZero() || r.end.Sub(r.lastByte) <= unreadSlack)
		if r.host != s.host || r.end.Before(s.signalled) || r.end.After(end.Add(time.Second)) || r.firstByte.After(s.exited) || !r.whole && unread {
			continue
		}
		counts["requests"]++
		r.judged = true
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
		if l, ok := lines[r.id]; !ok || l.Age == nil || !s.isServer(l.Server, runs) {
			counts["without a line"]++
			faults = append(faults, fmt.Sprintf("no line with server and age (%v): %s", l, s.describe(r, runs)))
		}
	}
	return counts, faults
}

// isServer reports whether a server is the last one that the host knows of. Of a stream that another
// host serves, that is the server that began it there.
func (s plannedStop) isServer(id string, runs []stopRun) bool {
	if len(runs) == 0 {
		return true
	}
	last := runs[len(runs)-1]
	return id == last.server || last.from != s.host.ip && slices.ContainsFunc(runs, func(run stopRun) bool {
		return run.from == last.from && run.server == id
	})
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
		return run.ended.IsZero() || inLastPart && (run.cut || !run.ended.Before(r.end.Add(-unreadSlack)))
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

// linesOf returns the lines of a log with an event, by ID.
func linesOf(log *logBuffer, event int) map[string]cutLine {
	lines := map[string]cutLine{}
	for text := range strings.Lines(log.String()) {
		var l cutLine
		if json.Unmarshal([]byte(text), &l) == nil && l.Event == event {
			lines[l.ID] = l
		}
	}
	return lines
}

// judgeAll counts what happened to all requests that have ended, also outside stops, and describes
// those that ended as they must not.
func (w *stopWorld) judgeAll(counts map[string]int) (faults []string) {
	w.mu.Lock()
	requests := slices.Clone(w.requests)
	w.mu.Unlock()
	_ = pause.For(w.ctx, logDelay)
	ended := w.endedInLogs()
	for _, r := range requests {
		runs := w.runsOf(r.id)
		fault := func(name string) {
			counts[name]++
			faults = append(faults, name+": "+plannedStop{host: r.host, signalled: r.firstByte, exited: r.end}.describe(r, runs))
		}
		if !r.judged {
			counts["outside"]++
			if r.whole && r.status != http.StatusOK {
				counts[fmt.Sprint("outside status ", r.status)]++
			}
		}
		for name, wrong := range map[string]bool{
			"refused but ran": r.refused() && len(runs) > 0,
			"ran twice":       strings.HasPrefix(r.path, "/once/") && len(runs) > 1,
			"garbled":         r.garbled,
			"lost outside":    !r.judged && !r.whole && (r.status != 0 || len(runs) > 0) && !isEndedByServer(r, runs),
			"no line of end":  !r.whole && r.status != 0 && !ended[r.host][r.id],
		} {
			if wrong {
				fault(name)
			}
		}
	}
	return faults
}

// isEndedByServer reports whether an answer ended early since its last server broke it off, or
// because it had no more time.
func isEndedByServer(r *stopRequest, runs []stopRun) bool {
	if r.end.Sub(r.firstByte) >= stopDeadline {
		return true
	}
	return len(runs) > 0 && runs[len(runs)-1].brokeOff && !slices.ContainsFunc(runs, func(run stopRun) bool {
		return !run.brokeOff && (run.ended.IsZero() || run.cut && run.ended.After(r.end.Add(-workSlack)))
	})
}

// endedInLogs returns the IDs of the requests whose end is in the logs of a host.
func (w *stopWorld) endedInLogs() map[*stopHost]map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ended := map[*stopHost]map[string]bool{}
	for _, h := range w.hosts {
		ended[h] = map[string]bool{}
		for _, log := range h.logs {
			for _, event := range []int{endEvent, cutEvent} {
				for id := range linesOf(log, event) {
					ended[h][id] = true
				}
			}
		}
	}
	return ended
}
