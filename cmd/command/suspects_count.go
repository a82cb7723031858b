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
	// maxLine bounds a line of a log.
	maxLine = 1 << 20
	// refusedWaits and refusedEnding are why a request is refused as a suspect: it
	// has to wait, or it or its workspace ends servers. So it stands in SC1513.
	refusedWaits  = "suspect_waits"
	refusedEnding = "_ends_servers"
)

type (
	// suspectLine is what is read of a log line.
	suspectLine struct {
		Event int    `json:"event"`
		Stage string `json:"stage"`
		Why   string `json:"why"`
	}

	// suspectCount is how many lines of each kind there are.
	suspectCount struct {
		Found   int            `json:"found"`  // ends, by one host's look
		Proved  int            `json:"proved"` // ends, by a second host's
		Stages  map[string]int `json:"stages"`
		Refused map[string]int `json:"refused"` // by why
	}
)

// countSuspects counts what hosts' logs say of suspects. It is an error if they held
// or refused any: a check where no request is deadly.
func countSuspects(e *env, paths []string) error {
	c := suspectCount{Stages: map[string]int{}, Refused: map[string]int{}}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return usageError("a log can't be read: "+err.Error(), "name files with the hosts' log lines")
		}
		err = c.read(f)
		_ = f.Close() // it was only read
		if err != nil {
			return err
		}
	}
	if err := e.print(c, c.table()); err != nil {
		return err
	}
	if c.Stages[quarantine.Blocked.String()] > 0 || len(c.Refused) > 0 {
		return fault.New(fault.EndsEngines, "requests were held, or refused as suspects", "if none is deadly, look for SC1314 and what else ended then")
	}
	return nil
}

// read counts the lines of one log. What stands before a line's braces is passed over,
// and lines that are none of a host's.
func (c *suspectCount) read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		i := strings.IndexByte(s.Text(), '{')
		var l suspectLine
		if i < 0 || json.Unmarshal([]byte(s.Text()[i:]), &l) != nil {
			continue
		}
		c.add(l)
	}
	return errors.Wrap(s.Err(), "read log")
}

func (c *suspectCount) add(l suspectLine) {
	switch l.Event {
	case event.ServerCrashed.Number:
		c.Found++
	case event.CrashConfirmed.Number:
		c.Proved++
	case event.SuspectChanged.Number:
		c.Stages[l.Stage]++
	case event.RequestRefused.Number:
		if l.Why == refusedWaits || strings.HasSuffix(l.Why, refusedEnding) {
			c.Refused[l.Why]++
		}
	}
}

func (c *suspectCount) table() table {
	t := table{head: []string{"WHAT", "LINES"}}
	row := func(what string, n int) { t.rows = append(t.rows, []string{what, strconv.Itoa(n)}) }
	row("ends found by one host", c.Found)
	row("ends proved by another", c.Proved)
	for _, s := range []quarantine.Stage{quarantine.Suspect, quarantine.Serialized, quarantine.Blocked} {
		row(s.String(), c.Stages[s.String()])
	}
	for _, why := range []string{refusedWaits, "workspace" + refusedEnding, "request" + refusedEnding} {
		row("refused, "+why, c.Refused[why])
	}
	return t
}
