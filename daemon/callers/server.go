// Package callers is the interface that callers' clients speak: completions
// and chat completions with server-sent events, the list of models, calls to
// plain services, and health and readiness for the balancer.
//
// # Usage
//
//	s := callers.New(loop, dispatcher, caller, callers.WithLimits(l))
//	s.Serve(ctx, listener)
//	s.Drain(ctx, drain)   // a planned stop
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

// Header names of callers' requests and of the answers to them.
const (
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Deadline-Ms"
	headerKey      = "Idempotency-Key"
	headerStable   = "X-Stable-Key"
	headerResume   = "Last-Event-Id"

	servicePrefix = "/v1/services"
	modelsPath    = "/v1/models"
)

var requestID = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

type (
	// Server answers callers.
	Server struct {
		loop     *control.Loop
		dispatch *dispatch.Dispatcher
		calls    *calls.Caller
		once     *calls.Once
		old      *oldsite.Client
		metrics  *telemetry.Metrics
		limits   settings.Limits
		traffic  *ants.Pool
		http     *fasthttp.Server
		open     atomic.Int64
		unready  atomic.Bool
		closed   atomic.Bool
	}

	// Option changes a server under construction.
	Option func(*Server)

	// request is what every request has.
	request struct {
		ctx       context.Context
		id        string
		arrival   time.Time
		deadline  time.Time
		workspace template.Template
	}
)

// WithLimits sets the bounds of what is taken in.
func WithLimits(l settings.Limits) Option { return func(s *Server) { s.limits = l } }

// WithMetrics sets where the server counts.
func WithMetrics(m *telemetry.Metrics) Option { return func(s *Server) { s.metrics = m } }

// WithOnce sets the runner of prompts that may not be repeated.
func WithOnce(o *calls.Once) Option { return func(s *Server) { s.once = o } }

// WithOldSite sets the client of the old site.
func WithOldSite(c *oldsite.Client) Option { return func(s *Server) { s.old = c } }

// New returns a server.
func New(l *control.Loop, d *dispatch.Dispatcher, c *calls.Caller, os ...Option) (*Server, error) {
	s := &Server{
		loop:     l,
		dispatch: d,
		calls:    c,
		metrics:  telemetry.NewMetrics(),
		limits:   settings.Default().Limits,
	}
	for _, o := range os {
		o(s)
	}
	p, err := ants.NewPool(s.limits.Requests, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "make the pool of requests")
	}
	s.traffic = p
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    s.limits.BodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          badRequest,
		ReadTimeout:           time.Minute,
		IdleTimeout:           2 * time.Minute,
	}
	return s, nil
}

// Serve answers on l until [Server.Close].
func (s *Server) Serve(l net.Listener) {
	go func() { _ = s.http.Serve(stallListener{l}) }()
}

// Close stops listening and closes idle connections.
func (s *Server) Close(ctx context.Context) error {
	defer s.traffic.Release()
	return s.http.ShutdownWithContext(ctx)
}

// Open returns the number of requests in progress.
func (s *Server) Open() int64 { return s.open.Load() }

// Unready makes the readiness check fail, so that the balancer sends no more.
// Requests that still come are served.
func (s *Server) Unready() { s.unready.Store(true) }

// Refuse makes the server refuse new requests. Those in progress run on.
func (s *Server) Refuse() { s.closed.Store(true) }

func (s *Server) handle(c *fasthttp.RequestCtx) {
	s.open.Add(1)
	streamed := false
	defer func() {
		if r := recover(); r != nil {
			event.HandlerPanic.Error(errors.Newf("%v", r), "path", string(c.Path()))
			s.fail(c, "", fault.From(errors.Newf("%v", r)))
		}
		if !streamed {
			s.open.Add(-1)
		}
	}()
	path := string(c.Path())
	switch {
	case path == "/healthz":
		c.SetBodyString("ok\n")
	case path == "/readyz":
		s.ready(c)
	case s.closed.Load():
		s.fail(c, "", fault.New(fault.Draining, "this entry host is stopping",
			"ask again; the balancer will pick another").WithRetryAfter(time.Second))
	case path == modelsPath:
		s.with(c, s.models)
	case path == completionsPath || path == chatPath:
		s.with(c, func(c *fasthttp.RequestCtx, r request) error {
			var err error
			streamed, err = s.complete(c, r)
			return err
		})
	case strings.HasPrefix(path, servicePrefix+"/"):
		s.with(c, s.service)
	default:
		s.fail(c, "", fault.Newf(fault.NotFound, "see docs/OPERATIONS.md for the paths", "there is no path %s", path))
	}
}

// with reads what every request has, runs f, and answers its error.
func (s *Server) with(c *fasthttp.RequestCtx, f func(*fasthttp.RequestCtx, request) error) {
	r, err := s.read(c)
	c.Response.Header.Set(headerRequest, r.id)
	if err == nil {
		err = f(c, r)
	}
	if err == nil {
		return
	}
	x := fault.From(err)
	event.RequestFailed.Info("request", r.id, "workspace", r.workspace.Workspace, "kind", x.Kind(), "cause", x)
	s.fail(c, r.id, x)
}

// read checks the credential and works out the request's id and deadline.
func (s *Server) read(c *fasthttp.RequestCtx) (request, error) {
	h := &c.Request.Header
	r := request{id: string(h.Peek(headerRequest)), arrival: time.Now()}
	if !requestID.MatchString(r.id) {
		r.id = uuid.NewString()
	}
	r.ctx = otel.GetTextMapPropagator().Extract(context.Background(), web.HeaderCarrier{Header: h})
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

func (s *Server) ready(c *fasthttp.RequestCtx) {
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

func badRequest(c *fasthttp.RequestCtx, err error) {
	f := fault.New(fault.BadRequest, "the HTTP request can't be read", "send well-formed HTTP/1.1").WithCause(err)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		f = fault.New(fault.TooLarge, "the body is over the limit of this entry host",
			"send a shorter prompt, or ask the operators for a higher limits.body_bytes")
	}
	writeFault(c, "", f)
	c.SetConnectionClose()
}
