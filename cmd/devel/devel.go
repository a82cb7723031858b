// Package devel runs a small fleet inside one process, for development and tests.
// The daemons are real; the platform, the engines, the application runners and the
// old site are stand-ins.
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
	"sync"
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
	// Token is the operators' token of a development fleet.
	Token = "dev-operator"
	// Model is the model that the engines of a development fleet have loaded.
	Model = "voucher-7b"
	// Version is the version of [Model].
	Version = "1"

	// Offsets of the ports from the port base. The number of the daemon is added.
	callersPort   = 80
	peersPort     = 70
	operatorsPort = 90
	platformPort  = 100

	// DeadlyText makes a prompt that contains it end each engine which starts to run it.
	DeadlyText = "ends the engine that runs it"

	// oldSiteTokenInterval is the time between two tokens of the old site.
	oldSiteTokenInterval = 15 * time.Millisecond
)

type (
	// Fleet is a running development fleet.
	Fleet struct {
		Platform     *platform.Platform
		PlatformAddr string
		Engines      []*engine.Engine
		EngineAddrs  []string
		Runners      []*runner.Runner
		OldSite      *oldsite.Site
		Nodes        []*node.Node

		halls           []string
		daemons         int
		engines         int
		portBase        int
		engineParams    engine.Params
		changeSettings  func(settings.Settings) settings.Settings
		reachable       func(from, to string) bool
		platformOptions []platform.Option
		runnerOptions   []runner.Option
		hostList        []hosts.Host
		hostListSize    int
		killEngines     []context.CancelFunc
		endedEngines    atomic.Int64
	}

	// Option configures a fleet before it starts.
	Option func(*Fleet)
)

// WithHalls sets the data halls.
func WithHalls(halls ...string) Option { return func(f *Fleet) { f.halls = halls } }

// WithDaemons sets the number of daemons in each hall.
func WithDaemons(n int) Option { return func(f *Fleet) { f.daemons = n } }

// WithEngines sets the number of engines in each hall.
func WithEngines(n int) Option { return func(f *Fleet) { f.engines = n } }

// WithPortBase sets the base of the daemons' and the platform's ports. With 0, the
// system chooses the ports.
func WithPortBase(n int) Option { return func(f *Fleet) { f.portBase = n } }

// WithParams sets the parameters of the stand-in engines.
func WithParams(p engine.Params) Option { return func(f *Fleet) { f.engineParams = p } }

// WithSettings sets a function that changes each daemon's settings before the
// daemon is created.
func WithSettings(c func(settings.Settings) settings.Settings) Option {
	return func(f *Fleet) { f.changeSettings = c }
}

// WithReach sets a function that reports whether one daemon can reach another, by
// their peer addresses. Tests use it to simulate failed links.
func WithReach(r func(from, to string) bool) Option { return func(f *Fleet) { f.reachable = r } }

// WithPlatform sets options of the platform stand-in.
func WithPlatform(opts ...platform.Option) Option { return func(f *Fleet) { f.platformOptions = opts } }

// WithRunner sets options of the runner stand-ins.
func WithRunner(opts ...runner.Option) Option { return func(f *Fleet) { f.runnerOptions = opts } }

// WithHostListSize fills the host list up to n entries with hosts of another hall,
// to simulate a larger fleet. These hosts don't exist.
func WithHostListSize(n int) Option { return func(f *Fleet) { f.hostListSize = n } }

// Start starts a fleet that runs until ctx ends, and stores the example templates.
func Start(ctx context.Context, opts ...Option) (*Fleet, error) {
	f := &Fleet{
		halls:          []string{"oslo-a", "oslo-b"},
		daemons:        2,
		engines:        3,
		engineParams:   engine.DefaultParams(),
		changeSettings: func(s settings.Settings) settings.Settings { return s },
		reachable:      func(string, string) bool { return true },
	}
	for _, o := range opts {
		o(f)
	}
	steps := []func(context.Context) error{f.startPlatform, f.startStandins, f.applyTemplates, f.startNodes}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) listenAddr(offset, n int) string {
	if f.portBase == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", f.portBase+offset+n)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	f.Platform = platform.New(f.platformOptions...)
	var err error
	f.PlatformAddr, err = f.Platform.Serve(ctx, f.listenAddr(platformPort, 0))
	return err
}

func (f *Fleet) startStandins(ctx context.Context) error {
	for _, hall := range f.halls {
		for range f.engines {
			ctx, kill := context.WithCancel(ctx)
			e := engine.New(engine.WithParams(f.engineParams), engine.WithCopies(protocol.Copy{Model: Model, Version: Version}),
				engine.WithFatalPrompts(f.killOnDeadly(kill)))
			f.killEngines = append(f.killEngines, kill)
			addr, err := e.Serve(ctx, "127.0.0.1:0")
			if err != nil {
				return err
			}
			f.Engines, f.EngineAddrs = append(f.Engines, e), append(f.EngineAddrs, addr)
			f.hostList = append(f.hostList, hosts.Host{Addr: addr, Hall: hall, Role: hosts.Engine, ChecksFence: f.engineParams.ChecksFence})
		}
		r := runner.New(f.runnerOptions...)
		addr, err := r.Serve(ctx, "127.0.0.1:0")
		if err != nil {
			return err
		}
		f.Runners = append(f.Runners, r)
		f.hostList = append(f.hostList, hosts.Host{Addr: addr, Hall: hall, Role: hosts.Service, Service: "vouchers"})
	}
	f.OldSite = oldsite.New(oldsite.WithPause(oldSiteTokenInterval))
	addr, err := f.OldSite.Serve(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.hostList = append(f.hostList, hosts.Host{Addr: addr, Hall: "old", Role: hosts.OldSite})
	f.Platform.SetHosts(f.hostList)
	return nil
}

func (f *Fleet) startNodes(ctx context.Context) error {
	for _, hall := range f.halls {
		for range f.daemons {
			if _, err := f.newNode(hall); err != nil {
				return err
			}
		}
	}
	for i := len(f.hostList); i < f.hostListSize; i++ {
		f.hostList = append(f.hostList, hosts.Host{Addr: fmt.Sprintf("127.1.%d.%d:7000", i/250, i%250), Hall: "elsewhere", Role: hosts.Service, Service: "none"})
	}
	f.Platform.SetHosts(f.hostList)
	for _, n := range f.Nodes {
		if err := n.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// killOnDeadly returns a function that calls kill and returns true if a prompt
// contains DeadlyText.
func (f *Fleet) killOnDeadly(kill func()) func(prompt string) bool {
	var once sync.Once // the engine may start several such prompts before it ends
	return func(prompt string) bool {
		if !strings.Contains(prompt, DeadlyText) {
			return false
		}
		kill()
		once.Do(func() { f.endedEngines.Add(1) })
		return true
	}
}

// EndedEngines returns how many engines were ended by a deadly prompt.
func (f *Fleet) EndedEngines() int { return int(f.endedEngines.Load()) }

// KillEngine ends engine i at once, without notice: its connections break.
func (f *Fleet) KillEngine(i int) { f.killEngines[i]() }

// AddDaemon starts another daemon. It is not in the platform's host list and knows
// the others only from the bootstrap addresses in its settings.
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
		Callers: f.listenAddr(callersPort, n), Peers: f.listenAddr(peersPort, n), Operators: f.listenAddr(operatorsPort, n),
	})
	for _, other := range f.Nodes {
		s = s.WithBootstrap(append(s.Bootstrap, other.Peers())...)
	}
	s.Platform = f.PlatformAddr
	s.OperatorTokenSHA256 = hex.EncodeToString(digest[:])
	s.Drain.Notice = 100 * time.Millisecond
	var self string
	daemon, err := node.New(f.changeSettings(s), node.WithReach(func(addr string) bool { return f.reachable(self, addr) }))
	if err != nil {
		return nil, err
	}
	self = daemon.Peers()
	f.Nodes = append(f.Nodes, daemon)
	f.hostList = append(f.hostList, hosts.Host{Addr: self, Hall: hall, Role: hosts.Entry})
	return daemon, nil
}

// applyTemplates stores the example templates, as operators would.
func (f *Fleet) applyTemplates(ctx context.Context) error {
	log := changes.New(f.Platform.Raw())
	for _, t := range Templates() {
		if _, err := log.Apply(ctx, "seed-"+t.Workspace, t, 0); err != nil {
			return errors.Wrapf(err, "seed %s", t.Workspace)
		}
	}
	return nil
}

// Hosts returns the host list.
func (f *Fleet) Hosts() []hosts.Host { return f.hostList }

// Ready reports whether every daemon has the templates and knows all daemons and
// engines.
func (f *Fleet) Ready() bool {
	for _, n := range f.Nodes {
		v := n.Loop().View()
		if int(v.Templates.Number()) < len(Templates()) || len(v.Members) < len(f.Nodes) {
			return false
		}
		if v.LocalEngines(Model, Version).Len()+v.RemoteEngines(Model, Version).Len() < len(f.Engines) {
			return false
		}
	}
	return true
}

// Credential returns the credential of an example workspace.
func Credential(workspace string) string { return workspace + "-secret" }

// Templates returns the example templates.
func Templates() []template.Template {
	example := func(name string, urgency template.Urgency, deadline float64) template.Template {
		digest := sha256.Sum256([]byte(Credential(name)))
		return template.Template{
			Workspace:        name,
			CredentialSHA256: []string{hex.EncodeToString(digest[:])},
			Models:           []template.Model{{Name: Model, Version: Version}},
			Calls: []template.Call{
				{Path: "/balance", Service: "vouchers", Repeatable: true},
				{Path: "/issue", Service: "vouchers"},
			},
			Urgency:         urgency,
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
