package command

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"slipcrank.example/cmd/devel"
)

const (
	devUsage = `dev
  Run a complete small fleet in this process: two data halls, each with daemons,
  and stand-ins for the engines, the application runners and the platform.

  slipcrank dev
  slipcrank dev --halls oslo-a,oslo-b,oslo-c --daemons 3`

	defaultPortBase   = 18000
	readyPollInterval = 50 * time.Millisecond
	readyTimeout      = 30 * time.Second
)

func devCommand() *command {
	var halls string
	var daemons, engines, base int
	c := &command{name: "dev", synopsis: "run a complete small fleet in this process", usage: devUsage}
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&halls, "halls", "oslo-a,oslo-b", "names of the data halls")
		f.IntVar(&daemons, "daemons", 2, "daemons in each hall")
		f.IntVar(&engines, "engines", 3, "engines in each hall")
		f.IntVar(&base, "port-base", defaultPortBase, "first port of a consecutive range; 0 lets the operating system choose")
	}
	c.run = func(ctx context.Context, e *env, _ []string) error {
		f, err := devel.Start(ctx, devel.WithHalls(strings.Split(halls, ",")...),
			devel.WithDaemons(daemons), devel.WithEngines(engines), devel.WithPortBase(base))
		if err != nil {
			return err
		}
		if err := awaitReady(ctx, f); err != nil {
			return err
		}
		printInstructions(e, f)
		<-ctx.Done()
		return nil
	}
	return c
}

func awaitReady(ctx context.Context, f *devel.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for !f.Ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

func printInstructions(e *env, f *devel.Fleet) {
	fmt.Fprintf(e.out, "platform stand-in: %s\n", f.PlatformAddr)
	for _, n := range f.Nodes {
		fmt.Fprintf(e.out, "daemon in %s: callers %s, operators %s\n", n.Loop().View().Self.Hall, n.Callers(), n.Operators())
	}
	fmt.Fprintf(e.out, `
Ask for a completion:

  curl -N -H 'Authorization: Bearer %s' -d '{"model":"%s","prompt":"why was my voucher refused?","max_tokens":12,"stream":true}' http://%s/v1/completions

Look at the fleet:

  export SLIPCRANK_ADDR=%s SLIPCRANK_TOKEN=%s
  go run ./cmd/slipcrank template list

Put a load on it:

  go run ./cmd/slipcrank load --for 20s

Ctrl-C ends it.
`, devel.Credential("till"), devel.Model, f.Nodes[0].Callers(), f.Nodes[0].Operators(), devel.Token)
}

const versionLine = "slipcrank 0.1.0-dev"

func versionCommand() *command {
	return &command{name: "version", synopsis: "print the version", usage: "version\n  Print the version.", run: func(_ context.Context, e *env, _ []string) error {
		return e.print(map[string]string{"version": versionLine}, table{header: []string{versionLine}})
	}}
}
