// Package devel runs a whole small fleet inside one process, for newcomers and
// for tests: the platform, engines, application runners and the old site as
// stand-ins, and real daemons in front of them.
//
// # Usage
//
//	f, err := devel.Start(ctx, devel.WithHalls("oslo-a", "oslo-b"), devel.WithDaemons(2))
//	url := "http://" + f.Nodes[0].Callers() + "/v1/completions"
package devel

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/changes"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/node"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/standin/engine"
	"slipcrank.example/standin/oldsite"
	"slipcrank.example/standin/platform"
	"slipcrank.example/standin/runner"
)

const (
	// Token is the operators' token of a dev fleet.
	Token = "dev-operator"
	// Model is the model that the engines of a dev fleet hold.
	Model = "voucher-7b"
	// Version is the version of [Model].
	Version = "1"

	// The ports of a dev fleet, counted up from the port base.
	callersPort   = 80
	peersPort     = 70
	operatorsPort = 90
	platformPort  = 100

	// DeadlyText is a text in a prompt that ends each engine which begins to run it.
	DeadlyText = "ends the engine that runs it"

	// oldPause is the time between two tokens of the old site.
	oldPause = 15 * time.Millisecond
)

type (
	// Fleet is a running dev fleet.
	Fleet struct {
		Platform     *platform.Platform
		PlatformAddr string
		Engines      []*engine.Engine
		EngineAddrs  []string
		Runners      []*runner.Runner
		OldSite      *oldsite.Site
		Nodes        []*node.Node

		halls    []string
		daemons  int
		engines  int
		base     int
		params   engine.Params
		change   func(settings.Settings) settings.Settings
		reach    func(from, to string) bool
		platform []platform.Option
		runner   []runner.Option
		list     []hosts.Host
		extra    int
		kills    []context.CancelFunc
		ended    atomic.Int64
	}

	// Option changes a fleet under construction.
	Option func(*Fleet)
)

// WithHalls sets the data halls.
func WithHalls(hs ...string) Option { return func(f *Fleet) { f.halls = hs } }

// WithDaemons sets the number of daemons in each hall.
func WithDaemons(n int) Option { return func(f *Fleet) { f.daemons = n } }

// WithEngines sets the number of engines in each hall.
func WithEngines(n int) Option { return func(f *Fleet) { f.engines = n } }

// WithPortBase makes the ports count up from n; 0 lets the system choose.
func WithPortBase(n int) Option { return func(f *Fleet) { f.base = n } }

// WithParams sets the numbers of the engines.
func WithParams(p engine.Params) Option { return func(f *Fleet) { f.params = p } }

// WithSettings sets a seam that changes each daemon's settings.
func WithSettings(c func(settings.Settings) settings.Settings) Option {
	return func(f *Fleet) { f.change = c }
}

// WithReach sets a seam that says whether one daemon can reach another.
func WithReach(r func(from, to string) bool) Option { return func(f *Fleet) { f.reach = r } }

// WithPlatform sets options of the platform stand-in.
func WithPlatform(os ...platform.Option) Option { return func(f *Fleet) { f.platform = os } }

// WithRunner sets options of the runner stand-ins.
func WithRunner(os ...runner.Option) Option { return func(f *Fleet) { f.runner = os } }

// WithHostListSize adds hosts of another hall to the host list, up to n in all, as a
// larger fleet would have.
func WithHostListSize(n int) Option { return func(f *Fleet) { f.extra = n } }

// Start starts a fleet that runs until ctx ends, and seeds its templates.
func Start(ctx context.Context, os ...Option) (*Fleet, error) {
	f := &Fleet{
		halls:   []string{"oslo-a", "oslo-b"},
		daemons: 2,
		engines: 3,
		params:  engine.DefaultParams(),
		change:  func(s settings.Settings) settings.Settings { return s },
		reach:   func(string, string) bool { return true },
	}
	for _, o := range os {
		o(f)
	}
	steps := []func(context.Context) error{f.startPlatform, f.startStandins, f.seed, f.startNodes}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) port(kind, n int) string {
	if f.base == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", f.base+kind+n)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	f.Platform = platform.New(f.platform...)
	var err error
	f.PlatformAddr, err = f.Platform.Serve(ctx, f.port(platformPort, 0))
	return err
}

func (f *Fleet) startStandins(ctx context.Context) error {
	for _, h := range f.halls {
		for range f.engines {
			ctx, kill := context.WithCancel(ctx)
			e := engine.New(engine.WithParams(f.params), engine.WithCopies(protocol.Copy{Model: Model, Version: Version}),
				engine.WithDeadly(f.deadly(kill)))
			f.kills = append(f.kills, kill)
			a, err := e.Serve(ctx, "127.0.0.1:0")
			if err != nil {
				return err
			}
			f.Engines, f.EngineAddrs = append(f.Engines, e), append(f.EngineAddrs, a)
			f.list = append(f.list, hosts.Host{Addr: a, Hall: h, Role: hosts.Engine, ChecksFence: f.params.ChecksFence})
		}
		r := runner.New(f.runner...)
		a, err := r.Serve(ctx, "127.0.0.1:0")
		if err != nil {
			return err
		}
		f.Runners = append(f.Runners, r)
		f.list = append(f.list, hosts.Host{Addr: a, Hall: h, Role: hosts.Service, Service: "vouchers"})
	}
	f.OldSite = oldsite.New(oldsite.WithPause(oldPause))
	a, err := f.OldSite.Serve(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.list = append(f.list, hosts.Host{Addr: a, Hall: "old", Role: hosts.OldSite})
	f.Platform.SetHosts(f.list)
	return nil
}

func (f *Fleet) startNodes(ctx context.Context) error {
	for _, h := range f.halls {
		for range f.daemons {
			if _, err := f.newNode(h); err != nil {
				return err
			}
		}
	}
	for i := len(f.list); i < f.extra; i++ {
		f.list = append(f.list, hosts.Host{Addr: fmt.Sprintf("127.1.%d.%d:7000", i/250, i%250), Hall: "elsewhere", Role: hosts.Service, Service: "none"})
	}
	f.Platform.SetHosts(f.list)
	for _, n := range f.Nodes {
		if err := n.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// deadly ends an engine that begins to run a prompt which says so.
func (f *Fleet) deadly(kill func()) func(prompt string) bool {
	return func(prompt string) bool {
		if !strings.Contains(prompt, DeadlyText) {
			return false
		}
		kill()
		f.ended.Add(1)
		return true
	}
}

// EndedEngines returns how many engines deadly prompts have ended.
func (f *Fleet) EndedEngines() int { return int(f.ended.Load()) }

// KillEngine makes an engine die at once: its connections break.
func (f *Fleet) KillEngine(i int) { f.kills[i]() }

// AddDaemon starts one more daemon, which knows the others from its settings
// only.
func (f *Fleet) AddDaemon(ctx context.Context, hall string) (*node.Node, error) {
	n, err := f.newNode(hall)
	if err != nil {
		return nil, err
	}
	return n, n.Start(ctx)
}

func (f *Fleet) newNode(hall string) (*node.Node, error) {
	digest := sha256.Sum256([]byte(Token))
	n := len(f.Nodes)
	s := settings.Default().WithHall(hall).WithListen(settings.Listen{
		Callers: f.port(callersPort, n), Peers: f.port(peersPort, n), Operators: f.port(operatorsPort, n),
	})
	for _, other := range f.Nodes {
		s = s.WithBootstrap(append(s.Bootstrap, other.Peers())...)
	}
	s.Platform = f.PlatformAddr
	s.OperatorTokenSHA256 = hex.EncodeToString(digest[:])
	s.Drain.Notice = 100 * time.Millisecond
	var self string
	d, err := node.New(f.change(s), node.WithReach(func(addr string) bool { return f.reach(self, addr) }))
	if err != nil {
		return nil, err
	}
	self = d.Peers()
	f.Nodes = append(f.Nodes, d)
	f.list = append(f.list, hosts.Host{Addr: self, Hall: hall, Role: hosts.Entry})
	return d, nil
}

// seed stores the example templates, as operators would have.
func (f *Fleet) seed(ctx context.Context) error {
	log := changes.New(f.Platform.Raw())
	for _, t := range Templates() {
		if _, err := log.Apply(ctx, "seed-"+t.Workspace, t, 0); err != nil {
			return errors.Wrapf(err, "seed %s", t.Workspace)
		}
	}
	return nil
}

// Hosts returns the host list.
func (f *Fleet) Hosts() []hosts.Host { return f.list }

// Ready reports whether every daemon knows the templates, and every engine.
func (f *Fleet) Ready() bool {
	for _, n := range f.Nodes {
		v := n.Loop().View()
		if int(v.Book.Number()) < len(Templates()) || len(v.Members) < len(f.Nodes) {
			return false
		}
		if v.Home(Model, Version).Len()+v.Away(Model, Version).Len() < len(f.Engines) {
			return false
		}
	}
	return true
}

// Credential returns the credential of an example workspace.
func Credential(workspace string) string { return workspace + "-secret" }

// Templates returns the example templates.
func Templates() []template.Template {
	example := func(name string, u template.Urgency, deadline float64) template.Template {
		d := sha256.Sum256([]byte(Credential(name)))
		return template.Template{
			Workspace:        name,
			CredentialSHA256: []string{hex.EncodeToString(d[:])},
			Models:           []template.Model{{Name: Model, Version: Version}},
			Calls: []template.Call{
				{Path: "/balance", Service: "vouchers", Repeatable: true},
				{Path: "/issue", Service: "vouchers"},
			},
			Urgency:         u,
			Share:           template.Share{OldSite: 0.5, NewSite: 0.5},
			DeadlineSeconds: deadline,
			Crossover:       template.Crossover{State: template.New, Percent: 100},
		}
	}
	return []template.Template{
		example("till", template.Interactive, 20),
		example("captions", template.Interactive, 30),
		example("ledgers", template.Review, 600),
		example("manuscripts", template.Standard, 300),
	}
}
