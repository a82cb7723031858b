// Package engine is the client of the platform's model engines.
//
// A [Client] starts, resumes and cancels generations, reads load reports and
// cache events, reserves KV memory and sends fenced orders. The engines' protocol is
// confined to this package.
//
// # Usage
//
//	c := engine.New(web.New())
//	s, err := c.Generate(ctx, addr, engine.Request{...})
//	defer s.Close()
//	for {
//		p, err := s.Next()   // io.EOF only after the end marker
//	}
package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/singleflight"

	"slipcrank.example/clients/web"
)

// An engine counts as dead if it answers none of maxChecks liveness checks within
// checkTimeout each.
const (
	maxChecks    = 2
	checkTimeout = time.Second
)

var (
	// ErrTruncated is returned for a stream that ended without the engine's end
	// marker, or that misses a piece.
	ErrTruncated = errors.New("the engine's stream ended without its end marker")
	// ErrForeignPiece is returned for a piece that belongs to another request,
	// attempt or incarnation.
	ErrForeignPiece = errors.New("the engine sent a piece of another attempt")
	// ErrBusy is returned if the engine refused a request for lack of memory.
	ErrBusy = errors.New("the engine has no room for the request")
	// ErrFenced is returned if the engine refused an order because its fence is out
	// of date.
	ErrFenced = errors.New("the engine has seen a newer fencing number")
	// ErrNotSent is returned if nothing of a request was sent to the engine.
	ErrNotSent = errors.New("no connection to the engine could be opened")
	// ErrLeaving is returned if the engine is leaving and takes no new work.
	ErrLeaving = errors.New("the engine is leaving and takes no new work")
)

type (
	// Client sends requests to engines by address. It is safe for concurrent use.
	Client struct {
		web    *web.Client
		checks singleflight.Group // liveness checks by address
	}

	cancelRequest struct {
		Attempt string `json:"attempt"`
	}

	eventsRequest struct {
		After  uint64 `json:"after"`
		Resync bool   `json:"resync"`
	}

	reserveRequest struct {
		Holding Holding `json:"holding"`
	}

	releaseRequest struct {
		ID string `json:"id"`
	}

	moveRequest struct {
		From string `json:"from,omitempty"`
		ID   string `json:"id"`
	}

	holdingsReply struct {
		Holdings []Holding `json:"holdings"`
	}
)

// New returns a client.
func New(w *web.Client) *Client { return &Client{web: w} }

// Report reads the load report of the engine at addr.
func (c *Client) Report(ctx context.Context, addr string) (Report, error) {
	var r Report
	err := c.web.JSON(ctx, http.MethodGet, addr, "/engine/load", nil, &r)
	return r, err
}

// Alive reports whether the engine at addr responds. It requests the load report up
// to twice, with a timeout of 1 s each. Concurrent calls for the same address share
// one check.
func (c *Client) Alive(addr string) bool {
	ok, _, _ := c.checks.Do(addr, func() (any, error) {
		for range maxChecks {
			ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
			_, err := c.Report(ctx, addr)
			cancel()
			if err == nil {
				return true, nil
			}
		}
		return false, nil
	})
	return ok == true
}

// Cancel ends an attempt and frees its memory. Canceling an unknown attempt is not
// an error.
func (c *Client) Cancel(ctx context.Context, addr, attempt string) error {
	return c.web.JSON(ctx, http.MethodPost, addr, "/engine/cancel", cancelRequest{Attempt: attempt}, nil)
}

// Events reads the cache events with numbers above after or, with resync set, the
// names of all cached blocks.
func (c *Client) Events(ctx context.Context, addr string, after uint64, resync bool) (EventPage, error) {
	var p EventPage
	err := c.web.JSON(ctx, http.MethodPost, addr, "/engine/events", eventsRequest{After: after, Resync: resync}, &p)
	return p, err
}

// Command sends an order. It returns [ErrFenced] if the fence is out of date.
func (c *Client) Command(ctx context.Context, addr string, o Order) error {
	return mapStatus(c.web.JSON(ctx, http.MethodPost, addr, "/engine/order", o, nil))
}

// Reserve reserves KV memory. It returns [ErrBusy] if there is not enough.
func (c *Client) Reserve(ctx context.Context, addr string, h Holding) error {
	return mapStatus(c.web.JSON(ctx, http.MethodPost, addr, "/engine/reserve", reserveRequest{Holding: h}, nil))
}

// Release frees the memory of a holding. Releasing an unknown holding is not an
// error.
func (c *Client) Release(ctx context.Context, addr, id string) error {
	return c.web.JSON(ctx, http.MethodPost, addr, "/engine/release", releaseRequest{ID: id}, nil)
}

// Import makes the engine at addr read the KV cache of the holding id from the
// engine at from.
func (c *Client) Import(ctx context.Context, addr, from, id string) error {
	return mapStatus(c.web.JSON(ctx, http.MethodPost, addr, "/engine/import", moveRequest{From: from, ID: id}, nil))
}

// Holdings lists the memory that the engine has reserved or uses for streams.
func (c *Client) Holdings(ctx context.Context, addr string) ([]Holding, error) {
	var r holdingsReply
	err := c.web.JSON(ctx, http.MethodGet, addr, "/engine/holdings", nil, &r)
	return r.Holdings, err
}

// Generate starts an attempt and returns its stream once the engine has
// accepted it.
func (c *Client) Generate(ctx context.Context, addr string, g Request) (*Stream, error) {
	r, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(r)
	buildRequest(r, addr, g)
	if err := c.web.Do(ctx, r, a); err != nil {
		fasthttp.ReleaseResponse(a)
		if web.NotSent(err) {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, errors.Wrap(err, "start generation")
	}
	if a.StatusCode() != fasthttp.StatusOK {
		b, _ := web.ReadBody(a) // the status identifies the error even without a body
		err := mapStatus(&web.StatusError{Status: a.StatusCode(), Body: string(b)})
		fasthttp.ReleaseResponse(a)
		return nil, err
	}
	return newStream(a, g.Request, g.Attempt, g.Resume), nil
}

func buildRequest(r *fasthttp.Request, addr string, g Request) {
	r.Header.SetMethod(fasthttp.MethodPost)
	r.SetRequestURI("http://" + addr + g.Path)
	r.Header.SetContentType("application/json")
	r.Header.Set(fasthttp.HeaderAccept, "text/event-stream")
	r.Header.Set(HeaderRequest, g.Request)
	r.Header.Set(HeaderAttempt, g.Attempt)
	r.Header.Set(HeaderVersion, g.Version)
	r.Header.Set(HeaderPriority, strconv.FormatInt(g.Priority, 10))
	r.Header.Set(HeaderResume, strconv.Itoa(g.Resume))
	if g.ReservationID != "" {
		r.Header.Set(HeaderReservation, g.ReservationID)
	}
	if !g.Deadline.IsZero() {
		r.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(g.Deadline).Milliseconds(), 10))
	}
	r.SetBodyRaw(g.Body)
}

// mapStatus marks a [*web.StatusError] with the error of this package that its
// status stands for.
func mapStatus(err error) error {
	var statusErr *web.StatusError
	if !errors.As(err, &statusErr) {
		return err
	}
	switch statusErr.Status {
	case http.StatusTooManyRequests:
		return errors.Mark(err, ErrBusy)
	case http.StatusPreconditionFailed:
		return errors.Mark(err, ErrFenced)
	case http.StatusServiceUnavailable:
		return errors.Mark(err, ErrLeaving)
	default:
		return err
	}
}
