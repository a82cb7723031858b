// Package site holds the configuration of a site: the routes from requests to
// services, the callers' workspaces, and the limits on what callers send.
//
// A [Config] is immutable. It is built from one version of the operator's
// configuration, and is safe for concurrent use.
//
// # Usage
//
//	c := site.New(version, routes, services, site.KeysOf(workspaces), limits)
//	r, ok := c.Route("shop.example", "/orders/7")   // the longest prefix wins
//	w, ok := c.Workspace(key)
package site

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kinds of requests.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota
	// Once requests run at most once for each attempt of the caller.
	Once
	// Stream requests are answered by a series of events.
	Stream
)

type (
	// Kind determines whether the requests of a route may run more than once.
	Kind int

	// Route maps requests for a host and a path prefix to services.
	Route struct {
		// Name is the name given by the operator, for logs.
		Name string
		// Host is compared with the host of the request, without its port.
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   Kind
		// Timeout is the maximum duration of a request; zero if the route sets none.
		Timeout time.Duration
		// Objective is the time within which the answer, or the first event, is due.
		Objective time.Duration
		// Gap is the longest pause between events that still meets the objective.
		Gap time.Duration
		// Priority is 0 for the most urgent.
		Priority int
		// Targets are the services with their weights.
		Targets []Target
		// Attempts is the maximum number of backend servers that one request may
		// reach.
		Attempts int
		// Public routes require no key.
		Public bool
		// Resume reports that an interrupted stream may continue on another
		// backend server.
		Resume bool
		// Homes are the regions whose backend servers may run the requests; none if
		// all may.
		Homes []string
	}

	// Target is a service that receives a share of a route's requests, in proportion
	// to its weight.
	Target struct {
		Service string
		Weight  float64
	}

	// Service is a set of backend servers that process the same requests.
	Service struct {
		Name string
		// MaxConns is the number of connections that one backend server accepts from
		// all hosts together; zero if unknown.
		MaxConns int
		// ColdRate is the number of requests per second that a cold server accepts from
		// all hosts together; zero if cold servers accept as many as others. ColdTime is
		// how long a server stays cold after its start.
		ColdRate float64
		ColdTime time.Duration
		// Engine describes the model engines of the service; nil for plain
		// services.
		Engine *Engine
	}

	// Engine is the published performance model of an engine. An engine works in
	// passes, each a batch of token steps.
	Engine struct {
		// Slots is the number of requests that an engine runs concurrently.
		Slots int `yaml:"slots" validate:"gte=1"`
		// Memory is the capacity of the KV cache in tokens.
		Memory int `yaml:"memory" validate:"gte=1"`
		// StepsPerPass is the number of steps of a pass while any request decodes.
		StepsPerPass int `yaml:"stride" validate:"gte=1"`
		// StepTime is the base duration of one token step.
		StepTime time.Duration `yaml:"step" validate:"gt=0s"`
		// StepTimePerRequest is added to a step for each request that decodes.
		StepTimePerRequest time.Duration `yaml:"per_writer" validate:"gte=0s"`
		// StepTimePerContext is added to a step for each 1,000 tokens of context of
		// the requests that decode.
		StepTimePerContext time.Duration `yaml:"per_context" validate:"gte=0s"`
		// PrefillRate is the rate of prefill in prompt tokens per second.
		PrefillRate float64 `yaml:"read_rate" validate:"gt=0"`
		// PrefillTimePerPairs is the time of prefill for one million pairs of a token
		// and an earlier one.
		PrefillTimePerPairs time.Duration `yaml:"per_pairs" validate:"gte=0s"`
		// PrefillChunk is the maximum number of prompt tokens that are prefilled in a
		// step.
		PrefillChunk int `yaml:"chunk" validate:"gte=1"`
		// UsualPrompt and UsualAnswer are the mean sizes of prompts and answers in
		// tokens.
		UsualPrompt int `yaml:"usual_prompt" validate:"gte=1"`
		UsualAnswer int `yaml:"usual_answer" validate:"gte=0"`
	}

	// Workspace is a set of callers that is identified by its keys.
	Workspace struct {
		Name string
		// Priority overrides that of a route; negative if the workspace has none.
		Priority int
		// Homes are the regions whose backend servers may run the requests of the
		// workspace, in addition to the restrictions of the route; none if all may.
		Homes []string
	}

	// Keys are the callers' keys that are in force. The zero value is a site whose callers
	// need keys, of which none is in force.
	Keys struct {
		unneeded   bool
		workspaces map[string]Workspace
	}

	// Limits are the limits on what callers send.
	Limits struct {
		HeaderBytes, BodyBytes int
		// HeaderTime is the time within which the head of a request has to arrive,
		// IdleTime how long a connection may be idle between requests.
		HeaderTime, IdleTime time.Duration
	}

	// Config is one complete version of the configuration.
	Config struct {
		version  int64
		limits   Limits
		routes   map[string][]Route // by host, longest prefix first
		services map[string]Service
		keys     Keys
		names    []string // of all services, sorted
	}
)

// KeysOf returns the keys of workspaces. Without any, callers still need one. An empty key is
// what callers send who have none, and is left out.
func KeysOf(workspaces map[string]Workspace) Keys {
	workspaces = maps.Clone(workspaces)
	delete(workspaces, "")
	return Keys{workspaces: workspaces}
}

// NoKeysNeeded returns the keys of a site that has no workspaces, and serves all callers.
func NoKeysNeeded() Keys { return Keys{unneeded: true} }

// New returns a configuration.
func New(version int64, routes []Route, services []Service, keys Keys, limits Limits) *Config {
	c := &Config{
		version:  version,
		limits:   limits,
		routes:   map[string][]Route{},
		services: map[string]Service{},
		keys:     keys,
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range services {
		c.services[s.Name] = s
		c.names = append(c.names, s.Name)
	}
	slices.Sort(c.names)
	return c
}

// Version returns the operator's version number, which rises with each change.
func (c *Config) Version() int64 { return c.version }

// Limits returns the limits on what callers send.
func (c *Config) Limits() Limits { return c.limits }

// Keyed reports whether routes that are not public require a key.
func (c *Config) Keyed() bool { return !c.keys.unneeded }

// KeyCount returns the number of keys that are in force.
func (c *Config) KeyCount() int { return len(c.keys.workspaces) }

// Services returns the sorted names of all services.
func (c *Config) Services() []string { return c.names }

// Route returns the route of a host that has the longest prefix of path, and
// whether there is one.
func (c *Config) Route(host, path string) (Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with a name, and whether there is one.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Workspace returns the workspace that a key belongs to, and whether there is one.
func (c *Config) Workspace(key string) (Workspace, bool) {
	w, ok := c.keys.workspaces[key]
	return w, ok
}

// HeaviestService returns the service with the highest weight, the first of several. It
// returns the empty string if there are no targets.
func HeaviestService(targets []Target) string {
	if len(targets) == 0 {
		return ""
	}
	return slices.MaxFunc(targets, func(a, b Target) int { return cmp.Compare(a.Weight, b.Weight) }).Service
}

// Pick returns the target service for x in [0, 1). The targets divide this
// interval in proportion to their weights. It returns the empty string if the
// route has no targets.
func (r Route) Pick(x float64) string {
	var sum float64
	for _, t := range r.Targets {
		sum += t.Weight
	}
	point := x * sum
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Resumable reports whether a request may run again: repeatable requests may, and
// streams that may continue on another backend server.
func (r Route) Resumable() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resume
}
