// Package command implements the subcommands of slipcrank, the command line
// for operators.
//
// Each subcommand prints a short table, or JSON with --json. Errors are written
// to standard error with their kind, message and remedy. The exit codes are
// [ExitSuccess], [ExitFailed], [ExitUsage], [ExitConflict] and
// [ExitUnreachable].
//
// # Usage
//
//	command.Register(subcommands.DefaultCommander, os.Stdout, os.Stderr)
package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"slipcrank.example/cmd/admin"
	"slipcrank.example/core/fault"
)

// Exit codes.
const (
	ExitSuccess     = subcommands.ExitSuccess
	ExitFailed      = subcommands.ExitFailure
	ExitUsage       = subcommands.ExitUsageError
	ExitConflict    = subcommands.ExitStatus(3)
	ExitUnreachable = subcommands.ExitStatus(4)
)

const (
	addrVariable  = "SLIPCRANK_ADDR"
	tokenVariable = "SLIPCRANK_TOKEN"
	defaultAddr   = "127.0.0.1:18090"

	operatorGroup = "operate a fleet"
	tryGroup      = "try and measure"
)

type (
	// command implements [subcommands.Command].
	command struct {
		name     string
		synopsis string
		usage    string
		flags    func(*flag.FlagSet)
		run      func(ctx context.Context, e *env, args []string) error

		addr  string
		token string
		json  bool
		out   io.Writer
		err   io.Writer
	}

	// env holds the daemon client and the output settings of one run of a
	// subcommand.
	env struct {
		client *admin.Client
		json   bool
		out    io.Writer
	}

	// table is output in aligned columns.
	table struct {
		header []string
		rows   [][]string
	}
)

// Register adds all subcommands to c. They write results to out and errors to
// err.
func Register(c *subcommands.Commander, out, err io.Writer) {
	add := func(group string, cs ...*command) {
		for _, x := range cs {
			x.out, x.err = out, err
			c.Register(x, group)
		}
	}
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	add(operatorGroup, templateCommand(), workspaceCommand(), hostsCommand(), enginesCommand(), explainCommand(), suspectsCommand())
	add(tryGroup, devCommand(), standinCommand(), loadCommand(), experimentCommand(), capacityCommand(), versionCommand())
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage + "\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	addr := os.Getenv(addrVariable)
	if addr == "" {
		addr = defaultAddr
	}
	f.StringVar(&c.addr, "addr", addr, "operators' address of a daemon; may also be set in "+addrVariable)
	f.StringVar(&c.token, "token", "", "operators' token; prefer "+tokenVariable+", since process lists show flags")
	f.BoolVar(&c.json, "json", false, "print JSON")
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := parseInterspersed(f)
	if err != nil {
		return ExitUsage // the flag package has printed the reason
	}
	token := c.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	e := &env{client: admin.New(c.addr, token), json: c.json, out: c.out}
	err = c.run(ctx, e, args)
	if err == nil {
		return ExitSuccess
	}
	x := fault.From(err)
	fmt.Fprintf(c.err, "slipcrank %s: %s: %s\nremedy: %s\n", c.name, x.Kind(), x.Message(), x.Remedy())
	if x.Kind() == fault.Internal {
		fmt.Fprintf(c.err, "cause: %v\n", x.Unwrap())
	}
	return exitStatus(x)
}

// parseInterspersed returns the positional arguments, parsing flags before,
// between and after them.
func parseInterspersed(f *flag.FlagSet) ([]string, error) {
	var out []string
	for f.NArg() > 0 {
		remaining := f.Args()
		out = append(out, remaining[0])
		if err := f.Parse(remaining[1:]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func exitStatus(f *fault.Error) subcommands.ExitStatus {
	switch f.Kind() {
	case fault.BadRequest:
		return ExitUsage
	case fault.Conflict:
		return ExitConflict
	case fault.PlatformDown, fault.Undecided:
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// print prints v as JSON, or t as a table.
func (e *env) print(v any, t table) error {
	if e.json {
		j := json.NewEncoder(e.out)
		j.SetIndent("", "  ")
		return j.Encode(v)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	for _, r := range append([][]string{t.header}, t.rows...) {
		for i, x := range r {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, x)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// usageError returns an error for wrong arguments; the exit code is [ExitUsage].
func usageError(message, remedy string) error { return fault.New(fault.BadRequest, message, remedy) }
