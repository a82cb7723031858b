package gateway

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/upstream"
)

// TestSharedPromptIsGivenUpIfServerIsGone checks a lead that has been silent for 3.6 s,
// which is less than its prompt explains. If the lead is unreachable, the memory that
// other servers reserve for the prompt must be released within 4 s.
func TestSharedPromptIsGivenUpIfServerIsGone(t *testing.T) {
	for name, tc := range map[string]struct {
		shared, gone bool
		want         bool // that the silence is explained after 3.6 s
	}{
		"not shared, unreachable": {false, true, true},
		"shared, reachable":       {true, false, true},
		"shared, unreachable":     {true, true, false},
		"not shared, reachable":   {false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			addr := netip.MustParseAddrPort(l.Addr().String())
			if tc.gone {
				_ = l.Close()
			}
			server := backend.Server{ID: "s", Service: "engine", Addr: addr.String(), Slots: 4}
			e := &site.Engine{Slots: 4, Memory: 200_000, StepsPerPass: 43, StepTime: time.Millisecond, PrefillRate: 200_000, PrefillChunk: 2048}
			g := &Gateway{pool: upstream.New(), scheduler: schedule.New(1), clock: boottime.New()}
			s := State{Config: site.New(1, nil, []site.Service{{Name: "engine", Engine: e}}, site.Keys{}, site.Limits{})}
			c := &call{route: site.Route{Kind: site.Stream, Resume: true, Objective: 4 * time.Second, Gap: 800 * time.Millisecond}}
			p := schedule.Placement{Service: "engine", Lead: "s", FirstToken: 2500 * time.Millisecond}
			if tc.shared {
				p.MemoryShares = []schedule.MemoryShare{{Server: "t", Tokens: 1000}}
			}
			const silent = 3600 * time.Millisecond
			firstCheck, extension := firstSilenceCheck(c, p), g.silenceExtension(c, s, p, server)
			if bound := firstCheck + extension(firstCheck); bound <= firstCheck || tc.gone && tc.shared && bound > silent {
				t.Errorf("at the first check after %v, the silence may last %v", firstCheck, bound)
			}
			if bound := firstCheck + extension(silent); (silent < bound) != tc.want {
				t.Errorf("at a later check, the silence may last %v", bound)
			}
		})
	}
}

// TestSilentLeadIsGivenUpBeforeItsMemoryIsDue has the lead of a shared prompt fall silent
// right after it got the prompt, or while it is checked. Connections to it hang. The memory
// that other servers reserve must be released within 4 s of its end.
func TestSilentLeadIsGivenUpBeforeItsMemoryIsDue(t *testing.T) {
	const due, releaseTime = 4 * time.Second, 300 * time.Millisecond
	for name, end := range map[string]time.Duration{
		"at once":                0,
		"shortly after":          400 * time.Millisecond,
		"right after a check":    sharedFirstCheck + time.Millisecond,
		"after the second check": sharedFirstCheck + sharedCheckInterval + 50*time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				dial := func(ctx context.Context, _ string) (net.Conn, error) {
					if time.Since(begin) < end {
						near, far := net.Pipe()
						t.Cleanup(func() { _ = far.Close() })
						return near, nil
					}
					_ = pause.For(ctx, upstream.DialTimeout) // a hanging dial ends with an error either way
					return nil, context.DeadlineExceeded
				}
				e := &site.Engine{Slots: 4, Memory: 200_000, StepsPerPass: 43, StepTime: time.Millisecond, PrefillRate: 200_000, PrefillChunk: 2048}
				g := &Gateway{pool: upstream.New(upstream.WithDial(dial)), scheduler: schedule.New(1), clock: boottime.New()}
				s := State{Config: site.New(1, nil, []site.Service{{Name: "engine", Engine: e}}, site.Keys{}, site.Limits{})}
				c := &call{route: site.Route{Kind: site.Stream, Resume: true, Objective: 8 * time.Second, Gap: time.Second}}
				p := schedule.Placement{
					Service: "engine", Lead: "s", FirstToken: 5 * time.Second,
					MemoryShares: []schedule.MemoryShare{{Server: "t", Tokens: 1000}},
				}
				expired := make(chan struct{})
				timer := &silenceTimer{
					timeout:   firstSilenceCheck(c, p),
					extension: g.silenceExtension(c, s, p, backend.Server{ID: "s", Addr: "10.0.0.1:80", Slots: 4}),
					onExpire:  func() { close(expired) },
				}
				timer.start()
				<-expired
				if d := time.Since(begin) - end; d > due-releaseTime {
					t.Errorf("given up %v after its end, want %v", d, due-releaseTime)
				}
			})
		})
	}
}
