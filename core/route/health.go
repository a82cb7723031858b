package route

import "time"

const (
	// failuresToEject is the number of consecutive failed attempts after
	// which an engine is ejected.
	failuresToEject = 2
	initialEjection = 2 * time.Second
	maxEjection     = 30 * time.Second
)

// Health is the state of an engine as derived from the attempts on it. It is
// an immutable value. An engine that fails several consecutive attempts is
// ejected for a period that doubles with each further failure. Offers of
// ejected engines are used only if there are no others, so ejection never
// removes the last engine.
type Health struct {
	failures int
	until    time.Time
}

// Fail returns h after a failed attempt.
func (h Health) Fail(now time.Time) Health {
	h.failures++
	if h.failures < failuresToEject {
		return h
	}
	d := initialEjection << min(h.failures-failuresToEject, 10)
	h.until = now.Add(min(d, maxEjection))
	return h
}

// Succeed returns h after a successful attempt.
func (h Health) Succeed() Health { return Health{} }

// Ejected reports whether the engine is ejected at the given time.
func (h Health) Ejected(now time.Time) bool { return now.Before(h.until) }
