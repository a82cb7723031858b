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

	// trimRows bounds the rows deleted in one transaction, and trimPages the
	// transactions of one [Log.Trim].
	trimRows  = 100
	trimPages = 10
)

type (
	// pointer is the row that names the newest snapshot. It only moves
	// forward, so a daemon that was paused can't put an older one in force.
	pointer struct {
		Number uint64 `json:"number"`
		Name   string `json:"name"`
		// Old names objects that the next save deletes: the one before, which
		// somebody may still be reading.
		Old []string `json:"old,omitempty"`
	}

	snapshot struct {
		Number    uint64              `json:"number"`
		Templates []template.Template `json:"templates"`
	}
)

// SaveSnapshot stores the whole book as one object, unless a snapshot that is
// as new is there.
func (l *Log) SaveSnapshot(ctx context.Context, b *template.Set) error {
	p, version, err := l.pointer(ctx)
	if err != nil || p.Number >= b.Number() {
		return err
	}
	for _, name := range p.Old {
		if err := l.store.DeleteObject(ctx, name); err != nil {
			return errors.Wrap(err, "delete old snapshot")
		}
	}
	v, err := json.Marshal(snapshot{Number: b.Number(), Templates: b.Templates()})
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	next := pointer{Number: b.Number(), Name: snapshotPrefix + uuid.NewString()}
	if p.Name != "" {
		next.Old = []string{p.Name}
	}
	if err := l.store.PutObject(ctx, next.Name, v); err != nil {
		return errors.Wrap(err, "store snapshot")
	}
	row, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode pointer")
	}
	o, err := l.store.Commit(ctx, []store.Write{{Table: headTable, Key: snapshotKey, Value: row, Expect: version}})
	if err == nil && !o.Committed { // another daemon was sooner
		return l.store.DeleteObject(ctx, next.Name)
	}
	return errors.Wrap(err, "point to snapshot")
}

// LoadSnapshot returns the newest stored book, or an empty one if there is
// none.
func (l *Log) LoadSnapshot(ctx context.Context) (*template.Set, error) {
	p, _, err := l.pointer(ctx)
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

// Trim deletes the oldest changes of the log, a bounded number of them: those
// that the newest snapshot has and that no history shows. It returns how many
// it deleted. Daemons that lag further behind start from the snapshot anew.
func (l *Log) Trim(ctx context.Context) (int, error) {
	p, _, err := l.pointer(ctx)
	if err != nil || p.Number <= l.reach {
		return 0, err
	}
	last := logKey(p.Number - l.reach)
	deleted := 0
	for range trimPages {
		rows, err := l.store.Scan(ctx, logTable, "", trimRows)
		if err != nil {
			return deleted, errors.Wrap(err, "read the log's start")
		}
		var ws []store.Write
		for _, r := range rows {
			if r.Key <= last {
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

// pointer returns the row that names the newest snapshot, with its version; an
// empty one if there is none.
func (l *Log) pointer(ctx context.Context) (pointer, uint64, error) {
	rows, err := l.store.Read(ctx, []store.Ref{{Table: headTable, Key: snapshotKey}})
	if err != nil || len(rows) == 0 {
		return pointer{}, store.Absent, errors.Wrap(err, "read pointer to snapshot")
	}
	var p pointer
	err = json.Unmarshal(rows[0].Value, &p)
	return p, rows[0].Version, errors.Wrap(err, "decode pointer to snapshot")
}
