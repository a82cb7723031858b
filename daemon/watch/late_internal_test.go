package watch

import (
	"io"
	"maps"
	"slices"
	"testing"

	"slipcrank.example/core/feed"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/telemetry"
)

// TestLateAnswerIsNotRelayed guards against hosts that hand on older rows than they have, with a newer proof, after an answer came late.
func TestLateAnswerIsNotRelayed(t *testing.T) {
	row := func(key string, revision int64) feed.Row { return feed.Row{Key: key, Revision: revision} }
	gone := func(key string, revision int64) feed.Row { return feed.Row{Key: key, Revision: revision, Gone: true} }
	for name, tc := range map[string]struct {
		late     read
		want     map[string]int64 // revisions of the rows that new subscribers get
		relaying []string         // keys that present subscribers get
	}{
		"older row":          {read{batch: feed.Batch{Rows: []feed.Row{row("a", 4)}, Revision: 4}}, map[string]int64{"a": 8}, nil},
		"removed meanwhile":  {read{batch: feed.Batch{Rows: []feed.Row{row("b", 5)}, Revision: 5}}, map[string]int64{"a": 8}, nil},
		"older removal":      {read{batch: feed.Batch{Rows: []feed.Row{gone("a", 6)}, Revision: 6}}, map[string]int64{"a": 8}, nil},
		"older list":         {read{batch: feed.Batch{Rows: []feed.Row{row("a", 4), row("b", 5)}, Revision: 5}, complete: true}, map[string]int64{"a": 8}, nil},
		"newer row":          {read{batch: feed.Batch{Rows: []feed.Row{row("a", 11)}, Revision: 11}}, map[string]int64{"a": 11}, []string{"a"}},
		"newer entry":        {read{batch: feed.Batch{Rows: []feed.Row{row("b", 11)}, Revision: 11}}, map[string]int64{"a": 8, "b": 11}, []string{"b"}},
		"newer removal":      {read{batch: feed.Batch{Rows: []feed.Row{gone("a", 11)}, Revision: 11}}, map[string]int64{}, []string{"a"}},
		"newer list":         {read{batch: feed.Batch{Rows: []feed.Row{row("c", 11)}, Revision: 11}, complete: true}, map[string]int64{"c": 11}, []string{"a", "c"}},
		"rows newer than it": {read{batch: feed.Batch{Rows: []feed.Row{row("c", 12)}, Revision: 9}}, map[string]int64{"a": 8, "c": 12}, []string{"c"}},
	} {
		t.Run(name, func(t *testing.T) {
			l := decision.New(io.Discard)
			t.Cleanup(l.Close)
			w := New(feed.Source{}, Tables{Config: "config", Servers: "servers"}, Decoders{}, l, telemetry.NewMetrics(), nil)
			for _, known := range []read{
				{batch: feed.Batch{Rows: []feed.Row{row("a", 4), row("b", 5)}, Revision: 5, Stamp: 5}, complete: true},
				{batch: feed.Batch{Rows: []feed.Row{row("a", 8), gone("b", 10)}, Revision: 10, Stamp: 10}, relayed: true},
			} {
				known.table = "servers"
				w.relay(known)
			}
			present := make(chan Update, maxPendingUpdates)
			w.subscribers[present] = true
			tc.late.table = "servers"
			w.relay(tc.late)
			got := map[string]int64{}
			for key, r := range w.rows["servers"].rows {
				got[key] = r.Revision
			}
			var relayed []string
			for _, r := range (<-present).Rows {
				relayed = append(relayed, r.Key)
			}
			slices.Sort(relayed)
			if !maps.Equal(got, tc.want) || !slices.Equal(relayed, tc.relaying) {
				t.Errorf("new subscribers get %v, want %v; present ones get %v, want %v", got, tc.want, relayed, tc.relaying)
			}
		})
	}
}
