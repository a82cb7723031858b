package command

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/event"
)

const (
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
	// reasonIsolationWait and reasonBlockedSuffix match the reasons in SC1513 for
	// refusing a suspect: it has to wait for isolation, or it or its workspace is
	// blocked for crashing servers.
	reasonIsolationWait = "suspect_waits"
	reasonPartSuspected = "prompt_part_suspected"
	reasonBlockedSuffix = "_ends_servers"
)

type (
	// logLine holds the fields of a log line that are evaluated.
	logLine struct {
		Event  int    `json:"event"`
		Stage  string `json:"stage"`
		Reason string `json:"why"`
	}

	// suspectCounts counts the log lines by event, stage and reason.
	suspectCounts struct {
		CrashesReported  int            `json:"found"`  // crashes seen by one host, unconfirmed
		CrashesConfirmed int            `json:"proved"` // crashes confirmed by a second host
		Stages           map[string]int `json:"stages"`
		Refused          map[string]int `json:"refused"` // by reason
	}
)

// countSuspects counts the log events about suspects in the files at paths. It returns
// an error if any request was blocked or refused as a suspect, since it serves to
// check runs in which no request crashes servers.
func countSuspects(e *env, paths []string) error {
	c := suspectCounts{Stages: map[string]int{}, Refused: map[string]int{}}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return usageError("can't read log: "+err.Error(), "give files with the hosts' log lines")
		}
		err = c.read(f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return err
		}
	}
	if err := e.print(c, c.table()); err != nil {
		return err
	}
	if c.Stages[quarantine.Blocked.String()] > 0 || len(c.Refused) > 0 {
		return fault.New(fault.EndsEngines, "requests were blocked (stage held) or refused as suspects", "if none of them crashes servers, look for SC1314 and for other crashes at that time")
	}
	return nil
}

// read counts the lines of one log. It ignores text before the JSON object of a line,
// and lines without a JSON object.
func (c *suspectCounts) read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		i := strings.IndexByte(s.Text(), '{')
		var l logLine
		if i < 0 || json.Unmarshal([]byte(s.Text()[i:]), &l) != nil {
			continue
		}
		c.add(l)
	}
	return errors.Wrap(s.Err(), "read log")
}

func (c *suspectCounts) add(l logLine) {
	switch l.Event {
	case event.ServerCrashed.Number:
		c.CrashesReported++
	case event.CrashConfirmed.Number:
		c.CrashesConfirmed++
	case event.SuspectChanged.Number, event.PartSuspected.Number:
		c.Stages[l.Stage]++
	case event.RequestRefused.Number:
		if l.Reason == reasonIsolationWait || l.Reason == reasonPartSuspected || strings.HasSuffix(l.Reason, reasonBlockedSuffix) {
			c.Refused[l.Reason]++
		}
	}
}

func (c *suspectCounts) table() table {
	t := table{header: []string{"WHAT", "LINES"}}
	row := func(label string, n int) { t.rows = append(t.rows, []string{label, strconv.Itoa(n)}) }
	row("ends found by one host", c.CrashesReported)
	row("ends proved by another", c.CrashesConfirmed)
	for _, s := range []quarantine.Stage{quarantine.Suspect, quarantine.Serialized, quarantine.Blocked} {
		row(s.String(), c.Stages[s.String()])
	}
	for _, reason := range []string{
		reasonIsolationWait, reasonPartSuspected, "workspace" + reasonBlockedSuffix, "request" + reasonBlockedSuffix, "prompt_part" + reasonBlockedSuffix,
	} {
		row("refused, "+reason, c.Refused[reason])
	}
	return t
}
