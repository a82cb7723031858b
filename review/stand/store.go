package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md spells it.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value string `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// answer is the body of an answer about rows.
type answer struct {
	Rows  []row   `json:"rows"`
	More  bool    `json:"more"`
	Ver   int64   `json:"ver"`
	NowMS float64 `json:"now_ms"`
}

// store is a stand-in of the platform's store, without faults.
type store struct {
	begun time.Time

	mu      sync.Mutex
	ver     int64
	live    map[string]row // by table, part and key
	history []row          // all changes, in order
	changed chan struct{}
}

func newStore() *store {
	return &store{begun: time.Now(), live: map[string]row{}, changed: make(chan struct{})}
}

// put writes one row as the operator or a runner does, and returns its version. The row is
// acknowledged when put returns.
func (s *store) put(table, key string, value any) int64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // all callers pass plain data
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b), Ver: s.ver})
	return s.ver
}

// remove removes one row as a runner does that leaves.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Gone: true})
}

// write applies one change. The caller holds s.mu.
func (s *store) write(r row) {
	id := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Gone {
		delete(s.live, id)
	} else {
		s.live[id] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMS() float64 { return float64(time.Since(s.begun).Microseconds()) / 1000 }

// ServeHTTP answers the calls about rows.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	status, a := http.StatusOK, answer{}
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		status, a = s.transact(r)
	case "GET /rows-get":
		a = s.get(q.Get("table"), q.Get("part"), q.Get("source"), q.Get("target-version"), number(q.Get("limit"), 500))
	case "GET /rows-feed":
		a = s.feed(r, q.Get("table"), number(q.Get("since-rev"), 0), time.Duration(number(q.Get("wait-ms"), 0))*time.Millisecond)
	default:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // an error means that the caller has gone
}

func number(text string, otherwise int64) int64 {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return n
	}
	return otherwise
}

// transact does all of a transaction or nothing.
func (s *store) transact(r *http.Request) (int, answer) {
	var t struct {
		Expected []row `json:"expected-rev"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, answer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{Rows: []row{}, NowMS: s.nowMS()}
	for _, e := range t.Expected {
		now := s.live[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		if now.Ver != e.Ver {
			a.Rows = append(a.Rows, now)
		}
	}
	if len(a.Rows) > 0 {
		a.Ver = s.ver
		return http.StatusPreconditionFailed, a
	}
	s.ver++
	for _, p := range t.Put {
		p.Ver, p.Gone = s.ver, false
		s.write(p)
	}
	for _, p := range t.Remove {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Gone: true})
	}
	a.Ver = s.ver
	return http.StatusOK, a
}

// get returns the rows of one part of a table, in rising order of their keys.
func (s *store) get(table, part, from, to string, limit int64) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{Rows: []row{}, Ver: s.ver, NowMS: s.nowMS()}
	for _, r := range s.live {
		if r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to) {
			a.Rows = append(a.Rows, r)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if int64(len(a.Rows)) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	return a
}

// feed returns the changes of a table after a version, as soon as there is one.
func (s *store) feed(r *http.Request, table string, since int64, wait time.Duration) answer {
	end := time.After(wait)
	for last := false; ; {
		s.mu.Lock()
		a, changed := answer{Rows: []row{}, Ver: s.ver, NowMS: s.nowMS()}, s.changed
		for _, c := range s.history {
			if c.Table == table && c.Ver > since {
				a.Rows = append(a.Rows, c)
			}
		}
		s.mu.Unlock()
		if len(a.Rows) > 0 || last {
			return a
		}
		select {
		case <-r.Context().Done():
			return a
		case <-end:
			last = true
		case <-changed:
		}
	}
}
