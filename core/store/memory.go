package store

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// Memory is an in-memory reference implementation of a [Store], for
	// stand-ins and tests. Its zero value is not usable; use [NewMemory].
	Memory struct {
		mu      sync.Mutex
		tables  map[string]map[string]memoryRow
		objects map[string][]byte
		version uint64
		commits int
		reads   int
	}

	memoryRow struct {
		value   []byte
		version uint64
		expiry  time.Time
	}
)

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{tables: map[string]map[string]memoryRow{}, objects: map[string][]byte{}}
}

// Store returns a [Store] backed by m. Its functions never return an error.
func (m *Memory) Store() Store {
	return Store{
		Commit:       m.commit,
		Read:         m.read,
		Scan:         m.scan,
		PutObject:    m.putObject,
		GetObject:    m.getObject,
		DeleteObject: m.deleteObject,
	}
}

// Counts returns the numbers of operations so far: commits includes the writes and
// deletions of objects, and reads includes scans and reads of objects.
func (m *Memory) Counts() (commits, reads int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commits, m.reads
}

func (m *Memory) commit(_ context.Context, ws []Write) (Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	var o Outcome
	for i, w := range ws {
		r, ok := m.lookup(w.Table, w.Key)
		if w.Expect == Any || (w.Expect == Absent && !ok) || (ok && w.Expect == r.version) {
			continue
		}
		o.Failed = append(o.Failed, i)
	}
	if len(o.Failed) > 0 {
		return o, nil
	}
	o.Committed = true
	for _, w := range ws {
		o.Versions = append(o.Versions, m.write(w))
	}
	return o, nil
}

func (m *Memory) write(w Write) uint64 {
	m.version++
	t := m.tables[w.Table]
	if t == nil {
		t = map[string]memoryRow{}
		m.tables[w.Table] = t
	}
	if w.Value == nil {
		delete(t, w.Key)
		return m.version
	}
	r := memoryRow{value: slices.Clone(w.Value), version: m.version}
	if w.TTL > 0 {
		r.expiry = time.Now().Add(w.TTL)
	}
	t[w.Key] = r
	return m.version
}

// lookup returns a row, and false if there is none or its TTL has passed.
func (m *Memory) lookup(table, key string) (memoryRow, bool) {
	r, ok := m.tables[table][key]
	if ok && !r.expiry.IsZero() && !time.Now().Before(r.expiry) {
		delete(m.tables[table], key)
		return memoryRow{}, false
	}
	return r, ok
}

func (m *Memory) read(_ context.Context, rs []Ref) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	var out []Row
	for _, ref := range rs {
		if r, ok := m.lookup(ref.Table, ref.Key); ok {
			out = append(out, Row{Table: ref.Table, Key: ref.Key, Value: r.value, Version: r.version})
		}
	}
	return out, nil
}

func (m *Memory) scan(_ context.Context, table, after string, limit int) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	var out []Row
	for _, k := range slices.Sorted(maps.Keys(m.tables[table])) {
		if k <= after {
			continue
		}
		if len(out) == limit {
			break
		}
		if r, ok := m.lookup(table, k); ok {
			out = append(out, Row{Table: table, Key: k, Value: r.value, Version: r.version})
		}
	}
	return out, nil
}

func (m *Memory) putObject(_ context.Context, name string, b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	m.objects[name] = slices.Clone(b)
	return nil
}

func (m *Memory) getObject(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	return m.objects[name], nil
}

func (m *Memory) deleteObject(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	delete(m.objects, name)
	return nil
}

// Objects returns the names of the stored objects, sorted.
func (m *Memory) Objects() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.objects))
}
