package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"slipcrank.example/core/fault"
)

const (
	histogramMaxMicros = int64(30 * time.Minute / time.Microsecond)
	histogramDigits    = 3
	// maxSlowest bounds the number of slow requests in the report.
	maxSlowest = 5
)

// buckets are the ranges of prompt lengths that are reported separately, by their
// upper bounds.
var buckets = []struct {
	name      string
	maxTokens int
}{
	{"1k-4k", shortMaxTokens},
	{"4k-32k", 32_000},
	{"32k-100k", midMaxTokens},
	{"100k-1M", longMaxTokens},
}

type (
	// Quantiles of a duration, in milliseconds.
	Quantiles struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50_ms"`
		P95   float64 `json:"p95_ms"`
		P99   float64 `json:"p99_ms"`
	}

	// Bucket reports the latencies of the prompts in one range of lengths.
	Bucket struct {
		Name          string    `json:"name"`
		FirstToken    Quantiles `json:"first_token"`
		BetweenTokens Quantiles `json:"between_tokens"`
	}

	// Slowdown compares the time to first token of short requests sent together with
	// long ones (Mixed) and without them (ShortOnly). The ratios are Mixed to ShortOnly.
	Slowdown struct {
		ShortOnly Quantiles `json:"alone"`
		Mixed     Quantiles `json:"mixed"`
		P50       float64   `json:"p50_ratio"`
		P95       float64   `json:"p95_ratio"`
		P99       float64   `json:"p99_ratio"`
	}

	// Report summarizes the answers to a load.
	Report struct {
		Seed      uint64             `json:"seed"`
		Seconds   float64            `json:"seconds"`
		Sent      int                `json:"sent"`
		Completed int                `json:"whole"`
		InTime    int                `json:"in_time"`
		Goodput   float64            `json:"goodput_per_second"`
		Tokens    int                `json:"tokens"`
		Dropped   int                `json:"dropped"`
		Refused   map[fault.Kind]int `json:"refused"`
		Buckets   []Bucket           `json:"buckets"`
		Slowdown  Slowdown           `json:"short_slowdown"`
		// Slowest lists the short requests with the longest times to first token,
		// slowest first.
		Slowest []SlowRequest `json:"slowest_short"`
	}

	// SlowRequest is one slow request; pass its ID to slipcrank explain.
	SlowRequest struct {
		ID           string  `json:"id"`
		FirstTokenMs float64 `json:"first_token_ms"`
		ShortOnly    bool    `json:"alone"`
	}

	collector struct {
		firstToken, betweenTokens map[string]*hdrhistogram.Histogram
		shortOnly, mixed          *hdrhistogram.Histogram
		refused                   map[fault.Kind]int
		sent, completed           int
		inTime, tokens            int
		dropped                   int
		slowest                   []SlowRequest
	}
)

func newCollector() *collector {
	c := &collector{
		firstToken: map[string]*hdrhistogram.Histogram{}, betweenTokens: map[string]*hdrhistogram.Histogram{},
		shortOnly: histogram(), mixed: histogram(), refused: map[fault.Kind]int{},
	}
	for _, b := range buckets {
		c.firstToken[b.name], c.betweenTokens[b.name] = histogram(), histogram()
	}
	return c
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
}

func bucketName(tokens int) string {
	for _, b := range buckets {
		if tokens <= b.maxTokens {
			return b.name
		}
	}
	return buckets[len(buckets)-1].name
}

func (c *collector) add(r Result) {
	c.sent++
	if r.ErrorKind != "" {
		c.refused[r.ErrorKind]++
		return
	}
	c.completed++
	c.tokens += r.Tokens
	if r.InTime {
		c.inTime++
	}
	record(c.firstToken[r.Bucket], r.FirstToken)
	for _, g := range r.TokenGaps {
		record(c.betweenTokens[r.Bucket], g)
	}
	if r.Bucket != buckets[0].name {
		return
	}
	c.addSlow(SlowRequest{ID: r.ID, FirstTokenMs: milliseconds(r.FirstToken), ShortOnly: r.ShortOnly})
	if r.ShortOnly {
		record(c.shortOnly, r.FirstToken)
	} else {
		record(c.mixed, r.FirstToken)
	}
}

// addSlow adds a request to the slowest ones if it is among the first maxSlowest.
func (c *collector) addSlow(x SlowRequest) {
	c.slowest = append(c.slowest, x)
	slices.SortStableFunc(c.slowest, func(a, b SlowRequest) int { return cmp.Compare(b.FirstTokenMs, a.FirstTokenMs) })
	c.slowest = c.slowest[:min(maxSlowest, len(c.slowest))]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), histogramMaxMicros)) // the value is within the histogram's range
}

func (c *collector) report(p Plan, took time.Duration) Report {
	r := Report{
		Seed: p.Seed, Seconds: took.Seconds(), Sent: c.sent, Completed: c.completed, InTime: c.inTime,
		Goodput: float64(c.inTime) / took.Seconds(), Tokens: c.tokens, Dropped: c.dropped, Refused: c.refused,
		Slowdown: slowdown(c.shortOnly, c.mixed), Slowest: c.slowest,
	}
	for _, b := range buckets {
		r.Buckets = append(r.Buckets, Bucket{
			Name: b.name, FirstToken: quantiles(c.firstToken[b.name]), BetweenTokens: quantiles(c.betweenTokens[b.name]),
		})
	}
	return r
}

func slowdown(shortOnly, mixed *hdrhistogram.Histogram) Slowdown {
	a, m := quantiles(shortOnly), quantiles(mixed)
	return Slowdown{ShortOnly: a, Mixed: m, P50: ratio(m.P50, a.P50), P95: ratio(m.P95, a.P95), P99: ratio(m.P99, a.P99)}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: quantile(50), P95: quantile(95), P99: quantile(99)}
}
