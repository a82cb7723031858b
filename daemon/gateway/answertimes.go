package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// answerSamples bounds the memory per route, and answerDecay lets the samples of the last
	// minutes dominate.
	answerSamples = 128
	answerDecay   = 0.015
	// minAnswerSamples is the number of answers that make a percentile meaningful.
	minAnswerSamples = 10
	// answerPercentile is the part of the answers that end within the expected time. A stream
	// that is cut costs its caller several times as much as one that is refused at once.
	answerPercentile = 0.95
	// maxAnswerRoutes bounds the routes that are tracked.
	maxAnswerRoutes = 1024
)

// answerTimes tracks how long answers take by route, from the first send of a call to the end
// of its answer. It is safe for concurrent use.
type answerTimes struct {
	mu      sync.Mutex
	byRoute map[string]metrics.Sample // in µs
}

func newAnswerTimes() *answerTimes { return &answerTimes{byRoute: map[string]metrics.Sample{}} }

// record adds the time of one answer.
func (t *answerTimes) record(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byRoute[route]
	if !ok {
		if len(t.byRoute) >= maxAnswerRoutes {
			clear(t.byRoute) // routes come and go with the configuration
		}
		s = metrics.NewExpDecaySample(answerSamples, answerDecay)
		t.byRoute[route] = s
	}
	s.Update(took.Microseconds())
}

// expected returns the time within which almost all answers of a route ended, and false if too few
// were recorded.
func (t *answerTimes) expected(route string) (time.Duration, bool) {
	t.mu.Lock()
	s, ok := t.byRoute[route]
	t.mu.Unlock()
	if !ok || s.Size() < minAnswerSamples {
		return 0, false
	}
	return time.Duration(s.Percentile(answerPercentile)) * time.Microsecond, true
}

// recordAnswerTime records how long a call took that has its answer or ran out of time. Answers
// that aren't successes are often made without any work.
func (g *Gateway) recordAnswerTime(c *call, out outcome) {
	success := out.result == answered && out.answer.status < http.StatusBadRequest
	if took, sent := c.progress.sinceFirstSend(); sent && (success || out.reason == "out_of_time") {
		g.answerTimes.record(c.route.Name, took)
	}
}
