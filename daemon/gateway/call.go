package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/upstream"
)

// call is the state of one caller's request on this host.
type call struct {
	id           string
	method       string
	target       string
	host         string
	path         string
	header       http.Header
	body         []byte
	buffer       *bodyBuffer // counts the bodies of the request and of its answer
	key          string
	headHash     quarantine.HeadHash
	fingerprint  quarantine.Fingerprint // computed on demand
	parts        []string               // IDs of the parts that its prompt may share with others
	partIDs      []quarantine.Identity  // of parts, computed on demand
	workspace    site.Workspace
	route        site.Route
	work         schedule.Work
	arrivedAt    time.Time
	deadline     time.Time
	bootDeadline time.Duration // the deadline by the gateway's clock, which also advances during a suspension
	delegated    *delegation   // nil unless another host has delegated the call to this one
	lastEventID  string        // from the caller, or of the last event that was forwarded

	sentAt        time.Duration       // right before the last try was sent, by the gateway's clock
	grantedServer string              // the rate-limited server for which a grant was acquired
	attempts      int                 // tries that reached a server and count against the route's
	sends         upstream.Attempt    // at this host
	sent          int                 // sends that may have reached a server, at any host
	paidService   string              // to which one more send is paid from the retry budget
	paidAt        time.Duration       // by the gateway's clock
	unsentTries   int                 // tries of which nothing left this host
	failedServers map[string]bool     // by ID
	unreached     int                 // tries that failed on the way to a server or back
	delegations   map[uint32]bool     // hosts to which the call was delegated, by number
	returning     bool                // it was refused before, by this host or another
	waited        time.Duration       // time from the first attempt until this one arrived
	demandCounted bool                // an earlier placement of it counts in the ledger
	counted       bool                // the call counts in the retry budget
	balance       limit.Balance       // of the retry budget when the last retry was asked for
	partGranted   quarantine.HeadHash // a suspected part for which the next send is granted
	firstEventAt  time.Time           // of the current stream
	partsCleared  bool                // the current stream has cleared its parts
	exchange      *exchange           // of the current try
	handover      *handover           // in which this copy of the call is sent, nil for none
	// attemptReturned reports that the attempt of a server counts no longer, since the path to it
	// seemed lost while it had the stream.
	attemptReturned bool
	progress        *progress
	mayHaveRun      bool          // it may have run, or may still be running
	copiesFailed    bool          // several copies of it have failed together
	connBroken      bool          // the connection of its last try broke
	freshConn       bool          // send it on a new connection: a server was silent, so pooled ones may be dead
	headSent        bool          // the head of an answer was sent to the caller
	closeFramed     net.Conn      // the connection whose close ends a stream; nil if the stream has chunks
	maxPause        time.Duration // the longest time between two events
	lastFailure     string        // reason of the last failure, for the log
}

// defaultTimeout is the maximum timeout of a call whose route sets none.
const defaultTimeout = 30 * time.Second

// readCall reads and authorizes a request. It returns a refusal if the request can't be
// served.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, buffer *bodyBuffer, now time.Time, d *delegation) (*call, *refusalResponse) {
	s, arrived := g.state(), g.clock.Now()
	if s.Config == nil {
		left := callTimeout(r.Header.Get(g.dialect.Deadline), 0)
		return nil, refuse(http.StatusServiceUnavailable, "no_configuration", min(startupRetryAfter, time.Duration(startupRetryFraction*float64(left))))
	}
	body, err := readBody(w, r, buffer, s.Config.Limits().BodyBytes, now.Add(callTimeout(r.Header.Get(g.dialect.Deadline), 0)))
	if errors.Is(err, errBuffersFull) {
		g.metrics.Count("gateway_buffers_full", 1, "body", "request")
		return nil, refuse(http.StatusServiceUnavailable, "no_buffer_memory", busyRetryAfter)
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "body_unreadable", 0)
	}
	if len(body) > s.Config.Limits().BodyBytes {
		return nil, refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	}
	c := &call{
		id:            r.Header.Get(g.dialect.AttemptID),
		method:        r.Method,
		target:        r.RequestURI,
		host:          r.Host,
		body:          body,
		buffer:        buffer,
		arrivedAt:     now,
		lastEventID:   r.Header.Get(g.dialect.LastEventID),
		failedServers: map[string]bool{},
		delegations:   map[uint32]bool{},
		delegated:     d,
		closeFramed:   closeFramedConn(r),
	}
	if d != nil {
		c.attempts, c.counted, c.arrivedAt = d.attempts, d.counted, now.Add(-d.elapsed)
		c.sent, c.paidService, c.paidAt = d.sent, d.paid, arrived-d.paidAge
		for _, id := range d.leaving {
			c.failedServers[id] = true
		}
	}
	c.path, _, _ = strings.Cut(c.target, "?")
	c.key, _ = strings.CutPrefix(r.Header.Get("Authorization"), g.dialect.KeyScheme)
	// The configuration may have changed while the body arrived.
	if refusal := g.authorize(c, g.state()); refusal != nil {
		return c, refusal
	}
	c.headHash = c.identity().HeadHash()
	c.header = forwardedHeaders(r.Header, g.dialect.NotForwarded...)
	c.work.Prompt, c.work.Answer = parseTokenCounts(r.Header.Get(g.dialect.TokenCounts))
	c.parts = parseSharedParts(r.Header.Get(g.dialect.PromptParts))
	if n, err := strconv.Atoi(r.Header.Get(g.dialect.AnswerHint)); err == nil && n > 0 {
		c.work.Answer = n
	}
	timeout := callTimeout(r.Header.Get(g.dialect.Deadline), c.route.Timeout)
	c.deadline, c.bootDeadline = now.Add(timeout), arrived+timeout
	return c, nil
}

// readBody reads the body of a request, at most one byte more than limit. A caller that
// sends it too slowly gets no answer in time, so reading ends at the deadline. After an
// error, what the caller still sends isn't waited for.
func readBody(w http.ResponseWriter, r *http.Request, buffer *bodyBuffer, limit int, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	// Both calls fail only if the caller has disconnected, which reading detects.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	body, err := buffer.readAll(io.LimitReader(r.Body, int64(limit)+1))
	if err == nil {
		deadline = time.Time{}
	}
	_ = control.SetReadDeadline(deadline)
	return body, err
}

// identity returns what identifies a request: copies and repeated attempts have the
// same identity.
func (c *call) identity() quarantine.Request {
	return quarantine.Request{
		Workspace: c.workspace.Name, Key: c.key, Method: c.method, Host: c.host, Target: c.target, Body: c.body,
	}
}

// callTimeout returns the time until a call's deadline. The caller's deadline header, in
// milliseconds, can only shorten the timeout of the route.
func callTimeout(deadline string, timeout time.Duration) time.Duration {
	d := defaultTimeout
	if timeout > 0 {
		d = timeout
	}
	if ms, err := strconv.ParseInt(deadline, 10, 64); err == nil && ms >= 0 {
		d = min(d, time.Duration(min(ms, int64(time.Hour/time.Millisecond)))*time.Millisecond)
	}
	return d
}

// authorize looks up the call's route and workspace in the configuration in force, and
// returns a refusal if the configuration doesn't allow the call. It is repeated before
// each send, since the configuration may have changed.
func (g *Gateway) authorize(c *call, s State) *refusalResponse {
	host, _, _ := strings.Cut(c.host, ":")
	route, ok := s.Config.Route(host, c.path)
	if !ok {
		return g.deny(http.StatusNotFound, "no_route")
	}
	c.route = route
	if route.Public || !s.Config.Keyed() {
		return nil
	}
	w, ok := s.Config.Workspace(c.key)
	if !ok {
		return g.deny(http.StatusUnauthorized, "unknown_key")
	}
	if c.workspace = w; !g.freshness.KeysTrusted() {
		return refuseHere("keys_unproven")
	}
	return nil
}

// deny refuses a call permanently, or temporarily if a newer configuration might allow
// it.
func (g *Gateway) deny(status int, reason string) *refusalResponse {
	if s := g.state(); !g.freshness.ConfigCurrent() || s.Config.Version() < g.servedVersion.Load() {
		return refuseHere(reason + "_in_old_configuration")
	}
	return refuse(status, reason, 0)
}

var errNotAllowed = errors.New("request must not be sent any more")
