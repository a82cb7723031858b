// Package news tells other hosts what is placed on backend servers, and hears
// it from them.
//
// Each placement, first token and end is told to every other host of the cell,
// and so is a failure of a server: by a datagram to each, or in a large cell by
// one to a forwarder, which passes it on with others. One that is lost costs a
// slightly worse choice until the placement is forgotten, and never a promise,
// so nothing is sent twice and nobody waits: that is why this isn't a call over
// gRPC.
//
// # Usage
//
//	n, err := news.Listen(addr, board, log)
//	n.SetRoutes(routes)
//	go n.Run()
//	n.Placed(placement)
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
	"slipcrank.example/core/grant"
	"slipcrank.example/core/notice"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
)

const (
	// maxDatagram stays within one packet of usual links; 17 servers' names fit.
	maxDatagram = 1400
	// heardTime is for how long it is known when an address was heard.
	heardTime = time.Minute
	// suspectsPerMessage fits into a datagram: of each there are some 45 bytes,
	// its workspace's name of up to 64, and 13 bytes for each of up to 8 ends.
	suspectsPerMessage = 5
)

// What a message tells.
const (
	placed  kind = 1
	started kind = 2
	ended   kind = 3
	alive   kind = 4
	failed  kind = 5
	suspect kind = 6
	// A host asks another for a request to a limited server, which grants it or not;
	// and it tells all that a server names another limit, or says that it leaves.
	asked   kind = 7
	granted kind = 8
	limited kind = 9
	leaves  kind = 10
)

type (
	kind uint8

	// Exchange sends and receives. It is safe for use by many goroutines.
	Exchange struct {
		conn     *net.UDPConn
		board    *schedule.Scheduler
		log      *decision.Log
		routes   atomic.Pointer[broadcast.Routes]
		now      func() time.Duration
		told     atomic.Int64 // when something was sent last
		gathered gathered
		suspects func(host uint32, rs []quarantine.Record)
		notices  NoticeHandlers

		mu    sync.Mutex
		heard map[netip.AddrPort]time.Duration
	}

	share struct {
		_      struct{} `cbor:",toarray"`
		Server string
		Tokens int
	}

	// message is one datagram. Keys are numbers, since each costs a byte.
	message struct {
		Kind        kind     `cbor:"1,keyasint"`
		Host        uint32   `cbor:"2,keyasint"`
		Number      uint32   `cbor:"3,keyasint"`
		Lead        string   `cbor:"4,keyasint,omitempty"`
		Helpers     []string `cbor:"5,keyasint,omitempty"`
		Prompt      int      `cbor:"6,keyasint,omitempty"`
		Answer      int      `cbor:"7,keyasint,omitempty"`
		GapMS       int64    `cbor:"8,keyasint,omitempty"`
		FirstMS     int64    `cbor:"9,keyasint,omitempty"`
		ObjectiveMS int64    `cbor:"12,keyasint,omitempty"`
		Service     string   `cbor:"10,keyasint,omitempty"`
		Shares      []share  `cbor:"11,keyasint,omitempty"`
		Workspace   uint32   `cbor:"13,keyasint,omitempty"`
		Mark        uint64   `cbor:"14,keyasint,omitempty"`
		Apart       bool     `cbor:"15,keyasint,omitempty"`

		Suspects []quarantine.Record `cbor:"16,keyasint,omitempty"`

		Hall         string  `cbor:"17,keyasint,omitempty"`
		Ping         bool    `cbor:"18,keyasint,omitempty"`
		LimitVersion uint64  `cbor:"19,keyasint,omitempty"`
		Limited      bool    `cbor:"20,keyasint,omitempty"`
		Rate         float64 `cbor:"21,keyasint,omitempty"`
		Granted      bool    `cbor:"22,keyasint,omitempty"`
		WaitMS       int64   `cbor:"23,keyasint,omitempty"`
	}
)

// Listen opens the socket.
func Listen(addr string, b *schedule.Scheduler, l *decision.Log, now func() time.Duration) (*Exchange, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "address for news")
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "listen for news")
	}
	return New(c, b, l, now), nil
}

// New returns news on an open socket.
func New(c *net.UDPConn, b *schedule.Scheduler, l *decision.Log, now func() time.Duration) *Exchange {
	n := &Exchange{
		conn: c, board: b, log: l, now: now,
		heard:    map[netip.AddrPort]time.Duration{},
		suspects: func(uint32, []quarantine.Record) {},
		notices: NoticeHandlers{
			GrantRequest: func(uint32, grant.Request) grant.Reply { return grant.Reply{} },
			GrantReply:   func(uint32, grant.Reply) {},
			Limit:        func(uint32, string, notice.Limit) {},

			Leaving:   func(uint32, string) {},
			Placement: func(string) {},
		},
	}
	n.routes.Store(&broadcast.Routes{})
	return n
}

// SetRoutes sets who is told. It is called again and again, and forgets when
// addresses were heard long ago.
func (n *Exchange) SetRoutes(r broadcast.Routes) {
	n.routes.Store(&r)
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, at := range n.heard {
		if n.now()-at > heardTime {
			delete(n.heard, a)
		}
	}
}

// SetSuspectsHandler sets who takes in what other hosts tell of suspects. It is called
// before Run.
func (n *Exchange) SetSuspectsHandler(f func(host uint32, rs []quarantine.Record)) { n.suspects = f }

// Close ends Run.
func (n *Exchange) Close() error { return n.conn.Close() }

// SendPlacement tells of a new placement.
func (n *Exchange) SendPlacement(p schedule.Placement) {
	var shares []share
	for _, s := range p.MemoryShares {
		shares = append(shares, share{Server: s.Server, Tokens: s.Tokens})
	}
	n.send(message{
		Kind: placed, Host: p.ID.Host, Number: p.ID.Number, Lead: p.Lead, Helpers: p.Helpers,
		Prompt: p.Work.Prompt, Answer: p.Work.Answer, GapMS: p.Gap.Milliseconds(),
		ObjectiveMS: p.Objective.Milliseconds(),
		FirstMS:     p.FirstToken.Milliseconds(), Service: p.Service, Shares: shares,
		Workspace: p.Workspace, Mark: p.Fingerprint, Apart: p.Isolated,
	})
}

// SendStart tells that the prompt of a placement has been read.
func (n *Exchange) SendStart(id schedule.ID) {
	n.send(message{Kind: started, Host: id.Host, Number: id.Number})
}

// SendEnd tells that a placement is over.
func (n *Exchange) SendEnd(id schedule.ID) {
	n.send(message{Kind: ended, Host: id.Host, Number: id.Number})
}

// SendFailure tells that a server has failed this host.
func (n *Exchange) SendFailure(host uint32, server string) {
	n.send(message{Kind: failed, Host: host, Lead: server})
}

// SendSuspects tells of requests under which servers ended, in messages that each fit
// into a datagram.
func (n *Exchange) SendSuspects(host uint32, rs []quarantine.Record) {
	for part := range slices.Chunk(rs, suspectsPerMessage) {
		n.send(message{Kind: suspect, Host: host, Suspects: part})
	}
}

func (n *Exchange) send(m message) {
	n.told.Store(int64(n.now()))
	b, err := cbor.Marshal(m)
	if err != nil {
		n.log.Write(event.NewsLost, slog.String("error", err.Error()))
		return
	}
	d := datagram{Reach: toCell, Urgent: m.Kind == placed || m.Kind == suspect || m.Kind == limited || m.Kind == leaves, Messages: []cbor.RawMessage{b}}
	switch r := n.routes.Load(); {
	case len(r.Direct) > 0:
		d.Reach = toNobody
		n.transmit(d, r.Direct)
	case r.Forwarder.IsValid():
		n.transmit(d, []netip.AddrPort{r.Forwarder})
	default:
		n.pass(d)
	}
}

// SendHeartbeat tells that this host is there, if it has told nothing for a while.
func (n *Exchange) SendHeartbeat(host uint32) {
	if n.now()-time.Duration(n.told.Load()) > HeartbeatInterval {
		n.send(message{Kind: alive, Host: host})
	}
}

// HeartbeatInterval is how long a host may have no news before it tells that it is
// there. A third of the time after which others take it for gone.
const HeartbeatInterval = 500 * time.Millisecond

// Run takes in what others tell until the socket is closed.
func (n *Exchange) Run() {
	b := make([]byte, maxDatagram)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Write(event.NewsLost, slog.String("error", err.Error()))
			continue
		}
		var d datagram
		if err := cbor.Unmarshal(b[:size], &d); err != nil {
			n.log.Write(event.NewsLost, slog.String("from", from.String()), slog.String("error", err.Error()))
			continue
		}
		n.note(from)
		n.pass(d)
		n.takeAll(d.Messages, from)
	}
}

// takeAll takes in messages. One that can't be read is left out.
func (n *Exchange) takeAll(ms []cbor.RawMessage, from netip.AddrPort) {
	for _, b := range ms {
		var m message
		if err := cbor.Unmarshal(b, &m); err != nil {
			n.log.Write(event.NewsLost, slog.String("from", from.String()), slog.String("error", err.Error()))
			continue
		}
		n.take(m, from)
	}
}

// take takes in a message, but for this host's own: forwarders pass those back
// too, and its board has heard of them before.
func (n *Exchange) take(m message, from netip.AddrPort) {
	if m.Host == n.board.Host() {
		return
	}
	n.board.RecordContact(m.Host, n.now())
	id := schedule.ID{Host: m.Host, Number: m.Number}
	switch m.Kind {
	case placed:
		var shares []schedule.MemoryShare
		for _, s := range m.Shares {
			shares = append(shares, schedule.MemoryShare{Server: s.Server, Tokens: s.Tokens})
		}
		n.board.AddRemote(schedule.Placement{
			ID: id, Service: m.Service, Workspace: m.Workspace, Lead: m.Lead, Helpers: m.Helpers, MemoryShares: shares,
			Work:        schedule.Work{Prompt: m.Prompt, Answer: m.Answer},
			Gap:         time.Duration(m.GapMS) * time.Millisecond,
			Objective:   time.Duration(m.ObjectiveMS) * time.Millisecond,
			FirstToken:  time.Duration(m.FirstMS) * time.Millisecond,
			PlacedAt:    n.now(),
			Fingerprint: m.Mark, Isolated: m.Apart,
		})
		n.notices.Placement(m.Lead)
	case started:
		n.board.RecordStart(id, n.now())
	case ended:
		n.board.RecordEnd(id)
	case failed:
		n.board.RecordRemoteFailure(m.Host, m.Lead, n.now())
	case suspect:
		n.suspects(m.Host, m.Suspects)
	case asked, granted, limited, leaves:
		n.takeNotice(m, from)
	}
}
