// Package feed is what slipcrank needs of a platform that keeps rows in
// tables and tells what has changed in them.
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

// ErrHistoryGone says that changes since the asked revision are no longer
// known; the table has to be listed again.
var ErrHistoryGone = errors.New("the platform has forgotten the changes since this revision")

type (
	// Row is one row of a table, or the news that it is gone.
	Row struct {
		Key      string
		Value    []byte
		Revision int64
		Gone     bool
	}

	// Batch is one answer: all rows, or those that changed.
	Batch struct {
		Rows []Row
		// Revision is the newest of the whole platform; the table is complete
		// up to it.
		Revision int64
		// Stamp is the platform's steady clock as the answer was made.
		Stamp time.Duration
	}

	// Source reads tables.
	Source struct {
		// List returns all rows of a table at one moment. It may take many calls,
		// and bounds the time of each.
		List func(ctx context.Context, table string) (Batch, error)
		// Follow waits, up to wait, for rows that changed after a revision.
		Follow func(ctx context.Context, table string, after int64, wait time.Duration) (Batch, error)
		// Put writes one row, whatever was there, and returns the platform's
		// steady clock as it did.
		Put func(ctx context.Context, table, key string, value []byte) (time.Duration, error)
	}
)
