package news

import "net/netip"

type (
	// JoinRequest asks a seed for a source of the platform's tables.
	JoinRequest struct {
		// Name and Hall are those of the host that asks, Link the bandwidth of its
		// network link in Mbit/s, and Number identifies its start.
		Name, Hall string
		Link       float64
		Number     uint32
		// Announce asks the seed to write the host's row to the platform, together
		// with those of others.
		Announce bool
		// Unreached reports that the host can't reach the sources to which it was
		// referred.
		Unreached bool
	}

	// JoinHandlers are called with the messages of hosts that start, and of seeds.
	JoinHandlers struct {
		// Refer returns the address of the source of a host that starts.
		Refer func(from netip.AddrPort, r JoinRequest) string
		// Source handles the reply of a seed.
		Source func(from netip.AddrPort, addr string)
	}
)

// SetJoinHandlers sets the handlers. It must be called before Run.
func (n *Exchange) SetJoinHandlers(h JoinHandlers) { n.joins = h }

// AskSource asks a seed for a source of the platform's tables.
func (n *Exchange) AskSource(seed netip.AddrPort, r JoinRequest) {
	n.sendTo(seed, message{Kind: kindSourceRequest, Name: r.Name, Hall: r.Hall, Link: r.Link, Announce: r.Announce, Unreached: r.Unreached})
}

// applyJoin passes a message of a host that starts, or of a seed, to its handler.
func (n *Exchange) applyJoin(m message, from netip.AddrPort) {
	if m.Kind == kindSourceReply {
		n.joins.Source(from, m.Source)
		return
	}
	r := JoinRequest{Name: m.Name, Hall: m.Hall, Link: m.Link, Number: m.Host, Announce: m.Announce, Unreached: m.Unreached}
	n.sendTo(from, message{Kind: kindSourceReply, Source: n.joins.Refer(from, r)})
}
