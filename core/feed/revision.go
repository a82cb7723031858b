package feed

import "github.com/cockroachdb/errors"

// counterBits is the width of the counter in a revision. It lasts for 35 years at a
// thousand changes a second; the bits above it hold more than a million eras.
const counterBits = 40

// NewRevision returns the revision at which the platform's counter has a value, in an era.
// The platform begins a new era each time that it comes back from a copy of its data: it
// has then lost the latest changes, and its counter goes on from an earlier value. Revisions
// of a later era are greater than all of an earlier one. An era or a counter that is out
// of range is an error.
func NewRevision(era, counter int64) (int64, error) {
	if counter < 0 || counter >= 1<<counterBits || era < 0 || era >= 1<<(62-counterBits) {
		return 0, errors.Newf("the platform's counter %d in era %d is out of range", counter, era)
	}
	return era<<counterBits | counter, nil
}

// Era returns the era of a revision.
func Era(revision int64) int64 { return revision >> counterBits }

// Counter returns the value of the platform's counter at a revision.
func Counter(revision int64) int64 { return revision & (1<<counterBits - 1) }
