// Package operators is the interface behind the operators' command line:
// templates, workspaces, hosts, engines, explanations and metrics. Operators
// change templates and parameters here, never single requests.
//
// Every path but /metrics needs the operators' token.
//
// # Usage
//
//	s := operators.New(loop, changes, ring, metrics, operators.WithToken(digest))
//	s.Serve(listener)
package operators

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"slipcrank.example/core/changes"
	"slipcrank.example/core/fault"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/dispatch"
	"slipcrank.example/daemon/peers"
	"slipcrank.example/daemon/telemetry"
)

const (
	requestTime = 10 * time.Second
	maxBody     = 1 << 20
)

type (
	// Server answers operators.
	Server struct {
		loop    *control.Loop
		changes *changes.Log
		ring    *dispatch.Ring
		metrics *telemetry.Metrics
		peers   *peers.Client
		digest  string
		lease   func() string
		http    *fasthttp.Server
		routes  map[string]handler
	}

	// Option changes a server under construction.
	Option func(*Server)

	// handler answers one path; rest is what follows the path.
	handler func(ctx context.Context, c *fasthttp.RequestCtx, rest string) (any, error)

	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Kind    fault.Kind `json:"kind"`
		Message string     `json:"message"`
		Remedy  string     `json:"remedy"`
	}
)

// WithTokenDigest sets the hex SHA-256 of the operators' token.
func WithTokenDigest(d string) Option { return func(s *Server) { s.digest = d } }

// WithPeers sets the client that asks other daemons for their versions.
func WithPeers(c *peers.Client) Option { return func(s *Server) { s.peers = c } }

// WithLeaseHolder sets the source of the holder of the hall's control lease.
func WithLeaseHolder(f func() string) Option { return func(s *Server) { s.lease = f } }

// New returns a server.
func New(l *control.Loop, g *changes.Log, r *dispatch.Ring, m *telemetry.Metrics, os ...Option) *Server {
	s := &Server{loop: l, changes: g, ring: r, metrics: m, lease: func() string { return "" }}
	for _, o := range os {
		o(s)
	}
	s.routes = map[string]handler{
		"GET /v1/templates":  s.templates,
		"POST /v1/templates": s.apply,
		"GET /v1/history":    s.history,
		"GET /v1/status":     s.status,
		"POST /v1/move":      s.move,
		"GET /v1/hosts":      s.hosts,
		"GET /v1/engines":    s.engines,
		"GET /v1/explain":    s.explain,
	}
	s.http = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: maxBody, CloseOnShutdown: true, NoDefaultServerHeader: true}
	return s
}

// Serve answers on l until [Server.Close].
func (s *Server) Serve(l net.Listener) { go func() { _ = s.http.Serve(l) }() }

// Close stops listening and waits for requests in progress.
func (s *Server) Close(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	if path == "/metrics" {
		c.SetContentType("text/plain; version=0.0.4")
		c.SetBodyString(s.metrics.Text())
		return
	}
	if !s.authorized(c) {
		fail(c, fault.New(fault.Unauthorized, "the operators' token is missing or wrong",
			"set SLIPCRANK_TOKEN to the token whose digest is in the settings"))
		return
	}
	route, rest := split(string(c.Method()) + " " + path)
	h, ok := s.routes[route]
	if !ok {
		fail(c, fault.Newf(fault.NotFound, "use the slipcrank command line", "there is no path %s", path))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	v, err := h(ctx, c, rest)
	if err != nil {
		fail(c, fault.From(err))
		return
	}
	write(c, v)
}

func (s *Server) authorized(c *fasthttp.RequestCtx) bool {
	token, ok := strings.CutPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	d := sha256.Sum256([]byte(token))
	return ok && subtle.ConstantTimeCompare([]byte(hex.EncodeToString(d[:])), []byte(strings.ToLower(s.digest))) == 1
}

// split cuts "GET /v1/templates/till" into its route and the rest.
func split(s string) (route, rest string) {
	const parts = 3 // the method with a slash, the version, the name
	p := strings.SplitN(s, "/", parts+1)
	if len(p) <= parts {
		return s, ""
	}
	return strings.Join(p[:parts], "/"), p[parts]
}

func fail(c *fasthttp.RequestCtx, f *fault.Error) {
	c.SetStatusCode(f.Status())
	write(c, errorBody{Error: errorDetail{Kind: f.Kind(), Message: f.Message(), Remedy: f.Remedy()}})
}

func write(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}

func unknownWorkspace(name string) error {
	return fault.Newf(fault.UnknownWorkspace, "see slipcrank workspace list", "there is no workspace %q", name)
}

// decode reads the JSON body of a request.
func decode(c *fasthttp.RequestCtx, v any) error {
	if err := json.Unmarshal(c.PostBody(), v); err != nil {
		return fault.Newf(fault.BadRequest, "send the JSON that the command line sends", "the body can't be read: %v", err)
	}
	return nil
}
