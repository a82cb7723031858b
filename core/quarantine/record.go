package quarantine

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/cockroachdb/errors"
)

type (
	// End is a server that ended under a request.
	End struct {
		_ struct{} `cbor:",toarray"`
		// Server is a digest of its ID, by [ServerOf].
		Server uint32
		// By is the number of the host that found it closed: of several the least.
		By uint32
		// Apart says that no other suspect was known to run there.
		Apart bool
		// Proved says that there is more than one host's word for it.
		Proved bool
	}

	// Record is what is known of a suspect: an immutable value.
	Record struct {
		_         struct{} `cbor:",toarray"`
		Mark      Mark
		Print     Print
		Workspace string
		Ends      []End // by server, each once
		// Pardons counts how often it was cleared, by an answer or an operator.
		// Ends that were known before the last time don't count.
		Pardons uint32
	}
)

// ServerOf digests a server's ID.
func ServerOf(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// Stage returns what becomes of the request. What makes callers wait, or refuses
// them, rests on ends that are proved: by one host's word alone, 6,544 of 7,326
// harmless requests were refused while two halls lost each other with resets ten
// times in six seconds, and two were held for an hour on a day of 72 hosts.
func (r Record) Stage() Stage {
	proved := r.count(End.proved)
	switch n := len(r.Ends); {
	case proved >= heldEnds && r.count(End.blames) >= apartEnds:
		return Held
	case n >= doubtfulEnds && proved > 0:
		return Doubtful
	case n > 0:
		return Suspect
	}
	return Clear
}

// Unproved reports whether the record has an end that isn't proved.
func (r Record) Unproved() bool { return r.count(End.proved) < len(r.Ends) }

// Validate reports what is wrong with a record that somebody else has made.
func (r Record) Validate() error {
	switch {
	case r.Print == Print{}:
		return errors.New("a suspect without a print")
	case len(r.Workspace) > maxName:
		return errors.Newf("a suspect's workspace has a name of %d bytes", len(r.Workspace))
	case len(r.Ends) == 0 && r.Pardons == 0, len(r.Ends) > mostEnds:
		return errors.Newf("a suspect with %d servers", len(r.Ends))
	case !slices.IsSortedFunc(r.Ends, byServer):
		return errors.New("a suspect's servers are out of order")
	}
	return nil
}

// with returns the record with what another one says of the same request.
func (r Record) with(o Record) Record {
	switch {
	case o.Pardons > r.Pardons:
		r.Pardons, r.Ends = o.Pardons, nil
	case o.Pardons < r.Pardons:
		return r
	}
	all := slices.Clone(r.Ends)
	for _, e := range o.Ends {
		i, known := slices.BinarySearchFunc(all, e, byServer)
		switch {
		case known:
			all[i] = all[i].with(e)
		case len(all) < mostEnds:
			all = slices.Insert(all, i, e)
		}
	}
	r.Ends = all
	return r
}

// withProved returns the record with the end of a server proved, and whether that
// is new.
func (r Record) withProved(server uint32) (Record, bool) {
	i, known := slices.BinarySearchFunc(r.Ends, End{Server: server}, byServer)
	if !known || r.Ends[i].Proved {
		return r, false
	}
	r.Ends = slices.Clone(r.Ends)
	r.Ends[i].Proved = true
	return r, true
}

// count counts the ends of a kind.
func (r Record) count(of func(End) bool) int {
	n := 0
	for _, e := range r.Ends {
		if of(e) {
			n++
		}
	}
	return n
}

// with returns the end with what another host says of it.
func (e End) with(o End) End {
	e.By = min(e.By, o.By)
	e.Apart = e.Apart || o.Apart
	e.Proved = e.Proved || o.Proved
	return e
}

func (e End) proved() bool { return e.Proved }

// blames reports whether the end says more of this request than of others that
// ran there.
func (e End) blames() bool { return e.Proved && e.Apart }

func byServer(x, y End) int { return cmp.Compare(x.Server, y.Server) }
