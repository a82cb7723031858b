// Package feed defines the interface to a platform that stores rows in tables
// and reports changes to them.
//
// # Usage
//
//	b, err := source.List(ctx, "table")
//	b, err = source.Follow(ctx, "table", b.Revision, wait)
//	if errors.Is(err, feed.ErrHistoryGone) { ... list again }
package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryGone means that the platform no longer has the changes since the
// given revision, or that it has come back from a copy of its data since; the
// table has to be listed again.
var ErrHistoryGone = errors.New("the platform no longer has the changes since this revision")

// MaxPutRows is the maximum number of rows that one call may write.
const MaxPutRows = 100

type (
	// Row is one row of a table, or a record of its deletion.
	Row struct {
		Key   string
		Value []byte
		// Revision is the platform's revision at which the row was last changed, by
		// [NewRevision]. For a row read in a list it has the era of the list.
		Revision int64
		// Gone reports that the row was deleted.
		Gone bool
	}

	// Batch is one answer of the platform: all rows of a table, or the changed ones.
	Batch struct {
		Rows []Row
		// Revision is the newest revision of the whole platform. The table is
		// complete up to it.
		Revision int64
		// Stamp is the reading of the platform's monotonic clock when it made the
		// answer.
		Stamp time.Duration
	}

	// Source reads and writes tables.
	Source struct {
		// List returns a consistent snapshot of all rows of a table. It may take
		// several calls, and limits the time of each.
		List func(ctx context.Context, table string) (Batch, error)
		// Follow returns the rows that changed after a revision. Without any, it
		// waits for the next change, up to wait.
		Follow func(ctx context.Context, table string, after int64, wait time.Duration) (Batch, error)
		// Put writes one row unconditionally, and returns the reading of the
		// platform's monotonic clock at the time of the write.
		Put func(ctx context.Context, table, key string, value []byte) (time.Duration, error)
		// PutAll does the same with several rows at once, at most [MaxPutRows], of which
		// the keys and values count.
		PutAll func(ctx context.Context, table string, rows []Row) (time.Duration, error)
	}
)
