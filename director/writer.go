package director

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// renewalInterval is the longest time between two writes of an owner, each of which renews the lease.
	renewalInterval = 250 * time.Millisecond
	// writeBatchDelay is the delay before a write, so that several changes are written together.
	writeBatchDelay = 4 * time.Millisecond
	// writeRetryDelay is the delay before a failed write is repeated.
	writeRetryDelay = 120 * time.Millisecond
	// maxBatchRows is the maximum number of rows in one transaction; the store accepts 100 entries, two of which are the expected version and the new value of the lease.
	maxBatchRows = 90
	// maxBatchBytes bounds the total size of the values in one transaction; the store accepts requests of 1 MB, in which base64 makes values a third longer.
	maxBatchBytes = 512 << 10
	// minPendingInterval is the minimum time between two writes of the numbers of waiting jobs.
	minPendingInterval = 400 * time.Millisecond
)

// writer holds the changes that are to be written to the store.
type writer struct {
	wakeup chan struct{}
	// leaseVersion is the version of the lease row, lastRenewal the monotonic time at which the last confirmed write was sent.
	leaseVersion int64
	lastRenewal  atomic.Int64
	// storeTime is the reading of the store's steady clock in the last response that had one, to a write that was sent at storeTimeAt; only the goroutine that writes uses them.
	storeTime, storeTimeAt time.Duration

	mu sync.Mutex
	// lastChange numbers the changes.
	lastChange uint64
	// dirtyJobs are the jobs whose progress is to be written, unconfirmedJobs those in a write without a known outcome, with the number of the first
	// change that is not known to be in the store.
	dirtyJobs, unconfirmedJobs map[string]uint64
	// removedJobs are the IDs of jobs whose progress rows are to be removed.
	removedJobs []string
	// shards are the numbers of the shards of the list of workers that are to be written, recordedShards the values in the store, by key, where they are known.
	shards         map[int]bool
	recordedShards map[string][]byte
	// pending are the rows of the numbers of waiting jobs as they were written last, by key, pendingWrittenAt the time of the last attempt.
	pending          map[string][]byte
	pendingWrittenAt time.Duration
	// speeds are the speeds of workers as they were written last, speedsWrittenAt the time of the last attempt.
	speeds          map[string]registrar.WorkerSpeed
	speedsWrittenAt time.Duration
	// runTimesChanges is the number of the latest change of the learned run times that was written, runTimesWrittenAt the time of the last attempt.
	runTimesChanges   uint64
	runTimesWrittenAt time.Duration
	// singleRows means that the store rejected a batch, so that its rows are written one at a time to find the invalid one.
	singleRows bool
	// rejected are the rows that the store rejected, by key.
	rejected map[string]rejection
}

func (w *writer) init(leaseVersion int64, acquiredAt time.Duration) {
	w.leaseVersion = leaseVersion
	w.lastRenewal.Store(int64(acquiredAt))
	w.wakeup = make(chan struct{}, 1)
	w.dirtyJobs, w.unconfirmedJobs = map[string]uint64{}, map[string]uint64{}
	w.pending = map[string][]byte{}
	w.shards = map[int]bool{}
	w.recordedShards = map[string][]byte{}
	w.rejected = map[string]rejection{}
}

// renewedAt returns when the last confirmed write was sent.
func (w *writer) renewedAt() time.Duration { return time.Duration(w.lastRenewal.Load()) }

// noteStoreTime records the reading of the store's steady clock in the response to a write.
func (w *writer) noteStoreTime(sentAt, storeTime time.Duration) {
	if storeTime != 0 {
		w.storeTime, w.storeTimeAt = storeTime, sentAt
	}
}

// storeClock estimates the store's steady clock, or returns 0 if no response has shown it.
func (w *writer) storeClock(now time.Duration) time.Duration {
	if w.storeTime == 0 {
		return 0
	}
	return w.storeTime + now - w.storeTimeAt
}

// signal wakes the write loop.
func (w *writer) signal() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// markJobsDirty marks jobs whose progress is to be written and returns the number of the change, for isRecorded.
func (w *writer) markJobsDirty(ids []string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addDirtyJobs(ids)
	return w.lastChange
}

// addDirtyJobs numbers a change of jobs whose progress is to be written; the caller holds the mutex.
func (w *writer) addDirtyJobs(ids []string) {
	w.lastChange++
	for _, id := range ids {
		if _, dirty := w.dirtyJobs[id]; !dirty {
			w.dirtyJobs[id] = w.lastChange
		}
	}
}

// markShardDirty marks a shard of the list of workers that is to be written.
func (w *writer) markShardDirty(shard int) {
	w.mu.Lock()
	w.shards[shard] = true
	w.mu.Unlock()
}

// setRecordedShard sets the value that the store holds for a shard of the list of workers.
func (w *writer) setRecordedShard(row platform.Row) {
	w.mu.Lock()
	w.recordedShards[row.Key] = row.Value
	w.mu.Unlock()
}

// removeProgress schedules the removal of the progress rows of jobs.
func (w *writer) removeProgress(ids []string) {
	w.mu.Lock()
	w.removedJobs = append(w.removedJobs, ids...)
	w.mu.Unlock()
	w.signal()
}

// isRecorded reports whether the changes of the job up to the number are in the store.
func (w *writer) isRecorded(id string, change uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, unrecorded := range []map[string]uint64{w.dirtyJobs, w.unconfirmedJobs} {
		if first, ok := unrecorded[id]; ok && first <= change {
			return false
		}
	}
	return true
}

// batch is the content of one transaction; complete means that nothing else is to be written, up to lastChange.
type batch struct {
	jobs       []string
	shards     []int
	lastChange uint64
	complete   bool
	puts       []platform.Row
	removes    []platform.Row
	bytes      int
	pending    []platform.Row
	// workersRecorded means that with this batch the store lists the workers of all jobs.
	workersRecorded bool
}

// add adds a row unless the batch is full; an empty batch accepts a row of any size.
func (b *batch) add(row platform.Row, limit int) bool {
	if rows := len(b.puts); rows >= limit || rows > 0 && b.bytes+len(row.Value) > maxBatchBytes {
		return false
	}
	b.puts = append(b.puts, row)
	b.bytes += len(row.Value)
	return true
}

// writeLoop writes changes and renews the lease until the context ends, the lease is lost or the term closes.
func (t *term) writeLoop(ctx context.Context) {
	defer close(t.writesEnded)
	timer := time.NewTimer(renewalInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.closing:
			return
		case <-t.writer.wakeup:
			sleeper.Sleep(ctx, writeBatchDelay)
		case <-timer.C:
		}
		for t.writeOnce(ctx) && ctx.Err() == nil && !t.isClosing() {
			continue
		}
		timer.Reset(renewalInterval)
	}
}

// writeOnce writes one batch and reports whether more is to be written.
func (t *term) writeOnce(ctx context.Context) bool {
	b := t.nextBatch()
	sent := t.now()
	if len(b.puts) == 0 && len(b.removes) == 0 && sent-t.writer.renewedAt() < renewalInterval/2 && t.announcement.Load().isWritten() {
		t.confirmBatch(b)
		return false
	}
	storeTime, err := t.writeBatch(ctx, b)
	switch {
	case err == nil:
		t.lease.WorkersRecorded = t.lease.WorkersRecorded || b.workersRecorded
		t.writer.lastRenewal.Store(int64(sent))
		t.confirmAnnouncement(t.lease.Successor)
		t.confirmBatch(b)
		t.mu.Lock()
		t.recordSilentWorkers(sent, storeTime)
		t.mu.Unlock()
		return !b.complete
	case errors.Is(err, errLeaseLost):
		t.Logger.Warn("lease lost", "epoch", t.lease.Epoch)
		t.cancel()
		return false
	case errors.Is(err, platform.ErrRejected):
		t.requeueBatch(b)
		t.revertWrites(b.jobs)
		t.handleRejection(b, err)
		if len(b.puts) == 0 {
			sleeper.Sleep(ctx, writeRetryDelay)
		}
		return ctx.Err() == nil
	default:
		t.requeueBatch(b)
		if errors.Is(err, platform.ErrNotExecuted) {
			t.revertWrites(b.jobs)
		}
		if ctx.Err() == nil {
			t.Logger.Warn("batch not written", "error", err.Error(), "rows", len(b.puts))
		}
		sleeper.Sleep(ctx, writeRetryDelay)
		return ctx.Err() == nil
	}
}

// errLeaseLost means that another process holds the lease.
var errLeaseLost = errors.New("another process holds the lease")

// leaseRow returns the lease row with the version that the next write expects.
func (t *term) leaseRow() platform.Row {
	return platform.Row{Table: registrar.LeaseTable, Partition: registrar.OwnerPartition, Key: registrar.LeaseKey, Version: t.writer.leaseVersion}
}

// writeBatch writes a batch and renews the lease in one transaction, which fails if the lease has changed; after a conflict or an unknown outcome it determines from the lease row whether the batch was written. It returns the store's time, or 0 if that is not known.
func (t *term) writeBatch(ctx context.Context, b batch) (time.Duration, error) {
	t.lease.Renewal++
	expected := t.leaseRow()
	renewed := expected
	if a := t.announcement.Load(); a != nil {
		t.lease.Successor = a.successor
	}
	lease := t.lease
	lease.WorkersRecorded = lease.WorkersRecorded || b.workersRecorded
	lease.RenewedMillis = t.writer.storeClock(t.now()).Milliseconds()
	renewed.Value = registrar.Encode(lease)
	sent := t.now()
	outcome, err := t.Store.Transact(ctx, platform.Transaction{
		Expect: []platform.Row{expected},
		Put:    append([]platform.Row{renewed}, b.puts...),
		Remove: b.removes,
	})
	switch {
	case err == nil:
		t.writer.leaseVersion = outcome.Version
		t.writer.noteStoreTime(sent, outcome.StoreTime)
		return outcome.StoreTime, nil
	case errors.Is(err, platform.ErrConflict):
		for _, row := range outcome.Rows {
			if row.Key == registrar.LeaseKey {
				return 0, t.adoptLeaseVersion(row)
			}
		}
		return 0, t.rereadLease(ctx)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return 0, t.rereadLease(ctx)
	default:
		return 0, err
	}
}

// errBatchNotWritten means that the batch has to be written again, since the lease row in the store is that of an earlier write of this term.
var errBatchNotWritten = errors.New("batch not written, the store holds an earlier renewal of the lease")

// adoptLeaseVersion determines the outcome of the last write from the lease in the store and adopts the row's version; nil means that the batch was written.
func (t *term) adoptLeaseVersion(row platform.Row) error {
	lease, err := registrar.Decode[registrar.Lease](row)
	if err != nil {
		return err
	}
	if lease.Incarnation != t.lease.Incarnation || lease.Epoch != t.lease.Epoch {
		return errLeaseLost
	}
	t.writer.leaseVersion = row.Version
	if lease.Renewal == t.lease.Renewal {
		// The row is that of the last write, and transactions are atomic.
		return nil
	}
	return errBatchNotWritten
}

// rereadLease reads the lease and determines the outcome of the last write from it.
func (t *term) rereadLease(ctx context.Context) error {
	row, err := t.Store.Get(ctx, registrar.LeaseTable, registrar.OwnerPartition, registrar.LeaseKey)
	if err != nil {
		// Why the read failed says nothing about the write.
		return fmt.Errorf("%w: read lease: %s", platform.ErrOutcomeUnknown, err.Error())
	}
	return t.adoptLeaseVersion(row)
}

// nextBatch removes the next batch from the changes that are to be written.
func (t *term) nextBatch() batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	dirtyJobs := t.arranger.TakeDirtyJobs()
	w := &t.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(dirtyJobs) > 0 {
		w.addDirtyJobs(dirtyJobs)
	}
	b := batch{lastChange: w.lastChange, complete: true}
	if t.retryRejected(&b) {
		return b
	}
	t.addWorkers(&b)
	t.addProgress(&b)
	t.addRemovals(&b)
	t.addPending(&b)
	t.addSpeeds(&b)
	t.addRunTimes(&b)
	if b.complete && len(w.rejected) == 0 {
		w.singleRows = false
	}
	b.workersRecorded = b.complete && t.loaded && !t.arranger.AwaitsReports()
	return b
}

// rowLimit returns the maximum number of rows of the next batch.
func (w *writer) rowLimit() int {
	if w.singleRows {
		return 1
	}
	return maxBatchRows
}

// addWorkers adds the changed shards of the list of workers; they come first, since the next owner may not poll a worker that is not recorded.
func (t *term) addWorkers(b *batch) {
	w := &t.writer
	shards := slices.Sorted(maps.Keys(w.shards))
	for i, row := range t.workerShardRows(shards) {
		shard := shards[i]
		switch {
		case bytes.Equal(row.Value, w.recordedShards[row.Key]):
			delete(w.shards, shard)
			t.confirmCleared(row)
		case w.isSetAside(b, row.Key):
		case b.add(row, w.rowLimit()):
			delete(w.shards, shard)
			b.shards = append(b.shards, shard)
		default:
			b.complete = false
			return
		}
	}
}

// addProgress adds the progress rows of dirty jobs.
func (t *term) addProgress(b *batch) {
	w := &t.writer
	// Starts wait for the rows of their jobs.
	for id := range t.unsent {
		if _, dirty := w.dirtyJobs[id]; dirty && !t.addJob(b, id) {
			return
		}
	}
	for id := range w.dirtyJobs {
		if !t.addJob(b, id) {
			return
		}
	}
}

// addJob adds the progress row of a dirty job and returns false if the batch is full.
func (t *term) addJob(b *batch, id string) bool {
	w := &t.writer
	if w.isSetAside(b, id) {
		return true
	}
	if len(b.puts) >= w.rowLimit() {
		b.complete = false
		return false
	}
	row, ok := t.progressRow(id)
	if !ok {
		b.complete = false
		return true
	}
	if !b.add(row.Row, w.rowLimit()) {
		b.complete = false
		return false
	}
	t.noteWrite(id, row.workers)
	w.unconfirmedJobs[id] = w.dirtyJobs[id]
	delete(w.dirtyJobs, id)
	b.jobs = append(b.jobs, id)
	return true
}

// addRemovals adds the removals of progress rows that are no longer needed.
func (t *term) addRemovals(b *batch) {
	w := &t.writer
	n := min(len(w.removedJobs), w.rowLimit()-len(b.puts))
	for _, id := range w.removedJobs[:n] {
		b.removes = append(b.removes, registrar.ProgressRow(id))
	}
	w.removedJobs = w.removedJobs[n:]
	b.complete = b.complete && len(w.removedJobs) == 0
}

// addPending adds the numbers of waiting jobs if they have changed, once per minPendingInterval at most.
func (t *term) addPending(b *batch) {
	w := &t.writer
	now := t.now()
	if now-w.pendingWrittenAt < minPendingInterval {
		return
	}
	limit := maxBatchRows + 1
	if w.singleRows {
		limit = 1
	}
	for _, row := range registrar.PendingRows(t.arranger.PendingJobs()) {
		if bytes.Equal(row.Value, w.pending[row.Key]) {
			continue
		}
		if w.isSetAside(b, row.Key) || !b.add(row, limit) {
			return
		}
		b.pending = append(b.pending, row)
		w.pendingWrittenAt = now
	}
}

// isWorkerShard reports whether the row is a shard of the list of known workers.
func isWorkerShard(row platform.Row) bool {
	return row.Table == registrar.FleetTable && !registrar.IsPendingKey(row.Key) && row.Key != registrar.SpeedsKey && row.Key != registrar.RunTimesKey
}

// confirmBatch marks the content of a written batch as recorded.
func (t *term) confirmBatch(b batch) {
	w := &t.writer
	w.mu.Lock()
	for _, id := range b.jobs {
		delete(w.unconfirmedJobs, id)
	}
	for _, row := range b.pending {
		w.pending[row.Key] = row.Value
	}
	for _, row := range b.puts {
		if isWorkerShard(row) {
			w.recordedShards[row.Key] = row.Value
		}
	}
	accepted := w.forgetRejections(b.puts)
	w.mu.Unlock()
	t.mu.Lock()
	t.releaseAccepted(accepted)
	for _, s := range t.sessions {
		s.updateRecorded()
	}
	for _, row := range b.puts {
		if isWorkerShard(row) {
			t.confirmCleared(row)
		}
	}
	t.confirmWrites(b.jobs)
	t.sendRecorded(b)
	t.mu.Unlock()
}

// requeueBatch marks the content of a batch that may not have been written as still to be written.
func (t *term) requeueBatch(b batch) {
	w := &t.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range b.jobs {
		w.dirtyJobs[id] = w.unconfirmedJobs[id]
		delete(w.unconfirmedJobs, id)
	}
	for _, row := range b.removes {
		w.removedJobs = append(w.removedJobs, row.Key)
	}
	for _, shard := range b.shards {
		w.shards[shard] = true
		// The write may still be executed later, so the value in the store is unknown.
		delete(w.recordedShards, registrar.WorkerShardRow(shard).Key)
	}
	for _, row := range b.pending {
		// The write may still be executed later.
		delete(w.pending, row.Key)
		w.pendingWrittenAt = 0
	}
}
