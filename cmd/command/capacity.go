package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"slipcrank.example/cmd/capacity"
)

const capacityUsage = `capacity
  Measure how much CPU time, memory and traffic each further member, engine,
  workspace, request, token or change costs a daemon, and print the table of
  docs/CAPACITY.md. Takes about four minutes and uses only the local machine.

  slipcrank capacity
  slipcrank capacity --fleets 8 --watch 5s --json`

func capacityCommand() *command {
	var fleets, parts string
	var watch time.Duration
	c := &command{name: "capacity", synopsis: "measure the slopes of docs/CAPACITY.md", usage: capacityUsage}
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&fleets, "fleets", "8,32,74", "sizes of the idle halls to measure, in daemons")
		f.StringVar(&parts, "parts", "", "measure only these parts, separated by commas: state, bid, claim, stream, start, fleet")
		f.DurationVar(&watch, "watch", 20*time.Second, "how long to measure each idle hall")
	}
	c.run = func(ctx context.Context, e *env, _ []string) error {
		var ns []int
		for _, x := range strings.Split(fleets, ",") {
			n, err := strconv.Atoi(x)
			if err != nil || n < 2 {
				return usageError(fmt.Sprintf("invalid value %q in --fleets", x), "give whole numbers of at least 2, separated by commas")
			}
			ns = append(ns, n)
		}
		klog.SetOutput(io.Discard) // the log of hundreds of daemons in one process is not readable
		klog.LogToStderr(false)
		os := []capacity.Option{capacity.WithFleetSizes(ns...), capacity.WithIdleDuration(watch)}
		if parts != "" {
			os = append(os, capacity.WithParts(strings.Split(parts, ",")...))
		}
		rows, err := capacity.Measure(ctx, os...)
		if err != nil {
			return err
		}
		if e.json {
			return e.print(rows, table{})
		}
		return capacity.Table(e.out, rows)
	}
	return c
}
