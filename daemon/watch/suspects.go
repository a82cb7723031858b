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
	// Part reports that it is a part of prompts instead of a request. Hosts of an earlier
	// version take it for a request, which never comes.
	Part bool `json:"part,omitempty"`
	// AtMS is the reading of the platform's monotonic clock, in milliseconds, when
	// the suspect was stored.
	AtMS int64 `json:"at_ms"`
}

// NewSuspect returns a suspect that is stored at the time at of the platform's
// monotonic clock.
func NewSuspect(r quarantine.Record, part bool, at time.Duration) Suspect {
	return Suspect{Record: r, Part: part, AtMS: at.Milliseconds()}
}

// At returns the reading of the platform's monotonic clock when the suspect was
// stored.
func (s Suspect) At() time.Duration { return time.Duration(s.AtMS) * time.Millisecond }

// SuspectKey returns the key of a suspect in the table of hosts. Requests and parts of prompts
// have keys of their own.
func SuspectKey(f quarantine.Fingerprint, part bool) string {
	if part {
		return fmt.Sprintf("%spart-%02d", suspectPrefix, f[0]%suspectKeys)
	}
	return fmt.Sprintf("%s%02d", suspectPrefix, f[0]%suspectKeys)
}

func isSuspect(key string) bool { return strings.HasPrefix(key, suspectPrefix) }
