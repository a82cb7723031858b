package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"slipcrank.example/core/backend"
)

// TestCallAtAnEarlierStartIsGivenUp has a server that starts again behind a cut:
// nothing resets the connection on which a call waits that may run only once. Not
// given up, it is held until its deadline, after 5 s here.
func TestCallAtAnEarlierStartIsGivenUp(t *testing.T) {
	reached := make(chan struct{})
	f := start(t, func(*http.Request, io.Writer) bool {
		close(reached)
		select {}
	})
	server := backend.Server{ID: "i@1", Name: "i", StartedMillis: 1, Service: "plain", Addr: f.servers[0].addr, Slots: 1}
	book := backend.NewRegistry()
	book.Put(server, 1)
	f.view = book.View(0)
	got := make(chan answer)
	begun := time.Now()
	go func() { got <- f.ask("POST", "/once/", "b") }()
	<-reached
	server.ID, server.StartedMillis = "i@2", 2
	book.Put(server, 2)
	f.view = book.View(0)
	f.gateway.Maintain(time.Now())
	if a := <-got; a.status != http.StatusBadGateway || time.Since(begun) > 2*time.Second {
		t.Errorf("status %d after %v, want 502 at once", a.status, time.Since(begun))
	}
}
