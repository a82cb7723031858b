package upkeep

import (
	"context"
	"time"

	"slipcrank.example/core/member"
	"slipcrank.example/daemon/control"
)

const (
	pingTimeout = 500 * time.Millisecond
	syncTimeout = 3 * time.Second
	// indirectPings is the number of other daemons that are asked to ping a daemon
	// that did not answer.
	indirectPings = 2
	// One in remotePingInterval heartbeats goes to another hall, on average.
	remotePingInterval = 5
)

type (
	// ping is one heartbeat: the daemon to ping and the records to attach.
	ping struct {
		target string
		gossip control.Gossip
	}

	// syncRound holds the daemons to sync with, and the digest to compare.
	syncRound struct {
		targets []string
		digest  uint64
	}
)

// heartbeat pings one daemon. If the daemon does not answer, it is pinged
// through others before it is suspected, since the fault may be in the network
// between the two.
func (u *Upkeep) heartbeat(ctx context.Context) {
	next, _ := control.Ask(ctx, u.loop, nextPing)
	target := next.target
	if target == "" {
		return
	}
	if u.ping(ctx, target, next.gossip) || u.pingVia(ctx, target) {
		return
	}
	u.peers.Disconnect(target)
	u.loop.Post(func(s *control.State) { s.PingFailed(target) })
}

// nextPing calls [control.State.Tick] and returns the next heartbeat, whose
// target is empty if there is no other daemon.
func nextPing(s *control.State) ping {
	s.Tick()
	t := nextTarget(s)
	if t == "" {
		return ping{}
	}
	return ping{target: t, gossip: s.NextGossip()}
}

// nextTarget returns the next daemon of the hall, or occasionally a random
// daemon of another hall, so that records spread between halls.
func nextTarget(s *control.State) string {
	self := s.Members().Self()
	if s.Random().IntN(remotePingInterval) == 0 {
		remote := s.Members().RandomAlive(1, s.Random(), func(m member.Member) bool { return m.Hall != self.Hall })
		if len(remote) == 1 {
			return remote[0]
		}
	}
	t, _ := s.Members().NextPing(s.Random())
	return t
}

// ping sends a heartbeat and reports whether the target answered.
func (u *Upkeep) ping(ctx context.Context, target string, g control.Gossip) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	self := u.loop.View().Self
	reply, err := u.peers.Ping(ctx, target, self.Addr, self.Hall, g)
	if err != nil {
		return false
	}
	u.loop.Post(func(s *control.State) { s.MergeGossip(reply) })
	return true
}

// pingVia pings a daemon through others, and reports whether it answered one of
// them.
func (u *Upkeep) pingVia(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*pingTimeout)
	defer cancel()
	via := u.randomDaemons(ctx, indirectPings, func(m member.Member) bool { return m.Addr != target })
	for _, v := range via {
		if u.peers.PingVia(ctx, v, target) == nil {
			return true
		}
	}
	return false
}

// syncMembers compares all records with one member, and with a few daemons of
// the settings or the host list that are not members yet. The records are many
// and seldom differ, so they are sent only if their digests differ.
func (u *Upkeep) syncMembers(ctx context.Context) {
	next, _ := control.Ask(ctx, u.loop, func(s *control.State) syncRound {
		targets := s.Members().RandomAlive(1, s.Random(), func(member.Member) bool { return true })
		return syncRound{targets: append(targets, s.UnknownDaemons(u.bootstrap)...), digest: s.Digest()}
	})
	for _, t := range next.targets {
		u.syncWith(ctx, t, next.digest)
	}
}

// randomDaemons returns at most n random live daemons for which eligible returns
// true.
func (u *Upkeep) randomDaemons(ctx context.Context, n int, eligible func(member.Member) bool) []string {
	as, _ := control.Ask(ctx, u.loop, func(s *control.State) []string {
		return s.Members().RandomAlive(n, s.Random(), eligible)
	})
	return as
}

// syncWith compares digests with one daemon. If they differ, both daemons merge
// each other's records.
func (u *Upkeep) syncWith(ctx context.Context, target string, digest uint64) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	self := u.loop.View().Self.Addr
	theirs, same, err := u.peers.CompareDigest(ctx, target, self, digest)
	if err != nil {
		return
	}
	if same {
		u.loop.Post(func(s *control.State) { s.PeerInSync() })
		return
	}
	all, ok := control.Ask(ctx, u.loop, func(s *control.State) control.Gossip {
		s.MergeGossip(theirs)
		return s.AllRecords()
	})
	if !ok {
		return
	}
	_ = u.peers.PushRecords(ctx, target, self, all) // after an error, a later sync sends the records
}

// readHosts reads the platform's host list.
func (u *Upkeep) readHosts(ctx context.Context) {
	hs, changed, err := u.hosts.List(ctx)
	u.loop.Post(func(s *control.State) {
		s.SetPlatformReachable(err == nil)
		if changed {
			s.SetHosts(hs)
		}
	})
}
