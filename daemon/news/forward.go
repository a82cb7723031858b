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
	// batchDelay is how long a forwarder holds messages back to forward them in
	// batches. Urgent messages, such as new placements, are forwarded at once together
	// with all pending ones: hosts rank engines alike, so a host must know the
	// placements on an engine before it places its next request. A cell of 147 hosts
	// with 133 requests/s sends 700 updates/s, which with this delay cost each host
	// some 150 datagrams/s.
	batchDelay = 20 * time.Millisecond
	// maxPending bounds the number of pending messages: the updates that such a cell
	// sends in a second. Further messages are dropped.
	maxPending = 1024
	// datagramOverhead is the size of a datagram without its messages, in bytes.
	datagramOverhead = 8
)

// Scopes of a datagram.
const (
	forwardToNone scope = 0
	// forwardToHall makes the receiver forward to the other hosts of its hall.
	forwardToHall scope = 1
	// forwardToCell makes the receiver forward to its hall and to the forwarders of
	// the other halls.
	forwardToCell scope = 2
)

type (
	// scope is the set of hosts to which the receiver of a datagram forwards its
	// messages.
	scope uint8

	// datagram is the content of one UDP datagram.
	datagram struct {
		_        struct{} `cbor:",toarray"`
		Scope    scope
		Urgent   bool // forwarded at once
		Messages []cbor.RawMessage
	}

	// pending holds the messages that are to be forwarded with the next batch.
	pending struct {
		mu           sync.Mutex
		hall, remote []cbor.RawMessage
		scheduled    bool // a flush is scheduled at the end of batchDelay
	}
)

// forward adds the messages of a datagram to the pending ones that its scope asks for,
// and flushes these at once or after batchDelay.
func (n *Exchange) forward(d datagram) {
	if d.Scope == forwardToNone {
		return
	}
	p := &n.pending
	p.mu.Lock()
	p.hall = n.appendPending(p.hall, d.Messages)
	if d.Scope == forwardToCell {
		p.remote = n.appendPending(p.remote, d.Messages)
	}
	if !d.Urgent && !p.scheduled {
		p.scheduled = true
		time.AfterFunc(batchDelay, func() { n.flush(false) })
	}
	p.mu.Unlock()
	if d.Urgent {
		n.flush(true)
	}
}

// appendPending appends messages to pending ones up to maxPending, and logs how many it
// drops.
func (n *Exchange) appendPending(to, ms []cbor.RawMessage) []cbor.RawMessage {
	room := max(maxPending-len(to), 0)
	if len(ms) > room {
		n.log.Write(event.UpdateLost, slog.String("doing", "forward"), slog.Int("messages", len(ms)-room))
		ms = ms[:room]
	}
	return append(to, ms...)
}

// flush sends the pending messages.
func (n *Exchange) flush(urgent bool) {
	p := &n.pending
	p.mu.Lock()
	hall, remote := p.hall, p.remote
	p.hall, p.remote = nil, nil
	p.scheduled = p.scheduled && urgent // only the scheduled flush isn't urgent
	p.mu.Unlock()
	routes := n.routes.Load()
	n.transmit(datagram{Scope: forwardToNone, Urgent: urgent, Messages: hall}, routes.Hall)
	n.transmit(datagram{Scope: forwardToHall, Urgent: urgent, Messages: remote}, routes.Remote)
}

// transmit sends messages to hosts, in as few datagrams as they fit into.
func (n *Exchange) transmit(d datagram, hosts []netip.AddrPort) {
	for ms := d.Messages; len(ms) > 0 && len(hosts) > 0; {
		count, size := 0, datagramOverhead
		for count < len(ms) && (count == 0 || size+len(ms[count]) <= maxDatagramBytes) {
			size += len(ms[count])
			count++
		}
		d.Messages, ms = ms[:count], ms[count:]
		b, err := cbor.Marshal(d)
		if err != nil {
			n.log.Write(event.UpdateLost, slog.String("error", err.Error()))
			return
		}
		for _, h := range hosts {
			// Errors are ignored: delivery is unreliable, and there are no retries.
			_, _ = n.conn.WriteToUDPAddrPort(b, h)
		}
	}
}

// recordReceived records the time of a datagram from an address.
func (n *Exchange) recordReceived(from netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastReceived[from] = n.now()
	n.silence.Heard(n.lastReceived[from])
}

// LastReceived returns when the last datagram from an address arrived, zero if none has
// within lastReceivedRetention.
func (n *Exchange) LastReceived(from netip.AddrPort) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastReceived[from]
}
