package quarantine

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/cockroachdb/errors"
)

type (
	// Crash is a server that ended under a request.
	Crash struct {
		_ struct{} `cbor:",toarray"`
		// Server is a digest of its ID, by [ServerOf].
		Server uint32
		// Reporter is the number of the host that found it closed: of several the least.
		Reporter uint32 `json:"By"`
		// Isolated says that no other suspect was known to run there.
		Isolated bool `json:"Apart"`
		// Confirmed says that there is more than one host's word for it.
		Confirmed bool `json:"Proved"`
	}

	// Record is what is known of a suspect: an immutable value.
	Record struct {
		_           struct{}    `cbor:",toarray"`
		HeadHash    HeadHash    `json:"Mark"`
		Fingerprint Fingerprint `json:"Print"`
		Workspace   string
		Crashes     []Crash `json:"Ends"` // by server, each once
		// Pardons counts how often it was cleared, by an answer or an operator.
		// Ends that were known before the last time don't count.
		Pardons uint32
	}
)

// ServerDigest digests a server's ID.
func ServerDigest(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// Stage returns what becomes of the request. What makes callers wait, or refuses
// them, rests on ends that are proved: by one host's word alone, 6,544 of 7,326
// harmless requests were refused while two halls lost each other with resets ten
// times in six seconds, and two were held for an hour on a day of 72 hosts.
func (r Record) Stage() Stage {
	proved := r.count(Crash.proved)
	switch n := len(r.Crashes); {
	case proved >= heldEnds && r.count(Crash.blames) >= apartEnds:
		return Blocked
	case n >= doubtfulEnds && proved > 0:
		return Serialized
	case n > 0:
		return Suspect
	}
	return Clear
}

// HasUnconfirmed reports whether the record has an end that isn't proved.
func (r Record) HasUnconfirmed() bool { return r.count(Crash.proved) < len(r.Crashes) }

// Validate reports what is wrong with a record that somebody else has made.
func (r Record) Validate() error {
	switch {
	case r.Fingerprint == Fingerprint{}:
		return errors.New("a suspect without a print")
	case len(r.Workspace) > maxName:
		return errors.Newf("a suspect's workspace has a name of %d bytes", len(r.Workspace))
	case len(r.Crashes) == 0 && r.Pardons == 0, len(r.Crashes) > mostEnds:
		return errors.Newf("a suspect with %d servers", len(r.Crashes))
	case !slices.IsSortedFunc(r.Crashes, byServer):
		return errors.New("a suspect's servers are out of order")
	}
	return nil
}

// with returns the record with what another one says of the same request.
func (r Record) with(o Record) Record {
	switch {
	case o.Pardons > r.Pardons:
		r.Pardons, r.Crashes = o.Pardons, nil
	case o.Pardons < r.Pardons:
		return r
	}
	all := slices.Clone(r.Crashes)
	for _, e := range o.Crashes {
		i, known := slices.BinarySearchFunc(all, e, byServer)
		switch {
		case known:
			all[i] = all[i].with(e)
		case len(all) < mostEnds:
			all = slices.Insert(all, i, e)
		}
	}
	r.Crashes = all
	return r
}

// withProved returns the record with the end of a server proved, and whether that
// is new.
func (r Record) withProved(server uint32) (Record, bool) {
	i, known := slices.BinarySearchFunc(r.Crashes, Crash{Server: server}, byServer)
	if !known || r.Crashes[i].Confirmed {
		return r, false
	}
	r.Crashes = slices.Clone(r.Crashes)
	r.Crashes[i].Confirmed = true
	return r, true
}

// count counts the ends of a kind.
func (r Record) count(of func(Crash) bool) int {
	n := 0
	for _, e := range r.Crashes {
		if of(e) {
			n++
		}
	}
	return n
}

// with returns the end with what another host says of it.
func (e Crash) with(o Crash) Crash {
	e.Reporter = min(e.Reporter, o.Reporter)
	e.Isolated = e.Isolated || o.Isolated
	e.Confirmed = e.Confirmed || o.Confirmed
	return e
}

func (e Crash) proved() bool { return e.Confirmed }

// blames reports whether the end says more of this request than of others that
// ran there.
func (e Crash) blames() bool { return e.Confirmed && e.Isolated }

func byServer(x, y Crash) int { return cmp.Compare(x.Server, y.Server) }
