// Package quarantine remembers requests under which backend servers ended, so
// that one request can't end server after server.
//
// A server that ends takes some ten requests with it, and one of them may be the
// cause. A request under which a server ended is a suspect: from then on it runs
// only where no other suspect runs, and all of its copies on one server, so that
// the next end tells which one it was. One that is answered is cleared. One under
// which several servers ended, at least one of them while it was apart, is held:
// it is refused at once. A [Registry] holds what is known of suspects, by this host's
// evidence and by that of others, who are told a [Record] of each. Records only
// grow by merging, so that they may be lost, told twice and in any order.
//
// The load that this answers: a request that ends each server which begins to run
// it comes again from several callers, at any host, many times a second, beside
// ordinary requests.
//
// # What proves an end
//
// One host that finds a server's port closed may itself be cut off from it. That
// is enough for what costs a caller nothing: to run the request apart. Whatever
// refuses a request, or has it wait, needs ends that are proved, by one of two:
//
//   - a second host finds the port closed too, one of them in the server's own
//     data hall: it doesn't reach the server over what was cut ([Witnesses]);
//   - the platform's list, while it is current, has a later start of the server,
//     or has lost the server while it goes on naming others of its hall: a hall
//     that is cut off loses all ([Roster]).
//
// The first takes some ways between hosts, the second seconds.
//
// # Usage
//
//	b := quarantine.NewBook()
//	if b.Knows(r.Mark()) && b.Stage(r.Print(), now) == quarantine.Held { ... refuse }
//	b.Ended(r.Identity(), quarantine.End{Server: ..., By: host}, now)   // with the answer due
//	b.Answered(print, now)
//	for _, t := range b.Own(now) { ... tell others of t.Record }
//	b.Hear(record, now)
//	b.Prove(server, now)   // as a witness
package quarantine

import "time"

// What becomes of a request.
const (
	// Clear requests run anywhere.
	Clear Stage = iota
	// Suspect ones run where no other suspect runs, if there is such a server.
	Suspect
	// Serialized ones run like suspects, and one copy at a time.
	Serialized
	// Blocked ones are refused.
	Blocked
)

const (
	// doubtfulEnds is under how many ended servers only one copy may run at a
	// time, and heldEnds under how many a request is held: the users allow three.
	doubtfulEnds = 2
	heldEnds     = 3
	// apartEnds is how many of them have to be while it ran apart from other
	// suspects. Many copies of a harmless request that run at once may see
	// several servers end together.
	apartEnds = 1
	// suspectTime forgets suspects that came again no more. Callers come back
	// within their deadlines, of which the longest used are 15 s; a request that
	// comes seldom and ends a server each time has to add up all the same.
	suspectTime = 10 * time.Minute
	// BlockedRetention forgets held requests, so that one is tried again at some time:
	// servers with other software may well run it. One that still ends servers
	// ends three more, an hour's share of which is little.
	BlockedRetention = time.Hour
	// most bounds the suspects, mostOfOne those of one workspace: some 200 bytes
	// each. A server that ends makes some ten. The one that was heard of longest
	// ago falls out first, held ones last, and of one workspace's its own.
	most      = 1024
	mostOfOne = 128
	// mostEnds bounds what is kept of the servers that ended under a request.
	mostEnds = 8
	// verdictTime is how long a request waits for other hosts' word on a server
	// that ended under it, if it isn't the first: a way to them, their look and a
	// way back, on hosts with a fifth of a core (154 ms on a machine with five times
	// the work that it has processors for). Without it one request ended five
	// servers where the users allow four, and with proxies before the servers 0.11
	// of the others' requests that may run once were lost (four hosts, twelve copies
	// at once).
	verdictTime = 300 * time.Millisecond
	// ConfirmationPollInterval lies between two looks whether it is there.
	ConfirmationPollInterval = 5 * time.Millisecond
	// maxName is the longest name of a workspace that others are believed.
	maxName = 256
)

// Stage is what becomes of a request.
type Stage int

// String returns the stage as it stands in logs.
func (s Stage) String() string {
	return [...]string{Clear: "clear", Suspect: "suspect", Serialized: "doubtful", Blocked: "held"}[s]
}
