package quarantine

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/cockroachdb/errors"
)

type (
	// Crash is the crash of a server that was running a request.
	Crash struct {
		_ struct{} `cbor:",toarray"`
		// Server is the digest of the server's ID, see [ServerDigest].
		Server uint32
		// Reporter is the number of the host that found the server's port closed, the
		// lowest if there are several.
		Reporter uint32 `json:"By"`
		// Isolated reports that no other suspect was known to run on the server; of a part, that
		// enough crashes count to block it.
		Isolated bool `json:"Apart"`
		// Confirmed reports that the crash has been confirmed by a second host or by
		// the platform's server list.
		Confirmed bool `json:"Proved"`
	}

	// Record holds the crashes recorded against a suspect. It is an immutable value.
	Record struct {
		_           struct{}    `cbor:",toarray"`
		HeadHash    HeadHash    `json:"Mark"`
		Fingerprint Fingerprint `json:"Print"`
		Workspace   string
		Crashes     []Crash `json:"Ends"` // sorted by server, one per server
		// Pardons counts how often the suspect was cleared, by an answer or by an
		// operator. Clearing it discards all crashes recorded before.
		Pardons uint32
	}
)

// ServerDigest returns the 32-bit FNV-1a hash of a server's ID.
func ServerDigest(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// Stage returns the stage that follows from the record. The stages that delay or refuse
// requests require confirmed crashes. When the observation of one host was enough,
// 6,544 of 7,326 harmless requests were refused while two halls lost their connection
// with resets ten times in six seconds, and two requests were blocked for an hour on a
// day with 72 hosts.
func (r Record) Stage() Stage {
	confirmed := r.count(Crash.confirmed)
	switch n := len(r.Crashes); {
	case confirmed >= blockAfterCrashes && r.count(Crash.attributable) >= minIsolatedCrashes:
		return Blocked
	case n >= serializeAfterCrashes && confirmed > 0:
		return Serialized
	case n > 0:
		return Suspect
	}
	return Clear
}

// HasUnconfirmed reports whether the record has a crash that isn't confirmed.
func (r Record) HasUnconfirmed() bool { return r.count(Crash.confirmed) < len(r.Crashes) }

// Validate returns an error if a record received from elsewhere is malformed.
func (r Record) Validate() error {
	switch {
	case r.Fingerprint == Fingerprint{}:
		return errors.New("suspect record without a fingerprint")
	case len(r.Workspace) > maxWorkspaceBytes:
		return errors.Newf("suspect record with a workspace name of %d bytes", len(r.Workspace))
	case len(r.Crashes) == 0 && r.Pardons == 0, len(r.Crashes) > maxPartCrashes:
		return errors.Newf("suspect record with %d crashes", len(r.Crashes))
	case !slices.IsSortedFunc(r.Crashes, compareServers):
		return errors.New("suspect record with crashes not sorted by server")
	}
	return nil
}

// merged returns the record merged with another record of the same request, with a limited
// number of crashes. If their pardon counts differ, the record with the higher count replaces
// the other.
func (r Record) merged(o Record, limit int) Record {
	switch {
	case o.Pardons > r.Pardons:
		r.Pardons, r.Crashes = o.Pardons, nil
	case o.Pardons < r.Pardons:
		return r
	}
	all := slices.Clone(r.Crashes)
	for _, c := range o.Crashes {
		i, found := slices.BinarySearchFunc(all, c, compareServers)
		switch {
		case found:
			all[i] = all[i].merged(c)
		case len(all) < limit:
			all = slices.Insert(all, i, c)
		}
	}
	r.Crashes = all
	return r
}

// withConfirmed returns the record with the crash of a server confirmed, and whether
// this changes the record.
func (r Record) withConfirmed(server uint32) (Record, bool) {
	i, found := slices.BinarySearchFunc(r.Crashes, Crash{Server: server}, compareServers)
	if !found || r.Crashes[i].Confirmed {
		return r, false
	}
	r.Crashes = slices.Clone(r.Crashes)
	r.Crashes[i].Confirmed = true
	return r, true
}

// count returns the number of crashes that match a predicate.
func (r Record) count(match func(Crash) bool) int {
	n := 0
	for _, c := range r.Crashes {
		if match(c) {
			n++
		}
	}
	return n
}

// merged returns the crash merged with another host's report of the same crash.
func (c Crash) merged(o Crash) Crash {
	c.Reporter = min(c.Reporter, o.Reporter)
	c.Isolated = c.Isolated || o.Isolated
	c.Confirmed = c.Confirmed || o.Confirmed
	return c
}

func (c Crash) confirmed() bool { return c.Confirmed }

// attributable reports whether the crash counts against this request rather than
// against others that were running on the server.
func (c Crash) attributable() bool { return c.Confirmed && c.Isolated }

func compareServers(x, y Crash) int { return cmp.Compare(x.Server, y.Server) }
