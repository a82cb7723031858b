package loans_test

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/daemon/loans"
)

const span = 10 * time.Second

// TestLentRetriesCountOnce has one host pay retries from its part and those of two others, of
// which one may be silent, or its replies lost. No retry may be paid twice.
func TestLentRetriesCountOnce(t *testing.T) {
	const part = 3.0
	for name, tc := range map[string]struct {
		silent, lost bool
		want         int
	}{
		"both lend":               {want: 9},
		"one is silent":           {silent: true, want: 6},
		"replies of one are lost": {lost: true, want: 6},
	} {
		t.Run(name, func(t *testing.T) {
			addrs := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")}
			lenders := map[netip.AddrPort]*loans.Borrower{}
			for _, a := range addrs {
				lenders[a] = loans.New(limit.NewRetryWindow(span, 0, func() float64 { return part }), nil, nil)
			}
			var b *loans.Borrower
			b = loans.New(limit.NewRetryWindow(span, 0, func() float64 { return part }), func() []netip.AddrPort { return addrs },
				func(to netip.AddrPort, q limit.LoanRequest) {
					if tc.silent && to == addrs[0] {
						return
					}
					if r := lenders[to].HandleRequest(q); !tc.lost || to != addrs[0] {
						b.HandleReply(r)
					}
				})
			paid := 0
			for range 20 {
				if _, ok := b.Spend(context.Background(), "s", time.Now()); ok {
					paid++
				}
			}
			if paid != tc.want {
				t.Errorf("%d retries were paid, want %d", paid, tc.want)
			}
		})
	}
}

func TestLoanRequestValidate(t *testing.T) {
	for name, tc := range map[string]struct {
		q  limit.LoanRequest
		ok bool
	}{
		"half a retry":    {limit.LoanRequest{Service: "s", Amount: 0.5}, true},
		"one retry":       {limit.LoanRequest{Service: "s", Amount: 1}, true},
		"more than one":   {limit.LoanRequest{Service: "s", Amount: 1.001}, false},
		"nothing":         {limit.LoanRequest{Service: "s"}, false},
		"negative":        {limit.LoanRequest{Service: "s", Amount: -1}, false},
		"no number":       {limit.LoanRequest{Service: "s", Amount: math.NaN()}, false},
		"without service": {limit.LoanRequest{Amount: 1}, false},
	} {
		if err := tc.q.Validate(); (err == nil) != tc.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
