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
	// helpers is how many other daemons are asked to reach a silent one.
	helpers = 2
	// farPart is one part of heartbeats that goes to another hall.
	farPart = 5
)

type (
	// ping is one heartbeat, to a daemon, with what rides on it.
	ping struct {
		target string
		news   control.Gossip
	}

	// comparison is the daemons to compare records with, by their digest.
	comparison struct {
		targets []string
		digest  uint64
	}
)

// heartbeat pings one daemon. A silent one is tried through others before it
// is suspected, since the fault may be on the way.
func (u *Upkeep) heartbeat(ctx context.Context) {
	next, _ := control.Ask(ctx, u.loop, nextPing)
	target := next.target
	if target == "" {
		return
	}
	if u.ping(ctx, target, next.news) || u.pingVia(ctx, target) {
		return
	}
	u.peers.Disconnect(target)
	u.loop.Post(func(s *control.State) { s.PingFailed(target) })
}

// nextPing moves the time of the state on, and returns the next heartbeat; it
// has no target if there is no other daemon.
func nextPing(s *control.State) ping {
	s.Tick()
	t := nextTarget(s)
	if t == "" {
		return ping{}
	}
	return ping{target: t, news: s.NextGossip()}
}

// nextTarget returns the next daemon of the hall, and now and then one of
// another hall, so that news crosses.
func nextTarget(s *control.State) string {
	self := s.Members().Self()
	if s.Random().IntN(farPart) == 0 {
		far := s.Members().RandomAlive(1, s.Random(), func(m member.Member) bool { return m.Hall != self.Hall })
		if len(far) == 1 {
			return far[0]
		}
	}
	t, _ := s.Members().NextPing(s.Random())
	return t
}

func (u *Upkeep) ping(ctx context.Context, target string, n control.Gossip) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	self := u.loop.View().Self
	got, err := u.peers.Ping(ctx, target, self.Addr, self.Hall, n)
	if err != nil {
		return false
	}
	u.loop.Post(func(s *control.State) { s.MergeGossip(got) })
	return true
}

func (u *Upkeep) pingVia(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*pingTimeout)
	defer cancel()
	via := u.others(ctx, helpers, func(m member.Member) bool { return m.Addr != target })
	for _, v := range via {
		if u.peers.PingVia(ctx, v, target) == nil {
			return true
		}
	}
	return false
}

// syncMembers compares everything with one daemon that is known, and with a few
// from the settings or the host list that are not. Lists are long and seldom
// differ, so that only digests are sent unless they do.
func (u *Upkeep) syncMembers(ctx context.Context) {
	next, _ := control.Ask(ctx, u.loop, func(s *control.State) comparison {
		targets := s.Members().RandomAlive(1, s.Random(), func(member.Member) bool { return true })
		return comparison{targets: append(targets, s.UnknownDaemons(u.bootstrap)...), digest: s.Digest()}
	})
	for _, t := range next.targets {
		u.syncWith(ctx, t, next.digest)
	}
}

// others returns at most n random daemons that ok takes.
func (u *Upkeep) others(ctx context.Context, n int, ok func(member.Member) bool) []string {
	as, _ := control.Ask(ctx, u.loop, func(s *control.State) []string {
		return s.Members().RandomAlive(n, s.Random(), ok)
	})
	return as
}

func (u *Upkeep) syncWith(ctx context.Context, target string, digest uint64) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	self := u.loop.View().Self.Addr
	got, same, err := u.peers.CompareDigest(ctx, target, self, digest)
	if err != nil {
		return
	}
	if same {
		u.loop.Post(func(s *control.State) { s.PeerInSync() })
		return
	}
	all, ok := control.Ask(ctx, u.loop, func(s *control.State) control.Gossip {
		s.MergeGossip(got)
		return s.AllRecords()
	})
	if !ok {
		return
	}
	_ = u.peers.PushRecords(ctx, target, self, all) // the next sync makes up for a lost one
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
