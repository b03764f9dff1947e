package director

import (
	"bytes"
	"context"
	"errors"
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
	// renewInterval is the longest time between two writes of an owner.
	renewInterval = 250 * time.Millisecond
	// writePause lets several changes be recorded together.
	writePause = 4 * time.Millisecond
	// writeRetry is the time before a write is repeated that the store turned away.
	writeRetry = 120 * time.Millisecond
	// maxRows is the number of rows in one transaction; the store takes 100 entries, the lease twice among them.
	maxRows = 90
	// maxBytes bounds the values of one transaction; the store takes 1 MB, in which values are a third longer than here.
	maxBytes = 512 << 10
	// rejectedPause is the time for which a row that the store does not take holds up nothing but what waits for it.
	rejectedPause = 5 * time.Second
	// pendingInterval is the least time between two records of the numbers of waiting jobs.
	pendingInterval = 400 * time.Millisecond
)

// writer holds what is on its way into the store.
type writer struct {
	wakeup  chan struct{}
	version int64
	renewed atomic.Int64

	mu sync.Mutex
	// dirty are the jobs whose progress is to be recorded.
	dirty map[string]bool
	// changes counts what happened; recorded is the count up to which the store knows.
	changes, recorded uint64
	// removed are the jobs whose progress rows are to be removed.
	removed []string
	// groups are the rows of the list of workers that are to be recorded, recordedGroups what the store holds of them.
	groups         map[int]bool
	recordedGroups map[string][]byte
	pending        map[string]int
	pendingAt      time.Duration
	// oneByOne tells that the store did not take a batch, so that rows are written singly until the one at fault is found.
	oneByOne bool
	// rejected are the keys of rows that the store did not take, with the time of the last try.
	rejected map[string]time.Duration
}

func (w *writer) init(version int64, taken time.Duration) {
	w.version = version
	w.renewed.Store(int64(taken))
	w.wakeup = make(chan struct{}, 1)
	w.dirty = map[string]bool{}
	w.groups = map[int]bool{}
	w.recordedGroups = map[string][]byte{}
	w.rejected = map[string]time.Duration{}
}

// renewedAt returns when the latest write was sent that the store confirmed.
func (w *writer) renewedAt() time.Duration { return time.Duration(w.renewed.Load()) }

func (w *writer) signal() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// change notes jobs to be recorded and returns the count to wait for.
func (w *writer) change(ids []string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.dirty[id] = true
	}
	w.changes++
	return w.changes
}

// changeGroup notes a row of the list of workers to be recorded.
func (w *writer) changeGroup(group int) {
	w.mu.Lock()
	w.groups[group] = true
	w.mu.Unlock()
}

// noteRecorded takes in what the store holds of the list of workers.
func (w *writer) noteRecorded(row platform.Row) {
	w.mu.Lock()
	w.recordedGroups[row.Key] = row.Value
	w.mu.Unlock()
}

// remove asks for the progress rows of jobs to be removed.
func (w *writer) remove(ids []string) {
	w.mu.Lock()
	w.removed = append(w.removed, ids...)
	w.mu.Unlock()
	w.signal()
}

// isRecorded reports whether the store knows of all changes up to the count.
func (w *writer) isRecorded(count uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.recorded >= count
}

// batch is one write.
type batch struct {
	ids        []string
	groups     []int
	changes    uint64
	whole      bool
	puts       []platform.Row
	removes    []platform.Row
	bytes      int
	newPending map[string]int
}

// put adds a row unless the batch is full; an empty batch takes any row.
func (b *batch) put(row platform.Row, limit int) bool {
	if rows := len(b.puts); rows >= limit || rows > 0 && b.bytes+len(row.Value) > maxBytes {
		return false
	}
	b.puts = append(b.puts, row)
	b.bytes += len(row.Value)
	return true
}

// write records changes and renews the lease until the context ends or the lease is lost.
func (t *term) write(ctx context.Context) {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.writer.wakeup:
			sleeper.Sleep(ctx, writePause)
		case <-timer.C:
		}
		for t.writeOnce(ctx) && ctx.Err() == nil {
			continue
		}
		timer.Reset(renewInterval)
	}
}

// writeOnce makes one write and reports whether more is to be written.
func (t *term) writeOnce(ctx context.Context) bool {
	b := t.nextBatch()
	sent := t.now()
	if len(b.puts) == 0 && len(b.removes) == 0 && sent-t.writer.renewedAt() < renewInterval/2 {
		t.finishBatch(b)
		return false
	}
	err := t.send(ctx, b)
	switch {
	case err == nil:
		t.writer.renewed.Store(int64(sent))
		t.finishBatch(b)
		return !b.whole
	case errors.Is(err, errDeposed):
		t.Logger.Warn("lease lost", "epoch", t.lease.Epoch)
		t.cancel()
		return false
	case errors.Is(err, platform.ErrRejected):
		t.returnBatch(b)
		t.takeRejection(b, err)
		if len(b.puts) == 0 {
			sleeper.Sleep(ctx, writeRetry)
		}
		return ctx.Err() == nil
	default:
		t.returnBatch(b)
		if ctx.Err() == nil {
			t.Logger.Warn("progress not recorded", "error", err.Error(), "rows", len(b.puts))
		}
		sleeper.Sleep(ctx, writeRetry)
		return ctx.Err() == nil
	}
}

// takeRejection finds the row that the store does not take: rows are written one by one, and the one at fault is set aside, so that it does not hold up the lease.
func (t *term) takeRejection(b batch, err error) {
	w := &t.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(b.puts) != 1 {
		w.oneByOne = true
		t.Logger.Error("batch not taken by the store, writing its rows one by one", "rows", len(b.puts), "bytes", b.bytes, "error", err.Error())
		return
	}
	w.rejected[b.puts[0].Key] = t.now()
	t.Logger.Error("row not taken by the store, trying again later", "table", b.puts[0].Table, "key", b.puts[0].Key, "bytes", b.bytes, "error", err.Error())
}

// errDeposed means that another process holds the lease.
var errDeposed = errors.New("another holds the lease")

func (t *term) leaseRow() platform.Row {
	return platform.Row{Table: registrar.LeaseTable, Partition: registrar.OwnerPartition, Key: registrar.LeaseKey, Version: t.writer.version}
}

// send writes a batch under the lease; after a lost answer it first finds out which version the lease has.
func (t *term) send(ctx context.Context, b batch) error {
	t.lease.Renewal++
	expected := t.leaseRow()
	renewed := expected
	renewed.Value = registrar.Encode(t.lease)
	outcome, err := t.Store.Transact(ctx, platform.Transaction{
		Expect: []platform.Row{expected},
		Put:    append([]platform.Row{renewed}, b.puts...),
		Remove: b.removes,
	})
	switch {
	case err == nil:
		t.writer.version = outcome.Version
		return nil
	case errors.Is(err, platform.ErrConflict):
		for _, row := range outcome.Rows {
			if row.Key == registrar.LeaseKey {
				return t.adoptVersion(row)
			}
		}
		return t.rereadLease(ctx)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return t.rereadLease(ctx)
	default:
		return err
	}
}

// errRepeat means that an earlier write was carried out late, so that the batch has to be written again.
var errRepeat = errors.New("an earlier write came late")

// adoptVersion takes the lease as it stands in the store after a write whose outcome was unknown: nil means that this write was carried out.
func (t *term) adoptVersion(row platform.Row) error {
	lease, err := registrar.Decode[registrar.Lease](row)
	if err != nil {
		return err
	}
	if lease.Incarnation != t.lease.Incarnation || lease.Epoch != t.lease.Epoch {
		return errDeposed
	}
	t.writer.version = row.Version
	if lease.Renewal == t.lease.Renewal {
		// The row is that of the latest write, which was carried out whole.
		return nil
	}
	return errRepeat
}

func (t *term) rereadLease(ctx context.Context) error {
	row, err := t.Store.Get(ctx, registrar.LeaseTable, registrar.OwnerPartition, registrar.LeaseKey)
	if err != nil {
		return err
	}
	return t.adoptVersion(row)
}

// nextBatch takes what is to be written next.
func (t *term) nextBatch() batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	dirty := t.arranger.TakeDirtyJobs()
	w := &t.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range dirty {
		w.dirty[id] = true
	}
	b := batch{changes: w.changes, whole: true}
	t.addWorkers(&b)
	t.addProgress(&b)
	t.addRemovals(&b)
	t.addPending(&b)
	if b.whole && len(w.rejected) == 0 {
		w.oneByOne = false
	}
	return b
}

// limit returns the number of rows that the next batch may hold.
func (w *writer) limit() int {
	if w.oneByOne {
		return 1
	}
	return maxRows
}

// rests reports whether a row was not taken by the store a short while ago; what waits for it is not recorded meanwhile.
func (w *writer) rests(b *batch, key string, now time.Duration) bool {
	tried, ok := w.rejected[key]
	if !ok || now-tried >= rejectedPause {
		return false
	}
	b.whole = false
	return true
}

// addWorkers adds the changed rows of the list of workers, which go first: a worker that is not recorded is not asked by the next owner.
func (t *term) addWorkers(b *batch) {
	w := &t.writer
	groups := slices.Sorted(maps.Keys(w.groups))
	for i, row := range t.workerShardRows(groups) {
		group := groups[i]
		switch {
		case bytes.Equal(row.Value, w.recordedGroups[row.Key]):
			delete(w.groups, group)
		case w.rests(b, row.Key, t.now()):
		case b.put(row, w.limit()):
			delete(w.groups, group)
			b.groups = append(b.groups, group)
		default:
			b.whole = false
			return
		}
	}
}

// addProgress adds changed progress.
func (t *term) addProgress(b *batch) {
	w := &t.writer
	for id := range w.dirty {
		if w.rests(b, id, t.now()) {
			continue
		}
		if len(b.puts) >= w.limit() || !b.put(t.progressRow(id), w.limit()) {
			b.whole = false
			return
		}
		delete(w.dirty, id)
		b.ids = append(b.ids, id)
	}
}

// addRemovals adds progress rows that are no longer needed.
func (t *term) addRemovals(b *batch) {
	w := &t.writer
	n := min(len(w.removed), w.limit()-len(b.puts))
	for _, id := range w.removed[:n] {
		b.removes = append(b.removes, registrar.ProgressRow(id))
	}
	w.removed = w.removed[n:]
	b.whole = b.whole && len(w.removed) == 0
}

// addPending adds the numbers of waiting jobs, if they have changed and were not recorded a moment ago.
func (t *term) addPending(b *batch) {
	w := &t.writer
	now := t.now()
	if now-w.pendingAt < pendingInterval || w.oneByOne {
		return
	}
	pending := t.arranger.PendingJobs()
	if maps.Equal(pending, w.pending) {
		return
	}
	row := platform.Row{Table: registrar.FleetTable, Partition: registrar.OwnerPartition, Key: registrar.PendingKey, Value: registrar.Encode(pending)}
	if !b.put(row, maxRows+1) {
		return
	}
	b.newPending = pending
	w.pendingAt = now
}

func (t *term) progressRow(id string) platform.Row {
	record := t.records[id]
	p := registrar.Progress{Progress: t.arranger.Progress(id), Organisation: record.organisation, Queue: record.queue}
	if p.State.Final() {
		if record.endedAt.IsZero() {
			record.endedAt = time.Now()
			t.records[id] = record
		}
		p.EndedMillis = record.endedAt.UnixMilli()
	}
	row := registrar.ProgressRow(id)
	row.Value = registrar.Encode(p)
	if len(row.Value) > registrar.MaxValueBytes {
		// A row that the store does not take would hold up all others, and the lease with them.
		t.Logger.Warn("progress too large, checkpoints not recorded", "job", id, "bytes", len(row.Value))
		p.Progress = p.WithoutCheckpoints()
		row.Value = registrar.Encode(p)
	}
	return row
}

func (t *term) finishBatch(b batch) {
	w := &t.writer
	w.mu.Lock()
	if b.whole {
		w.recorded = max(w.recorded, b.changes)
	}
	if b.newPending != nil {
		w.pending = b.newPending
	}
	for _, row := range b.puts {
		if row.Table == registrar.FleetTable && row.Key != registrar.PendingKey {
			w.recordedGroups[row.Key] = row.Value
		}
		delete(w.rejected, row.Key)
	}
	w.mu.Unlock()
	t.mu.Lock()
	for _, s := range t.sessions {
		s.updateRecorded()
	}
	t.mu.Unlock()
}

// returnBatch puts back what was not written.
func (t *term) returnBatch(b batch) {
	w := &t.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range b.ids {
		w.dirty[id] = true
	}
	for _, row := range b.removes {
		w.removed = append(w.removed, row.Key)
	}
	for _, group := range b.groups {
		w.groups[group] = true
		// The write may be carried out late, so that nobody knows what the store holds.
		delete(w.recordedGroups, registrar.WorkerShardRow(group).Key)
	}
	if b.newPending != nil {
		w.pendingAt = 0
	}
}

// releaseTimeout bounds the last write of an owner that ends in good order.
const releaseTimeout = 800 * time.Millisecond

// release records what is left and lets others take the lease at once.
func (t *term) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	t.lease.Released = true
	for range 3 {
		b := t.nextBatch()
		err := t.send(ctx, b)
		if err == nil && b.whole {
			t.Logger.Info("lease released", "epoch", t.lease.Epoch)
			return
		}
		if err != nil && !errors.Is(err, errRepeat) {
			t.Logger.Warn("lease not released", "epoch", t.lease.Epoch, "error", err.Error())
			return
		}
		if err != nil {
			t.returnBatch(b)
		}
	}
}
