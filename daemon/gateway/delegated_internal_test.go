package gateway

import (
	"reflect"
	"testing"
	"time"
)

func TestDelegationHeadersKeepTheirValues(t *testing.T) {
	for name, d := range map[string]delegation{
		"first try":    {version: 7, counted: true},
		"later":        {attempts: 2, version: 1 << 40, elapsed: 1500 * time.Millisecond},
		"no version":   {elapsed: time.Hour},
		"not counted":  {attempts: 1, version: 3},
		"old and used": {attempts: 9, version: 1, elapsed: time.Millisecond, counted: true},
		"paid":         {attempts: 1, sent: 2, paid: "a, service=%", paidAge: 40 * time.Millisecond, version: 3},
		"with servers": {version: 1, leaving: []string{"i-1@17", "odd, id=%"}},
		"stream":       {attempts: 1, sent: 1, version: 1, readsEnd: true},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := parseDelegation(d.String()); err != nil || !reflect.DeepEqual(got, d) {
				t.Errorf("got %+v, %v, want %+v", got, err, d)
			}
		})
	}
	for name, r := range map[string]report{
		"server":       {originServer, 1, 2, 7, "i-1@1700000000000"},
		"fleet":        {originFleet, 0, 0, 7, ""},
		"host":         {originHost, 2, 3, 0, ""},
		"odd server":   {originServer, 1, 1, 7, "a, server=b=c%"},
		"unknown host": {},
	} {
		t.Run(name, func(t *testing.T) {
			if got := parseReport(r.String()); got != r {
				t.Errorf("got %+v, want %+v", got, r)
			}
		})
	}
}

func TestMalformedDelegationHeaders(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "no attempts": "version=1, elapsed=1", "negative": "attempts=-1, version=1, elapsed=1", "text": "attempts=1, version=x, elapsed=1",
		"no time": "attempts=1, version=1",
	} {
		t.Run(name, func(t *testing.T) {
			if d, err := parseDelegation(text); err == nil {
				t.Errorf("no error, got %+v", d)
			}
			if r := parseReport("origin=server, " + text); r.origin != originUnknown && r.attempts == 0 {
				t.Errorf("got %+v", r)
			}
		})
	}
}
