package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"slipcrank.example/clients/engine"
	"slipcrank.example/clients/web"
	"slipcrank.example/cmd/devel"
	"slipcrank.example/cmd/load"
	"slipcrank.example/core/claim"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/prefix"
	"slipcrank.example/core/route"
	"slipcrank.example/core/store"
	"slipcrank.example/daemon/node"
	standin "slipcrank.example/standin/engine"
)

const (
	// fullClaimsPerSecond is the number of calls a second that the batchers of one
	// hall write at the peak if no request may be repeated.
	fullClaimsPerSecond = 2_100 / fullHalls
	claimDuration       = 5 * time.Second

	concurrentStreams = 64
	streamTokens      = 400
	openStreams       = 400
)

// bidMeasurement measures the cost of a bid, a placement and an Await call to both sides.
func bidMeasurement() measurement {
	return measurement{
		part: "bid",
		names: []string{
			"bid between two daemons, processor of both", "bid between two daemons, bytes", "bid between two daemons, time",
			"placement and its end, processor of both", "placement and its end, bytes",
			"question of a waiting group, processor of both", "question of a waiting group, bytes",
		},
		run: func(ctx context.Context, _ config) ([]Row, error) {
			// With one engine a reply has one offer. At full size, too, an owner hardly
			// ever has two engines with the same model.
			f, stop, err := startFleet(ctx, devel.WithDaemons(2), devel.WithEngines(1))
			if err != nil {
				return nil, err
			}
			defer stop()
			chain := make([]uint64, 4000/prefix.BlockTokens)
			for i := range chain {
				chain[i] = uint64(i) * 0x9e3779b97f4a7c15
			}
			p := route.Prompt{
				Workspace: "till", Model: devel.Model, Version: devel.Version, Tokens: 4000, MaxTokens: 100,
				Priority: time.Now().UnixMilli(), PrefixHashes: route.NewPrefixHashes(chain), Deadline: time.Now().Add(time.Hour),
			}
			a, b := f.Nodes[0], f.Nodes[1]
			if a.Loop().View().Owner(f.EngineAddrs[0]) != b.Peers() { // ownership depends on the daemons' ports
				a, b = b, a
			}
			offers, err := a.Client().Bid(ctx, b.Peers(), p)
			if err != nil || len(offers) == 0 {
				return nil, errors.Newf("bid returned no offers: %v", err)
			}
			bid, err := measureCost(ctx, a, func(ctx context.Context) error {
				_, err := a.Client().Bid(ctx, b.Peers(), p)
				return err
			})
			if err != nil {
				return nil, err
			}
			place, err := measureCost(ctx, a, func(ctx context.Context) error {
				id := uuid.NewString()
				if _, _, err := a.Client().Place(ctx, b.Peers(), id, offers[0], p); err != nil {
					return err
				}
				return a.Client().Finish(ctx, b.Peers(), id, offers[0].Addr, 0, false)
			})
			if err != nil {
				return nil, err
			}
			await, err := measureCost(ctx, a, func(ctx context.Context) error {
				t, err := a.Client().Await(ctx, b.Peers(), offers[0].Addr, "group", 0, false)
				if err == nil && t.Total == 0 {
					return errors.New("the owner has no load report of its engine")
				}
				return err
			})
			return []Row{
				{"bid between two daemons, processor of both", bid.cpu, "us"},
				{"bid between two daemons, bytes", bid.bytes, "B"},
				{"bid between two daemons, time", bid.time, "us"},
				{"placement and its end, processor of both", place.cpu, "us"},
				{"placement and its end, bytes", place.bytes, "B"},
				{"question of a waiting group, processor of both", await.cpu, "us"},
				{"question of a waiting group, bytes", await.bytes, "B"},
			}, err
		},
	}
}

// cost is the cost of one call: CPU and wall time in microseconds, and bytes.
type cost struct{ cpu, time, bytes float64 }

// measureCost returns the mean cost of calls from one daemon to another.
func measureCost(ctx context.Context, from *node.Node, call func(context.Context) error) (cost, error) {
	const (
		calls       = 4000
		callTimeout = 500 * time.Millisecond // a timeout per call, as in production traffic
	)
	used, started := processCPUTime(), time.Now()
	before, _ := from.Bytes()
	for range calls {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(ctx)
		cancel()
		if err != nil {
			return cost{}, err
		}
	}
	after, _ := from.Bytes()
	return cost{
		cpu:   float64((processCPUTime() - used).Microseconds()) / calls,
		time:  float64(time.Since(started).Microseconds()) / calls,
		bytes: float64(after-before) / calls,
	}, nil
}

// claimMeasurement measures the rate of the transactions that write a hall's claims at
// the peak, if no request may be repeated.
func claimMeasurement() measurement {
	return measurement{
		part:  "claim",
		names: []string{"claims gathered into one transaction, 420 calls/s in a hall", "transactions, 420 calls/s in a hall"},
		run: func(ctx context.Context, _ config) ([]Row, error) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			m := store.NewMemory()
			g := []*claim.Batcher{claim.NewBatcher(m.Store()), claim.NewBatcher(m.Store())}
			var w sync.WaitGroup
			rows := 0
			started := time.Now()
			for at := time.Duration(0); at < claimDuration; at += time.Second / fullClaimsPerSecond {
				if err := pause.For(ctx, time.Until(started.Add(at))); err != nil {
					return nil, err
				}
				if rows == 0 {
					for _, x := range g {
						go x.Run(ctx)
					}
				}
				rows += 2 // the claim and its answer
				w.Go(func() { claimOnce(ctx, g, m.Store()) })
			}
			w.Wait()
			commits, _ := m.Counts()
			return []Row{
				{"claims gathered into one transaction, 420 calls/s in a hall", float64(rows) / float64(commits), "rows"},
				{"transactions, 420 calls/s in a hall", float64(commits) / claimDuration.Seconds(), "/s"},
			}, nil
		},
	}
}

func claimOnce(ctx context.Context, gs []*claim.Batcher, s store.Store) {
	key := uuid.Must(uuid.NewV7()).String()
	g := gs[int(key[len(key)-1])%len(gs)]
	c, err := claim.New(s, claim.WithWriter(g.Write)).Begin(ctx, "till", key)
	if err == nil {
		_ = c.Done(ctx, claim.Answer{Status: 200, Body: []byte("{}")})
	}
}

// streamMeasurement compares streams through a daemon with streams directly from the
// engine, in the same run.
func streamMeasurement() measurement {
	return measurement{
		part: "stream",
		names: []string{
			"processor, a token through a daemon", "processor, a short request through a daemon", "memory, an open stream in a daemon",
			"first byte, straight to the engine, p50", "first byte, through a daemon, p50",
			"first byte, straight to the engine, p99", "first byte, through a daemon, p99",
		},
		run: func(ctx context.Context, _ config) ([]Row, error) {
			p := standin.DefaultParams()
			p.StepBase, p.StepPerStream, p.MaxStreams, p.KVTokens = 5*time.Millisecond, 0, 10_000, 100_000_000
			f, stop, err := startFleet(ctx, devel.WithDaemons(1), devel.WithEngines(1), devel.WithParams(p))
			if err != nil {
				return nil, err
			}
			defer stop()
			return streamRows(ctx, f)
		},
	}
}

func streamRows(ctx context.Context, f *devel.Fleet) ([]Row, error) {
	direct := engineStreams{client: engine.New(web.New()), addr: f.EngineAddrs[0]}
	through := daemonStreams(f)
	longDirect, err := streamsCPUMicros(ctx, direct.run, concurrentStreams, streamTokens)
	if err != nil {
		return nil, err
	}
	longThrough, err := streamsCPUMicros(ctx, through, concurrentStreams, streamTokens)
	if err != nil {
		return nil, err
	}
	oneDirect, err := streamsCPUMicros(ctx, direct.run, concurrentStreams, 1)
	if err != nil {
		return nil, err
	}
	oneThrough, err := streamsCPUMicros(ctx, through, concurrentStreams, 1)
	if err != nil {
		return nil, err
	}
	request := (oneThrough - oneDirect) / concurrentStreams
	tokens := float64(concurrentStreams * (streamTokens - 1))
	memory, err := openStreamBytes(ctx, through, direct.run)
	if err != nil {
		return nil, err
	}
	d50, d99, err := firstByteQuantiles(ctx, direct.run)
	if err != nil {
		return nil, err
	}
	t50, t99, err := firstByteQuantiles(ctx, through)
	if err != nil {
		return nil, err
	}
	return []Row{
		{"processor, a token through a daemon", (longThrough - oneThrough - longDirect + oneDirect) / tokens, "us"},
		{"processor, a short request through a daemon", request, "us"},
		{"memory, an open stream in a daemon", memory, "B"},
		{"first byte, straight to the engine, p50", d50, "ms"},
		{"first byte, through a daemon, p50", t50, "ms"},
		{"first byte, straight to the engine, p99", d99, "ms"},
		{"first byte, through a daemon, p99", t99, "ms"},
	}, nil
}

// stream runs one stream of tokens and calls first on arrival of the first token.
type stream func(ctx context.Context, tokens int, first func()) error

type engineStreams struct {
	client *engine.Client
	addr   string
}

func (e engineStreams) run(ctx context.Context, tokens int, first func()) error {
	id := uuid.NewString()
	s, err := e.client.Generate(ctx, e.addr, engine.Request{
		Path: "/v1/completions", Request: id, Attempt: id, Version: devel.Version,
		Body: fmt.Appendf(nil, `{"model":%q,"prompt":"one two three","max_tokens":%d,"stream":true}`, devel.Model, tokens),
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for n := 0; ; n++ {
		if _, err := s.Next(); err != nil {
			if n > 0 {
				return nil
			}
			return err
		}
		if n == 0 {
			first()
		}
	}
}

func daemonStreams(f *devel.Fleet) stream {
	return func(ctx context.Context, tokens int, first func()) error {
		return load.Stream(ctx, f.Nodes[0].Callers(), devel.Credential("ledgers"), devel.Model, "one two three", tokens, first)
	}
}

// streamsCPUMicros returns the CPU time of n concurrent streams, in microseconds.
func streamsCPUMicros(ctx context.Context, s stream, n, tokens int) (float64, error) {
	const rounds = 3
	used := processCPUTime()
	for range rounds {
		if err := runConcurrently(n, func() error { return s(ctx, tokens, func() {}) }); err != nil {
			return 0, err
		}
	}
	return float64((processCPUTime() - used).Microseconds()) / rounds, nil
}

func runConcurrently(n int, f func() error) error {
	errs := make([]error, n)
	var w sync.WaitGroup
	for i := range n {
		w.Go(func() { errs[i] = f() })
	}
	w.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// openStreamBytes returns how much more memory an open stream takes through a daemon
// than directly from the engine.
func openStreamBytes(ctx context.Context, through, direct stream) (float64, error) {
	bytesPerStream := func(s stream) (float64, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		var started, ended sync.WaitGroup
		started.Add(openStreams)
		before := liveHeapBytes()
		for range openStreams {
			ended.Go(func() {
				first := sync.OnceFunc(started.Done)
				_ = s(ctx, 2000, first) // ends with an error when ctx is cancelled
				first()
			})
		}
		started.Wait()
		after := liveHeapBytes()
		cancel()
		ended.Wait()
		return (after - before) / openStreams, nil
	}
	t, err := bytesPerStream(through)
	if err != nil {
		return 0, err
	}
	d, err := bytesPerStream(direct)
	return t - d, err
}

// firstByteQuantiles returns the p50 and p99 of the time to first token of single short
// requests, in milliseconds.
func firstByteQuantiles(ctx context.Context, s stream) (p50, p99 float64, err error) {
	const tries = 200
	h := newMicrosHistogram()
	for range tries {
		started := time.Now()
		err := s(ctx, 1, func() { _ = h.RecordValue(time.Since(started).Microseconds()) })
		if err != nil {
			return 0, 0, err
		}
	}
	return float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(99)) / 1000, nil
}
