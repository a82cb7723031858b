package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"slipcrank.example/core/feed"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/watch"
)

// TestWhoSawOneEndStoresWhatOthersSaw has a host see one of three ends, and hear of
// the others afterwards: nobody else may have seen the last one of what it hears.
func TestWhoSawOneEndStoresWhatOthersSaw(t *testing.T) {
	put := make(chan string, 1)
	source := feed.Source{Put: func(_ context.Context, _, key string, _ []byte) (time.Duration, error) {
		put <- key
		return 0, nil
	}}
	e, err := New(settings.Entry{Host: "h", Listen: settings.EntryListen{News: "127.0.0.1:0"}},
		Platform{Source: source, Tables: watch.Tables{Hosts: "hosts"}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	id := quarantine.Request{Workspace: "w", Target: "/deadly"}.Identity()
	e.quarantine.AddCrash(id, provedEnd("s0", true), 0)
	e.suspectsChanged()
	<-e.changed // who stores has looked: it isn't held yet
	for n := range 2 {
		other := quarantine.NewRegistry()
		other.AddCrash(id, provedEnd(fmt.Sprintf("s%d", n+1), false), 0)
		e.heard("other", []quarantine.Record{other.Records()[0]})
	}
	go e.storeSuspects(ctx)
	select {
	case key := <-put:
		if key != watch.SuspectKey(id.Fingerprint) {
			t.Errorf("stored as %s", key)
		}
	case <-time.After(5 * time.Second):
		t.Error("the held request is not stored")
	}
}

func provedEnd(server string, apart bool) quarantine.Crash {
	return quarantine.Crash{Server: quarantine.ServerDigest(server), Isolated: apart, Confirmed: true}
}
