package freshness_test

import (
	"testing"
	"time"

	"slipcrank.example/core/freshness"
)

func TestAgeIsUpperBound(t *testing.T) {
	const offset = 50 * time.Second
	type answer struct{ sent, made time.Duration }
	for name, tc := range map[string]struct {
		answers   []answer
		made      time.Duration // when the answer was made whose age is checked
		now       time.Duration
		maxExcess time.Duration // over the true age
	}{
		"fast answer":            {[]answer{{0, 2 * time.Millisecond}}, 2 * time.Millisecond, time.Second, 3 * time.Millisecond},
		"slow answer after fast": {[]answer{{0, time.Millisecond}, {time.Second, 3 * time.Second}}, 3 * time.Second, 4 * time.Second, 3 * time.Millisecond},
		"slow answer only":       {[]answer{{0, 2 * time.Second}}, 2 * time.Second, 3 * time.Second, 2*time.Second + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := freshness.NewClock()
			for _, a := range tc.answers {
				c.Observe(a.sent, a.made+offset)
			}
			age, ok := c.Age(tc.made+offset, tc.now)
			if trueAge := tc.now - tc.made; !ok || age < trueAge || age > trueAge+tc.maxExcess {
				t.Errorf("age %v, %v; true age %v, maximum excess %v", age, ok, trueAge, tc.maxExcess)
			}
		})
	}
	if _, ok := freshness.NewClock().Age(time.Second, time.Second); ok {
		t.Error("a clock without observations returned an age")
	}
}
