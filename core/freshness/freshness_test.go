package freshness_test

import (
	"testing"
	"time"

	"slipcrank.example/core/freshness"
)

func TestAgeIsNeverLessThanTheTruth(t *testing.T) {
	const ahead = 50 * time.Second
	type answer struct{ sent, made time.Duration }
	for name, tc := range map[string]struct {
		answers []answer
		made    time.Duration // the answer whose age is asked
		now     time.Duration
		most    time.Duration // above the true age
	}{
		"quick answers":            {[]answer{{0, 2 * time.Millisecond}}, 2 * time.Millisecond, time.Second, 3 * time.Millisecond},
		"a slow one after a quick": {[]answer{{0, time.Millisecond}, {time.Second, 3 * time.Second}}, 3 * time.Second, 4 * time.Second, 3 * time.Millisecond},
		"only a slow one":          {[]answer{{0, 2 * time.Second}}, 2 * time.Second, 3 * time.Second, 2*time.Second + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := freshness.NewClock()
			for _, a := range tc.answers {
				c.Observe(a.sent, a.made+ahead)
			}
			age, ok := c.Age(tc.made+ahead, tc.now)
			if truth := tc.now - tc.made; !ok || age < truth || age > truth+tc.most {
				t.Errorf("age %v, %v; the truth is %v and at most %v may be added", age, ok, truth, tc.most)
			}
		})
	}
	if _, ok := freshness.NewClock().Age(time.Second, time.Second); ok {
		t.Error("a clock that saw no answer gave an age")
	}
}
