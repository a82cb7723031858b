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

// Ping exchanges news with a daemon.
func (c *Client) Ping(ctx context.Context, addr, from, hall string, n control.Gossip) (control.Gossip, error) {
	p, err := c.peer(addr)
	if err != nil {
		return control.Gossip{}, err
	}
	r, err := p.Ping(ctx, &wire.PingRequest{From: from, Hall: hall, News: newsToWire(n)})
	return newsFromWire(r.GetNews()), err
}

// PingVia asks a daemon to ping another one.
func (c *Client) PingVia(ctx context.Context, addr, target string) error {
	p, err := c.peer(addr)
	if err != nil {
		return err
	}
	_, err = p.PingVia(ctx, &wire.PingViaRequest{Target: target})
	return err
}

// CompareDigest asks a daemon whether its records have the same digest. If not, it
// returns all that the daemon has.
func (c *Client) CompareDigest(ctx context.Context, addr, from string, digest uint64) (control.Gossip, bool, error) {
	p, err := c.peer(addr)
	if err != nil {
		return control.Gossip{}, false, err
	}
	r, err := p.Sync(ctx, &wire.SyncRequest{From: from, Digest: digest})
	return newsFromWire(r.GetNews()), r.GetSame(), err
}

// PushRecords gives a daemon all records.
func (c *Client) PushRecords(ctx context.Context, addr, from string, n control.Gossip) error {
	p, err := c.peer(addr)
	if err != nil {
		return err
	}
	_, err = p.Sync(ctx, &wire.SyncRequest{From: from, News: newsToWire(n)})
	return err
}

// Changes returns what a daemon has beyond change number after.
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

// Bid asks an owner for offers.
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

// Place records a placement with an owner. It reports false, with the present
// offer, if the owner refused it.
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

// Finish tells an owner that an attempt has ended.
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

// Await tells the owner of an engine that a group waits for memory there, or
// that it waits no longer, and reports whether a more urgent one waits too.
func (c *Client) Await(ctx context.Context, addr, engine, id string, priority int64, leave bool) (group.WaitStatus, error) {
	p, err := c.peer(addr)
	if err != nil {
		return group.WaitStatus{}, err
	}
	r, err := p.Await(ctx, &wire.AwaitRequest{Addr: engine, Id: id, Priority: priority, Leave: leave})
	return group.WaitStatus{Outranked: r.GetAhead(), Free: int(r.GetFreeTokens()), Total: int(r.GetTotalTokens())}, err
}

// Demand asks a daemon what its callers ask for.
func (c *Client) Demand(ctx context.Context, addr string) (placement.Demand, error) {
	p, err := c.peer(addr)
	if err != nil {
		return nil, err
	}
	r, err := p.Demand(ctx, &wire.DemandRequest{})
	return demandFromWire(r.GetDemands()), err
}

// Claim writes one claim row through the batcher on a daemon.
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
