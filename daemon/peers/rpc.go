package peers

import (
	"context"
	"time"

	"slipcrank.example/core/claim"
	"slipcrank.example/core/group"
	"slipcrank.example/core/placement"
	"slipcrank.example/core/route"
	"slipcrank.example/core/store"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/control"
	"slipcrank.example/peer/wire"
)

// Ping sends a heartbeat with records to a daemon, and returns the records that
// the daemon attached to its reply. From and hall are those of the caller.
func (c *Client) Ping(ctx context.Context, addr, from, hall string, g control.Gossip) (control.Gossip, error) {
	p, err := c.peer(addr)
	if err != nil {
		return control.Gossip{}, err
	}
	r, err := p.Ping(ctx, &wire.PingRequest{From: from, Hall: hall, News: gossipToWire(g)})
	return gossipFromWire(r.GetNews()), err
}

// PingVia asks the daemon at addr to ping the daemon at target. It returns an
// error if target does not answer.
func (c *Client) PingVia(ctx context.Context, addr, target string) error {
	p, err := c.peer(addr)
	if err != nil {
		return err
	}
	_, err = p.PingVia(ctx, &wire.PingViaRequest{Target: target})
	return err
}

// CompareDigest reports whether the records of a daemon have the given digest.
// If not, it returns all records of that daemon.
func (c *Client) CompareDigest(ctx context.Context, addr, from string, digest uint64) (control.Gossip, bool, error) {
	p, err := c.peer(addr)
	if err != nil {
		return control.Gossip{}, false, err
	}
	r, err := p.Sync(ctx, &wire.SyncRequest{From: from, Digest: digest})
	return gossipFromWire(r.GetNews()), r.GetSame(), err
}

// PushRecords sends records to a daemon, which merges them with its own.
func (c *Client) PushRecords(ctx context.Context, addr, from string, g control.Gossip) error {
	p, err := c.peer(addr)
	if err != nil {
		return err
	}
	_, err = p.Sync(ctx, &wire.SyncRequest{From: from, News: gossipToWire(g)})
	return err
}

// Changes returns the template changes that a daemon has after the given number,
// or a snapshot of its templates if it no longer has all of those changes. The
// update is empty if there are none.
func (c *Client) Changes(ctx context.Context, addr string, after uint64) (template.Update, error) {
	p, err := c.peer(addr)
	if err != nil {
		return template.Update{}, err
	}
	r, err := p.Changes(ctx, &wire.ChangesRequest{After: after})
	if err != nil {
		return template.Update{}, err
	}
	if len(r.GetSnapshot()) > 0 {
		ts, err := decode[template.Template](r.GetSnapshot())
		if err != nil {
			return template.Update{}, err
		}
		return template.Update{Snapshot: template.NewSetAt(r.GetNumber(), ts)}, nil
	}
	cs, err := decode[template.Change](r.GetChanges())
	return template.Update{Changes: cs}, err
}

// Bid returns the offers for q of the engines that a daemon owns.
func (c *Client) Bid(ctx context.Context, addr string, q route.Prompt) ([]route.Offer, error) {
	p, err := c.peer(addr)
	if err != nil {
		return nil, err
	}
	r, err := p.Bid(ctx, &wire.BidRequest{Prompt: promptToWire(q, time.Now())})
	if err != nil {
		return nil, err
	}
	os := make([]route.Offer, len(r.GetOffers()))
	for i, o := range r.GetOffers() {
		os[i] = offerFromWire(o)
	}
	return os, nil
}

// Place records the placement of an attempt with the owner of the engine that
// made offer o. If the owner refuses the placement, Place returns the engine's
// current offer and false.
func (c *Client) Place(ctx context.Context, addr, attempt string, o route.Offer, q route.Prompt) (route.Offer, bool, error) {
	p, err := c.peer(addr)
	if err != nil {
		return route.Offer{}, false, err
	}
	r, err := p.Place(ctx, &wire.PlaceRequest{
		Attempt:     attempt,
		Addr:        o.Addr,
		Incarnation: o.Incarnation,
		Prompt:      promptToWire(q, time.Now()),
		ExpectedMs:  uint32(o.TimeToFirstToken().Milliseconds()),
	})
	if err != nil {
		return route.Offer{}, false, err
	}
	return offerFromWire(r.GetOffer()), r.GetPlaced(), nil
}

// Finish reports the end of an attempt to the owner of its engine. FirstToken is
// the attempt's time to first token; failed means that the engine aborted the
// attempt or could not be reached.
func (c *Client) Finish(ctx context.Context, addr, attempt, engine string, firstToken time.Duration, failed bool) error {
	p, err := c.peer(addr)
	if err != nil {
		return err
	}
	_, err = p.Finish(ctx, &wire.FinishRequest{
		Attempt:      attempt,
		Addr:         engine,
		FirstTokenMs: uint32(firstToken.Milliseconds()),
		Failed:       failed,
	})
	return err
}

// Await adds the group id to the queue for the memory of an engine, or removes
// it if leave is set, at the engine's owner. It returns whether a more urgent
// group waits too, and the engine's free and total memory.
func (c *Client) Await(ctx context.Context, addr, engine, id string, priority int64, leave bool) (group.WaitStatus, error) {
	p, err := c.peer(addr)
	if err != nil {
		return group.WaitStatus{}, err
	}
	r, err := p.Await(ctx, &wire.AwaitRequest{Addr: engine, Id: id, Priority: priority, Leave: leave})
	return group.WaitStatus{Outranked: r.GetAhead(), Free: int(r.GetFreeTokens()), Total: int(r.GetTotalTokens())}, err
}

// Demand returns the demand of a daemon's callers.
func (c *Client) Demand(ctx context.Context, addr string) (placement.Demand, error) {
	p, err := c.peer(addr)
	if err != nil {
		return nil, err
	}
	r, err := p.Demand(ctx, &wire.DemandRequest{})
	return demandFromWire(r.GetDemands()), err
}

// Claim writes one claim row through the batcher of a daemon, and returns the
// result and the version of the row. If the call fails, the result is
// [claim.Unknown], since the row may have been written.
func (c *Client) Claim(ctx context.Context, addr string, w store.Write) (claim.Result, uint64) {
	p, err := c.peer(addr)
	if err != nil {
		return claim.Unknown, 0
	}
	r, err := p.Claim(ctx, &wire.ClaimRequest{
		Key:        w.Key,
		Value:      w.Value,
		Expect:     w.Expect,
		TtlSeconds: uint32(w.TTL / time.Second),
	})
	if err != nil {
		return claim.Unknown, 0
	}
	return claim.Result(min(r.GetResult(), uint32(claim.Unknown))), r.GetVersion()
}
