package news

import (
	"log/slog"
	"math"
	"net/netip"

	"slipcrank.example/core/limit"
	"slipcrank.example/daemon/event"
)

// loanUnit is the unit of a loan in a message.
const loanUnit = 0.001

// LoanHandlers are called with the messages of other hosts about loans of retries. The
// argument host is the number of the sending host.
type LoanHandlers struct {
	// Request returns the reply to a request.
	Request func(host uint32, q limit.LoanRequest) limit.LoanReply
	// Reply handles the reply to a request of this host.
	Reply func(host uint32, r limit.LoanReply)
}

// SetLoanHandlers sets the handlers. It must be called before Run.
func (n *Exchange) SetLoanHandlers(h LoanHandlers) { n.loans = h }

// SendLoanRequest asks the host at an address for a part of a retry.
func (n *Exchange) SendLoanRequest(to netip.AddrPort, q limit.LoanRequest) {
	n.sendTo(to, message{Kind: kindLoanRequest, Number: q.ID, Service: q.Service, Value: int64(math.Ceil(q.Amount / loanUnit))})
}

// applyLoan passes a message about a loan to its handler, and replies to a request.
func (n *Exchange) applyLoan(m message, from netip.AddrPort) {
	if m.Kind == kindLoanReply {
		n.loans.Reply(m.Host, limit.LoanReply{ID: m.Number, Lent: max(float64(m.Value)*loanUnit, 0)})
		return
	}
	q := limit.LoanRequest{ID: m.Number, Service: m.Service, Amount: float64(m.Value) * loanUnit}
	if err := q.Validate(); err != nil {
		n.log.Write(event.UpdateLost, slog.String("from", from.String()), slog.String("error", err.Error()))
		return
	}
	r := n.loans.Request(m.Host, q)
	n.sendTo(from, message{Kind: kindLoanReply, Number: r.ID, Value: int64(r.Lent / loanUnit)})
}
