package main

import (
	"fmt"
	"time"
)

// tenants is the number of tenants of the small deployments; each has one key here.
const tenants = 10

// configuration returns a configuration with the keys of the tenants from number first on.
func configuration(version, first int) map[string]any {
	var ts []map[string]any
	for n := range tenants {
		keys := []string{}
		if n >= first {
			keys = append(keys, key(n))
		}
		ts = append(ts, map[string]any{"name": tenant(n), "api-keys": keys})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "order-page", "host": "shop.example", "path-prefix": "/order/", "service": "pedidos", "kind": "safe", "timeout-ms": 1000, "slo-ms": 150, "max-attempts": 2, "priority": 2},
			{"name": "proof-fetch", "host": "shop.example", "path-prefix": "/proof/", "service": "pedidos", "kind": "unsafe", "timeout-ms": 1000, "slo-ms": 150, "max-attempts": 2, "priority": 2},
		},
		"services": []map[string]any{{"name": "pedidos", "health-path": "/health", "max-conns": 110}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  ts,
	}
}

func key(n int) string    { return fmt.Sprintf("k%02dn2ctnfzs989anu6w", n) }
func tenant(n int) string { return fmt.Sprintf("school%02d", n) }

// keys has the operator take away the keys of all tenants, at most three at a time, and clients
// go on sending with them.
func keys(f *fleet, trouble bool) (bool, string, error) {
	f.store.put("op", "config", configuration(11, 0))
	for _, z := range zones {
		if _, err := f.startRunner("pedidos", z, 30*time.Millisecond); err != nil {
			return false, "", err
		}
	}
	if err := f.startHosts(3); err != nil {
		return false, "", err
	}
	for n := range tenants {
		if a := f.request(f.hosts[n%len(f.hosts)], "GET", "/order/7", key(n), "", time.Second); a.status != 200 || a.seal == "" {
			return false, "", fmt.Errorf("before the disruption a request got %d", a.status)
		}
	}
	var gone [tenants]time.Duration // when the store acknowledged that a key is gone
	version := 11
	if trouble {
		for n := range tenants {
			version += 3
			f.store.put("op", "config", configuration(version, n+1))
			gone[n] = f.rec.now()
			f.rec.line("the store has acknowledged version %d, without the key of %s", version, tenant(n))
			if n%3 == 2 {
				time.Sleep(2 * time.Second) // the next entry of the kind revoke
			} else {
				time.Sleep(400 * time.Millisecond)
			}
		}
	}
	time.Sleep((revokeMS + 1000) * time.Millisecond)
	sent := map[string]int{} // the tenant by attempt
	wentOut := map[string]time.Duration{}
	for round := range 20 {
		for n := range tenants {
			a := f.request(f.hosts[(round+n)%len(f.hosts)], "GET", "/order/7", key(n), "", time.Second)
			wentOut[a.attempt] = a.sent
			if sent[a.attempt] = n; !trouble && a.status != 200 {
				return false, "", fmt.Errorf("without a disruption a request got %d", a.status)
			}
		}
	}
	strangers := map[string]bool{} // attempts with a key that no configuration ever held, or with none
	for n, k := range []string{"never-a-key-of-anyone", "never-a-key-of-anyone", "", ""} {
		a := f.request(f.hosts[n%len(f.hosts)], "GET", "/order/7", k, "", time.Second)
		if strangers[a.attempt] = true; !trouble && a.status != 401 {
			return false, "", fmt.Errorf("without a disruption a request with the key %q got %d", k, a.status)
		}
	}
	late, wrong, strange := 0, 0, 0
	for _, r := range f.allRuns() {
		n, ok := sent[r.attempt]
		if strangers[r.attempt] {
			strange++
		}
		if !ok {
			continue
		}
		if r.tenant != tenant(n) {
			wrong++
		}
		if trouble && wentOut[r.attempt] > gone[n]+revokeMS*time.Millisecond {
			late++
		}
	}
	return late > 0, fmt.Sprintf("of %d requests with keys, %d ran that went out later than revoke-ms after the store had acknowledged that their key was taken away, %d ran without the X-Tenant of their key; "+
		"of %d requests with a key that was never in force or with none, %d ran", len(sent), late, wrong, len(strangers), strange), nil
}
