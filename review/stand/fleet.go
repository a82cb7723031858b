package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments in SYSTEM.md.
const (
	revokeMS    = 5000
	configMS    = 2000
	heartbeatMS = 1200
)

var zones = []string{"leon", "celaya", "irapuato"}

type (
	// fleet is a small deployment on loopback addresses: the store, runners and daemons. The
	// daemons are the project's own, as processes; the rest are stand-ins.
	fleet struct {
		rec     *record
		root    string // of the repository
		dir     string // temporary
		net     string // the first three numbers of all addresses
		store   *store
		addr    string // of the store
		hosts   []*host
		runners []*runner
		engines []*engine

		runMu      sync.Mutex
		streamRuns []run
		// secondAnswers of garbledOf answers of garbling runners were followed by a second one.
		secondAnswers, garbledOf int
	}

	host struct {
		name, ip, zone string
		process        *exec.Cmd
		log            *os.File
	}
)

// newFleet starts the store. The caller must call stop.
func newFleet(root string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, root: root, dir: dir, store: newStore()}
	f.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	l, err := net.Listen("tcp4", f.net+"200:0")
	if err != nil {
		return nil, err
	}
	f.addr = l.Addr().String()
	go func() { _ = http.Serve(l, f.store) }() // it ends with this process
	return f, nil
}

// startHosts starts daemons with the command of the deploy file.
func (f *fleet) startHosts(count int) error {
	ports, err := f.freePorts(5, count)
	if err != nil {
		return err
	}
	var seeds []string
	for n := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", f.net, n+1, ports[2]))
	}
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.yaml"))
	if err != nil {
		return err
	}
	for n := range count {
		h := &host{name: fmt.Sprintf("front-%s-%d", zones[n%len(zones)], n/len(zones)+1), ip: fmt.Sprintf("%s%d", f.net, n+1), zone: zones[n%len(zones)]}
		regions := map[string]string{}
		for _, z := range zones {
			regions[z] = "bajio"
		}
		text := render(string(template), map[string]any{
			"node": h.name, "zone": h.zone, "ip": h.ip, "zones": regions, "seeds": seeds, "bootstrap": true,
			"port-range": []int{ports[3], ports[4]},
			"listen": map[string]any{
				"front": fmt.Sprintf("%s:%d", h.ip, ports[0]), "ready": fmt.Sprintf("%s:%d", h.ip, ports[1]), "control": fmt.Sprintf("%s:%d", h.ip, ports[2]),
			},
			"provider": map[string]any{"address": f.addr},
			"limits":   map[string]any{"link-mbps": 1000.0, "memory-mb": 284},
			"bounds": map[string]any{
				"revoke-ms": revokeMS, "strict-revoke": true, "config-ms": configMS, "grace-s": 8,
				"budget-ratio": 0.2, "budget-slack": 104, "budget-window-s": 10,
			},
		})
		if err := os.WriteFile(f.settings(h), []byte(text), 0o600); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
		if err := f.start(h); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := f.await("daemon "+h.name+" is ready", 15*time.Second, func() bool { return f.ready(h, ports[1]) }); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) settings(h *host) string { return filepath.Join(f.dir, h.name+".yaml") }

// front returns the address for clients.
func (f *fleet) front(h *host) string { return f.listen(h, "callers") }

// listen returns an address of a daemon from its settings.
func (f *fleet) listen(h *host, name string) string {
	b, _ := os.ReadFile(f.settings(h)) // written by startHosts
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), name+":"); ok {
			return strings.Trim(strings.TrimSpace(rest), `"`)
		}
	}
	return ""
}

// start starts the process of a host.
func (f *fleet) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.log = log
	h.process = exec.Command(filepath.Join(f.root, "target", "slipcrankd"), "entry")
	h.process.Dir = f.root
	h.process.Env = append(os.Environ(), "SLIPCRANK_BOOT="+f.settings(h))
	h.process.Stdout, h.process.Stderr = log, log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.rec.line("start %s: slipcrankd entry", h.name)
	return h.process.Start()
}

// ready reports whether a daemon answers GET /readiness with 200.
func (f *fleet) ready(h *host, port int) bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, port))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// freePorts returns ports that are free on the addresses of all hosts.
func (f *fleet) freePorts(n, hosts int) ([]int, error) {
	var ports []int
	for range 200 {
		p := 20000 + rand.IntN(10000)
		if p == 9464 || !f.free(p, hosts) {
			continue
		}
		if ports = append(ports, p); len(ports) == n {
			return ports, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (f *fleet) free(port, hosts int) bool {
	for n := range hosts {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", f.net, n+1, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// await waits until a condition holds.
func (f *fleet) await(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			f.rec.line("%s", what)
			return nil
		}
	}
	return errors.New("not within " + limit.String() + ": " + what)
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.process != nil && h.process.Process != nil {
			_ = h.process.Process.Kill()
			_ = h.process.Wait()
			_ = h.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
}
