package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

// call is one request of a caller on its way through this host.
type call struct {
	id        string
	method    string
	target    string
	host      string
	path      string
	header    http.Header
	body      []byte
	key       string
	mark      quarantine.HeadHash
	print     quarantine.Fingerprint // worked out where it is needed
	workspace site.Workspace
	route     site.Route
	work      schedule.Work
	arrived   time.Time
	deadline  time.Time
	due       time.Duration // the deadline on the clock that no suspension stops
	lastEvent string        // of the caller, or the last that was passed on

	sent     time.Duration   // when the last try left, on that clock
	granted  string          // the limited server that the try may be sent to
	attempts int             // servers that it reached
	unsent   int             // tries of which nothing left this host
	tried    map[string]bool // servers that failed it
	may      bool            // it may have run, or may be running
	copied   bool            // several copies of it broke together
	ended    bool            // a server has just ended under it
	silent   bool            // a server fell silent on it: connections may have
	begun    bool            // the head of an answer went to the caller
	pause    time.Duration   // the longest between two events
	note     string          // what went wrong last, for the log
}

// defaultHold is how long a request is held whose caller and route say
// nothing.
const defaultHold = 30 * time.Second

// read takes in a request. It returns a refusal if it may not go on.
func (g *Gateway) read(r *http.Request, now time.Time) (*call, *refusal) {
	s := g.state()
	if s.Config == nil {
		return nil, refuse(http.StatusServiceUnavailable, "no_configuration", startWait)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(s.Config.Limits().BodyBytes)+1))
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "body_unreadable", 0)
	}
	if len(body) > s.Config.Limits().BodyBytes {
		return nil, refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	}
	c := &call{
		id:        r.Header.Get(g.dialect.AttemptID),
		method:    r.Method,
		target:    r.RequestURI,
		host:      r.Host,
		body:      body,
		arrived:   now,
		lastEvent: r.Header.Get(g.dialect.LastEventID),
		tried:     map[string]bool{},
	}
	c.path, _, _ = strings.Cut(c.target, "?")
	c.key, _ = strings.CutPrefix(r.Header.Get("Authorization"), g.dialect.KeyScheme)
	if no := g.permit(c, s); no != nil {
		return c, no
	}
	c.mark = c.identity().HeadHash()
	c.header = passed(r.Header, g.dialect.NotForwarded...)
	c.work.Prompt, c.work.Answer = sizes(r.Header.Get(g.dialect.TokenCounts))
	if n, err := strconv.Atoi(r.Header.Get(g.dialect.AnswerHint)); err == nil && n > 0 {
		c.work.Answer = n
	}
	held := hold(r.Header.Get(g.dialect.Deadline), c.route.Timeout)
	c.deadline, c.due = now.Add(held), g.clock.Now()+held
	return c, nil
}

// identity is what makes two attempts the same request.
func (c *call) identity() quarantine.Request {
	return quarantine.Request{
		Workspace: c.workspace.Name, Key: c.key, Method: c.method, Host: c.host, Target: c.target, Body: c.body,
	}
}

// hold is how long a request is held: what the caller waits, and the route
// allows.
func hold(deadline string, timeout time.Duration) time.Duration {
	d := defaultHold
	if timeout > 0 {
		d = timeout
	}
	if ms, err := strconv.ParseInt(deadline, 10, 64); err == nil && ms >= 0 {
		d = min(d, time.Duration(min(ms, int64(time.Hour/time.Millisecond)))*time.Millisecond)
	}
	return d
}

// permit finds the route and the workspace of a call in the configuration in
// force, and refuses what it doesn't allow. It is asked again before each
// time the call is sent, since the configuration may have changed.
func (g *Gateway) permit(c *call, s State) *refusal {
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
	if c.workspace = w; !g.proof.KeysTrusted() {
		return refuse(http.StatusServiceUnavailable, "keys_unproven", staleWait)
	}
	return nil
}

// deny refuses for good, unless a newer configuration may allow it.
func (g *Gateway) deny(status int, why string) *refusal {
	if !g.proof.ConfigCurrent() {
		return refuse(http.StatusServiceUnavailable, why+"_in_old_configuration", staleWait)
	}
	return refuse(status, why, 0)
}

var errForbidden = errors.New("the configuration no longer allows the request")
