package backend

import (
	"time"

	"slipcrank.example/core/feed"
)

// evacuation is an operator's order that the servers of a data hall get no new work.
type evacuation struct {
	revision int64
	// endedAt is when it was found to be taken back, 0 while it is in force.
	endedAt time.Duration
	// lostUntil is until when it stays in force although the platform, back from a copy
	// of its data, no longer has it; 0 while the platform has it.
	lostUntil time.Duration
}

// Evacuate records an order to evacuate a hall, and reports whether that changed the
// registry.
func (r *Registry) Evacuate(hall string, revision int64) bool {
	old, ok := r.evacuations[hall]
	if ok && old.revision >= revision {
		return false
	}
	r.evacuations[hall] = evacuation{revision: revision}
	return !ok || old.endedAt > 0
}

// EndEvacuation records that the evacuation of a hall was taken back, and reports whether
// that changed the registry.
func (r *Registry) EndEvacuation(hall string, revision int64, now time.Duration) bool {
	old, ok := r.evacuations[hall]
	if !ok || old.endedAt > 0 || old.revision > revision {
		return false
	}
	r.evacuations[hall] = evacuation{revision: revision, endedAt: now}
	return true
}

// EndMissingEvacuations ends all evacuations that a complete list of them lacks, and
// returns their halls. One that the platform may have lost when it came back from a copy
// stays in force: it is written again, or else ConfirmEvacuations ends it.
func (r *Registry) EndMissingEvacuations(present map[string]bool, revision int64, now time.Duration) []string {
	var ended []string
	for hall, e := range r.evacuations {
		if !present[hall] && feed.Era(e.revision) == feed.Era(revision) && r.EndEvacuation(hall, revision, now) {
			ended = append(ended, hall)
		}
	}
	return ended
}

// ConfirmEvacuations records that the platform answered for the table of evacuations at a
// revision. Evacuations of an earlier era end after copyGrace unless they are written again.
func (r *Registry) ConfirmEvacuations(revision int64, now time.Duration) {
	for hall, e := range r.evacuations {
		if e.endedAt == 0 && e.lostUntil == 0 && feed.Era(e.revision) < feed.Era(revision) {
			e.lostUntil = now + copyGrace
			r.evacuations[hall] = e
		}
	}
}

// expireEvacuations ends the evacuations that the platform has lost for good.
func (r *Registry) expireEvacuations(now time.Duration) {
	for hall, e := range r.evacuations {
		if e.lostUntil > 0 && now >= e.lostUntil {
			r.evacuations[hall] = evacuation{revision: e.revision, endedAt: now}
			r.expired = append(r.expired, hall)
		}
	}
}

// TakeExpiredEvacuations returns the halls whose evacuations have ended since the last
// call because the platform had lost them for good.
func (r *Registry) TakeExpiredEvacuations() []string {
	halls := r.expired
	r.expired = nil
	return halls
}

// Evacuated reports whether the servers of a hall get no new work by order of the
// operator.
func (v *View) Evacuated(hall string) bool {
	e, ok := v.evacuations[hall]
	return ok && e.endedAt == 0
}

// EvacuationEndedAt returns when the evacuation of a hall was last found to be taken back,
// and false if the hall was never evacuated or still is.
func (v *View) EvacuationEndedAt(hall string) (time.Duration, bool) {
	e, ok := v.evacuations[hall]
	return e.endedAt, ok && e.endedAt > 0
}
