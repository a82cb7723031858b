package entry

import (
	"log/slog"
	"time"

	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/settings"
)

// sendMargin is subtracted from the time for which a proof of the keys is valid. It covers
// the time that a request may take from the check of its key to the backend server.
const sendMargin = 400 * time.Millisecond

// proven reports whether the keys are proven to be in force by a proof of the given age;
// known is false if there is no proof.
func proven(b settings.Bounds, age time.Duration, known bool) bool {
	return known && age < b.KeyProof-sendMargin
}

// trusted reports whether requests may be served with the keys that this host has. The
// operators may allow keys to stay in use without a valid proof: the platform's store may
// then fall silent without any caller being refused, but a key that is revoked in the
// meantime stays in use. This raises the earned fraction of the value of all requests by
// 0.18 on a day on which nine hosts get no answers from the store for 8 s, and by 0.037
// over five days with other faults (standard error 0.014, 35 pairs of days with equal
// seeds).
func trusted(b settings.Bounds, age time.Duration, known bool) bool {
	return b.UnprovenKeys == settings.ServeUnproven || proven(b, age, known)
}

// keysTrusted reports whether requests may be served with the current keys.
func (e *Entry) keysTrusted() bool {
	age, known := e.watcher.ConfigAge()
	return trusted(e.settings.Load().Bounds, age, known)
}

// keysProven reports whether the current keys are proven to be in force.
func (e *Entry) keysProven() bool {
	age, known := e.watcher.ConfigAge()
	return proven(e.settings.Load().Bounds, age, known)
}

// configCurrent reports whether the configuration was the newest one within the time that
// the operators allow for a change to take effect.
func (e *Entry) configCurrent() bool {
	age, known := e.watcher.ConfigAge()
	return known && age < e.settings.Load().Bounds.Config
}

// proofAge returns the time since the configuration was last proven to be the newest, zero
// if it never was.
func (e *Entry) proofAge() time.Duration {
	age, _ := e.watcher.ConfigAge()
	return age
}

// serversAge returns the time since the list of servers was last proven to be complete,
// zero if it never was.
func (e *Entry) serversAge() time.Duration {
	age, _ := e.watcher.ServersAge()
	return age
}

// logProof logs when the keys are no longer proven to be in force, and when they are again,
// together with whether requests are served.
func (e *Entry) logProof() {
	b := e.settings.Load().Bounds
	age, known := e.watcher.ConfigAge()
	unproven := known && !proven(b, age, known)
	if unproven == e.keysUnproven {
		return
	}
	e.keysUnproven = unproven
	change := event.KeysProven
	if unproven {
		change = event.KeysUnproven
	}
	e.log.Write(change, slog.Duration("proof_age", age), slog.Duration("bound", b.KeyProof),
		slog.Bool("served", trusted(b, age, known)))
}
