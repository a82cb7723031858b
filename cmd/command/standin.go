package command

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/standin/engine"
	"slipcrank.example/standin/oldsite"
	"slipcrank.example/standin/platform"
	"slipcrank.example/standin/runner"
)

const standinUsage = `standin platform | engine | runner | oldsite
  Run one stand-in in a process of its own, so that it can be killed, frozen or
  disconnected.

  slipcrank standin --listen 127.0.0.1:18100 platform
  slipcrank standin --listen 127.0.0.1:18201 --model voucher-7b@1 engine`

func standinCommand() *command {
	var listen, copies string
	var prefill float64
	var tokens int
	var delay time.Duration
	var fence bool
	c := &command{name: "standin", synopsis: "run one stand-in in a process of its own", usage: standinUsage}
	c.flags = func(f *flag.FlagSet) {
		p := engine.DefaultParams()
		f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
		f.StringVar(&copies, "model", "voucher-7b@1", "engine: model copies loaded at the start, as model@version, separated by commas")
		f.Float64Var(&prefill, "prefill", p.PrefillRate, "engine: prompt tokens prefilled a second")
		f.IntVar(&tokens, "kv-tokens", p.KVTokens, "engine: KV memory, in tokens")
		f.BoolVar(&fence, "checks-fence", p.ChecksFence, "engine: refuse orders with an old fence")
		f.DurationVar(&delay, "delay", 0, "runner: duration of a call after it was counted")
	}
	c.run = func(ctx context.Context, e *env, args []string) error {
		var addr string
		var err error
		switch argument(args, 0) {
		case "platform":
			addr, err = platform.New().Serve(ctx, listen)
		case "oldsite":
			addr, err = oldsite.New().Serve(ctx, listen)
		case "engine":
			p := engine.DefaultParams()
			p.PrefillRate, p.KVTokens, p.ChecksFence = prefill, tokens, fence
			addr, err = engine.New(engine.WithParams(p), engine.WithCopies(parseCopies(copies)...)).Serve(ctx, listen)
		case "runner":
			addr, err = runner.New(runner.WithDelay(func(string) time.Duration { return delay })).Serve(ctx, listen)
		default:
			return usageError("missing or unknown kind of stand-in", "give platform, engine, runner or oldsite after the flags")
		}
		if err != nil {
			return err
		}
		fmt.Fprintln(e.out, addr)
		<-ctx.Done()
		return nil
	}
	return c
}

func parseCopies(s string) []protocol.Copy {
	var out []protocol.Copy
	for _, x := range strings.Split(s, ",") {
		m, v, _ := strings.Cut(x, "@")
		out = append(out, protocol.Copy{Model: m, Version: v})
	}
	return out
}
