package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/clients/engine"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/event"
)

// stream runs one attempt on an engine and relays its tokens. It returns the time
// from the start of the attempt to its first token, or 0 if there was none.
func (x *run) stream(ctx context.Context, attempt string, o route.Offer) (time.Duration, error) {
	started := time.Now()
	s, err := x.engines.Generate(ctx, o.Addr, engine.Request{
		Path:          x.request.Path,
		Body:          x.request.Body,
		Request:       x.request.ID,
		Attempt:       attempt,
		Version:       x.request.Model.Version,
		Priority:      x.prompt.WithDelay(o.FairnessDelay).Priority,
		Resume:        x.nextOffset,
		ReservationID: x.reservationID,
		Deadline:      x.request.Deadline,
	})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close) // interrupts a blocked read
	defer stop()
	first, err := x.relay(s, started)
	if err != nil {
		x.cancelAttempt(o.Addr, attempt)
	}
	return first, err
}

// relay emits the pieces of a stream until it ends.
func (x *run) relay(s *engine.Stream, started time.Time) (time.Duration, error) {
	var first time.Duration
	for {
		p, err := s.Next()
		switch {
		case errors.Is(err, io.EOF):
			return first, nil
		case errors.Is(err, engine.ErrForeignPiece):
			event.PieceDropped.Warn("request", x.request.ID)
			x.metrics.Count("pieces_dropped_total", 1)
			return first, err
		case err != nil:
			return first, err
		}
		x.pieces.Add(1)
		if first == 0 {
			first = time.Since(started)
			x.recordFirstToken()
		}
		if p.End {
			x.outcome.PromptTokens, x.outcome.CachedTokens, x.outcome.Finish = p.Prompt, p.Cached, p.Finish
			continue
		}
		if err := x.emit(p); err != nil {
			return first, errors.Mark(err, ErrCallerGone)
		}
		x.nextOffset = p.Offset + 1
		x.outcome.Tokens++
	}
}

func (x *run) recordFirstToken() {
	if x.outcome.FirstToken == 0 {
		x.outcome.FirstToken = time.Since(x.request.Arrival)
	}
}

// cancelAttempt asks an engine to free the memory of an attempt, in the background
// and independently of the state of the attempt's connection.
func (x *run) cancelAttempt(addr, attempt string) {
	x.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = x.engines.Cancel(ctx, addr, attempt)
	})
}
