// Command slipcrank is the operators' command line.
//
// # Usage
//
//	slipcrank dev
//	slipcrank template list
//	slipcrank help
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"slipcrank.example/cmd/command"
)

func main() {
	klog.InitFlags(nil)
	command.Register(subcommands.DefaultCommander, os.Stdout, os.Stderr)
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	code := subcommands.Execute(ctx)
	klog.Flush()
	os.Exit(int(code))
}
