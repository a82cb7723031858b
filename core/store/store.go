// Package store defines the operations that slipcrank needs of the platform's
// table service and object store.
//
// A [Store] is a struct of functions: a running daemon fills it with the HTTP
// client of module platform, stand-ins and tests with a [Memory].
//
// # Failures of a commit
//
// A commit writes all its rows or none. Callers must distinguish three ways in
// which it can fail:
//
//   - [Outcome.Committed] is false: it had no effect, because a row did not have
//     the expected version;
//   - [IsRefused] is true for the error: it had no effect, because the service
//     refused the request;
//   - any other error: it may or may not have taken effect, and the caller has
//     to read the rows back.
//
// # Usage
//
//	o, err := s.Commit(ctx, []store.Write{{Table: "claims", Key: k, Value: v, Expect: store.Absent}})
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// Absent as [Write.Expect] requires that the row does not exist.
	Absent uint64 = 0
	// Any as [Write.Expect] sets no condition.
	Any uint64 = 1<<64 - 1
)

// ErrRefused marks an answer by which the service states that the request had no
// effect: the rate limit was exceeded, or the request was malformed.
var ErrRefused = errors.New("the platform refused the request and did nothing")

type (
	// Ref identifies one row.
	Ref struct {
		Table string `json:"table"`
		Key   string `json:"key"`
	}

	// Row is a row at the time of a read. Version rises with every write to
	// the row and is never 0.
	Row struct {
		Table   string `json:"table"`
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	}

	// Write is one row of a commit, conditional on the row having version
	// Expect; see also [Absent] and [Any]. A nil Value deletes the row. A row
	// with a TTL of 0 does not expire.
	Write struct {
		Table  string        `json:"table"`
		Key    string        `json:"key"`
		Value  []byte        `json:"value"`
		Expect uint64        `json:"expect"`
		TTL    time.Duration `json:"ttl,omitempty"`
	}

	// Outcome is the service's answer to a commit. Either all rows were written
	// and Versions holds their new versions in order, or none was and Failed
	// holds the indexes of the rows that did not have the expected version.
	Outcome struct {
		Committed bool     `json:"committed"`
		Versions  []uint64 `json:"versions,omitempty"`
		Failed    []int    `json:"failed,omitempty"`
	}

	// Store gives access to the table service and the object store.
	Store struct {
		// Commit writes rows in one transaction. See the package documentation
		// for its failures.
		Commit func(ctx context.Context, ws []Write) (Outcome, error)
		// Read returns those of the named rows that exist, in one snapshot.
		Read func(ctx context.Context, rs []Ref) ([]Row, error)
		// Scan returns the first rows of a table with keys greater than after,
		// at most limit, sorted by key.
		Scan func(ctx context.Context, table, after string, limit int) ([]Row, error)
		// PutObject stores a whole object.
		PutObject func(ctx context.Context, name string, b []byte) error
		// GetObject returns an object, or nil if there is none.
		GetObject func(ctx context.Context, name string) ([]byte, error)
		// DeleteObject deletes an object. It is no error if there is none.
		DeleteObject func(ctx context.Context, name string) error
	}
)

// IsRefused reports whether err states that the request had no effect.
func IsRefused(err error) bool { return errors.Is(err, ErrRefused) }
