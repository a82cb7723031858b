package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	host     = "ficu95.example"
	key      = "n2ctnfzs989anu6wsjnb"
	otherKey = "anfqasnmgkcuyj8pjbvk"
	owner    = "hule930"
)

type (
	// fleet has the daemons, the store and the runners of a case.
	fleet struct {
		root, dir string
		rec       *record
		net       string // the first three bytes of all addresses
		base      int    // the first port
		store     *store

		mu      sync.Mutex
		daemons []*daemon
		runners []*runner
		version int
	}

	// daemon is one process of the project.
	daemon struct {
		fleet    *fleet
		name     string
		ip       string
		zone     string
		settings string

		mu    sync.Mutex
		cmd   *exec.Cmd
		ended chan struct{}
	}
)

// newFleet finds free loopback addresses and starts the store.
func newFleet(root string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, rec: rec, version: 7}
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		f.base = 20000 + 40*rand.IntN(200)
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", f.net, f.base))
		if err != nil {
			continue
		}
		f.store = newStore(l)
		return f, nil
	}
	return nil, fmt.Errorf("no free port for the store")
}

// stop ends all processes that the fleet has started.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.kill()
	}
	_ = os.RemoveAll(f.dir)
}

// addDaemon starts one more daemon. All have the same ports, on addresses of their own.
func (f *fleet) addDaemon(zone string, first bool) (*daemon, error) {
	n := len(f.daemons) + 1
	d := &daemon{fleet: f, name: fmt.Sprintf("front-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", f.net, 10+n), zone: zone}
	d.settings = filepath.Join(f.dir, d.name+".yaml")
	if err := d.writeSettings(first); err != nil {
		return nil, err
	}
	f.daemons = append(f.daemons, d)
	return d, d.start()
}

// writeSettings fills the template of the deploy file.
func (d *daemon) writeSettings(first bool) error {
	f := d.fleet
	text := fmt.Sprintf(`host: %q
hall: %q
regions: { "leon": "bajio", "celaya": "bajio", "irapuato": "bajio" }
listen:
  callers: %q
  readiness: %q
  metrics: %q
  news: %q
  delegation: %q
platform: %q
first_start: %t
seeds: ["%s.11:%d","%s.12:%d","%s.13:%d"]
link: 1000.0
memory: 284
bounds:
  key_proof: 5000ms
  unproven_keys: refuse
  config: 2000ms
  grace: 8s
  retries:
    share: 0.2
    extra: 104
    span: 10s
scarcity:
  placement: spread
  late_callers: yield
  urgency: ranked
  price: fixed
`, d.name, d.zone, d.front(), d.ready(), d.ip+":9464", d.addr(3), d.addr(4), f.store.addr, first,
		f.net, f.base+5, f.net, f.base+5, f.net, f.base+5)
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

func (d *daemon) addr(port int) string { return fmt.Sprintf("%s:%d", d.ip, d.fleet.base+port) }
func (d *daemon) front() string        { return d.addr(1) }
func (d *daemon) ready() string        { return d.addr(2) }

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.fleet.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/slipcrankd", "entry")
	cmd.Dir = d.fleet.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SLIPCRANK_BOOT=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended = cmd, ended
	d.mu.Unlock()
	d.fleet.rec.line("%s starts, process %d", d.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		d.fleet.rec.line("%s has ended: %s", d.name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.fleet.rec.line("%s to %s", s, d.name)
		_ = d.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// awaitReady waits until all daemons say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range f.daemons {
		for !d.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", d.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.rec.line("%s is ready", d.name)
	}
	return nil
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + d.ready() + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

type (
	route struct {
		Name     string `json:"name"`
		Host     string `json:"host"`
		Prefix   string `json:"path-prefix"`
		Kind     string `json:"kind"`
		Timeout  int    `json:"timeout-ms"`
		SLO      int    `json:"slo-ms"`
		Priority int    `json:"priority"`
		Service  string `json:"service"`
		Attempts int    `json:"max-attempts"`
		Public   bool   `json:"public"`
		Resume   bool   `json:"stream-resume,omitempty"`
		GapAim   int    `json:"gap_aim_ms,omitempty"`
		Affinity bool   `json:"session-affinity,omitempty"`
	}

	service struct {
		Name     string  `json:"name"`
		Health   string  `json:"health-path"`
		MaxConns int     `json:"max-conns"`
		Protocol string  `json:"protocol"`
		TLS      bool    `json:"tls"`
		Engine   *engine `json:"engine,omitempty"`
	}

	engine struct {
		Slots   int     `json:"slots"`
		KV      int     `json:"kv-tokens"`
		Stride  int     `json:"stride"`
		Step    float64 `json:"step_ms"`
		PerSeq  float64 `json:"per_seq_ms"`
		Context float64 `json:"context_per_k"`
		Read    float64 `json:"read_per_s"`
		Pairs   float64 `json:"pairs_per_m"`
		Chunk   int     `json:"chunk"`
		LagMS   float64 `json:"report_lag_ms"`
		Usual   struct {
			Prompt int `json:"prompt"`
			Answer int `json:"answer"`
		} `json:"usual"`
	}

	tenant struct {
		Name     string   `json:"name"`
		Keys     []string `json:"api-keys"`
		Priority int      `json:"priority"`
	}
)

func smallEngine() *engine {
	e := &engine{
		Slots: 16, KV: 232000, Stride: 43, Step: 1.02, PerSeq: 0.00226, Context: 0.00431, Read: 206000, Pairs: 0.138,
		Chunk: 2048, LagMS: 200,
	}
	e.Usual.Prompt, e.Usual.Answer = 12331, 1303
	return e
}

// configure writes the next version of the configuration, and returns when the store has it.
func (f *fleet) configure(routes []route, services []service, tenants []tenant) {
	f.version += 3
	f.store.put("op", "config", map[string]any{
		"version": f.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]int{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	f.rec.line("configuration %d is acknowledged", f.version)
}
