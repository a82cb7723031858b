package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	// row is one version of a row of the store.
	row struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
		Value string `json:"value"`
		Ver   int64  `json:"ver"`
		Gone  bool   `json:"gone,omitempty"`
	}

	// store is the platform's metadata store. It is safe for concurrent use.
	store struct {
		addr  string
		start time.Time

		mu      sync.Mutex
		rows    map[string]row // the newest version of each, by table and key
		log     []row
		ver     int64
		changed chan struct{}
		gate    func(r *http.Request) bool // whether a call is served; the others get 503
	}

	storeAnswer struct {
		Rows  []row   `json:"rows"`
		More  bool    `json:"more"`
		Ver   int64   `json:"ver"`
		NowMS float64 `json:"now_ms"`
	}
)

func newStore(l net.Listener) *store {
	s := &store{
		addr: l.Addr().String(), start: time.Now(), rows: map[string]row{}, changed: make(chan struct{}),
		gate: func(*http.Request) bool { return true },
	}
	go func() { _ = http.Serve(l, s) }()
	return s
}

func (s *store) setGate(f func(r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = f
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) int64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are made here
	}
	return s.write(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b)})
}

func (s *store) remove(table, key string) int64 {
	return s.write(row{Table: table, Key: key, Gone: true})
}

func (s *store) write(rows ...row) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(rows)
}

func (s *store) writeLocked(rows []row) int64 {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		id := r.Table + "\x00" + r.Part + "\x00" + r.Key
		s.rows[id] = r
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

func (s *store) answer(rows []row) storeAnswer {
	if rows == nil {
		rows = []row{}
	}
	return storeAnswer{Rows: rows, Ver: s.ver, NowMS: float64(time.Since(s.start).Microseconds()) / 1000}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if !gate(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	var a storeAnswer
	status := http.StatusOK
	switch r.URL.Path {
	case "/rows-tx":
		a, status = s.transact(r)
	case "/rows-get":
		a = s.list(q.Get("table"), q.Get("part"), q.Get("source"))
	case "/rows-feed":
		since, _ := strconv.ParseInt(q.Get("since-rev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		a = s.feed(r, q.Get("table"), since, time.Duration(wait)*time.Millisecond)
	default:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // fails only if the daemon has closed the connection
}

func (s *store) transact(r *http.Request) (storeAnswer, int) {
	var t struct {
		Expected []row `json:"expected-rev"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return storeAnswer{}, http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if old := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]; old.Ver != e.Ver || old.Gone && e.Ver != 0 {
			return s.answer(nil), http.StatusPreconditionFailed
		}
	}
	rows := t.Put
	for _, d := range t.Remove {
		d.Gone = true
		rows = append(rows, d)
	}
	s.writeLocked(rows)
	return s.answer(nil), http.StatusOK
}

func (s *store) list(table, part, from string) storeAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && !r.Gone && r.Key >= from {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return s.answer(rows)
}

// feed returns the rows that have changed, as soon as there is one.
func (s *store) feed(r *http.Request, table string, since int64, wait time.Duration) storeAnswer {
	end := time.After(wait)
	for {
		s.mu.Lock()
		newest, changed := map[string]row{}, s.changed
		for _, v := range s.log {
			if v.Table == table && v.Ver > since {
				newest[v.Part+"\x00"+v.Key] = v
			}
		}
		var rows []row
		for _, v := range newest {
			rows = append(rows, v)
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
		a := s.answer(rows)
		s.mu.Unlock()
		if len(rows) > 0 {
			return a
		}
		select {
		case <-end:
			wait = 0
			s.mu.Lock()
			a = s.answer(nil)
			s.mu.Unlock()
			return a
		case <-r.Context().Done():
			return a
		case <-changed:
		}
	}
}
