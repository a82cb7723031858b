package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/event"
)

const (
	// maxParts is the number of a prompt's parts that are considered, the first ones.
	maxParts = 16
	// maxPartIDBytes bounds the ID of a part.
	maxPartIDBytes = 64
	// partRate is the number of requests per second, from all hosts together, that are sent
	// with the same suspected parts, and firstPartRate the same after two crashes: most parts
	// that are suspected then only had bad luck.
	partRate, firstPartRate = 2, 8
	// partRateTTL is how long this host keeps to such a rate after it has asked for a grant.
	partRateTTL = time.Second
	// partPatience is the part of the time until its answer is late for which a call waits
	// until the parts of its prompt are cleared.
	partPatience = 0.5
	// partPollInterval is the interval at which a waiting call checks that.
	partPollInterval = 10 * time.Millisecond
	// partProofTime is how long a stream has to go on after its first event until its parts are
	// cleared: a fatal part ends the server within a tenth of that.
	partProofTime = time.Second
	// maxAnsweredParts bounds the parts that are remembered as answered; the set is dropped
	// beyond it.
	maxAnsweredParts = 4096
	// partResource is the prefix of the names under which parts share grants with servers.
	partResource = "part/"
)

// partGates holds which parts were answered, and when this host may ask again for a grant for a
// part. It is safe for concurrent use.
type partGates struct {
	mu       sync.Mutex
	answered map[quarantine.HeadHash]bool
	nextAsk  map[quarantine.HeadHash]time.Duration
}

func newPartGates() *partGates {
	return &partGates{answered: map[quarantine.HeadHash]bool{}, nextAsk: map[quarantine.HeadHash]time.Duration{}}
}

// setAnswered records that requests with the parts were answered.
func (p *partGates) setAnswered(ids []quarantine.Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.answered) > maxAnsweredParts {
		clear(p.answered)
	}
	for _, id := range ids {
		p.answered[id.HeadHash] = true
	}
}

func (p *partGates) wasAnswered(h quarantine.HeadHash) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered[h]
}

// mayAsk reports whether a grant may be asked for now. If so, no other call asks until
// askAgainAt is called.
func (p *partGates) mayAsk(h quarantine.HeadHash, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.nextAsk[h] {
		return false
	}
	p.nextAsk[h] = now + time.Second
	return true
}

func (p *partGates) askAgainAt(h quarantine.HeadHash, at, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, t := range p.nextAsk {
		if t < now {
			delete(p.nextAsk, other)
		}
	}
	p.nextAsk[h] = at
}

// WithParts sets the registry of parts of prompts under which servers crashed.
func WithParts(r *quarantine.Registry) Option { return func(g *Gateway) { g.parts = r } }

// SuspectsPart reports whether a rate-limited resource is a part of prompts that is suspected.
func (g *Gateway) SuspectsPart(resource string) bool {
	text, ok := strings.CutPrefix(resource, partResource)
	text, _, _ = strings.Cut(text, "/")
	var f quarantine.Fingerprint
	return ok && f.UnmarshalText([]byte(text)) == nil && g.parts.Stage(f) != quarantine.Clear
}

// parseSharedParts returns the IDs of the parts that a prompt may share with others: all but the
// last one, each once. It skips malformed ones.
func parseSharedParts(header string) []string {
	parts := strings.Split(header, ",")
	var ids []string
	for _, p := range parts[:len(parts)-1] {
		id, _, ok := strings.Cut(strings.TrimSpace(p), ":")
		if ok && id != "" && len(id) <= maxPartIDBytes && len(ids) < maxParts && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// partIdentities returns the identities of the parts that the call's prompt may share.
func (c *call) partIdentities() []quarantine.Identity {
	if c.partIDs == nil && len(c.parts) > 0 {
		for _, id := range c.parts {
			c.partIDs = append(c.partIDs, quarantine.PartIdentity(c.workspace.Name, id))
		}
	}
	return c.partIDs
}

// partStage returns how a call is treated by the suspected parts of its prompt.
func (g *Gateway) partStage(c *call) quarantine.PartStage {
	return g.parts.PartsStage(c.partIdentities(), g.partGates.wasAnswered, g.clock.Now())
}

// awaitParts waits while a part of the call's prompt is suspected, until an answer to another
// request has cleared it, or all hosts together may send one request with it. It returns a refusal
// if the part is blocked, or the call can't wait any longer.
func (g *Gateway) awaitParts(ctx context.Context, c *call) (quarantine.PartStage, *refusalResponse) {
	end := g.clock.Now() + time.Duration(partPatience*float64(c.route.Objective-time.Since(c.arrivedAt)))
	for {
		p := g.partStage(c)
		switch {
		case p.Stage < quarantine.Serialized, p.Stage == quarantine.Serialized && c.partGranted == p.Group:
			return p, nil
		case p.Stage == quarantine.Blocked:
			return p, g.refusePart(c, p)
		}
		now := g.clock.Now()
		if g.partGates.mayAsk(p.Group, now) {
			rate := float64(partRate)
			if p.Crashes <= 2 {
				rate = firstPartRate
			}
			resource := partResource + p.Part.Fingerprint.String() + "/" + p.Group.String()
			g.notices.SetCold(resource, rate, now+partRateTTL, now)
			ok, wait := g.takeGrant(ctx, backend.Server{ID: resource})
			g.partGates.askAgainAt(p.Group, g.clock.Now()+wait, now)
			g.metrics.Count("gateway_part_grants", 1, "granted", strconv.FormatBool(ok))
			if ok {
				c.partGranted = p.Group
				continue
			}
		}
		if g.clock.Now() >= end || pause.For(ctx, partPollInterval) != nil {
			return p, refuse(http.StatusServiceUnavailable, "prompt_part_suspected", isolationRetryAfter)
		}
	}
}

// refusePart refuses a call with a blocked part.
func (g *Gateway) refusePart(c *call, p quarantine.PartStage) *refusalResponse {
	_, age := g.parts.Lookup(p.Part.Fingerprint, g.clock.Now())
	g.log.Write(event.PartRefused, slog.String("id", c.id), slog.String("print", p.Part.Fingerprint.String()),
		slog.String("parts", strings.Join(c.parts, ",")), slog.String("workspace", c.workspace.Name),
		slog.Int("ended", p.Crashes), slog.Duration("evidence_age", age))
	return refuse(blockedStatus, "prompt_part_ends_servers", 0)
}

// refuseIfPartBlocked refuses a call with a blocked part before it is placed.
func (g *Gateway) refuseIfPartBlocked(c *call) *refusalResponse {
	if p := g.partStage(c); p.Stage == quarantine.Blocked {
		return g.refusePart(c, p)
	}
	return nil
}

// partsAllow reports whether a call may still be sent: its parts may have become suspected since it
// was placed.
func (g *Gateway) partsAllow(c *call) bool {
	p := g.partStage(c)
	return p.Stage < quarantine.Serialized || p.Stage == quarantine.Serialized && c.partGranted == p.Group
}

// recordPartCrash records a crash under the parts of a call's prompt. It reports whether one of
// them is suspected of it: then neither the request nor its workspace is.
func (g *Gateway) recordPartCrash(c *call, crash quarantine.Crash) bool {
	crash.Isolated = false
	for _, id := range c.partIdentities() {
		g.logPartChanges(ownReporter, g.parts.AddCrash(id, crash, g.clock.Now()))
	}
	return g.partStage(c).Stage >= quarantine.Serialized
}

// clearParts clears the parts of the prompt of a call that a server has answered.
func (g *Gateway) clearParts(c *call) {
	ids := c.partIdentities()
	if len(ids) == 0 {
		return
	}
	g.partGates.setAnswered(ids)
	cleared := false
	for _, id := range ids {
		if g.parts.MayContain(id.HeadHash) && g.parts.ClearAnswered(id.Fingerprint, g.clock.Now()) {
			cleared = true
			g.metrics.Count("gateway_parts", 1, "stage", quarantine.Clear.String())
		}
	}
	if cleared {
		g.suspectsChanged()
	}
}

// refuteCrash clears the parts that are suspected of having crashed a server which has answered
// since.
func (g *Gateway) refuteCrash(c *call, server backend.Server) {
	if g.parts.Refute(quarantine.ServerDigest(server.ID), c.sentAt, g.clock.Now()) {
		g.metrics.Count("gateway_parts", 1, "stage", "refuted")
		g.suspectsChanged()
	}
}

// isConfined reports whether the requests of a call's workspace are confined to one server, and
// whether they are paused. Crashes under a suspected part don't count, whoever sends that.
func (g *Gateway) isConfined(c *call) (confined, paused bool) {
	now := g.clock.Now()
	if confined, _ = g.quarantine.Confined(c.workspace.Name, now); !confined {
		return false, false
	}
	return g.quarantine.ConfinedExcept(c.workspace.Name, g.parts.CrashedServers(), now)
}

// MergeParts merges records of parts received from the host named reporter. It reports whether the
// stage of any has changed.
func (g *Gateway) MergeParts(reporter string, rs []quarantine.Record) bool {
	return g.mergeRecords(g.parts, reporter, rs, g.logPartChanges)
}

// logPartChanges logs and counts changes of the stages of parts. Suspicions that are cleared at
// once are only counted: each crash causes some.
func (g *Gateway) logPartChanges(reporter string, changes []quarantine.Change) {
	for _, change := range changes {
		g.metrics.Count("gateway_parts", 1, "stage", change.Stage.String())
		if change.Stage < quarantine.Serialized && !change.Removed {
			continue
		}
		g.log.Write(event.PartSuspected, slog.String("print", change.Record.Fingerprint.String()),
			slog.String("workspace", change.Record.Workspace), slog.String("stage", change.Stage.String()),
			slog.Int("ended", len(change.Record.Crashes)), slog.Bool("removed", change.Removed), slog.String("by", reporter))
	}
}
