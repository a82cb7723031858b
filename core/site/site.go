// Package site holds the configuration of a whole site: which routes lead to
// which services, who may call, and the limits on what callers send.
//
// A [Config] is immutable. It is made whole from one version of what the
// operator wrote, and looked things up in by any number of goroutines.
//
// # Usage
//
//	c := site.New(version, routes, services, workspaces, limits)
//	r, ok := c.Route("shop.example", "/orders/7")   // the longest prefix wins
//	w, ok := c.Workspace(key)
package site

import (
	"slices"
	"strings"
	"time"
)

// What may be done again with a request of a route.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota
	// Once requests run at most once an attempt of the caller.
	Once
	// Stream requests are answered by a series of events.
	Stream
)

type (
	// Kind says what may be repeated.
	Kind int

	// Route leads requests for a host and a path prefix to services.
	Route struct {
		// Name is the operator's, for logs.
		Name string
		// Host is compared with the request's, without its port.
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   Kind
		// Timeout is how long a request may be held; zero for no bound.
		Timeout time.Duration
		// Objective is the time to the answer, or to the first event.
		Objective time.Duration
		// Gap is the longest pause between events that still is in time.
		Gap time.Duration
		// Priority is 0 for the most urgent.
		Priority int
		// Targets are the services, by weight.
		Targets []Target
		// Attempts is the most backend servers that one request may reach.
		Attempts int
		// Public routes need no key.
		Public bool
		// Resume says that a broken stream may go on at another backend
		// server.
		Resume bool
	}

	// Target is a service with its part of a route's requests.
	Target struct {
		Service string
		Weight  float64
	}

	// Service is a set of backend servers that do the same work.
	Service struct {
		Name string
		// MaxConns is how many connections one backend server takes from all
		// hosts together; zero if it is not known.
		MaxConns int
		// Engine describes the model engines of the service; nil for plain
		// services.
		Engine *Engine
	}

	// Engine is the published model of how an engine spends its time.
	Engine struct {
		// Slots is how many requests it runs at once.
		Slots int `yaml:"slots" validate:"gte=1"`
		// Memory is in tokens.
		Memory int `yaml:"memory" validate:"gte=1"`
		// StepsPerPass is how many steps a pass has while any request writes.
		StepsPerPass int `yaml:"stride" validate:"gte=1"`
		// StepTime is the time of one token step.
		StepTime time.Duration `yaml:"step" validate:"gt=0s"`
		// StepTimePerRequest is added to a step for each request that writes.
		StepTimePerRequest time.Duration `yaml:"per_writer" validate:"gte=0s"`
		// StepTimePerContext is added to a step for each 1,000 tokens of context of
		// a request that writes.
		StepTimePerContext time.Duration `yaml:"per_context" validate:"gte=0s"`
		// PrefillRate is prompt tokens a second.
		PrefillRate float64 `yaml:"read_rate" validate:"gt=0"`
		// PrefillTimePerPairs is the time for a million pairs of a token and one before
		// it.
		PrefillTimePerPairs time.Duration `yaml:"per_pairs" validate:"gte=0s"`
		// PrefillChunk is the most prompt tokens that are read in a step.
		PrefillChunk int `yaml:"chunk" validate:"gte=1"`
		// UsualPrompt and UsualAnswer are mean sizes in tokens.
		UsualPrompt int `yaml:"usual_prompt" validate:"gte=1"`
		UsualAnswer int `yaml:"usual_answer" validate:"gte=0"`
	}

	// Workspace is a customer's, known by its keys.
	Workspace struct {
		Name string
		// Priority goes before that of a route; negative if it has none.
		Priority int
	}

	// Limits bound what callers send.
	Limits struct {
		HeaderBytes, BodyBytes int
		// HeaderTime is for the head of a request to arrive, IdleTime how
		// long a connection may rest between requests.
		HeaderTime, IdleTime time.Duration
	}

	// Config is one version of the configuration, whole.
	Config struct {
		version  int64
		limits   Limits
		routes   map[string][]Route // by host, longest prefix first
		services map[string]Service
		keys     map[string]Workspace
		names    []string
	}
)

// New returns a configuration. Keys maps each key to its workspace; an empty
// map means that no route asks for a key.
func New(version int64, routes []Route, services []Service, keys map[string]Workspace, limits Limits) *Config {
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

// Version is the operator's number, which rises with each change.
func (c *Config) Version() int64 { return c.version }

// Limits returns the bounds on what callers send.
func (c *Config) Limits() Limits { return c.limits }

// Keyed reports whether routes that are not public need a key.
func (c *Config) Keyed() bool { return len(c.keys) > 0 }

// Services returns the names of all services in order.
func (c *Config) Services() []string { return c.names }

// Route returns the route of a host with the longest prefix of path.
func (c *Config) Route(host, path string) (Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns a service by its name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Workspace returns the workspace that holds a key.
func (c *Config) Workspace(key string) (Workspace, bool) {
	w, ok := c.keys[key]
	return w, ok
}

// Pick returns the service at point x of the route's weights, from 0 up to
// but without 1.
func (r Route) Pick(x float64) string {
	var sum float64
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := x * sum
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Resumable reports whether a request may run again: a repeatable one, or a
// stream that may go on elsewhere.
func (r Route) Resumable() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resume
}
