package command

import (
	"context"
	"strconv"
)

const suspectsUsage = `suspects list | pardon PRINT | count FILE...
  Show the requests under which backend servers ended, as one entry host knows
  them, or clear one: all hosts forget it, and it runs again. Or count what hosts'
  logs say of them: it fails if any was held or refused, as a check of a day on
  which no request ends servers.

  slipcrank suspects --addr 10.1.0.40:9464 list       (the host's metrics address)
  slipcrank suspects --addr 10.1.0.40:9464 pardon 3f1c...
  slipcrank suspects count host-*.log`

type (
	suspectStatus struct {
		Print     string `json:"print"`
		Same      string `json:"same"`
		Workspace string `json:"workspace"`
		Stage     string `json:"stage"`
		Ended     int    `json:"ended"`
	}

	suspectsReply struct {
		Suspects []suspectStatus `json:"suspects"`
	}

	pardonOrder struct {
		Print string `json:"print"`
	}

	pardonReply struct {
		Pardoned bool `json:"pardoned"`
	}
)

func suspectsCommand() *command {
	return &command{name: "suspects", synopsis: "show or clear requests that end backend servers", usage: suspectsUsage, run: func(ctx context.Context, e *env, args []string) error {
		switch verb, print := argument(args, 0), argument(args, 1); {
		case verb == "list":
			return listSuspects(ctx, e)
		case verb == "pardon" && print != "":
			return pardonSuspect(ctx, e, print)
		case verb == "count" && print != "":
			return countSuspects(e, args[1:])
		default:
			return usageError("the words after suspects are off", "see slipcrank help suspects")
		}
	}}
}

func listSuspects(ctx context.Context, e *env) error {
	var r suspectsReply
	if err := e.client.Get(ctx, "/v1/suspects", &r); err != nil {
		return err
	}
	t := table{head: []string{"PRINT", "SAME", "WORKSPACE", "STAGE", "ENDED"}}
	for _, s := range r.Suspects {
		t.rows = append(t.rows, []string{s.Print, s.Same, s.Workspace, s.Stage, strconv.Itoa(s.Ended)})
	}
	return e.print(r, t)
}

func pardonSuspect(ctx context.Context, e *env, print string) error {
	var r pardonReply
	if err := e.client.Post(ctx, "/v1/suspects/pardon", pardonOrder{print}, &r); err != nil {
		return err
	}
	return e.print(r, table{head: []string{"PRINT", "PARDONED"}, rows: [][]string{{print, yes(r.Pardoned)}}})
}
