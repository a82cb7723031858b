package watch

import (
	"fmt"
	"strings"
	"time"

	"slipcrank.example/core/quarantine"
)

const (
	// suspectPrefix is the prefix of the keys of suspects in the table of hosts,
	// which all hosts follow already. No host's name contains a slash.
	suspectPrefix = "/suspect/"
	// suspectKeys is the number of keys for suspects, which limits the size of the
	// table. A newer suspect replaces an older one with the same key.
	suspectKeys = 64
)

// Suspect is a request that was running on servers when these crashed, as stored on
// the platform.
type Suspect struct {
	Record quarantine.Record `json:"record"`
	// AtMS is the reading of the platform's monotonic clock, in milliseconds, when
	// the suspect was stored.
	AtMS int64 `json:"at_ms"`
}

// NewSuspect returns a suspect that is stored at the time at of the platform's
// monotonic clock.
func NewSuspect(r quarantine.Record, at time.Duration) Suspect {
	return Suspect{Record: r, AtMS: at.Milliseconds()}
}

// At returns the reading of the platform's monotonic clock when the suspect was
// stored.
func (s Suspect) At() time.Duration { return time.Duration(s.AtMS) * time.Millisecond }

// SuspectKey returns the key of a suspect in the table of hosts.
func SuspectKey(f quarantine.Fingerprint) string {
	return fmt.Sprintf("%s%02d", suspectPrefix, f[0]%suspectKeys)
}

func isSuspect(key string) bool { return strings.HasPrefix(key, suspectPrefix) }
