// Package callers implements the HTTP interface for callers: completions and chat
// completions with server-sent events, the list of models, calls to plain services,
// and health and readiness checks for the load balancer.
//
// # Usage
//
//	s, err := callers.New(loop, dispatcher, caller, callers.WithLimits(l))
//	s.Serve(listener)
//	s.Unready()    // a planned stop: the load balancer sends no more requests
//	s.Refuse()
//	s.EndRequests()
//	err = s.Close(ctx)
package callers

import (
	"context"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel"

	"slipcrank.example/clients/oldsite"
	"slipcrank.example/clients/web"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/calls"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/dispatch"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/telemetry"
)

// Header names of callers' requests and of the responses to them.
const (
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Deadline-Ms"
	headerKey      = "Idempotency-Key"
	headerStable   = "X-Stable-Key"
	headerResume   = "Last-Event-Id"

	servicePrefix = "/v1/services"
	modelsPath    = "/v1/models"
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

type (
	// Server serves the requests of callers.
	Server struct {
		loop       *control.Loop
		dispatch   *dispatch.Dispatcher
		calls      *calls.Client
		once       *calls.Once
		oldSite    *oldsite.Client
		metrics    *telemetry.Metrics
		limits     settings.Limits
		pool       *ants.Pool
		http       *fasthttp.Server
		inProgress atomic.Int64
		unready    atomic.Bool
		refusing   atomic.Bool
		ctx        context.Context // of all requests
		end        context.CancelCauseFunc
	}

	// Option configures a server in [New].
	Option func(*Server)

	// request holds the properties common to all authenticated requests.
	request struct {
		ctx       context.Context
		id        string
		arrival   time.Time
		deadline  time.Time
		workspace template.Template
	}
)

// WithLimits sets the limits on requests and their bodies.
func WithLimits(l settings.Limits) Option { return func(s *Server) { s.limits = l } }

// WithMetrics sets the metrics that the server updates.
func WithMetrics(m *telemetry.Metrics) Option { return func(s *Server) { s.metrics = m } }

// WithOnce sets the runner of prompts that must not be executed more than once.
func WithOnce(o *calls.Once) Option { return func(s *Server) { s.once = o } }

// WithOldSite sets the client of the old site.
func WithOldSite(c *oldsite.Client) Option { return func(s *Server) { s.oldSite = c } }

// New returns a server that reads the daemon's control state from l, runs generations
// through d and calls to plain services through c.
func New(l *control.Loop, d *dispatch.Dispatcher, c *calls.Client, os ...Option) (*Server, error) {
	s := &Server{
		loop:     l,
		dispatch: d,
		calls:    c,
		metrics:  telemetry.NewMetrics(),
		limits:   settings.Default().Limits,
	}
	s.ctx, s.end = context.WithCancelCause(context.Background())
	for _, o := range os {
		o(s)
	}
	p, err := ants.NewPool(s.limits.Requests, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create the pool of requests")
	}
	s.pool = p
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    s.limits.BodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          serveProtocolError,
		ReadTimeout:           time.Minute,
		IdleTimeout:           2 * time.Minute,
	}
	return s, nil
}

// Serve serves connections from l until [Server.Close]. It does not block.
func (s *Server) Serve(l net.Listener) {
	go func() { _ = s.http.Serve(timeoutListener{l}) }()
}

// Close stops listening and closes idle connections.
func (s *Server) Close(ctx context.Context) error {
	defer s.pool.Release()
	return s.http.ShutdownWithContext(ctx)
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int64 { return s.inProgress.Load() }

// Unready makes the readiness check fail, so that the load balancer sends no more
// requests. Requests that still arrive are served.
func (s *Server) Unready() { s.unready.Store(true) }

// Refuse makes the server refuse new requests. Requests in progress are completed.
func (s *Server) Refuse() { s.refusing.Store(true) }

// EndRequests ends the generations in progress with a fault.
func (s *Server) EndRequests() { s.end(dispatch.ErrStopping) }

func (s *Server) handle(c *fasthttp.RequestCtx) {
	s.inProgress.Add(1)
	streamed := false
	defer func() {
		if r := recover(); r != nil {
			event.InternalError.Error(errors.Newf("%v", r), "path", string(c.Path()))
			s.respondFault(c, "", fault.From(errors.Newf("%v", r)))
		}
		if !streamed {
			s.inProgress.Add(-1)
		}
	}()
	path := string(c.Path())
	switch {
	case path == "/healthz":
		c.SetBodyString("ok\n")
	case path == "/readyz":
		s.serveReadiness(c)
	case s.refusing.Load():
		s.respondFault(c, "", fault.New(fault.Draining, "this entry host is stopping",
			"ask again; the balancer will pick another").WithRetryAfter(time.Second))
	case path == modelsPath:
		s.serveAuthenticated(c, s.serveModels)
	case path == completionsPath || path == chatPath:
		s.serveAuthenticated(c, func(c *fasthttp.RequestCtx, r request) error {
			var err error
			streamed, err = s.serveCompletion(c, r)
			return err
		})
	case strings.HasPrefix(path, servicePrefix+"/"):
		s.serveAuthenticated(c, s.serveCall)
	default:
		s.respondFault(c, "", fault.Newf(fault.NotFound, "see docs/OPERATIONS.md for the paths", "there is no path %s", path))
	}
}

// serveAuthenticated parses the common properties of a request, calls f, and responds
// with the fault if one of them fails.
func (s *Server) serveAuthenticated(c *fasthttp.RequestCtx, f func(*fasthttp.RequestCtx, request) error) {
	r, err := s.parseRequest(c)
	c.Response.Header.Set(headerRequest, r.id)
	if err == nil {
		err = f(c, r)
	}
	if err == nil {
		return
	}
	x := fault.From(err)
	event.RequestFailed.Info("request", r.id, "workspace", r.workspace.Workspace, "kind", x.Kind(), "cause", x)
	s.respondFault(c, r.id, x)
}

// parseRequest authorizes the caller's credential and determines the request's ID and
// deadline.
func (s *Server) parseRequest(c *fasthttp.RequestCtx) (request, error) {
	h := &c.Request.Header
	r := request{id: string(h.Peek(headerRequest)), arrival: time.Now()}
	if !requestIDPattern.MatchString(r.id) {
		r.id = uuid.NewString()
	}
	r.ctx = otel.GetTextMapPropagator().Extract(s.ctx, web.HeaderCarrier{Header: h})
	credential, ok := strings.CutPrefix(string(h.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return r, fault.New(fault.Unauthorized, "the request has no credential",
			"send Authorization: Bearer with the workspace's credential")
	}
	r.workspace, ok = s.loop.View().Templates.Authorize(credential)
	if !ok {
		return r, fault.New(fault.Unauthorized, "no workspace has this credential",
			"check the credential; a new template is in force within seconds")
	}
	return s.withDeadline(r, string(h.Peek(headerDeadline)))
}

func (s *Server) withDeadline(r request, header string) (request, error) {
	budget := r.workspace.Deadline()
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil {
			return r, fault.Newf(fault.BadRequest, "send whole milliseconds from now",
				"the header %s has the bad value %q", headerDeadline, header)
		}
		if ms <= 0 {
			return r, fault.New(fault.DeadlineExpired, "the request's time was over when it came",
				"ask again with more time")
		}
		budget = time.Duration(min(ms, template.MaxDeadline.Milliseconds())) * time.Millisecond
	}
	r.deadline = r.arrival.Add(budget)
	return r, nil
}

func (s *Server) serveReadiness(c *fasthttp.RequestCtx) {
	v := s.loop.View()
	switch {
	case s.unready.Load() || v.Draining:
		c.Error("draining\n", http.StatusServiceUnavailable)
	case v.Templates.Number() == 0:
		c.Error("no templates yet\n", http.StatusServiceUnavailable)
	default:
		c.SetBodyString("ready\n")
	}
}

func serveProtocolError(c *fasthttp.RequestCtx, err error) {
	f := fault.New(fault.BadRequest, "the HTTP request can't be read", "send well-formed HTTP/1.1").WithCause(err)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		f = fault.New(fault.TooLarge, "the body is over the limit of this entry host",
			"send a shorter prompt, or ask the operators for a higher limits.body_bytes")
	}
	writeFault(c, "", f)
	c.SetConnectionClose()
}
