// Package quarantine tracks requests that were running on backend servers when these
// crashed, so that a single fatal request can't crash one server after another.
//
// A crashing server has some ten requests in flight, any of which may be the cause.
// Each of them becomes a suspect: from then on it runs only on servers without other
// suspects, and all of its copies run on the same server, so that the next crash can
// be attributed to it. A suspect that is answered is cleared. A request that was
// running during several crashes, at least one of them while it was isolated, is
// blocked: it is refused without being run. A [Registry] stores one [Record] for each
// suspect. It merges the crashes that this host observes with the records that other
// hosts send.
// Merging records is commutative and idempotent, so that they may be lost, duplicated
// and reordered on the way.
//
// The failure scenario: a request that crashes every server which starts to run it is
// sent by several callers, to any host, many times per second, mixed with ordinary
// requests.
//
// # Confirmed crashes
//
// A host that finds the port of a server closed may itself be cut off from that
// server. Its observation alone suffices for measures that cost callers nothing, such
// as isolating the request. Whatever refuses or delays a request requires confirmed
// crashes. There are two ways to confirm a crash:
//
//   - A second host finds the port closed too, and one of the two is in the server's
//     own data hall, so that it doesn't depend on the links between halls
//     ([Witnesses]).
//   - The platform's server list, while it is current, shows a later start of the
//     server, or no longer shows the server but still shows others of its hall. A hall
//     that is cut off loses all of its servers ([Roster]).
//
// The first takes a few network delays between hosts, the second takes seconds.
//
// # Parts of prompts
//
// Prompts share parts that have IDs, and one part may crash each server that begins to answer a
// request with it, while no two of these requests are alike. [NewPartRegistry] returns a registry of
// such parts. Each crash is added to all parts of each request that was lost, and each answer clears
// all parts of its request, so that only a part which is never answered adds up crashes. Until it
// is blocked, requests with the same suspected parts take turns; see [Registry.PartsStage].
//
// # Usage
//
//	reg := quarantine.NewRegistry()
//	if reg.MayContain(r.HeadHash()) && reg.Stage(r.Fingerprint()) == quarantine.Blocked { ... refuse }
//	reg.AddCrash(r.Identity(), quarantine.Crash{Server: ..., Reporter: host}, now)   // before the answer
//	reg.ClearAnswered(fingerprint, now)
//	for _, o := range reg.OwnRecords(now) { ... send o.Record to other hosts }
//	reg.Merge(record, now)
//	reg.ConfirmCrash(server, now)   // as a witness
//
//	parts := quarantine.NewPartRegistry()
//	parts.AddCrash(quarantine.PartIdentity(workspace, part), crash, now) // for each part
//	switch p := parts.PartsStage(ids, wasAnswered, now); p.Stage { ... }
package quarantine

import "time"

// Stages of a request.
const (
	// Clear requests run on any server.
	Clear Stage = iota
	// Suspect requests run on a server without other suspects, if there is one.
	Suspect
	// Serialized requests run like suspects, and only one copy at a time.
	Serialized
	// Blocked requests are refused.
	Blocked
)

const (
	// serializeAfterCrashes is the number of crashed servers after which only one copy
	// of a request may run at a time, and blockAfterCrashes the number after which the
	// request is blocked: the requirements accept three crashes per request.
	serializeAfterCrashes = 2
	blockAfterCrashes     = 3
	// minIsolatedCrashes is how many of these crashes must have happened while the
	// request was isolated from other suspects. Without it a harmless request of
	// which many copies run at once would be blocked when several servers crash
	// together.
	minIsolatedCrashes = 1
	// suspectRetention is how long a suspect that causes no further crashes is kept.
	// Callers retry within their deadlines, the longest of which is 15 s. It is far
	// longer because the crashes of a rare request have to add up too.
	suspectRetention = 10 * time.Minute
	// BlockedRetention is how long a request stays blocked. It is tried again after
	// that, since servers with other software may run it. If it still crashes
	// servers it crashes three more, which is tolerable once an hour.
	BlockedRetention = time.Hour
	// maxSuspects bounds the number of suspects, and maxSuspectsPerWorkspace the
	// number of one workspace's. A suspect takes some 200 bytes, and a crash makes
	// some ten suspects. The suspect whose record changed longest ago is evicted
	// first, blocked ones last. A workspace at its bound evicts suspects of its own.
	maxSuspects             = 1024
	maxSuspectsPerWorkspace = 128
	// maxCrashes bounds the number of crashes that the record of a request holds.
	maxCrashes = 8
	// confirmationTimeout is how long a request waits for other hosts to confirm a
	// crash, if it isn't the request's first. It covers the report to them, their
	// probe and the reply on hosts with a fifth of a core: 154 ms on a host with
	// five times as much work as it has processors for. Without this wait one request
	// crashed five servers, where the requirements accept four, and with proxies in
	// front of the servers a fraction of 0.11 of the other requests that may run only
	// once was lost (four hosts, twelve copies at once).
	confirmationTimeout = 300 * time.Millisecond
	// ConfirmationPollInterval is the interval at which a waiting request checks for
	// the confirmation.
	ConfirmationPollInterval = 5 * time.Millisecond
	// maxWorkspaceBytes bounds the workspace name in a record of another host.
	maxWorkspaceBytes = 256
)

// Stage determines how a request is treated. Higher stages are more restrictive.
type Stage int

// String returns the name of the stage in logs, metrics and replies to operators.
func (s Stage) String() string {
	return [...]string{Clear: "clear", Suspect: "suspect", Serialized: "doubtful", Blocked: "held"}[s]
}
