package claim

import (
	"context"
	"time"

	"slipcrank.example/core/store"
)

const (
	// DefaultWindow is how long the first row of a transaction waits for
	// further rows.
	DefaultWindow = 25 * time.Millisecond
	// DefaultMaxRows is the maximum number of rows in one transaction.
	DefaultMaxRows = 250

	queueCapacity = 4096
)

type (
	// Batcher combines the writes of many callers into few transactions.
	// Each write is still decided separately: rows that do not meet their
	// condition are removed from the batch, and the others are committed
	// without them.
	Batcher struct {
		store   store.Store
		window  time.Duration
		maxRows int
		queue   chan pending
	}

	// BatcherOption configures a [Batcher] during construction.
	BatcherOption func(*Batcher)

	pending struct {
		write store.Write
		reply chan writeReply
	}

	writeReply struct {
		result  Result
		version uint64
	}
)

// WithWindow sets how long a batch collects rows.
func WithWindow(d time.Duration) BatcherOption { return func(b *Batcher) { b.window = d } }

// WithMaxRows sets the maximum number of rows in one transaction.
func WithMaxRows(n int) BatcherOption { return func(b *Batcher) { b.maxRows = n } }

// NewBatcher returns a batcher over s. It processes writes while [Batcher.Run]
// runs.
func NewBatcher(s store.Store, opts ...BatcherOption) *Batcher {
	b := &Batcher{store: s, window: DefaultWindow, maxRows: DefaultMaxRows, queue: make(chan pending, queueCapacity)}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Write queues one write and waits for its result; it is a [Writer]. It returns
// [Refused] if the queue is full and [Unknown] if ctx ends first.
func (b *Batcher) Write(ctx context.Context, w store.Write) (Result, uint64) {
	p := pending{write: w, reply: make(chan writeReply, 1)}
	select {
	case b.queue <- p:
	default:
		return Refused, 0
	}
	select {
	case o := <-p.reply:
		return o.result, o.version
	case <-ctx.Done():
		return Unknown, 0
	}
}

// Run collects and commits batches until ctx ends. Transactions run
// concurrently, so that a slow one does not delay the next.
func (b *Batcher) Run(ctx context.Context) {
	var deferred []pending // rows whose key was already in the previous batch
	for {
		batch, duplicates := b.gather(ctx, deferred)
		if ctx.Err() != nil {
			replyAll(append(batch, duplicates...), writeReply{result: Unknown})
			return
		}
		deferred = duplicates
		go b.commit(ctx, batch)
	}
}

// gather waits for a first row, unless some are deferred, and then collects the
// rows that arrive within the window. A further row with the same key is
// returned in duplicates, for the next batch.
func (b *Batcher) gather(ctx context.Context, deferred []pending) (batch, duplicates []pending) {
	keys := map[string]bool{}
	add := func(p pending) {
		if keys[p.write.Key] {
			duplicates = append(duplicates, p)
			return
		}
		keys[p.write.Key] = true
		batch = append(batch, p)
	}
	for _, p := range deferred {
		add(p)
	}
	if len(batch) == 0 {
		select {
		case p := <-b.queue:
			add(p)
		case <-ctx.Done():
			return batch, duplicates
		}
	}
	t := time.NewTimer(b.window)
	defer t.Stop()
	for len(batch) < b.maxRows {
		select {
		case p := <-b.queue:
			add(p)
		case <-t.C:
			return batch, duplicates
		case <-ctx.Done():
			return batch, duplicates
		}
	}
	return batch, duplicates
}

// commit writes a batch. It retries without the rows that fail their condition
// until the rest is written.
func (b *Batcher) commit(ctx context.Context, batch []pending) {
	for len(batch) > 0 {
		ws := make([]store.Write, len(batch))
		for i, p := range batch {
			ws[i] = p.write
		}
		o, err := b.store.Commit(ctx, ws)
		if store.IsRefused(err) {
			replyAll(batch, writeReply{result: Refused})
			return
		}
		if err != nil {
			replyAll(batch, writeReply{result: Unknown})
			return
		}
		if o.Committed {
			for i, p := range batch {
				p.reply <- writeReply{result: Written, version: o.Versions[i]}
			}
			return
		}
		batch = dropFailed(batch, o.Failed)
	}
}

// dropFailed replies [ConditionFailed] to the rows at the given indexes and
// returns the remaining ones.
func dropFailed(batch []pending, failed []int) []pending {
	isFailed := make(map[int]bool, len(failed))
	for _, i := range failed {
		isFailed[i] = true
	}
	remaining := make([]pending, 0, len(batch))
	for i, p := range batch {
		if isFailed[i] {
			p.reply <- writeReply{result: ConditionFailed}
			continue
		}
		remaining = append(remaining, p)
	}
	if len(remaining) == len(batch) { // nothing was committed, though no row failed its condition
		replyAll(remaining, writeReply{result: Unknown})
		return nil
	}
	return remaining
}

func replyAll(ps []pending, o writeReply) {
	for _, p := range ps {
		p.reply <- o
	}
}
