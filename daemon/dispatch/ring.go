package dispatch

import (
	"sync"
	"time"

	"slipcrank.example/core/route"
)

// ringCapacity is the number of records that a ring holds.
const ringCapacity = 2048

type (
	// Attempt records one attempt at a request and its placement.
	Attempt struct {
		Attempt  string         `json:"attempt"`
		Decision route.Decision `json:"decision"`
		Took     time.Duration  `json:"took"`
	}

	// Record describes how one request was served, to explain it to operators.
	Record struct {
		ID        string    `json:"id"`
		Workspace string    `json:"workspace"`
		Model     string    `json:"model"`
		Tokens    int       `json:"tokens"`
		Arrival   time.Time `json:"arrival"`
		Attempts  []Attempt `json:"attempts"`
		// FirstToken is the time from the arrival to the first token, or 0 if there
		// was none.
		FirstToken time.Duration `json:"first_token"`
		Outcome    string        `json:"outcome"`
	}

	// Ring is a ring buffer of the records of the most recent requests. It is safe
	// for concurrent use.
	Ring struct {
		mu      sync.Mutex
		records [ringCapacity]Record
		index   map[string]int
		next    int
	}
)

// NewRing returns an empty ring.
func NewRing() *Ring { return &Ring{index: map[string]int{}} }

// Add stores a record and overwrites the oldest one.
func (r *Ring) Add(x Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.index, r.records[r.next].ID)
	r.records[r.next] = x
	r.index[x.ID] = r.next
	r.next = (r.next + 1) % ringCapacity
}

// Get returns the record of a request, and whether there is one.
func (r *Ring) Get(id string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.index[id]
	if !ok {
		return Record{}, false
	}
	return r.records[i], true
}
