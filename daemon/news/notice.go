package news

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"slipcrank.example/core/grant"
	"slipcrank.example/core/notice"
	"slipcrank.example/daemon/event"
)

// NoticeHandlers are who takes in what other hosts ask and tell of what servers have said, with
// the number of the host that does.
type NoticeHandlers struct {
	// GrantRequest answers a question.
	GrantRequest func(host uint32, q grant.Request) grant.Reply
	// GrantReply takes in an answer.
	GrantReply func(host uint32, r grant.Reply)
	// Limit takes in that a server names another limit.
	Limit func(host uint32, server string, l notice.Limit)
	// Leaving takes in that a server says it leaves.
	Leaving func(host uint32, server string)
	// Placement takes in that a host sends a request to a server.
	Placement func(server string)
}

// SetNoticeHandlers sets who takes that in. It is called before Run.
func (n *Exchange) SetNoticeHandlers(t NoticeHandlers) { n.notices = t }

// SendGrantRequest asks one host for a request to a limited server.
func (n *Exchange) SendGrantRequest(to netip.AddrPort, q grant.Request) {
	n.sendTo(to, message{Kind: asked, Number: q.ID, Lead: q.Server, Hall: q.Hall, Ping: q.Ping}.withLimit(q.Limit))
}

// SendLimit tells others that a server names another limit.
func (n *Exchange) SendLimit(host uint32, server string, l notice.Limit) {
	n.send(message{Kind: limited, Host: host, Lead: server}.withLimit(l))
}

// SendLeaving tells others that a server says it leaves.
func (n *Exchange) SendLeaving(host uint32, server string) {
	n.send(message{Kind: leaves, Host: host, Lead: server})
}

// takeNotice takes in a message about what a server has said.
func (n *Exchange) takeNotice(m message, from netip.AddrPort) {
	l := notice.Limit{Version: m.LimitVersion, Limited: m.Limited, Rate: m.Rate}
	if err := l.Validate(); err != nil {
		n.log.Write(event.NewsLost, slog.String("from", from.String()), slog.String("error", err.Error()))
		return
	}
	switch m.Kind {
	case asked:
		r := n.notices.GrantRequest(m.Host, grant.Request{ID: m.Number, Server: m.Lead, Hall: m.Hall, Limit: l, Ping: m.Ping})
		n.sendTo(from, message{
			Kind: granted, Number: r.ID, Lead: r.Server, Granted: r.Granted, WaitMS: (r.Wait + time.Millisecond - 1).Milliseconds(),
		}.withLimit(r.Limit))
	case granted:
		n.notices.GrantReply(m.Host, grant.Reply{
			ID: m.Number, Server: m.Lead, Limit: l, Granted: m.Granted,
			Wait: time.Duration(m.WaitMS) * time.Millisecond,
		})
	case limited:
		n.notices.Limit(m.Host, m.Lead, l)
	case leaves:
		n.notices.Leaving(m.Host, m.Lead)
	}
}

// withLimit returns the message with a server's limit.
func (m message) withLimit(l notice.Limit) message {
	m.LimitVersion, m.Limited, m.Rate = l.Version, l.Limited, l.Rate
	return m
}

// sendTo tells one host alone.
func (n *Exchange) sendTo(to netip.AddrPort, m message) {
	m.Host = n.board.Host()
	b, err := cbor.Marshal(m)
	if err != nil {
		n.log.Write(event.NewsLost, slog.String("error", err.Error()))
		return
	}
	n.transmit(datagram{Reach: toNobody, Messages: []cbor.RawMessage{b}}, []netip.AddrPort{to})
}
