package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/cmd/load"
)

const loadUsage = `load
  Send an open-loop load of mixed prompts to a fleet and report the latency and
  the errors that callers see. The defaults fit the fleet of slipcrank dev.

  slipcrank load --for 20s --json
  slipcrank load --rate 60 --long 0.05 --plot load.svg
  slipcrank load --target 127.0.0.1:18080,127.0.0.1:18081 --workspaces till=till-secret,ledgers=ledgers-secret:long`

func loadCommand() *command {
	p := load.DefaultPlan()
	p.Model = devel.Model
	var targets, workspaces, plot string
	c := &command{name: "load", synopsis: "send a load to a fleet and measure the answers", usage: loadUsage}
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&targets, "target", "127.0.0.1:18080,127.0.0.1:18081,127.0.0.1:18082,127.0.0.1:18083", "callers' addresses of entry hosts")
		f.StringVar(&workspaces, "workspaces", defaultWorkspaces(), "workspaces as name=credential, with :long for those that send prompts over 100k tokens")
		f.StringVar(&plot, "plot", "", "write a plot in SVG format to this file")
		f.StringVar(&p.Model, "model", p.Model, "requested model")
		f.DurationVar(&p.Duration, "for", p.Duration, "how long to send requests")
		f.Float64Var(&p.Rate, "rate", p.Rate, "requests a second")
		f.Float64Var(&p.LongFraction, "long", p.LongFraction, "fraction of requests with over 100k tokens")
		f.Float64Var(&p.MidFraction, "mid", p.MidFraction, "fraction of requests with 4k to 100k tokens")
		f.IntVar(&p.LongMaxTokens, "long-most", p.LongMaxTokens, "tokens of the longest prompt")
		f.IntVar(&p.MaxTokens, "max-tokens", p.MaxTokens, "tokens of each answer")
		f.DurationVar(&p.Deadline, "deadline", p.Deadline, "deadline of each request")
		f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of all random numbers")
	}
	c.run = func(ctx context.Context, e *env, _ []string) error {
		ws, err := parseWorkspaces(workspaces)
		if err != nil {
			return err
		}
		p.Workspaces = ws
		r, err := load.Run(ctx, p.WithTargets(strings.Split(targets, ",")...))
		if err != nil {
			return err
		}
		if err := writePlot(r, plot); err != nil {
			return err
		}
		return e.print(r, loadTable(r))
	}
	return c
}

func defaultWorkspaces() string {
	var out []string
	for _, n := range []string{"till", "captions", "ledgers", "manuscripts"} {
		x := n + "=" + devel.Credential(n)
		if n == "ledgers" || n == "manuscripts" {
			x += ":long"
		}
		out = append(out, x)
	}
	return strings.Join(out, ",")
}

func parseWorkspaces(s string) ([]load.Workspace, error) {
	var out []load.Workspace
	for _, x := range strings.Split(s, ",") {
		name, rest, ok := strings.Cut(x, "=")
		credential, long := strings.CutSuffix(rest, ":long")
		if !ok || name == "" || credential == "" {
			return nil, usageError("invalid workspace in --workspaces: "+name, "give --workspaces as name=credential,name=credential:long")
		}
		out = append(out, load.Workspace{Name: name, Credential: credential, Weight: 1, Long: long})
	}
	return out, nil
}

func writePlot(r load.Report, path string) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write plot")
	}
	if err := r.Plot(f); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	return f.Close()
}

func loadTable(r load.Report) table {
	t := table{header: []string{"PROMPT", "COUNT", "FIRST P50", "P95", "P99", "BETWEEN P50", "P95", "P99"}}
	ms := func(x float64) string { return fmt.Sprintf("%.1fms", x) }
	row := func(name string, f, b load.Quantiles) {
		t.rows = append(t.rows, []string{name, fmt.Sprint(f.Count), ms(f.P50), ms(f.P95), ms(f.P99), ms(b.P50), ms(b.P95), ms(b.P99)})
	}
	for _, b := range r.Buckets {
		row(b.Name, b.FirstToken, b.BetweenTokens)
	}
	row("short alone", r.Slowdown.ShortOnly, load.Quantiles{})
	row("short mixed", r.Slowdown.Mixed, load.Quantiles{})
	t.rows = append(t.rows, []string{fmt.Sprintf("slowdown of short requests: p50 %.2f, p95 %.2f, p99 %.2f", r.Slowdown.P50, r.Slowdown.P95, r.Slowdown.P99)})
	for _, x := range r.Slowest {
		t.rows = append(t.rows, []string{fmt.Sprintf("slow: %s after %s, for slipcrank explain", x.ID, ms(x.FirstTokenMs))})
	}
	t.rows = append(t.rows, []string{fmt.Sprintf("sent %d, whole %d, in time %d, goodput %.1f/s, dropped %d, refused %v", r.Sent, r.Completed, r.InTime, r.Goodput, r.Dropped, r.Refused)})
	return t
}
