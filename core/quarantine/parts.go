package quarantine

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockPartAfterCrashes is the number of confirmed crashes without an answer after which a
	// part is blocked. It is higher than that of requests, since a part is shared.
	blockPartAfterCrashes = 5
	// blockAnsweredAfterCrashes is the same for a part that this host has seen answered before.
	blockAnsweredAfterCrashes = 8
	// maxPartCrashes bounds the number of crashes that the record of a part holds.
	maxPartCrashes = 16
	// crashesPerEpisode is how many of the servers that crash together count against a part, and
	// episodeGap the time without a crash that ends an episode: whatever makes many servers crash
	// at once, it isn't one part.
	crashesPerEpisode = 2
	episodeGap        = 200 * time.Millisecond
	// refutationTime is how long after a crash an answer of the server refutes it. Servers need
	// longer to start again, and some keep their IDs.
	refutationTime = 400 * time.Millisecond
	// acquittalTime is how long after its first crash a part is blocked at the earliest: an
	// answer to another request that has it may be on its way.
	acquittalTime = time.Second
	// partDomain separates the digests of parts from those of requests.
	partDomain = "part of a prompt"
)

// Subjects of a registry.
const (
	requests subject = iota
	// parts are parts of prompts that several requests of a workspace share. A part is suspected
	// if servers crash while they run requests that have it. Each answer to such a request
	// clears it: a fatal part is in no request that is answered, while others are answered all
	// the time. A part needn't run isolated for that, and copies of requests play no role.
	parts
)

type (
	subject int

	// PartStage is the treatment of a request by the suspected parts of its prompt.
	PartStage struct {
		Stage Stage
		// Part is the part that determines the stage, that with the most crashes, and Crashes the
		// number of these; only with Serialized and Blocked.
		Part    Identity
		Crashes int
		// Group is equal for requests that have the same suspected parts. If they share a turn,
		// requests without the fatal part get their own, and their answers clear the others.
		Group HeadHash
	}
)

// NewPartRegistry returns an empty registry of parts of prompts.
func NewPartRegistry() *Registry { return newRegistry(parts) }

// maxCrashes returns how many crashes a record of a subject holds.
func (s subject) maxCrashes() int {
	if s == parts {
		return maxPartCrashes
	}
	return maxCrashes
}

// stage returns the stage that follows from the record of a subject.
func (s subject) stage(r Record) Stage {
	if s == requests {
		return r.Stage()
	}
	switch n := len(r.Crashes); {
	case r.count(Crash.attributable) >= blockPartAfterCrashes:
		return Blocked
	case r.count(Crash.confirmed) >= serializeAfterCrashes:
		return Serialized
	case n > 0:
		return Suspect
	}
	return Clear
}

// attribute marks the confirmed crashes of a part's record as isolated, if they count enough to
// block the part. It reports whether it has marked any.
func (reg *Registry) attribute(r Record, now time.Duration) (Record, bool) {
	var times []time.Duration
	for _, c := range r.Crashes {
		if _, known := reg.crashedAt[c.Server]; !known {
			reg.crashedAt[c.Server] = now
		}
		if c.Confirmed {
			times = append(times, reg.crashedAt[c.Server])
		}
	}
	slices.Sort(times)
	counted, inEpisode := 0, 0
	for n, at := range times {
		if n > 0 && at-times[n-1] > episodeGap {
			inEpisode = 0
		}
		if inEpisode++; inEpisode <= crashesPerEpisode {
			counted++
		}
	}
	if counted < blockPartAfterCrashes && len(times) < maxPartCrashes {
		return r, false
	}
	marked := false
	r.Crashes = slices.Clone(r.Crashes)
	for n, c := range r.Crashes {
		if c.Confirmed && !c.Isolated {
			r.Crashes[n].Isolated, marked = true, true
		}
	}
	return r, marked
}

// PartIdentity returns the identity of a part of a workspace's prompts. The same part of another
// workspace has another one, so that no workspace can have a part refused that others use.
func PartIdentity(workspace, id string) Identity {
	text := partDomain + separator + workspace + separator + id
	sum := sha256.Sum256([]byte(text))
	return Identity{HeadHash(xxhash.Sum64String(text)), Fingerprint(sum[:fingerprintSize]), workspace}
}

// PartsStage returns how a request is treated whose prompt has the given parts, given whether a
// part was in a request that this host has seen answered. More likely, another part is at fault
// then: such a part takes turns only when others may be blocked, and is blocked later.
func (reg *Registry) PartsStage(ids []Identity, answered func(HeadHash) bool, now time.Duration) PartStage {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	worst, group := PartStage{}, HeadHash(0)
	if len(reg.suspects) == 0 {
		return worst
	}
	for _, id := range ids {
		s := reg.suspects[id.Fingerprint]
		if s == nil {
			continue
		}
		p := PartStage{Stage: reg.subject.stage(s.record), Part: id, Crashes: len(s.record.Crashes)}
		known := answered(id.HeadHash)
		if p.Stage == Blocked && (now-s.since < acquittalTime || p.Crashes < blockAnsweredAfterCrashes && known) {
			p.Stage = Serialized
		}
		if p.Stage < Serialized || known && p.Crashes < blockPartAfterCrashes {
			continue
		}
		group ^= id.HeadHash
		if cmp.Or(cmp.Compare(p.Stage, worst.Stage), cmp.Compare(p.Crashes, worst.Crashes)) > 0 {
			worst = p
		}
	}
	worst.Group = group
	return worst
}

// Refute clears the suspects with a crash of a server that has answered a request which was sent
// after that became known, and reports whether there were any. It is too soon for the server to
// have started again, so it hasn't crashed, and what was found down were paths.
func (reg *Registry) Refute(server uint32, sentAt, now time.Duration) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	at, known := reg.crashedAt[server]
	if !known || sentAt <= at || now-at > refutationTime {
		return false
	}
	refuted := false
	for _, s := range reg.suspects {
		if _, found := slices.BinarySearchFunc(s.record.Crashes, Crash{Server: server}, compareServers); found {
			refuted = reg.pardon(s, now) || refuted
		}
	}
	return refuted
}

// CrashedServers returns the servers, by digest, that crashed under suspects which are at least
// Serialized.
func (reg *Registry) CrashedServers() map[uint32]bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	out := map[uint32]bool{}
	for _, s := range reg.suspects {
		if reg.subject.stage(s.record) < Serialized {
			continue
		}
		for _, c := range s.record.Crashes {
			out[c.Server] = true
		}
	}
	return out
}
