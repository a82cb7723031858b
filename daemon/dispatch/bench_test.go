package dispatch

import (
	"fmt"
	"testing"
	"time"

	"slipcrank.example/core/directory"
	"slipcrank.example/core/member"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/control"
)

// BenchmarkDecision measures the work of one entry host for one placement, without
// the messages: listing the engines, sampling owners and choosing an offer.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{18, 120, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			self := member.Member{Addr: "127.0.0.1:1", Hall: "a", Incarnation: 1}
			l := control.New(self, control.WithState(func(s *control.State) {
				for i := range 74 {
					s.MergeMembers([]member.Member{{Addr: fmt.Sprintf("127.0.0.2:%d", i), Hall: "a", Incarnation: 1}})
				}
				for i := range engines {
					s.MergeEngines([]directory.Engine{{
						Addr: fmt.Sprintf("127.0.1.1:%d", i), Hall: "a", Incarnation: 1, Revision: 1, TotalTokens: 400_000,
						Copies: []directory.Copy{{Model: "m", Version: "1"}},
					}})
				}
			}))
			d := New(l, nil, nil)
			x := &run{Dispatcher: d, excluded: map[string]bool{}, prompt: route.Prompt{Model: "m", Version: "1", Tokens: 2000}}
			x.request.Chain = []uint64{12345}
			offers := make([]route.Offer, 8)
			for i := range offers {
				offers[i] = route.Offer{Addr: fmt.Sprint(i), Wait: time.Duration(i*7%5) * time.Millisecond, Fits: true}
			}
			b.ReportAllocs()
			for b.Loop() {
				v := l.View()
				if len(x.sampleOwners(v.LocalEngines("m", "1"))) == 0 {
					b.Fatal("no owners")
				}
				if _, _, ok := route.Choose(x.prompt, offers, time.Now()); !ok {
					b.Fatal("no choice")
				}
			}
		})
	}
}
