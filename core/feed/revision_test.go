package feed_test

import (
	"testing"

	"slipcrank.example/core/feed"
)

func TestRevisionsOfLaterErasAreGreater(t *testing.T) {
	previous := int64(-1)
	for _, r := range []struct{ era, counter int64 }{{0, 0}, {0, 9}, {0, 1<<40 - 1}, {1, 0}, {1, 8}, {2, 3}} {
		revision, err := feed.NewRevision(r.era, r.counter)
		if err != nil || revision <= previous || feed.Era(revision) != r.era || feed.Counter(revision) != r.counter {
			t.Errorf("%+v: revision %d after %d, era %d, counter %d, %v", r, revision, previous, feed.Era(revision), feed.Counter(revision), err)
		}
		previous = revision
	}
	for _, r := range []struct{ era, counter int64 }{{0, -1}, {-1, 0}, {0, 1 << 40}, {1 << 22, 0}} {
		if _, err := feed.NewRevision(r.era, r.counter); err == nil {
			t.Errorf("%+v: no error", r)
		}
	}
}
