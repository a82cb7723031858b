package limit

import "fmt"

type (
	// LoanRequest asks another host for a part of a retry to a service.
	LoanRequest struct {
		ID      uint32
		Service string
		Amount  float64 // above 0, at most 1
	}

	// LoanReply answers a [LoanRequest].
	LoanReply struct {
		ID   uint32
		Lent float64 // what is lent of the amount, 0 for nothing
	}
)

// Validate returns an error if a request can't be for a part of one retry.
func (q LoanRequest) Validate() error {
	if !(q.Amount > 0 && q.Amount <= 1) || q.Service == "" {
		return fmt.Errorf("loan of %v retries to service %q: ask for more than 0, at most 1, of a named service", q.Amount, q.Service)
	}
	return nil
}
