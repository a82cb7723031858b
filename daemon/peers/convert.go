package peers

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/directory"
	"slipcrank.example/core/member"
	"slipcrank.example/core/placement"
	"slipcrank.example/core/prefix"
	"slipcrank.example/core/route"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/control"
	"slipcrank.example/peer/wire"
)

const permille = 1000

func membersToWire(ms []member.Member) []*wire.Member {
	out := make([]*wire.Member, len(ms))
	for i, m := range ms {
		out[i] = &wire.Member{
			Addr:        m.Addr,
			Hall:        m.Hall,
			Incarnation: m.Incarnation,
			Revision:    m.Revision,
			Status:      uint32(m.Status),
		}
	}
	return out
}

func membersFromWire(ws []*wire.Member) []member.Member {
	out := make([]member.Member, len(ws))
	for i, w := range ws {
		out[i] = member.Member{
			Addr:        w.GetAddr(),
			Hall:        w.GetHall(),
			Incarnation: w.GetIncarnation(),
			Revision:    w.GetRevision(),
			Status:      member.Status(min(w.GetStatus(), uint32(member.Dead))),
		}
	}
	return out
}

func enginesToWire(es []directory.Engine) []*wire.Engine {
	out := make([]*wire.Engine, len(es))
	for i, e := range es {
		cs := make([]*wire.Copy, len(e.Copies))
		for j, c := range e.Copies {
			cs[j] = &wire.Copy{Model: c.Model, Version: c.Version}
		}
		out[i] = &wire.Engine{
			Addr:        e.Addr,
			Hall:        e.Hall,
			Incarnation: e.Incarnation,
			Revision:    e.Revision,
			Copies:      cs,
			Role:        e.Role,
			Status:      uint32(e.Status),
			TotalTokens: uint32(e.TotalTokens),
		}
	}
	return out
}

func enginesFromWire(ws []*wire.Engine) []directory.Engine {
	out := make([]directory.Engine, len(ws))
	for i, w := range ws {
		var cs []directory.Copy
		for _, c := range w.GetCopies() {
			cs = append(cs, directory.Copy{Model: c.GetModel(), Version: c.GetVersion()})
		}
		out[i] = directory.Engine{
			Addr:        w.GetAddr(),
			Hall:        w.GetHall(),
			Incarnation: w.GetIncarnation(),
			Revision:    w.GetRevision(),
			Copies:      cs,
			Role:        w.GetRole(),
			Status:      directory.Status(min(w.GetStatus(), uint32(directory.Down))),
			TotalTokens: int(w.GetTotalTokens()),
		}
	}
	return out
}

func promptToWire(p route.Prompt, now time.Time) *wire.Prompt {
	w := &wire.Prompt{
		Workspace:     p.Workspace,
		SharePermille: uint32(p.Share * permille),
		Model:         p.Model,
		Version:       p.Version,
		Tokens:        uint32(p.Tokens),
		MaxTokens:     uint32(p.MaxTokens),
		Priority:      p.Priority,
		Reserved:      p.Reserved,
		BudgetMs:      uint32(max(0, p.Deadline.Sub(now).Milliseconds())),
	}
	for _, h := range p.PrefixHashes {
		w.Marks = append(w.Marks, h.Hash)
		w.Blocks = uint32(h.Blocks) // the last prefix is the longest
	}
	return w
}

func promptFromWire(w *wire.Prompt, now time.Time) route.Prompt {
	p := route.Prompt{
		Workspace: w.GetWorkspace(),
		Share:     float64(w.GetSharePermille()) / permille,
		Model:     w.GetModel(),
		Version:   w.GetVersion(),
		Tokens:    int(w.GetTokens()),
		MaxTokens: int(w.GetMaxTokens()),
		Priority:  w.GetPriority(),
		Reserved:  w.GetReserved(),
		Deadline:  now.Add(time.Duration(w.GetBudgetMs()) * time.Millisecond),
	}
	hashes := w.GetMarks()
	for i, n := range prefix.LookupLengths(int(w.GetBlocks())) {
		if i < len(hashes) {
			p.PrefixHashes = append(p.PrefixHashes, route.PrefixHash{Blocks: n, Hash: hashes[i]})
		}
	}
	return p
}

func offerToWire(o route.Offer) *wire.Offer {
	return &wire.Offer{
		Addr:         o.Addr,
		Incarnation:  o.Incarnation,
		WaitMs:       uint32(o.Wait.Milliseconds()),
		PrefillMs:    uint32(o.Prefill.Milliseconds()),
		BehindMs:     uint32(o.FairnessDelay.Milliseconds()),
		DisplacedMs:  uint32(o.Displaced.Milliseconds()),
		CachedTokens: uint32(o.Cached),
		Fits:         o.Fits,
		Ejected:      o.Ejected,
		Held:         o.BlockedByGroup,
	}
}

func offerFromWire(w *wire.Offer) route.Offer {
	return route.Offer{
		Addr:           w.GetAddr(),
		Incarnation:    w.GetIncarnation(),
		Wait:           time.Duration(w.GetWaitMs()) * time.Millisecond,
		Prefill:        time.Duration(w.GetPrefillMs()) * time.Millisecond,
		FairnessDelay:  time.Duration(w.GetBehindMs()) * time.Millisecond,
		Displaced:      time.Duration(w.GetDisplacedMs()) * time.Millisecond,
		Cached:         int(w.GetCachedTokens()),
		Fits:           w.GetFits(),
		Ejected:        w.GetEjected(),
		BlockedByGroup: w.GetHeld(),
	}
}

func changesToWire(cs []template.Change) ([][]byte, error) {
	out := make([][]byte, len(cs))
	for i, c := range cs {
		b, err := json.Marshal(c)
		if err != nil {
			return nil, err
		}
		out[i] = b
	}
	return out, nil
}

func templatesToWire(ts []template.Template) ([][]byte, error) {
	out := make([][]byte, len(ts))
	for i, t := range ts {
		b, err := json.Marshal(t)
		if err != nil {
			return nil, err
		}
		out[i] = b
	}
	return out, nil
}

func gossipToWire(g control.Gossip) *wire.News {
	return &wire.News{
		Members:        membersToWire(g.Members),
		Engines:        enginesToWire(g.Engines),
		TemplateNumber: g.TemplateNumber,
	}
}

func gossipFromWire(w *wire.News) control.Gossip {
	return control.Gossip{
		Members:        membersFromWire(w.GetMembers()),
		Engines:        enginesFromWire(w.GetEngines()),
		TemplateNumber: w.GetTemplateNumber(),
	}
}

// decode decodes templates or changes, each of which is sent as JSON.
func decode[T any](bs [][]byte) ([]T, error) {
	out := make([]T, len(bs))
	for i, b := range bs {
		if err := json.Unmarshal(b, &out[i]); err != nil {
			return nil, errors.Wrap(err, "decode templates from another daemon")
		}
	}
	return out, nil
}

func demandToWire(d placement.Demand) []*wire.CopyDemand {
	out := make([]*wire.CopyDemand, 0, len(d))
	for c, rate := range d {
		out = append(out, &wire.CopyDemand{Copy: &wire.Copy{Model: c.Model, Version: c.Version}, TokensPerSecond: float32(rate)})
	}
	return out
}

func demandFromWire(ws []*wire.CopyDemand) placement.Demand {
	out := make(placement.Demand, len(ws))
	for _, w := range ws {
		c := directory.Copy{Model: w.GetCopy().GetModel(), Version: w.GetCopy().GetVersion()}
		out[c] = max(0, float64(w.GetTokensPerSecond()))
	}
	return out
}
