// Command slipcrankd is the daemon that every entry host runs.
//
// # Usage
//
//	slipcrankd --settings slipcrankd.yaml
//	slipcrankd --settings slipcrankd.yaml --check
//	slipcrankd entry    # entry host on the users' platform, which gives the path of the settings
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"slipcrank.example/daemon/node"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/telemetry"
)

// Exit codes; docs/OPERATIONS.md lists them.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		os.Exit(runEntry())
	}
	klog.InitFlags(nil)
	path := flag.String("settings", "slipcrankd.yaml", "the YAML file with the settings")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	}
	if *check {
		fmt.Println("settings are good")
		return
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run serves until the first SIGTERM or SIGINT and then shuts down gracefully. A
// second signal ends the daemon at once. SIGHUP has no effect.
func run(s settings.Settings) error {
	defer klog.Flush()
	signal.Ignore(syscall.SIGHUP) // would end the daemon without a shutdown
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	n, err := node.New(s)
	if err != nil {
		return err
	}
	flush, err := telemetry.StartTracing(stop, s.Trace, s.Hall, n.Peers())
	if err != nil {
		return err
	}
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	<-stop.Done()
	cancel()
	err = n.Stop(context.Background())
	_ = flush(context.Background())
	return err
}
