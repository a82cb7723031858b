// Package news exchanges updates about placements and backend servers between hosts.
//
// A host sends an update to all other hosts of its cell for each placement, each first
// token, each end of a placement and each failure of a server. An update goes out in one
// datagram to each host or, in a large cell, in one datagram to a forwarder, which
// forwards it together with others (package broadcast). Delivery is unreliable: there
// are no acknowledgements and no retransmissions. A lost update makes some placements
// slightly worse until the placement expires, but never breaks a guarantee, so no
// request waits for delivery. This is why updates are not sent by gRPC. A host that starts is
// sent the placements that are running, by each host of the cell.
//
// # Usage
//
//	n, err := news.Listen(addr, scheduler, log, clock.Now)
//	n.SetRoutes(routes)
//	go n.Run()
//	n.SendPlacement(placement)
//	n.SendRunning(addrs, scheduler.OwnPlacements()) // to hosts that start
package news

import (
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"slipcrank.example/core/broadcast"
	"slipcrank.example/core/demand"
	"slipcrank.example/core/grant"
	"slipcrank.example/core/limit"
	"slipcrank.example/core/notice"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/reach"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
)

const (
	// maxDatagramBytes keeps a datagram within one packet on usual links; a placement
	// with 17 server names fits.
	maxDatagramBytes = 1400
	// lastReceivedRetention is how long the time of the last datagram from an address
	// is kept.
	lastReceivedRetention = time.Minute
	// maxSuspectsPerMessage makes a message fit into a datagram: a suspect takes some
	// 45 bytes, a workspace name of up to 64 bytes, and 13 bytes for each of up to 8
	// crashes.
	maxSuspectsPerMessage = 5
	// maxPartsPerMessage is the same for parts of prompts, which have up to 16 crashes.
	maxPartsPerMessage = 4
)

// Kinds of messages, as sent on the wire.
const (
	kindPlacement kind = 1
	kindStart     kind = 2
	kindEnd       kind = 3
	kindHeartbeat kind = 4
	kindFailure   kind = 5
	kindSuspects  kind = 6
	// kindGrantRequest asks another host for one request to a limited server, and
	// kindGrantReply grants or denies it.
	kindGrantRequest kind = 7
	kindGrantReply   kind = 8
	// kindLimit reports a changed limit of a server, kindLeaving a server that is about
	// to shut down.
	kindLimit   kind = 9
	kindLeaving kind = 10
	// kindSourceRequest asks a host for a source of the platform's tables, and
	// kindSourceReply names one.
	kindSourceRequest kind = 11
	kindSourceReply   kind = 12
	// kindRunning reports a placement that was made before the two hosts were in contact.
	kindRunning kind = 13
	// kindPath reports to which services' servers the sender has no path.
	kindPath kind = 14
	// kindRefusal reports a refused request.
	kindRefusal kind = 15
	// kindLoanRequest asks another host for a part of a retry, and kindLoanReply lends or
	// denies it.
	kindLoanRequest kind = 16
	kindLoanReply   kind = 17
	// kindParts reports parts of prompts under which servers crashed.
	kindParts kind = 18
)

type (
	kind uint8

	// Exchange sends this host's updates to other hosts, and applies the updates that
	// it receives to the scheduler. It is safe for concurrent use.
	Exchange struct {
		conn      *net.UDPConn
		scheduler *schedule.Scheduler
		log       *decision.Log
		routes    atomic.Pointer[broadcast.Routes]
		now       func() time.Duration
		lastSent  atomic.Int64 // time of the last update, in ns
		pending   pending
		suspects  func(host uint32, rs []quarantine.Record)
		parts     func(host uint32, rs []quarantine.Record)
		notices   NoticeHandlers
		joins     JoinHandlers
		paths     func(host uint32, lost []string)
		refusals  func(r demand.Refusal)
		loans     LoanHandlers

		placements func(p schedule.Placement)

		mu           sync.Mutex
		lastReceived map[netip.AddrPort]time.Duration
		silence      reach.Silence
	}

	// memoryShare is the number of a placement's KV cache tokens on one server.
	memoryShare struct {
		_      struct{} `cbor:",toarray"`
		Server string
		Tokens int
	}

	// message is one update. Its CBOR keys are numbers, which take a byte each.
	message struct {
		Kind        kind          `cbor:"1,keyasint"`
		Host        uint32        `cbor:"2,keyasint"`
		Number      uint32        `cbor:"3,keyasint"`
		Lead        string        `cbor:"4,keyasint,omitempty"`
		Helpers     []string      `cbor:"5,keyasint,omitempty"`
		Prompt      int           `cbor:"6,keyasint,omitempty"`
		Answer      int           `cbor:"7,keyasint,omitempty"`
		GapMS       int64         `cbor:"8,keyasint,omitempty"`
		FirstMS     int64         `cbor:"9,keyasint,omitempty"`
		ObjectiveMS int64         `cbor:"12,keyasint,omitempty"`
		Service     string        `cbor:"10,keyasint,omitempty"`
		Shares      []memoryShare `cbor:"11,keyasint,omitempty"`
		Workspace   uint32        `cbor:"13,keyasint,omitempty"`
		HeadHash    uint64        `cbor:"14,keyasint,omitempty"`
		Isolated    bool          `cbor:"15,keyasint,omitempty"`
		Retry       bool          `cbor:"26,keyasint,omitempty"`
		AgeMS       int64         `cbor:"31,keyasint,omitempty"`
		Decoding    bool          `cbor:"32,keyasint,omitempty"`
		Services    []string      `cbor:"33,keyasint,omitempty"`
		// Priority is one more than the operator's priority; 0 if the sender doesn't know it.
		Priority  int   `cbor:"34,keyasint,omitempty"`
		Returning bool  `cbor:"35,keyasint,omitempty"`
		LeftMS    int64 `cbor:"36,keyasint,omitempty"`
		WaitedMS  int64 `cbor:"37,keyasint,omitempty"`
		EngineMS  int64 `cbor:"38,keyasint,omitempty"`
		// Value is in thousandths, also that of a loan.
		Value   int64 `cbor:"39,keyasint,omitempty"`
		Counted bool  `cbor:"40,keyasint,omitempty"`

		Suspects []quarantine.Record `cbor:"16,keyasint,omitempty"`

		Hall         string  `cbor:"17,keyasint,omitempty"`
		Ping         bool    `cbor:"18,keyasint,omitempty"`
		LimitVersion uint64  `cbor:"19,keyasint,omitempty"`
		Limited      bool    `cbor:"20,keyasint,omitempty"`
		Rate         float64 `cbor:"21,keyasint,omitempty"`
		Granted      bool    `cbor:"22,keyasint,omitempty"`
		WaitMS       int64   `cbor:"23,keyasint,omitempty"`
		ColdRate     float64 `cbor:"24,keyasint,omitempty"`

		Source    string  `cbor:"25,keyasint,omitempty"`
		Name      string  `cbor:"27,keyasint,omitempty"`
		Link      float64 `cbor:"28,keyasint,omitempty"`
		Announce  bool    `cbor:"29,keyasint,omitempty"`
		Unreached bool    `cbor:"30,keyasint,omitempty"`
	}
)

// Listen opens a UDP socket on addr, an IPv4 address and port, and returns an exchange
// on it.
func Listen(addr string, s *schedule.Scheduler, l *decision.Log, now func() time.Duration) (*Exchange, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "parse listen address for updates of other hosts")
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "listen for updates of other hosts")
	}
	return New(c, s, l, now), nil
}

// New returns an exchange on an open socket.
func New(c *net.UDPConn, s *schedule.Scheduler, l *decision.Log, now func() time.Duration) *Exchange {
	n := &Exchange{
		conn: c, scheduler: s, log: l, now: now,
		lastReceived: map[netip.AddrPort]time.Duration{},
		silence:      reach.NewSilence(silenceBound),
		suspects:     func(uint32, []quarantine.Record) {},
		parts:        func(uint32, []quarantine.Record) {},
		paths:        func(uint32, []string) {},
		refusals:     func(demand.Refusal) {},
		placements:   func(schedule.Placement) {},
		joins: JoinHandlers{
			Refer:  func(netip.AddrPort, JoinRequest) string { return "" },
			Source: func(netip.AddrPort, string) {},
		},
		loans: LoanHandlers{
			Request: func(uint32, limit.LoanRequest) limit.LoanReply { return limit.LoanReply{} },
			Reply:   func(uint32, limit.LoanReply) {},
		},
		notices: NoticeHandlers{
			GrantRequest: func(uint32, grant.Request) grant.Reply { return grant.Reply{} },
			GrantReply:   func(uint32, grant.Reply) {},
			Limit:        func(uint32, string, notice.Limit) {},

			Leaving:   func(uint32, string) {},
			Placement: func(schedule.Placement) {},
		},
	}
	n.routes.Store(&broadcast.Routes{})
	n.lastSent.Store(-int64(HeartbeatInterval) - 1) // so that the first heartbeat is sent at once
	return n
}

// SetRoutes sets the hosts to which updates are sent. It must be called regularly, since
// it also drops the times of last datagrams after lastReceivedRetention.
func (n *Exchange) SetRoutes(r broadcast.Routes) {
	n.routes.Store(&r)
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, at := range n.lastReceived {
		if n.now()-at > lastReceivedRetention {
			delete(n.lastReceived, a)
		}
	}
}

// SetSuspectsHandler sets the function that is called with suspects received from
// another host. It must be called before Run.
func (n *Exchange) SetSuspectsHandler(f func(host uint32, rs []quarantine.Record)) { n.suspects = f }

// SetPartsHandler sets the function that is called with suspected parts of prompts received from
// another host. It must be called before Run.
func (n *Exchange) SetPartsHandler(f func(host uint32, rs []quarantine.Record)) { n.parts = f }

// SetPathHandler sets the function that is called with the services to whose servers
// another host has no path. It must be called before Run.
func (n *Exchange) SetPathHandler(f func(host uint32, lost []string)) { n.paths = f }

// SendPath reports to which services' servers this host has no path.
func (n *Exchange) SendPath(host uint32, lost []string) {
	n.send(message{Kind: kindPath, Host: host, Services: lost})
}

// Close closes the socket, which ends Run.
func (n *Exchange) Close() error { return n.conn.Close() }

// SendPlacement reports a new placement to other hosts.
func (n *Exchange) SendPlacement(p schedule.Placement) { n.send(placementMessage(kindPlacement, p)) }

// placementMessage returns a message about a placement.
func placementMessage(k kind, p schedule.Placement) message {
	var shares []memoryShare
	for _, s := range p.MemoryShares {
		shares = append(shares, memoryShare{Server: s.Server, Tokens: s.Tokens})
	}
	return message{
		Kind: k, Host: p.ID.Host, Number: p.ID.Number, Lead: p.Lead, Helpers: p.Helpers,
		Prompt: p.Work.Prompt, Answer: p.Work.Answer, GapMS: p.Gap.Milliseconds(),
		ObjectiveMS: p.Objective.Milliseconds(),
		FirstMS:     p.FirstToken.Milliseconds(), Service: p.Service, Shares: shares,
		Workspace: p.Workspace, HeadHash: p.HeadHash, Isolated: p.Isolated, Retry: p.Retry,
		Priority: p.Priority + 1, Returning: p.Returning, Counted: p.Counted,
	}
}

// placement returns the placement of a message that arrived at a time.
func (m message) placement(now time.Duration) schedule.Placement {
	var shares []schedule.MemoryShare
	for _, s := range m.Shares {
		shares = append(shares, schedule.MemoryShare{Server: s.Server, Tokens: s.Tokens})
	}
	return schedule.Placement{
		ID:      schedule.ID{Host: m.Host, Number: m.Number},
		Service: m.Service, Workspace: m.Workspace, Lead: m.Lead, Helpers: m.Helpers, MemoryShares: shares,
		Work:       schedule.Work{Prompt: m.Prompt, Answer: m.Answer},
		Gap:        time.Duration(m.GapMS) * time.Millisecond,
		Objective:  time.Duration(m.ObjectiveMS) * time.Millisecond,
		FirstToken: time.Duration(m.FirstMS) * time.Millisecond,
		PlacedAt:   now - time.Duration(m.AgeMS)*time.Millisecond,
		HeadHash:   m.HeadHash, Isolated: m.Isolated, Retry: m.Retry, Decoding: m.Decoding,
		Priority: max(m.Priority-1, -1), Returning: m.Returning, Counted: m.Counted,
	}
}

// SendRunning reports placements of this host that were made earlier to hosts that have just
// started. Those that end meanwhile are reported as ended once more, since the first report
// may arrive too early.
func (n *Exchange) SendRunning(to []netip.AddrPort, ps []schedule.Placement) {
	if len(to) == 0 || len(ps) == 0 {
		return
	}
	var ms []message
	for _, p := range ps {
		m := placementMessage(kindRunning, p)
		m.AgeMS, m.Decoding = (n.now() - p.PlacedAt).Milliseconds(), p.Decoding
		ms = append(ms, m)
	}
	n.sendAll(to, ms)
	running := map[schedule.ID]bool{}
	for _, p := range n.scheduler.OwnPlacements() {
		running[p.ID] = true
	}
	var ended []message
	for _, p := range ps {
		if !running[p.ID] {
			ended = append(ended, message{Kind: kindEnd, Host: p.ID.Host, Number: p.ID.Number})
		}
	}
	n.sendAll(to, ended)
}

// sendAll sends messages to hosts directly.
func (n *Exchange) sendAll(to []netip.AddrPort, ms []message) {
	d := datagram{Scope: forwardToNone}
	for _, m := range ms {
		b, err := cbor.Marshal(m)
		if err != nil {
			n.log.Write(event.UpdateLost, slog.String("error", err.Error()))
			continue
		}
		d.Messages = append(d.Messages, b)
	}
	n.transmit(d, to)
}

// SendStart reports that the prefill of a placement has ended.
func (n *Exchange) SendStart(id schedule.ID) {
	n.send(message{Kind: kindStart, Host: id.Host, Number: id.Number})
}

// SendEnd reports that a placement has ended.
func (n *Exchange) SendEnd(id schedule.ID) {
	n.send(message{Kind: kindEnd, Host: id.Host, Number: id.Number})
}

// SendFailure reports that a request of this host failed on a server.
func (n *Exchange) SendFailure(host uint32, server string) {
	n.send(message{Kind: kindFailure, Host: host, Lead: server})
}

// SendSuspects sends the records of suspects, in messages that each fit into a datagram.
func (n *Exchange) SendSuspects(host uint32, rs []quarantine.Record) {
	n.sendRecords(kindSuspects, host, rs, maxSuspectsPerMessage)
}

// SendParts sends the records of suspected parts of prompts likewise.
func (n *Exchange) SendParts(host uint32, rs []quarantine.Record) {
	n.sendRecords(kindParts, host, rs, maxPartsPerMessage)
}

func (n *Exchange) sendRecords(k kind, host uint32, rs []quarantine.Record, perMessage int) {
	for chunk := range slices.Chunk(rs, perMessage) {
		n.send(message{Kind: k, Host: host, Suspects: chunk})
	}
}

// send sends a message to the other hosts, directly or through forwarders.
func (n *Exchange) send(m message) {
	r := n.routes.Load()
	if r.Empty() {
		return
	}
	n.lastSent.Store(int64(n.now()))
	b, err := cbor.Marshal(m)
	if err != nil {
		n.log.Write(event.UpdateLost, slog.String("error", err.Error()))
		return
	}
	d := datagram{Scope: forwardToCell, Urgent: m.Kind == kindPlacement || m.Kind == kindSuspects || m.Kind == kindParts || m.Kind == kindLimit || m.Kind == kindLeaving || m.Kind == kindPath, Messages: []cbor.RawMessage{b}}
	switch {
	case len(r.Direct) > 0:
		d.Scope = forwardToNone
		n.transmit(d, r.Direct)
	case r.Forwarder.IsValid():
		n.transmit(d, []netip.AddrPort{r.Forwarder})
	default:
		n.forward(d)
	}
}

// SendHeartbeat reports that this host is alive, unless it has sent an update within
// [HeartbeatInterval].
func (n *Exchange) SendHeartbeat(host uint32) {
	if n.now()-time.Duration(n.lastSent.Load()) > HeartbeatInterval {
		n.send(message{Kind: kindHeartbeat, Host: host})
	}
}

// HeartbeatInterval is the time without updates after which a host sends a heartbeat. It
// is a third of the time after which other hosts consider it gone.
const HeartbeatInterval = 500 * time.Millisecond

// silenceBound is the time without a datagram of any other host after which this host was probably
// cut off from them.
const silenceBound = 3 * HeartbeatInterval

// SilentSince reports whether all other hosts were silent for a while at some time since the given
// one.
func (n *Exchange) SilentSince(since time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silence.Since(since, n.now())
}

// Run receives datagrams, forwards them and applies their messages, until the socket is
// closed.
func (n *Exchange) Run() {
	b := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Write(event.UpdateLost, slog.String("error", err.Error()))
			continue
		}
		var d datagram
		if err := cbor.Unmarshal(b[:size], &d); err != nil {
			n.log.Write(event.UpdateLost, slog.String("from", from.String()), slog.String("error", err.Error()))
			continue
		}
		n.recordReceived(from)
		n.forward(d)
		n.applyAll(d.Messages, from)
	}
}

// applyAll applies the messages of a datagram, and skips malformed ones.
func (n *Exchange) applyAll(ms []cbor.RawMessage, from netip.AddrPort) {
	for _, b := range ms {
		var m message
		if err := cbor.Unmarshal(b, &m); err != nil {
			n.log.Write(event.UpdateLost, slog.String("from", from.String()), slog.String("error", err.Error()))
			continue
		}
		n.apply(m, from)
	}
}

// apply applies a message of another host. It ignores this host's own messages, which
// forwarders send back, since the scheduler already has their content.
func (n *Exchange) apply(m message, from netip.AddrPort) {
	if m.Host == n.scheduler.Host() {
		if m.Kind == kindPlacement {
			n.scheduler.RecordReturn(schedule.ID{Host: m.Host, Number: m.Number}, n.now())
		}
		return
	}
	n.scheduler.RecordContact(m.Host, n.now())
	id := schedule.ID{Host: m.Host, Number: m.Number}
	switch m.Kind {
	case kindPlacement:
		p := m.placement(n.now())
		if n.scheduler.AddRemote(p) {
			n.placements(p)
		}
		n.notices.Placement(p)
	case kindRunning:
		n.scheduler.AddRunning(m.placement(n.now()))
	case kindStart:
		n.scheduler.RecordStart(id, n.now())
	case kindEnd:
		n.scheduler.RecordEnd(id)
	case kindFailure:
		n.scheduler.RecordRemoteFailure(m.Host, m.Lead, n.now())
	case kindPath:
		n.paths(m.Host, m.Services)
	case kindRefusal:
		n.applyRefusal(m, from)
	case kindSuspects:
		n.suspects(m.Host, m.Suspects)
	case kindParts:
		n.parts(m.Host, m.Suspects)
	case kindGrantRequest, kindGrantReply, kindLimit, kindLeaving:
		n.applyNotice(m, from)
	case kindSourceRequest, kindSourceReply:
		n.applyJoin(m, from)
	case kindLoanRequest, kindLoanReply:
		n.applyLoan(m, from)
	}
}
