package news

import (
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"slipcrank.example/daemon/event"
)

const (
	// gatherTime is how long news waits at a forwarder for more, but for new
	// placements, which leave at once with all that waits: hosts rank engines
	// alike, so what is placed on an engine has to be known before the next
	// request is. A cell of 147 hosts with 133 requests a second tells 700 pieces
	// of news a second, which so cost each host some 150 datagrams.
	gatherTime = 20 * time.Millisecond
	// maxGathered bounds what waits, a second's news of such a cell: what comes
	// beyond it is lost.
	maxGathered = 1024
	// batchHead is what a datagram holds beside its messages.
	batchHead = 8
)

// How far the host that gets a datagram passes on what is in it.
const (
	toNobody reach = 0
	// toHall is to the other hosts of its hall.
	toHall reach = 1
	// toCell is to its hall and to the forwarders of other halls.
	toCell reach = 2
)

type (
	reach uint8

	// datagram is what is sent at once.
	datagram struct {
		_        struct{} `cbor:",toarray"`
		Reach    reach
		Urgent   bool // to be passed on at once
		Messages []cbor.RawMessage
	}

	// gathered are messages that wait to be passed on.
	gathered struct {
		mu           sync.Mutex
		hall, remote []cbor.RawMessage
		waiting      bool // for the end of gatherTime
	}
)

// pass gathers messages for whom they have to reach, and sends them on soon.
func (n *Exchange) pass(d datagram) {
	if d.Reach == toNobody {
		return
	}
	g := &n.gathered
	g.mu.Lock()
	g.hall = n.gather(g.hall, d.Messages)
	if d.Reach == toCell {
		g.remote = n.gather(g.remote, d.Messages)
	}
	if !d.Urgent && !g.waiting {
		g.waiting = true
		time.AfterFunc(gatherTime, func() { n.flush(false) })
	}
	g.mu.Unlock()
	if d.Urgent {
		n.flush(true)
	}
}

func (n *Exchange) gather(waiting, ms []cbor.RawMessage) []cbor.RawMessage {
	room := max(maxGathered-len(waiting), 0)
	if len(ms) > room {
		n.log.Write(event.NewsLost, slog.String("doing", "pass on"), slog.Int("messages", len(ms)-room))
		ms = ms[:room]
	}
	return append(waiting, ms...)
}

// flush sends what has been gathered.
func (n *Exchange) flush(urgent bool) {
	g := &n.gathered
	g.mu.Lock()
	hall, remote := g.hall, g.remote
	g.hall, g.remote = nil, nil
	g.waiting = g.waiting && urgent // whoever isn't urgent comes at the end of gatherTime
	g.mu.Unlock()
	routes := n.routes.Load()
	n.transmit(datagram{Reach: toNobody, Urgent: urgent, Messages: hall}, routes.Hall)
	n.transmit(datagram{Reach: toHall, Urgent: urgent, Messages: remote}, routes.Remote)
}

// transmit sends messages to hosts, in as few datagrams as they fit into.
func (n *Exchange) transmit(d datagram, hosts []netip.AddrPort) {
	for ms := d.Messages; len(ms) > 0 && len(hosts) > 0; {
		count, size := 0, batchHead
		for count < len(ms) && (count == 0 || size+len(ms[count]) <= maxDatagram) {
			size += len(ms[count])
			count++
		}
		d.Messages, ms = ms[:count], ms[count:]
		b, err := cbor.Marshal(d)
		if err != nil {
			n.log.Write(event.NewsLost, slog.String("error", err.Error()))
			return
		}
		for _, h := range hosts {
			// A host that can't be reached is one that hears nothing: no retry.
			_, _ = n.conn.WriteToUDPAddrPort(b, h)
		}
	}
}

// note notes that a datagram came from an address.
func (n *Exchange) note(from netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard[from] = n.now()
}

// LastReceived returns when a datagram came from an address last, zero if never.
func (n *Exchange) LastReceived(from netip.AddrPort) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heard[from]
}
