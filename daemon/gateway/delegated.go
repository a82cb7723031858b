package gateway

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"slipcrank.example/core/reach"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/upstream"
)

// delegationHeader is the header of delegated requests and of their answers. Requests of
// callers don't have it: hosts delegate to a port of their own.
const delegationHeader = "Slipcrank-Delegation"

// maxLeavingServers bounds the leaving servers that a delegated request names.
const maxLeavingServers = 32

// Origins of the answer to a delegated request.
const (
	originUnknown origin = ""
	// originServer is a backend server; the request may have run.
	originServer origin = "server"
	// originFleet is the host, for a reason that holds at any host. The status tells
	// whether the request may have run.
	originFleet origin = "fleet"
	// originHost is the host, for a reason that may not hold at others. The request was
	// not run.
	originHost origin = "host"
)

type (
	origin string

	// delegation describes a call that another host has delegated to this one.
	delegation struct {
		attempts int           // that count against the route's
		sent     int           // sends that may have reached servers
		paid     string        // the service to which one more send is paid, empty for none
		paidAge  time.Duration // since that was paid
		version  int64         // of the configuration by which the call must be served at least
		elapsed  time.Duration // since the call arrived at the other host
		counted  bool          // the other host has counted it in the retry budget
		leaving  []string      // IDs of servers that leave, by answers that the other host has passed on
		readsEnd bool          // the other host reads how a stream ends
	}

	// report describes the answer to a delegated call.
	report struct {
		origin   origin
		attempts int
		sent     int
		version  int64
		server   string // the ID of the server that has answered, if one has
	}
)

// DelegatedHandler returns the handler of the calls that other hosts delegate to this one.
// They are served like those of callers, but are not delegated again.
func (g *Gateway) DelegatedHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d, err := parseDelegation(r.Header.Get(delegationHeader))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Header.Del(delegationHeader)
		d.readsEnd = d.readsEnd && r.ProtoAtLeast(1, 1) // earlier versions have no trailers
		// Holds for refusals before the call is read.
		w.Header().Set(delegationHeader, report{origin: originHost, attempts: d.attempts, sent: d.sent}.String())
		g.handle(w, r, &d)
	})
}

// delegatedRequest builds the request with which a call is delegated to another host.
func (g *Gateway) delegatedRequest(c *call, s State, to reach.Peer) upstream.Request {
	h := c.header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if c.key != "" {
		h.Set("Authorization", g.dialect.KeyScheme+c.key)
	}
	if c.lastEventID != "" {
		h.Set(g.dialect.LastEventID, c.lastEventID)
	}
	return upstream.Request{
		Method: c.method, Target: c.target, Host: c.host, Header: h, Body: c.body,
		IDHeader: g.dialect.AttemptID, ID: c.id, Attempt: &c.sends, Check: g.peerAnswerCheck(c),
		BeforeSend: func() error {
			g.clock.Refresh() // the host may have been suspended since the call arrived
			c.sentAt = g.clock.Now()
			if c.sentAt >= c.bootDeadline {
				return errNotAllowed
			}
			if err := c.progress.beginSending(to.Addr, g.mayServe); err != nil {
				return err
			}
			h.Set(g.dialect.Deadline, g.formatTimeLeft(c))
			h.Set(delegationHeader, g.describe(c, s).String())
			return nil
		},
	}
}

// describe returns what another host has to know of a call that is delegated to it now.
func (g *Gateway) describe(c *call, s State) delegation {
	paid, age := c.paidService, g.clock.Now()-c.paidAt
	if paid == "" || age > g.budget.MaxDelay() {
		paid, age = "", 0
	}
	return delegation{
		attempts: c.attempts, sent: c.sent, paid: paid, paidAge: age, counted: c.counted,
		version: max(s.Config.Version(), g.servedVersion.Load()), elapsed: time.Since(c.arrivedAt),
		// Other hosts may not know it, since they remember what they are told for some seconds
		// only. They may list servers that this host doesn't.
		leaving:  g.notices.LeavingServers(maxLeavingServers),
		readsEnd: c.route.Kind == site.Stream && c.route.Resume,
	}
}

// refuseDelegated refuses a delegated call that another host can serve better.
func (g *Gateway) refuseDelegated(c *call, s State) *refusalResponse {
	if c.delegated == nil {
		return nil
	}
	if s.Config.Version() < c.delegated.version {
		return refuseHere("older_configuration")
	}
	for _, service := range c.services() {
		if g.pathState(service) == reach.Lost {
			return refuseHere("no_path")
		}
	}
	return nil
}

// setReport sets the header that reports to a delegating host where an answer is from.
func (g *Gateway) setReport(w http.ResponseWriter, c *call, o origin) {
	if c == nil || c.delegated == nil {
		return
	}
	r := report{origin: o, attempts: c.attempts, sent: c.sent}
	if s := g.state(); s.Config != nil {
		r.version = s.Config.Version()
	}
	if o == originServer {
		r.server = c.exchange.server.ID
	}
	w.Header().Set(delegationHeader, r.String())
}

// String returns the value of the header of a delegated request.
func (d delegation) String() string {
	var leaving []string
	for _, id := range d.leaving {
		leaving = append(leaving, url.QueryEscape(id))
	}
	return fmt.Sprintf("attempts=%d, sent=%d, paid=%s, paid_ms=%d, version=%d, elapsed=%d, counted=%t, leaving=%s, ends=%t",
		d.attempts, d.sent, url.QueryEscape(d.paid), d.paidAge.Milliseconds(), d.version, d.elapsed.Milliseconds(), d.counted, strings.Join(leaving, " "), d.readsEnd)
}

// String returns the value of the header of an answer to a delegated request.
func (r report) String() string {
	return fmt.Sprintf("origin=%s, attempts=%d, sent=%d, version=%d, server=%s", r.origin, r.attempts, r.sent, r.version, url.QueryEscape(r.server))
}

// parseDelegation parses the value of the header of a delegated request.
func parseDelegation(text string) (delegation, error) {
	f := parseFields(text)
	attempts, err := strconv.ParseUint(f["attempts"], 10, 16)
	if err != nil {
		return delegation{}, fmt.Errorf("attempts %q of a delegated request: send a number", f["attempts"])
	}
	sent, err := parseSent(f)
	if err != nil {
		return delegation{}, fmt.Errorf("sent %q of a delegated request: send a number", f["sent"])
	}
	paid, err := url.QueryUnescape(f["paid"])
	if err != nil {
		return delegation{}, fmt.Errorf("paid %q of a delegated request: escape the service", f["paid"])
	}
	paidAge, err := strconv.ParseUint(cmp.Or(f["paid_ms"], "0"), 10, 32) // hosts of an earlier version don't tell
	if err != nil {
		return delegation{}, fmt.Errorf("paid_ms %q of a delegated request: send milliseconds", f["paid_ms"])
	}
	version, err := strconv.ParseInt(f["version"], 10, 64)
	if err != nil {
		return delegation{}, fmt.Errorf("version %q of a delegated request: send a number", f["version"])
	}
	elapsed, err := strconv.ParseUint(f["elapsed"], 10, 32)
	if err != nil {
		return delegation{}, fmt.Errorf("elapsed %q of a delegated request: send milliseconds", f["elapsed"])
	}
	var leaving []string
	for id := range strings.FieldsSeq(f["leaving"]) {
		server, err := url.QueryUnescape(id)
		if err != nil {
			return delegation{}, fmt.Errorf("leaving %q of a delegated request: escape the IDs", id)
		}
		leaving = append(leaving, server)
	}
	return delegation{
		int(attempts), sent, paid, time.Duration(paidAge) * time.Millisecond, version, time.Duration(elapsed) * time.Millisecond,
		f["counted"] == "true", leaving, f["ends"] == "true",
	}, nil
}

// parseReport parses the value of the header of an answer. Its origin is unknown if the
// value is malformed.
func parseReport(text string) report {
	f := parseFields(text)
	attempts, err := strconv.ParseUint(f["attempts"], 10, 16)
	sent, sentErr := parseSent(f)
	version, versionErr := strconv.ParseInt(f["version"], 10, 64)
	server, serverErr := url.QueryUnescape(f["server"])
	o := origin(f["origin"])
	if cmp.Or(err, sentErr, versionErr, serverErr) != nil || o != originServer && o != originFleet && o != originHost {
		return report{}
	}
	return report{o, int(attempts), sent, version, server}
}

// parseSent parses the number of sends. Hosts of an earlier version report attempts only.
func parseSent(f map[string]string) (int, error) {
	n, err := strconv.ParseUint(cmp.Or(f["sent"], f["attempts"]), 10, 16)
	return int(n), err
}

// parseFields parses a list of name=value fields.
func parseFields(text string) map[string]string {
	out := map[string]string{}
	for f := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		out[name] = value
	}
	return out
}
