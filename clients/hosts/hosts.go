// Package hosts is the project's side of the platform's list of live and
// leaving hosts. The list lags behind reality.
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

// readTime bounds one read of the list.
const readTime = 5 * time.Second

// Role says what a host runs.
type Role string

// The roles of hosts.
const (
	Entry   Role = "entry"   // an entry host with a slipcrank daemon
	Engine  Role = "engine"  // a model runner
	Service Role = "service" // an application runner with a plain service
	OldSite Role = "oldsite" // the front of the old site
)

type (
	// Host is one line of the list.
	Host struct {
		Addr string `json:"addr"` // IP number and port
		Hall string `json:"hall"` // data hall
		Role Role   `json:"role"`
		// Service names the plain service, for the role [Service].
		Service string `json:"service,omitempty"`
		Leaving bool   `json:"leaving"`
		// ChecksFence says, for the role [Engine], whether the engine
		// refuses orders with an old fencing number.
		ChecksFence bool `json:"checks_fence,omitempty"`
	}

	// List reads the host list.
	List struct {
		// List returns all hosts that the platform knows, and whether they
		// differ from those of the call before.
		List func(ctx context.Context) (hs []Host, changed bool, err error)
	}

	client struct {
		web  *web.Client
		addr string

		mu    sync.Mutex
		tag   string // entity tag of the list that was read last
		hosts []Host
	}

	listReply struct {
		Hosts []Host `json:"hosts"`
	}
)

// New returns the list at addr (an IP number and port). The list is long and
// changes seldom, so each read asks, by entity tag, only for a newer one.
func New(w *web.Client, addr string) List {
	c := &client{web: w, addr: addr}
	return List{List: c.list}
}

func (c *client) list(ctx context.Context) ([]Host, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	r, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(r)
	defer fasthttp.ReleaseResponse(a)
	r.SetRequestURI("http://" + c.addr + "/hosts")
	if c.tag != "" {
		r.Header.Set(fasthttp.HeaderIfNoneMatch, c.tag)
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
	c.tag, c.hosts = string(a.Header.Peek(fasthttp.HeaderETag)), l.Hosts
	return c.hosts, true, nil
}
