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

// TestHostWithOneCrashStoresBlockedSuspect has a host observe one of three crashes and
// receive the other two from other hosts. It has to store the blocked suspect, since each
// of the other hosts may have observed only one of the crashes too.
func TestHostWithOneCrashStoresBlockedSuspect(t *testing.T) {
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
	e.quarantine.AddCrash(id, confirmedCrash("s0", true), 0)
	e.suspectsChanged()
	<-e.storeSignal // as storeSuspects does, with nothing to store yet
	for n := range 2 {
		other := quarantine.NewRegistry()
		other.AddCrash(id, confirmedCrash(fmt.Sprintf("s%d", n+1), false), 0)
		e.mergeSuspects("other", []quarantine.Record{other.Records()[0]})
	}
	go e.storeSuspects(ctx)
	select {
	case key := <-put:
		if key != watch.SuspectKey(id.Fingerprint, false) {
			t.Errorf("stored under the key %s", key)
		}
	case <-time.After(5 * time.Second):
		t.Error("blocked suspect not stored")
	}
}

func confirmedCrash(server string, isolated bool) quarantine.Crash {
	return quarantine.Crash{Server: quarantine.ServerDigest(server), Isolated: isolated, Confirmed: true}
}
