// Package operators implements the HTTP interface for the operators' command line:
// templates, workspaces, hosts, engines, explanations of requests, and metrics.
// Operators change templates and parameters, but not single requests.
//
// All paths but /metrics require the operators' token.
//
// # Usage
//
//	s := operators.New(loop, changes, ring, metrics, operators.WithTokenDigest(digest))
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
	requestTimeout = 10 * time.Second
	maxBodyBytes   = 1 << 20
)

type (
	// Server handles the requests of operators.
	Server struct {
		loop        *control.Loop
		changes     *changes.Log
		records     *dispatch.Ring // of recent requests
		metrics     *telemetry.Metrics
		peers       *peers.Client
		tokenDigest string // SHA-256, in hex
		leaseHolder func() string
		http        *fasthttp.Server
		routes      map[string]handler
	}

	// Option configures a [Server].
	Option func(*Server)

	// handler handles a route and returns the reply, which is encoded as JSON. rest
	// is the part of the path after the route.
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

// WithTokenDigest sets the SHA-256 digest of the operators' token, in hex.
func WithTokenDigest(d string) Option { return func(s *Server) { s.tokenDigest = d } }

// WithPeers sets the client for the status of other daemons.
func WithPeers(c *peers.Client) Option { return func(s *Server) { s.peers = c } }

// WithLeaseHolder sets a function that returns the holder of the hall's control lease.
func WithLeaseHolder(f func() string) Option { return func(s *Server) { s.leaseHolder = f } }

// New returns a server.
func New(l *control.Loop, g *changes.Log, r *dispatch.Ring, m *telemetry.Metrics, os ...Option) *Server {
	s := &Server{loop: l, changes: g, records: r, metrics: m, leaseHolder: func() string { return "" }}
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
	s.http = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: maxBodyBytes, CloseOnShutdown: true, NoDefaultServerHeader: true}
	return s
}

// Serve serves requests on l until [Server.Close]. It does not block.
func (s *Server) Serve(l net.Listener) { go func() { _ = s.http.Serve(l) }() }

// Close stops the server and waits for requests in progress until ctx ends.
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
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	v, err := h(ctx, c, rest)
	if err != nil {
		fail(c, fault.From(err))
		return
	}
	write(c, v)
}

// authorized reports whether a request has the operators' token.
func (s *Server) authorized(c *fasthttp.RequestCtx) bool {
	token, ok := strings.CutPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	d := sha256.Sum256([]byte(token))
	return ok && subtle.ConstantTimeCompare([]byte(hex.EncodeToString(d[:])), []byte(strings.ToLower(s.tokenDigest))) == 1
}

// split separates the route from the rest: "GET /v1/templates/till" gives
// "GET /v1/templates" and "till".
func split(s string) (route, rest string) {
	const parts = 3 // the method, the version, the name
	p := strings.SplitN(s, "/", parts+1)
	if len(p) <= parts {
		return s, ""
	}
	return strings.Join(p[:parts], "/"), p[parts]
}

// fail responds with a fault.
func fail(c *fasthttp.RequestCtx, f *fault.Error) {
	c.SetStatusCode(f.Status())
	write(c, errorBody{Error: errorDetail{Kind: f.Kind(), Message: f.Message(), Remedy: f.Remedy()}})
}

// write responds with v as JSON.
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

// decode decodes the JSON body of a request into v.
func decode(c *fasthttp.RequestCtx, v any) error {
	if err := json.Unmarshal(c.PostBody(), v); err != nil {
		return fault.Newf(fault.BadRequest, "send the JSON that the command line sends", "the body can't be read: %v", err)
	}
	return nil
}
