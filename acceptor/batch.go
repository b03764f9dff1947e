package acceptor

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

const (
	// maxBatch is the number of jobs written in one transaction; the store accepts 100 entries, two for each job and one for the tombstones.
	maxBatch = 40
	// maxBatchBytes bounds the total size of the values in one transaction; the store accepts requests of 1 MB, in which base64 makes values a third longer.
	maxBatchBytes = 512 << 10
	// unknownRetryDelay is the delay before a write with an unknown outcome is repeated.
	unknownRetryDelay = 50 * time.Millisecond
)

var (
	// errIDInUse means that a different job was accepted with the same ID.
	errIDInUse = errors.New("another job has this ID")
	// errCancelled means that the job was cancelled before it was accepted, and never will be.
	errCancelled = errors.New("cancelled before it was accepted, never runs")
)

// record is a job that is queued to be written to the store.
type record struct {
	ctx    context.Context //nolint:containedctx // The batch outlives the call that adds to it.
	job    identity
	digest string
	value  []byte
	result chan error
}

// batcher writes the jobs of one partition to the store; those that arrive during a transaction share the next one.
type batcher struct {
	store     *platform.Store
	logger    *slog.Logger
	partition string
	// tombstones are those that this process read last; only flush uses them.
	tombstones tombstones

	mu       sync.Mutex
	queued   []*record
	flushing bool
}

// writeJob queues a job and waits for its outcome: nil means that the job is stored, by this call or an earlier one, platform.ErrNotExecuted, platform.ErrRejected and errCancelled that it never will be, and platform.ErrOutcomeUnknown that it may or may not be.
func (b *batcher) writeJob(ctx context.Context, job identity, digest string, value []byte) error {
	r := &record{ctx: ctx, job: job, digest: digest, value: value, result: make(chan error, 1)}
	b.mu.Lock()
	b.queued = append(b.queued, r)
	if !b.flushing {
		b.flushing = true
		go b.flush()
	}
	b.mu.Unlock()
	select {
	case err := <-r.result:
		return err
	case <-ctx.Done():
		return platform.ErrOutcomeUnknown
	}
}

// flush writes queued jobs in batches until the queue is empty.
func (b *batcher) flush() {
	for {
		b.mu.Lock()
		if len(b.queued) == 0 {
			b.flushing = false
			b.mu.Unlock()
			return
		}
		size := batchSize(b.queued)
		batch := b.queued[:size:size]
		b.queued = b.queued[size:]
		b.mu.Unlock()
		b.record(batch, false)
	}
}

// batchSize returns how many queued jobs fit into the next transaction.
func batchSize(queued []*record) int {
	bytes := 0
	for i, r := range queued {
		bytes += len(r.value)
		if i == maxBatch || i > 0 && bytes > maxBatchBytes {
			return i
		}
	}
	return len(queued)
}

// record writes a batch in one transaction, and repeats it until each job has a result; outcomeUnknown means that an earlier attempt had an unknown outcome.
func (b *batcher) record(batch []*record, outcomeUnknown bool) {
	for {
		batch = b.dropBuried(dropAbandoned(batch, outcomeUnknown))
		if len(batch) == 0 {
			return
		}
		outcome, err := b.transact(batch)
		switch {
		case err == nil:
			finishAll(batch, nil)
			return
		case errors.Is(err, platform.ErrConflict):
			batch = b.resolveConflicts(batch, outcome)
		case errors.Is(err, platform.ErrOutcomeUnknown):
			outcomeUnknown = true
			time.Sleep(unknownRetryDelay)
		case errors.Is(err, platform.ErrRejected) && len(batch) > 1:
			b.logger.Warn("batch of jobs rejected by the store, writing them one at a time", "part", b.partition, "jobs", len(batch), "error", err.Error())
			for _, r := range batch {
				b.record([]*record{r}, outcomeUnknown)
			}
			return
		case outcomeUnknown:
			// An earlier attempt may still be applied.
			finishAll(batch, platform.ErrOutcomeUnknown)
			return
		default:
			finishAll(batch, err)
			return
		}
	}
}

// dropAbandoned removes jobs whose callers have stopped waiting; these are definitely not stored unless an earlier attempt had an unknown outcome.
func dropAbandoned(batch []*record, outcomeUnknown bool) []*record {
	remaining := batch[:0:0]
	for _, r := range batch {
		if r.ctx.Err() == nil {
			remaining = append(remaining, r)
			continue
		}
		if outcomeUnknown {
			r.result <- platform.ErrOutcomeUnknown
			continue
		}
		r.result <- platform.ErrNotExecuted
	}
	return remaining
}

// dropBuried removes jobs that were cancelled before they were accepted. An earlier attempt to write one is not executed any more: it expected an older version of the tombstones.
func (b *batcher) dropBuried(batch []*record) []*record {
	now := time.Now()
	remaining := batch[:0:0]
	for _, r := range batch {
		if b.tombstones.cover(r.job, now) {
			r.result <- errCancelled
			continue
		}
		remaining = append(remaining, r)
	}
	return remaining
}

func (b *batcher) transact(batch []*record) (platform.TransactionResult, error) {
	transaction := platform.Transaction{Expect: []platform.Row{registrar.TombstoneRow(b.partition, b.tombstones.version)}}
	for _, r := range batch {
		row := registrar.JobRow(r.job.id, 0)
		transaction.Expect = append(transaction.Expect, row)
		row.Value = r.value
		transaction.Put = append(transaction.Put, row)
	}
	return b.store.Transact(context.Background(), transaction)
}

// resolveConflicts sets the result of the jobs that are already in the store, adopts newer tombstones and returns the other jobs; if neither explains the conflict, the outcome of all is unknown.
func (b *batcher) resolveConflicts(batch []*record, conflict platform.TransactionResult) []*record {
	existing := existingRows(conflict.Rows)
	remaining := batch[:0:0]
	for _, r := range batch {
		row, ok := existing[r.job.id]
		if !ok {
			remaining = append(remaining, r)
			continue
		}
		r.result <- compareDigest(row, r.digest)
	}
	before := b.tombstones.version
	b.tombstones = newTombstones(existing[registrar.TombstoneKey], conflict.StoreTime, time.Now(), b.logger)
	if len(remaining) == len(batch) && b.tombstones.version == before {
		finishAll(remaining, platform.ErrOutcomeUnknown)
		return nil
	}
	return remaining
}

// existingRows returns those of the rows that exist, by key.
func existingRows(rows []platform.Row) map[string]platform.Row {
	existing := map[string]platform.Row{}
	for _, row := range rows {
		if row.Version != 0 && !row.Deleted {
			existing[row.Key] = row
		}
	}
	return existing
}

// compareDigest returns nil if the stored job has the digest, which means that the submission was repeated, and errIDInUse if it has another.
func compareDigest(row platform.Row, digest string) error {
	stored, err := registrar.Decode[registrar.Job](row)
	if err != nil {
		return err
	}
	if stored.Digest != digest {
		return errIDInUse
	}
	return nil
}

// finishAll sets the same result for all jobs of a batch.
func finishAll(batch []*record, err error) {
	for _, r := range batch {
		r.result <- err
	}
}
