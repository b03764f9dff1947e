package acceptor

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

const (
	// maxBatch is the number of jobs recorded in one transaction; the store takes 100 rows.
	maxBatch = 40
	// maxBatchBytes bounds the values of one transaction; the store takes 1 MB, in which values are a third longer than here.
	maxBatchBytes = 512 << 10
	// unknownPause is the time before a write is repeated whose answer was lost.
	unknownPause = 50 * time.Millisecond
)

// errTaken means that another job was accepted under the ID.
var errTaken = errors.New("another job has this ID")

// record is one job on its way into the store.
type record struct {
	ctx    context.Context //nolint:containedctx // The batch outlives the call that adds to it.
	id     string
	digest string
	value  []byte
	done   chan error
}

// batcher records jobs of one part, several in one transaction while an earlier one is under way.
type batcher struct {
	store *platform.Store

	mu      sync.Mutex
	waiting []*record
	busy    bool
}

// write records a job: nil means that it is stored now or was before; platform.ErrNotDone that it never will be; platform.ErrUnknown that nobody knows.
func (b *batcher) write(ctx context.Context, id, digest string, value []byte) error {
	r := &record{ctx: ctx, id: id, digest: digest, value: value, done: make(chan error, 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, r)
	if !b.busy {
		b.busy = true
		go b.flush()
	}
	b.mu.Unlock()
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return platform.ErrOutcomeUnknown
	}
}

// flush records what waits until nothing does.
func (b *batcher) flush() {
	for {
		b.mu.Lock()
		if len(b.waiting) == 0 {
			b.busy = false
			b.mu.Unlock()
			return
		}
		n := batchLength(b.waiting)
		batch := b.waiting[:n:n]
		b.waiting = b.waiting[n:]
		b.mu.Unlock()
		b.record(batch)
	}
}

// batchLength returns the number of jobs that are recorded together.
func batchLength(waiting []*record) int {
	size := 0
	for i, r := range waiting {
		size += len(r.value)
		if i == maxBatch || i > 0 && size > maxBatchBytes {
			return i
		}
	}
	return len(waiting)
}

// record writes a batch until each of its jobs has an outcome.
func (b *batcher) record(batch []*record) {
	lostBefore := false
	for {
		batch = stillWanted(batch, lostBefore)
		if len(batch) == 0 {
			return
		}
		outcome, err := b.transact(batch)
		switch {
		case err == nil:
			finish(batch, nil)
			return
		case errors.Is(err, platform.ErrConflict):
			batch = settleConflicts(batch, outcome.Rows)
		case errors.Is(err, platform.ErrOutcomeUnknown):
			lostBefore = true
			time.Sleep(unknownPause)
		case lostBefore:
			// An earlier try may still be carried out.
			finish(batch, platform.ErrOutcomeUnknown)
			return
		default:
			finish(batch, err)
			return
		}
	}
}

// stillWanted leaves out jobs whose callers have gone; before the first write these are surely not recorded.
func stillWanted(batch []*record, lostBefore bool) []*record {
	kept := batch[:0:0]
	for _, r := range batch {
		if r.ctx.Err() == nil {
			kept = append(kept, r)
			continue
		}
		if lostBefore {
			r.done <- platform.ErrOutcomeUnknown
			continue
		}
		r.done <- platform.ErrNotExecuted
	}
	return kept
}

func (b *batcher) transact(batch []*record) (platform.TransactionResult, error) {
	var t platform.Transaction
	for _, r := range batch {
		row := registrar.JobRow(r.id, 0)
		t.Expect = append(t.Expect, row)
		row.Value = r.value
		t.Put = append(t.Put, row)
	}
	return b.store.Transact(context.Background(), t)
}

// settleConflicts answers the jobs that are in the store already and returns the others.
func settleConflicts(batch []*record, rows []platform.Row) []*record {
	there := map[string]platform.Row{}
	for _, row := range rows {
		if row.Version != 0 && !row.Deleted {
			there[row.Key] = row
		}
	}
	kept := batch[:0:0]
	for _, r := range batch {
		row, ok := there[r.id]
		if !ok {
			kept = append(kept, r)
			continue
		}
		r.done <- sameJob(row, r.digest)
	}
	if len(kept) == len(batch) {
		finish(kept, platform.ErrOutcomeUnknown)
		return nil
	}
	return kept
}

func sameJob(row platform.Row, digest string) error {
	stored, err := registrar.Decode[registrar.Job](row)
	if err != nil {
		return err
	}
	if stored.Digest != digest {
		return errTaken
	}
	return nil
}

func finish(batch []*record, err error) {
	for _, r := range batch {
		r.done <- err
	}
}
