package changes

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"slipcrank.example/core/store"
	"slipcrank.example/core/template"
)

const (
	snapshotKey    = "snapshot"
	snapshotPrefix = "templates/snapshot-"

	// trimBatchRows is the maximum number of rows deleted in one transaction,
	// and maxTrimBatches the maximum number of transactions in one [Log.Trim].
	trimBatchRows  = 100
	maxTrimBatches = 10
)

type (
	// snapshotPointer is the row that names the newest snapshot. Its number only
	// rises, so a daemon that was paused can't replace the snapshot with an
	// older one.
	snapshotPointer struct {
		Number uint64 `json:"number"`
		Name   string `json:"name"`
		// Superseded names the objects that the next save deletes: the previous
		// snapshot, which a daemon may still be reading.
		Superseded []string `json:"old,omitempty"`
	}

	snapshot struct {
		Number    uint64              `json:"number"`
		Templates []template.Template `json:"templates"`
	}
)

// SaveSnapshot stores set as one object and makes it the newest snapshot, unless
// the stored one is at least as new.
func (l *Log) SaveSnapshot(ctx context.Context, set *template.Set) error {
	p, version, err := l.readPointer(ctx)
	if err != nil || p.Number >= set.Number() {
		return err
	}
	for _, name := range p.Superseded {
		if err := l.store.DeleteObject(ctx, name); err != nil {
			return errors.Wrap(err, "delete old snapshot")
		}
	}
	v, err := json.Marshal(snapshot{Number: set.Number(), Templates: set.Templates()})
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	next := snapshotPointer{Number: set.Number(), Name: snapshotPrefix + uuid.NewString()}
	if p.Name != "" {
		next.Superseded = []string{p.Name}
	}
	if err := l.store.PutObject(ctx, next.Name, v); err != nil {
		return errors.Wrap(err, "store snapshot")
	}
	row, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode pointer to snapshot")
	}
	o, err := l.store.Commit(ctx, []store.Write{{Table: headTable, Key: snapshotKey, Value: row, Expect: version}})
	if err == nil && !o.Committed { // another daemon stored a snapshot first
		return l.store.DeleteObject(ctx, next.Name)
	}
	return errors.Wrap(err, "write pointer to snapshot")
}

// LoadSnapshot returns the newest stored snapshot, or an empty set if there is
// none.
func (l *Log) LoadSnapshot(ctx context.Context) (*template.Set, error) {
	p, _, err := l.readPointer(ctx)
	if err != nil || p.Name == "" {
		return template.NewSet(), err
	}
	b, err := l.store.GetObject(ctx, p.Name)
	if err != nil {
		return nil, err
	}
	if len(b) == 0 {
		return nil, errors.Newf("snapshot %s was deleted while it was being read", p.Name)
	}
	var s snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	return template.NewSetAt(s.Number, s.Templates), nil
}

// Trim deletes changes that the newest snapshot includes and that are beyond the
// retention, oldest first and a bounded number per call, and returns how many it
// deleted. Daemons that lag further behind load the snapshot instead.
func (l *Log) Trim(ctx context.Context) (int, error) {
	p, _, err := l.readPointer(ctx)
	if err != nil || p.Number <= l.retention {
		return 0, err
	}
	lastTrimmed := logKey(p.Number - l.retention)
	deleted := 0
	for range maxTrimBatches {
		rows, err := l.store.Scan(ctx, logTable, "", trimBatchRows)
		if err != nil {
			return deleted, errors.Wrap(err, "read the oldest changes")
		}
		var ws []store.Write
		for _, r := range rows {
			if r.Key <= lastTrimmed {
				ws = append(ws, store.Write{Table: logTable, Key: r.Key, Expect: store.Any})
			}
		}
		if len(ws) == 0 {
			return deleted, nil
		}
		if _, err := l.store.Commit(ctx, ws); err != nil {
			return deleted, errors.Wrap(err, "trim the log")
		}
		deleted += len(ws)
	}
	return deleted, nil
}

// readPointer returns the row that names the newest snapshot and its version, or
// an empty pointer and [store.Absent] if there is none.
func (l *Log) readPointer(ctx context.Context) (snapshotPointer, uint64, error) {
	rows, err := l.store.Read(ctx, []store.Ref{{Table: headTable, Key: snapshotKey}})
	if err != nil || len(rows) == 0 {
		return snapshotPointer{}, store.Absent, errors.Wrap(err, "read pointer to snapshot")
	}
	var p snapshotPointer
	err = json.Unmarshal(rows[0].Value, &p)
	return p, rows[0].Version, errors.Wrap(err, "decode pointer to snapshot")
}
