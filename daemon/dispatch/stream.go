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

// stream runs one attempt on an engine and passes its tokens on. It returns
// the time from the start of the attempt to its first token, or 0.
func (x *run) stream(ctx context.Context, attempt string, o route.Offer) (time.Duration, error) {
	started := time.Now()
	s, err := x.engines.Generate(ctx, o.Addr, engine.Request{
		Path:     x.request.Path,
		Body:     x.request.Body,
		Request:  x.request.ID,
		Attempt:  attempt,
		Version:  x.request.Model.Version,
		Priority: x.prompt.WithDelay(o.FairnessDelay).Priority,
		Resume:   x.offset,
		Holds:    x.holding,
		Deadline: x.request.Deadline,
	})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close) // a read in progress ends at once
	defer stop()
	first, err := x.pass(s, started)
	if err != nil {
		x.cancel(o.Addr, attempt)
	}
	return first, err
}

// pass reads pieces to the end marker.
func (x *run) pass(s *engine.Stream, started time.Time) (time.Duration, error) {
	var first time.Duration
	for {
		p, err := s.Next()
		switch {
		case errors.Is(err, io.EOF):
			return first, nil
		case errors.Is(err, engine.ErrCrossed):
			event.PieceDropped.Warn("request", x.request.ID)
			x.metrics.Count("pieces_dropped_total", 1)
			return first, err
		case err != nil:
			return first, err
		}
		if first == 0 {
			first = time.Since(started)
			x.noteFirst()
		}
		if p.End {
			x.outcome.PromptTokens, x.outcome.CachedTokens, x.outcome.Finish = p.Prompt, p.Cached, p.Finish
			continue
		}
		if err := x.emit(p); err != nil {
			return first, errors.Mark(err, ErrCallerGone)
		}
		x.offset = p.Offset + 1
		x.outcome.Tokens++
	}
}

func (x *run) noteFirst() {
	if x.outcome.FirstToken == 0 {
		x.outcome.FirstToken = time.Since(x.request.Arrival)
	}
}

// cancel frees an attempt's memory on its engine, whatever became of the
// connection.
func (x *run) cancel(addr, attempt string) {
	x.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = x.engines.Cancel(ctx, addr, attempt)
	})
}
