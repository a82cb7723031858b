package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/memory"
	"slipcrank.example/daemon/upstream"
)

// What has become of one try.
const (
	answered   result = iota // the caller has the whole answer
	unsent                   // no byte has left for the server
	refused                  // the server says that it has not run it
	failed                   // it may have run
	final                    // no other server may be tried
	callerGone               // nobody waits any more
)

// maxRefusal bounds what is read of a server's answer that says that it has
// not run a request; the connection is kept if that is all of it.
const maxRefusal = 1 << 20

// maxAnswer bounds an answer that isn't a stream, since it is held whole: a
// tenth of the memory of the smallest hosts. Usual answers have some KB.
const maxAnswer = 16 << 20

// errSilent is a server that has said nothing for too long.
var errSilent = errors.New("the backend server has fallen silent")

type (
	result int

	// outcome is what has become of one try.
	outcome struct {
		result  result
		why     string
		server  string
		service string
		fault   string   // the server that the answer blames, by ID or address
		answer  *whole   // of the server, if it is passed on as it is
		no      *refusal // what the caller is told, if nothing ran
		first   time.Duration
		// broken says that the connection broke with the answer due.
		broken bool
		apart  bool // it ran where no other suspect was known to run
	}

	// whole is an answer with its body.
	whole struct {
		status int
		header http.Header
		body   []byte
	}
)

// try places the call and sends it once.
func (g *Gateway) try(ctx context.Context, w http.ResponseWriter, c *call) outcome {
	g.awaitVerdict(ctx, c)
	s := g.state()
	if no := g.permit(c, s); no != nil {
		return outcome{result: final, why: no.why, no: no}
	}
	stage := g.stage(c)
	if stage == quarantine.Blocked {
		no := g.held(c)
		return outcome{result: final, why: no.why, no: no}
	}
	confined, waits := g.quarantine.Confined(c.workspace.Name, g.clock.Now())
	if waits {
		return outcome{result: final, why: "workspace_ends_servers", no: refuse(http.StatusServiceUnavailable, "workspace_ends_servers", confinedWait)}
	}
	p, service, no := g.take(ctx, c, s, stage, confined)
	if no != nil {
		return outcome{result: final, why: no.why, server: p.Lead, no: no}
	}
	defer g.board.Ended(p.ID)
	server, _ := s.Servers.Get(p.Lead)
	g.placed(p)
	defer g.ended(p.ID)
	hold, err := g.hold(ctx, s, p)
	if err != nil {
		return outcome{result: unsent, why: "memory_not_held", server: p.Lead, service: service.Name}
	}
	if hold != nil {
		defer hold.Release()
	}
	out := g.send(ctx, w, c, s, p, server)
	out.server, out.service, out.apart = p.Lead, service.Name, p.Apart
	g.judge(c, p, server, out)
	return out
}

// take places the call at a server that takes it now. Whoever holds the bucket of a
// limited server decides that, and another server may be found in its place.
func (g *Gateway) take(ctx context.Context, c *call, s State, stage quarantine.Stage, confined bool) (schedule.Placement, site.Service, *refusal) {
	for n := 0; ; n++ {
		p, service, no := g.place(c, s, stage, confined)
		if no != nil {
			return p, service, no
		}
		g.logPlaced(c, s, p)
		if no = g.fits(c, p, service); no == nil {
			no = g.admit(c, p)
		}
		if no != nil {
			g.board.Ended(p.ID)
			return p, service, no
		}
		wait, ok := g.granted(ctx, c, s, p)
		if ok {
			return p, service, nil
		}
		g.board.Ended(p.ID)
		if n+1 >= maxAsks {
			return p, service, refuse(http.StatusServiceUnavailable, "server_limits", max(wait, staleWait))
		}
	}
}

// fits refuses a call that the engines of its service have no memory for.
func (g *Gateway) fits(c *call, p schedule.Placement, service site.Service) *refusal {
	if p.Fits || service.Engine == nil || c.work.Prompt <= service.Engine.Memory {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "no_memory", memoryWait)
}

// hold sets memory aside on the helpers of a placement that need it.
func (g *Gateway) hold(ctx context.Context, s State, p schedule.Placement) (*memory.Reservation, error) {
	if len(p.Shares) == 0 || g.memory == nil {
		return nil, nil
	}
	parts := make([]memory.Share, 0, len(p.Shares))
	for _, h := range p.Shares {
		b, _ := s.Servers.Get(h.Server)
		parts = append(parts, memory.Share{Addr: b.Addr, Tokens: h.Tokens})
	}
	return g.memory.Reserve(ctx, ticket(p.ID), parts)
}

// ticket names the reservations of a placement.
func ticket(id schedule.ID) string { return fmt.Sprintf("%x-%x", id.Host, id.Number) }

// judge notes evidence for and against the server. Where our own time or
// right had run out there is none.
func (g *Gateway) judge(c *call, p schedule.Placement, server backend.Server, out outcome) {
	now := g.clock.Now()
	var rest time.Duration
	switch {
	case out.result == answered:
		g.board.Answered(p.Service, p.Lead, false, now)
		g.answeredWhole(c)
		return
	case out.result == callerGone, out.result == final:
		return
	}
	blamed := p.Lead
	if s, ok := g.state().Servers.Find(out.fault); ok && out.fault != "" {
		blamed = s.ID
	}
	c.tried[blamed] = true
	switch {
	case out.why == "not_allowed", out.why == "out_of_time", !time.Now().Before(c.deadline):
		return
	case out.result == failed && out.answer != nil:
		rest = g.board.Answered(p.Service, blamed, true, now)
	default:
		rest = g.board.Failed(blamed, now)
	}
	if out.broken {
		c.copied = c.copied || g.board.Copies(uint64(c.mark)) > 1
		g.inquire(c, server, p.Helpers, out)
	}
	if rest > 0 {
		g.failed(blamed)
		g.log.Write(event.ServerAvoided, slog.String("id", c.id), slog.String("server", blamed),
			slog.String("why", out.why), slog.Duration("rest", rest))
	}
}

// send sends the call to the lead of its placement and passes the answer on.
func (g *Gateway) send(parent context.Context, w http.ResponseWriter, c *call, s State, p schedule.Placement, server backend.Server) outcome {
	out := g.exchange(parent, w, c, s, p, server)
	switch {
	case out.result == answered:
	case errors.Is(parent.Err(), context.Canceled):
		out.result, out.why = callerGone, "caller_gone"
	case parent.Err() != nil:
		out.why, out.broken = "out_of_time", false
	}
	return out
}

// exchange sends the call and passes the answer on.
func (g *Gateway) exchange(ctx context.Context, w http.ResponseWriter, c *call, s State, p schedule.Placement, server backend.Server) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &alarm{quiet: firstLook(c, p), more: g.explained(c, s, p, server), ring: func() { cancel(errSilent) }}
	a.start()
	defer a.stop()
	defer g.exchanges.begin(server, c.due, cancel)()
	out := g.answer(ctx, w, c, s, p, server, a)
	if out.result == failed && errors.Is(context.Cause(ctx), errOverdue) {
		out.why, out.broken = "out_of_time", false
	}
	if out.result == failed && errors.Is(context.Cause(ctx), errRestarted) {
		out.why, out.broken = "server_restarted", true
	}
	if out.result == failed && errors.Is(context.Cause(ctx), errSilent) {
		out.why, out.broken = "server_silent", false
		c.silent = true
		g.pool.CloseIdle(server.Addr)
	}
	return out
}

// answer sends the call and passes on what comes back, as its kind asks.
func (g *Gateway) answer(ctx context.Context, w http.ResponseWriter, c *call, s State, p schedule.Placement,
	server backend.Server, al *alarm,
) outcome {
	a, err := g.pool.Send(ctx, server.Addr, g.request(c, s, p))
	if err != nil {
		return g.failure(c, err, "send")
	}
	defer a.Close()
	g.notice(c, server, a)
	c.attempts++
	if a.Header.Get(g.dialect.NotRun) != "" || a.Status == http.StatusMisdirectedRequest {
		return g.notRun(a)
	}
	c.may = true
	if c.route.Kind == site.Stream && a.Status == http.StatusOK {
		return g.relay(w, c, p, a, al)
	}
	return g.collect(w, c, a)
}

// failure tells what an error means for the call.
func (g *Gateway) failure(c *call, err error, doing string) outcome {
	switch {
	case errors.Is(err, errForbidden):
		return outcome{result: unsent, why: "not_allowed"}
	case upstream.NotSent(err):
		return outcome{result: unsent, why: "not_reached"}
	}
	c.may = true
	if doing == "send" {
		c.attempts++
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return outcome{result: failed, why: doing + "_timeout"}
	}
	return outcome{result: failed, why: doing + "_broken", broken: true}
}

// notRun takes in an answer that says that the request has not run.
func (g *Gateway) notRun(a *upstream.Answer) outcome {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxRefusal))
	if err == nil {
		a.Finish()
	}
	return outcome{
		result: refused,
		why:    "refused_" + strconv.Itoa(a.Status),
		fault:  a.Header.Get(g.dialect.AtServer),
		answer: &whole{a.Status, a.Header, body},
	}
}

// collect reads an answer whole and passes it on.
func (g *Gateway) collect(w http.ResponseWriter, c *call, a *upstream.Answer) outcome {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err != nil {
		return g.failure(c, err, "answer")
	}
	if len(body) > maxAnswer {
		return outcome{result: final, why: "answer_too_large"}
	}
	a.Finish()
	out := outcome{result: answered, answer: &whole{a.Status, a.Header, body}}
	if a.Status >= http.StatusInternalServerError || promises(a.Status) {
		out.result, out.why = failed, "status_"+strconv.Itoa(a.Status)
		return out
	}
	g.pass(w, c, out)
	return out
}

// pass sends a server's answer to the caller as it is.
func (g *Gateway) pass(w http.ResponseWriter, c *call, out outcome) {
	head(w, out.answer.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(out.answer.body)))
	w.WriteHeader(out.answer.status)
	if _, err := w.Write(out.answer.body); err != nil {
		g.logEnd(c, "write_failed", out.answer.status, out)
	}
	if out.result != answered {
		g.logEnd(c, "passed_failure", out.answer.status, out)
	}
}

// head copies a server's headers into an answer of ours.
func head(w http.ResponseWriter, h http.Header) {
	closing := w.Header().Get("Connection")
	for k, vs := range passed(h) {
		w.Header()[k] = vs
	}
	if closing != "" {
		w.Header().Set("Connection", closing)
	}
	if h.Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // no guess of the library's
	}
	if h.Get("Date") == "" {
		w.Header()["Date"] = nil
	}
}
