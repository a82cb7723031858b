package command

import (
	"context"
	"strconv"
)

const suspectsUsage = `suspects list | pardon PRINT | count FILE...
  List the requests that one entry host suspects of crashing backend servers, or
  pardon one: all hosts drop the suspicion and accept the request again. count
  counts the log events about suspects in hosts' logs, and fails if any request
  was blocked or refused as a suspect. Use it to check a period in which no
  request crashed servers.

  slipcrank suspects --addr 10.1.0.40:9464 list       (the host's metrics address)
  slipcrank suspects --addr 10.1.0.40:9464 pardon 3f1c...
  slipcrank suspects count host-*.log`

type (
	suspectStatus struct {
		Fingerprint string `json:"print"`
		HeadHash    string `json:"same"`
		Workspace   string `json:"workspace"`
		Stage       string `json:"stage"`
		Part        bool   `json:"part"` // of prompts, instead of a request
		Crashes     int    `json:"ended"`
	}

	suspectsReply struct {
		Suspects []suspectStatus `json:"suspects"`
	}

	pardonRequest struct {
		Print string `json:"print"`
	}

	pardonReply struct {
		Pardoned bool `json:"pardoned"`
	}
)

func suspectsCommand() *command {
	return &command{name: "suspects", synopsis: "show or pardon requests suspected of crashing backend servers", usage: suspectsUsage, run: func(ctx context.Context, e *env, args []string) error {
		switch verb, target := argument(args, 0), argument(args, 1); {
		case verb == "list":
			return listSuspects(ctx, e)
		case verb == "pardon" && target != "":
			return pardonSuspect(ctx, e, target)
		case verb == "count" && target != "":
			return countSuspects(e, args[1:])
		default:
			return usageError("unknown or incomplete arguments after suspects", "see slipcrank help suspects")
		}
	}}
}

func listSuspects(ctx context.Context, e *env) error {
	var r suspectsReply
	if err := e.client.Get(ctx, "/v1/suspects", &r); err != nil {
		return err
	}
	t := table{header: []string{"PRINT", "SAME", "WORKSPACE", "STAGE", "ENDED", "PART"}}
	for _, s := range r.Suspects {
		t.rows = append(t.rows, []string{s.Fingerprint, s.HeadHash, s.Workspace, s.Stage, strconv.Itoa(s.Crashes), yesNo(s.Part)})
	}
	return e.print(r, t)
}

func pardonSuspect(ctx context.Context, e *env, fingerprint string) error {
	var r pardonReply
	if err := e.client.Post(ctx, "/v1/suspects/pardon", pardonRequest{fingerprint}, &r); err != nil {
		return err
	}
	return e.print(r, table{header: []string{"PRINT", "PARDONED"}, rows: [][]string{{fingerprint, yesNo(r.Pardoned)}}})
}
