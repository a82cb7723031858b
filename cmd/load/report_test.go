package load

import (
	"testing"
	"time"
)

func TestReportListsSlowestShortRequests(t *testing.T) {
	c := newCollector()
	for i, ms := range []int{40, 900, 50, 700, 60, 800, 70, 500, 600} {
		c.add(Result{ID: string(rune('a' + i)), Bucket: buckets[0].name, FirstToken: time.Duration(ms) * time.Millisecond})
	}
	c.add(Result{ID: "long", Bucket: buckets[3].name, FirstToken: time.Minute})
	c.add(Result{ID: "refused", Bucket: buckets[0].name, ErrorKind: "overloaded"})
	got := ""
	for _, x := range c.report(DefaultPlan(), time.Second).Slowest {
		got += x.ID
	}
	if got != "bfdih" {
		t.Errorf("the slowest short requests are %q, want bfdih", got)
	}
}
