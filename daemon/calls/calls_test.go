package calls_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/clients/web"
	"slipcrank.example/core/claim"
	"slipcrank.example/core/member"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/store"
	"slipcrank.example/daemon/calls"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/telemetry"
)

// TestCallThatRunsOnceIsNotGivenUpForSilence guards against calls whose outcome is lost although the service answers in time.
func TestCallThatRunsOnceIsNotGivenUpForSilence(t *testing.T) {
	const stall = 50 * time.Millisecond
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = pause.For(context.Background(), 6*stall)
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(service.Close)
	l := control.New(member.Member{Addr: "self", Hall: "a", Incarnation: 1})
	go l.Run(t.Context())
	l.Do(t.Context(), func(s *control.State) {
		s.SetHosts([]hosts.Host{{Addr: service.Listener.Addr().String(), Hall: "a", Role: hosts.Service, Service: "till"}})
	})
	for len(l.View().ServiceHosts("till")) == 0 {
		_ = pause.For(t.Context(), time.Millisecond)
	}
	once := calls.NewOnce(claim.New(store.NewMemory().Store()), telemetry.NewMetrics(), func(f func()) { f() })
	now := fmt.Sprintf("%012x", time.Now().UnixMilli()) // uuid.NewV7 would bind the tests with simulated time to this one
	key := now[:8] + "-" + now[8:] + "-7000-8000-000000000000"
	a, err := calls.New(l, web.New(web.WithStallTimeout(stall)), once).Run(t.Context(), calls.Call{
		Workspace: "w", Service: "till", Path: "/", Key: key, Deadline: time.Now().Add(10 * time.Second),
	})
	if err != nil || string(a.Body) != "done" {
		t.Errorf("got %q, %v, want the answer", a.Body, err)
	}
}
