package watch

import (
	"fmt"
	"strings"
	"time"

	"slipcrank.example/core/quarantine"
)

const (
	// suspectPrefix begins the keys of suspects in the table of hosts, which all
	// hosts follow already; no host's name has a slash.
	suspectPrefix = "/suspect/"
	// suspectKeys is how many keys there are, so that the table doesn't grow:
	// a newer suspect takes the place of an older one with the same key.
	suspectKeys = 64
)

// Suspect is a request under which servers ended, as the platform keeps it.
type Suspect struct {
	Record quarantine.Record `json:"record"`
	// AtMS is the platform's steady clock as it was written.
	AtMS int64 `json:"at_ms"`
}

// NewSuspect returns a suspect as it is kept from the time at on the platform's
// clock.
func NewSuspect(r quarantine.Record, at time.Duration) Suspect {
	return Suspect{Record: r, AtMS: at.Milliseconds()}
}

// At is the platform's steady clock as it was written.
func (s Suspect) At() time.Duration { return time.Duration(s.AtMS) * time.Millisecond }

// SuspectKey is the key of a suspect in the table of hosts.
func SuspectKey(p quarantine.Fingerprint) string {
	return fmt.Sprintf("%s%02d", suspectPrefix, p[0]%suspectKeys)
}

func isSuspect(key string) bool { return strings.HasPrefix(key, suspectPrefix) }
