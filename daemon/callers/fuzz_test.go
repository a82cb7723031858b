package callers

import (
	"testing"

	"slipcrank.example/core/fault"
)

func FuzzResumeOffset(f *testing.F) {
	f.Add([]byte("17"), 100)
	f.Add([]byte(" -1 "), 5)
	f.Fuzz(func(t *testing.T, id []byte, maxTokens int) {
		n, err := resumeOffset(id, maxTokens)
		switch {
		case err != nil && fault.From(err).Kind() != fault.BadRequest:
			t.Errorf("bad input gave %v, want a fault of kind BadRequest", err)
		case err == nil && len(id) > 0 && (n < 0 || n > maxTokens && maxTokens >= 0):
			t.Errorf("%q gave the offset %d of %d", id, n, maxTokens)
		}
	})
}

func FuzzDeadline(f *testing.F) {
	f.Add("1000")
	f.Add("-9223372036854775808")
	f.Add("9223372036854775807")
	f.Fuzz(func(t *testing.T, header string) {
		r, err := (&Server{}).withDeadline(request{}, header)
		if err == nil && !r.deadline.After(r.arrival) {
			t.Errorf("%q gave a deadline before the arrival", header)
		}
	})
}
