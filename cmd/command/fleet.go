package command

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/template"
)

const (
	workspaceUsage = `workspace list | status WORKSPACE | move WORKSPACE | return WORKSPACE
  Move the traffic of workspaces between the old site and the new one.

  slipcrank workspace move --percent 20 till   (a fifth of the keys go to the new site)
  slipcrank workspace move --percent 100 till  (all: the move has ended)
  slipcrank workspace return --percent 50 till (half go back)
  slipcrank workspace return --percent 0 till  (all are back on the old site)`

	hostsUsage = `hosts
  Show the platform's host list as of the daemon's last read.`

	enginesUsage = `engines
  Show the engines with their data halls, model copies, KV memory and owners.`

	explainUsage = `explain REQUEST-ID
  Show why a request was placed on its engine: the compared offers, the choice
  and its reason, for each attempt. Send the command to the entry host that
  served the request (--addr).`
)

type (
	moveRequest struct {
		Workspace string         `json:"workspace"`
		State     template.State `json:"state"`
		Percent   int            `json:"percent"`
	}

	engineStatus struct {
		Addr        string   `json:"addr"`
		Hall        string   `json:"hall"`
		Status      string   `json:"status"`
		Role        string   `json:"role"`
		Copies      []string `json:"copies"`
		TotalTokens int      `json:"total_tokens"`
		Owner       string   `json:"owner"`
	}

	enginesReply struct {
		Engines []engineStatus `json:"engines"`
	}

	offer struct {
		Addr    string        `json:"addr"`
		Wait    time.Duration `json:"wait"`
		Prefill time.Duration `json:"prefill"`
		Cached  int           `json:"cached"`
		Fits    bool          `json:"fits"`
		Ejected bool          `json:"ejected"`
	}

	explainReply struct {
		ID        string    `json:"id"`
		Workspace string    `json:"workspace"`
		Model     string    `json:"model"`
		Tokens    int       `json:"tokens"`
		Arrival   time.Time `json:"arrival"`
		Attempts  []struct {
			Attempt  string `json:"attempt"`
			Decision struct {
				Offers []offer `json:"offers"`
				Chosen string  `json:"chosen"`
				Reason string  `json:"reason"`
			} `json:"decision"`
			Took time.Duration `json:"took"`
		} `json:"attempts"`
		FirstToken time.Duration `json:"first_token"`
		Outcome    string        `json:"outcome"`
	}
)

func workspaceCommand() *command {
	var percent int
	c := &command{name: "workspace", synopsis: "move workspaces between the old and the new site", usage: workspaceUsage}
	c.flags = func(f *flag.FlagSet) {
		f.IntVar(&percent, "percent", -1, "percentage of the workspace's keys that the new site serves")
	}
	c.run = func(ctx context.Context, e *env, args []string) error {
		verb, name := argument(args, 0), argument(args, 1)
		switch {
		case verb == "list":
			return listTemplates(ctx, e)
		case verb == "status" && name != "":
			return templateHistory(ctx, e, name)
		case verb == "move" && name != "":
			return setCrossover(ctx, e, name, template.Moving, percent)
		case verb == "return" && name != "":
			return setCrossover(ctx, e, name, template.Returning, percent)
		default:
			return usageError("unknown or incomplete arguments after workspace", "see slipcrank help workspace")
		}
	}
	return c
}

func setCrossover(ctx context.Context, e *env, name string, state template.State, percent int) error {
	if percent < 0 {
		return usageError("the percentage to move is missing", "give --percent, from 0 to 100")
	}
	switch {
	case state == template.Moving && percent == 100:
		state = template.New
	case state == template.Returning && percent == 0:
		state = template.Old
	}
	var r changeReply
	if err := e.client.Post(ctx, "/v1/move", moveRequest{Workspace: name, State: state, Percent: percent}, &r); err != nil {
		return err
	}
	return e.print(r, table{
		header: []string{"WORKSPACE", "VERSION", "CROSSOVER"},
		rows:   [][]string{{name, strconv.FormatUint(r.Template.Version, 10), formatCrossover(r.Template)}},
	})
}

func hostsCommand() *command {
	return &command{name: "hosts", synopsis: "show the hosts", usage: hostsUsage, run: func(ctx context.Context, e *env, _ []string) error {
		var r []hosts.Host
		if err := e.client.Get(ctx, "/v1/hosts", &r); err != nil {
			return err
		}
		t := table{header: []string{"HOST", "HALL", "ROLE", "SERVICE", "LEAVING"}}
		for _, h := range r {
			t.rows = append(t.rows, []string{h.Addr, h.Hall, string(h.Role), h.Service, yesNo(h.Leaving)})
		}
		return e.print(r, t)
	}}
}

func enginesCommand() *command {
	return &command{name: "engines", synopsis: "show the engines", usage: enginesUsage, run: func(ctx context.Context, e *env, _ []string) error {
		var r enginesReply
		if err := e.client.Get(ctx, "/v1/engines", &r); err != nil {
			return err
		}
		t := table{header: []string{"ENGINE", "HALL", "STATUS", "ROLE", "COPIES", "TOKENS", "OWNER"}}
		for _, x := range r.Engines {
			t.rows = append(t.rows, []string{
				x.Addr, x.Hall, x.Status, x.Role, strings.Join(x.Copies, ","), strconv.Itoa(x.TotalTokens), x.Owner,
			})
		}
		return e.print(r, t)
	}}
}

func explainCommand() *command {
	return &command{name: "explain", synopsis: "show why a request was placed on its engine", usage: explainUsage, run: func(ctx context.Context, e *env, args []string) error {
		if argument(args, 0) == "" {
			return usageError("the request ID is missing", "take it from the header X-Request-Id of the answer")
		}
		var r explainReply
		if err := e.client.Get(ctx, "/v1/explain/"+args[0], &r); err != nil {
			return err
		}
		t := table{header: []string{"ATTEMPT", "ENGINE", "WAIT", "PREFILL", "CACHED", "FITS", "EJECTED", "CHOSEN"}}
		for i, a := range r.Attempts {
			for _, o := range a.Decision.Offers {
				t.rows = append(t.rows, []string{
					strconv.Itoa(i + 1), o.Addr, o.Wait.Round(time.Millisecond).String(), o.Prefill.Round(time.Millisecond).String(),
					strconv.Itoa(o.Cached), yesNo(o.Fits), yesNo(o.Ejected), yesNo(o.Addr == a.Decision.Chosen),
				})
			}
			t.rows = append(t.rows, []string{strconv.Itoa(i + 1), "reason: " + a.Decision.Reason})
		}
		if !e.json {
			fmt.Fprintf(e.out, "request %s of %s, %d tokens, model %s: %s, first token after %v\n",
				r.ID, r.Workspace, r.Tokens, r.Model, r.Outcome, r.FirstToken.Round(time.Millisecond))
		}
		return e.print(r, t)
	}}
}
