// Package hosts is the client of the platform's list of live and leaving hosts.
// Changes appear in the list with a delay.
//
// # Usage
//
//	hs, changed, err := hosts.New(web.New(), "127.0.0.1:8100").List(ctx)
package hosts

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/web"
)

// readTimeout is the timeout of one read of the list.
const readTimeout = 5 * time.Second

// Role is the kind of program that a host runs.
type Role string

// The roles of hosts.
const (
	Entry   Role = "entry"   // an entry host with a slipcrank daemon
	Engine  Role = "engine"  // a model engine
	Service Role = "service" // an application runner with a plain service
	OldSite Role = "oldsite" // a front end of the old site
)

type (
	// Host is one entry of the list.
	Host struct {
		Addr string `json:"addr"` // IP address and port
		Hall string `json:"hall"` // data hall
		Role Role   `json:"role"`
		// Service is the name of the plain service, for the role [Service].
		Service string `json:"service,omitempty"`
		Leaving bool   `json:"leaving"`
		// ChecksFence reports, for the role [Engine], whether the engine
		// refuses orders whose fence is out of date.
		ChecksFence bool `json:"checks_fence,omitempty"`
	}

	// List reads the host list.
	List struct {
		// List returns all hosts in the list, and whether the list has changed
		// since the previous call.
		List func(ctx context.Context) (hs []Host, changed bool, err error)
	}

	client struct {
		web  *web.Client
		addr string

		mu    sync.Mutex
		etag  string // of the list in hosts
		hosts []Host
	}

	listReply struct {
		Hosts []Host `json:"hosts"`
	}
)

// New returns the list served at addr (an IP address and port). The list is long and
// rarely changes, so each read is conditional on the entity tag of the previous one.
func New(w *web.Client, addr string) List {
	c := &client{web: w, addr: addr}
	return List{List: c.list}
}

func (c *client) list(ctx context.Context) ([]Host, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(r)
	defer fasthttp.ReleaseResponse(a)
	r.SetRequestURI("http://" + c.addr + "/hosts")
	if c.etag != "" {
		r.Header.Set(fasthttp.HeaderIfNoneMatch, c.etag)
	}
	if err := c.web.Do(ctx, r, a); err != nil {
		return nil, false, errors.Wrap(err, "read host list")
	}
	b, err := web.ReadBody(a)
	if err != nil {
		return nil, false, err
	}
	switch a.StatusCode() {
	case http.StatusNotModified:
		return c.hosts, false, nil
	case http.StatusOK:
	default:
		return nil, false, &web.StatusError{Status: a.StatusCode(), Body: string(b)}
	}
	var l listReply
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, false, errors.Wrap(err, "decode host list")
	}
	c.etag, c.hosts = string(a.Header.Peek(fasthttp.HeaderETag)), l.Hosts
	return c.hosts, true, nil
}
