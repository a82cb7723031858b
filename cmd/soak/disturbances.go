package soak

import "time"

type (
	// disturbances records the periods in which a component was disturbed. The
	// last period is the ongoing one, if any.
	disturbances struct{ periods []period }

	period struct {
		from, to time.Time // to is zero while the disturbance is ongoing
	}
)

// setActive records that a disturbance begins or ends now.
func (h *disturbances) setActive(active bool) {
	n := len(h.periods)
	ongoing := n > 0 && h.periods[n-1].to.IsZero()
	switch {
	case active && !ongoing:
		h.periods = append(h.periods, period{from: time.Now()})
	case !active && ongoing:
		h.periods[n-1].to = time.Now()
	}
}

// addInstant records a disturbance without duration. It is prepended, so that an
// ongoing period stays last.
func (h *disturbances) addInstant() {
	now := time.Now()
	h.periods = append([]period{{now, now}}, h.periods...)
}

// overlap reports whether there was a disturbance at any time in [from, to].
func (h *disturbances) overlap(from, to time.Time) bool {
	for _, s := range h.periods {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return true
		}
	}
	return false
}
