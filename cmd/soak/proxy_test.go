package soak

import (
	"testing"
	"time"
)

// TestReusedPortKeepsItsEarlierClient guards against requests that are ascribed to another host,
// since a later connection had the address of theirs.
func TestReusedPortKeepsItsEarlierClient(t *testing.T) {
	p := &proxy{clients: map[string][]proxyClient{}}
	begin := time.Now()
	p.addClient("127.0.0.1:40000", "127.1.1.1", begin)
	p.addClient("127.0.0.1:40000", "127.1.1.2", begin.Add(time.Minute))
	for name, c := range map[string]struct {
		at   time.Duration
		want string
	}{
		"before the first":            {-time.Second, ""},
		"between the two":             {time.Second, "127.1.1.1"},
		"after the second connection": {time.Minute, "127.1.1.2"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := p.clientOf("127.0.0.1:40000", begin.Add(c.at)); got != c.want {
				t.Errorf("client %q, want %q", got, c.want)
			}
		})
	}
}
