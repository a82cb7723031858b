package calls_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"slipcrank.example/core/claim"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/store"
	"slipcrank.example/daemon/calls"
	"slipcrank.example/daemon/telemetry"
)

// TestOutcomeOfEachSendResult checks the answers to a call and to its repetition for each
// way in which sending can end.
func TestOutcomeOfEachSendResult(t *testing.T) {
	broken := errors.New("connection reset")
	for name, tc := range map[string]struct {
		pause    time.Duration // of the process while the claim is written
		err      error         // of the send
		sends    int
		kind     fault.Kind // "" for an answer
		repeated fault.Kind // the same for a second request with the key
	}{
		"answered":                   {0, nil, 1, "", ""},
		"nothing was sent":           {0, errors.Mark(broken, calls.ErrNotSent), 1, fault.NotRun, fault.NotRun},
		"connection broke":           {0, broken, 1, fault.OutcomeUnknown, fault.OutcomeUnknown},
		"paused past the deadline":   {10 * time.Second, nil, 0, fault.NotRun, fault.NotRun},
		"paused within the deadline": {time.Second, nil, 1, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.NewMemory().Store()
				direct := claim.Direct(s)
				slow := func(ctx context.Context, w store.Write) (claim.Result, uint64) {
					res, v := direct(context.WithoutCancel(ctx), w)
					<-time.After(tc.pause)
					return res, v
				}
				o := calls.NewOnce(claim.New(s, claim.WithWriter(slow)), telemetry.NewMetrics(), func(f func()) { f() })
				key := uuid.Must(uuid.NewV7()).String()
				sends := 0
				runCall := func() error {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					_, err := o.Run(ctx, "till", key, func(context.Context) (claim.Answer, error) {
						sends++
						return claim.Answer{Status: 200}, tc.err
					})
					return err
				}
				for _, want := range []fault.Kind{tc.kind, tc.repeated} {
					if err := runCall(); (err == nil) != (want == "") || (err != nil && !fault.Is(err, want)) {
						t.Errorf("got %v, want %q", err, want)
					}
				}
				if sends != tc.sends {
					t.Errorf("sent %d times, want %d", sends, tc.sends)
				}
			})
		})
	}
}

// expiredContext is a context whose deadline has passed but whose timer has not fired yet,
// as in a process that resumes after a pause.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

func TestProcessResumedAfterTheDeadlineSendsNothing(t *testing.T) {
	o := calls.NewOnce(claim.New(store.NewMemory().Store()), telemetry.NewMetrics(), func(f func()) { f() })
	_, err := o.Run(expiredContext{context.Background()}, "till", uuid.Must(uuid.NewV7()).String(), func(context.Context) (claim.Answer, error) {
		t.Error("the call was sent after its deadline")
		return claim.Answer{Status: 200}, nil
	})
	if !fault.Is(err, fault.NotRun) {
		t.Errorf("got %v, want %q", err, fault.NotRun)
	}
}
