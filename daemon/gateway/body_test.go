package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/boottime"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/gateway"
)

// waitFunc is a body that is read only after it was called.
type waitFunc func()

// Read implements [io.Reader].
func (f waitFunc) Read([]byte) (int, error) {
	f()
	return 0, io.EOF
}

// serveWithBody serves a request whose body arrives when wait returns, and returns the answer.
func (f *fixture) serveWithBody(path string, wait waitFunc, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, wait)
	r.Host = "shop.example"
	r.Header.Set("Try", "t1")
	r.Header.Set("Authorization", "Key k1")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.gateway.ServeHTTP(w, r)
	return w
}

// TestConfigurationThatComesBeforeTheBodyCounts puts a route and a key into force while the body of a
// request for them arrives.
func TestConfigurationThatComesBeforeTheBodyCounts(t *testing.T) {
	f := start(t, plainReply(200, "fine"))
	old := f.config
	route, _ := old.Route("shop.example", "/safe/")
	route.Name, route.Prefix = "added", "/added/"
	next := site.New(2, []site.Route{route}, []site.Service{{Name: "plain"}}, site.KeysOf(map[string]site.Workspace{"k2": {Name: "w2"}}), old.Limits())
	a := f.serveWithBody("/added/", func() { f.config = next }, "Authorization", "Key k2")
	if a.Code != http.StatusOK {
		t.Errorf("status %d %s, want 200", a.Code, a.Body)
	}
}

// TestNothingIsSentAfterDeadlineThatPassedBeforeTheBody suspends the host while the body of a request
// arrives.
func TestNothingIsSentAfterDeadlineThatPassedBeforeTheBody(t *testing.T) {
	var bootTime atomic.Int64
	clock := boottime.New(boottime.WithBootTime(func() (time.Duration, error) { return time.Duration(bootTime.Load()), nil }))
	f := startWith(t, []gateway.Option{gateway.WithClock(clock)}, plainReply(200, "fine"))
	a := f.serveWithBody("/once/", func() {
		bootTime.Add(int64(20 * time.Second))
		clock.Refresh()
	})
	if a.Code == http.StatusOK || f.requestCount() > 0 {
		t.Errorf("status %d after %d requests reached the server, want none", a.Code, f.requestCount())
	}
}
