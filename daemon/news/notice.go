package news

import (
	"cmp"
	"log/slog"
	"net/netip"
	"time"

	"slipcrank.example/core/grant"
	"slipcrank.example/core/notice"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/event"
)

// NoticeHandlers are called with the messages of other hosts about rate-limited and
// leaving servers. The argument host is the number of the sending host.
type NoticeHandlers struct {
	// GrantRequest returns the reply to a grant request.
	GrantRequest func(host uint32, r grant.Request) grant.Reply
	// GrantReply handles the reply to a grant request of this host.
	GrantReply func(host uint32, r grant.Reply)
	// Limit handles a changed limit of a server.
	Limit func(host uint32, server string, l notice.Limit)
	// Leaving handles the report that a server is about to shut down.
	Leaving func(host uint32, server string)
	// Placement handles a placement.
	Placement func(p schedule.Placement)
}

// SetNoticeHandlers sets the handlers. It must be called before Run.
func (n *Exchange) SetNoticeHandlers(h NoticeHandlers) { n.notices = h }

// SendGrantRequest asks the host at an address to grant one request to a limited server.
func (n *Exchange) SendGrantRequest(to netip.AddrPort, r grant.Request) {
	n.sendTo(to, message{Kind: kindGrantRequest, Number: r.ID, Lead: r.Server, Hall: r.Hall, Ping: r.Ping, ColdRate: r.ColdRate}.withLimit(r.Limit))
}

// SendLimit reports a changed limit of a server to other hosts.
func (n *Exchange) SendLimit(host uint32, server string, l notice.Limit) {
	n.send(message{Kind: kindLimit, Host: host, Lead: server}.withLimit(l))
}

// SendLeaving reports to other hosts that a server is about to shut down.
func (n *Exchange) SendLeaving(host uint32, server string) {
	n.send(message{Kind: kindLeaving, Host: host, Lead: server})
}

// applyNotice passes a message about a limited or leaving server to its handler, and
// replies to a grant request.
func (n *Exchange) applyNotice(m message, from netip.AddrPort) {
	l := notice.Limit{Version: m.LimitVersion, Limited: m.Limited, Rate: m.Rate}
	if err := cmp.Or(l.Validate(), notice.Limit{Rate: m.ColdRate}.Validate()); err != nil {
		n.log.Write(event.UpdateLost, slog.String("from", from.String()), slog.String("error", err.Error()))
		return
	}
	switch m.Kind {
	case kindGrantRequest:
		r := n.notices.GrantRequest(m.Host, grant.Request{ID: m.Number, Server: m.Lead, Hall: m.Hall, Limit: l, Ping: m.Ping, ColdRate: m.ColdRate})
		n.sendTo(from, message{
			Kind: kindGrantReply, Number: r.ID, Lead: r.Server, Granted: r.Granted, WaitMS: (r.Wait + time.Millisecond - 1).Milliseconds(),
		}.withLimit(r.Limit))
	case kindGrantReply:
		n.notices.GrantReply(m.Host, grant.Reply{
			ID: m.Number, Server: m.Lead, Limit: l, Granted: m.Granted,
			Wait: time.Duration(m.WaitMS) * time.Millisecond,
		})
	case kindLimit:
		n.notices.Limit(m.Host, m.Lead, l)
	case kindLeaving:
		n.notices.Leaving(m.Host, m.Lead)
	}
}

// withLimit returns the message with a server's limit.
func (m message) withLimit(l notice.Limit) message {
	m.LimitVersion, m.Limited, m.Rate = l.Version, l.Limited, l.Rate
	return m
}

// sendTo sends a message to a single host.
func (n *Exchange) sendTo(to netip.AddrPort, m message) {
	m.Host = n.scheduler.Host()
	n.sendAll([]netip.AddrPort{to}, []message{m})
}
