package director

import (
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// A row that the store rejects is set aside and retried in a batch of its own,
// so that it delays no other rows. No further tasks of its job start. While its
// ended runs are not recorded, their workers have to keep the ends that follow,
// and list 500 at a time; a job whose row is rejected for too long therefore
// ends as failed, which makes its row small.

const (
	// rejectedRetryDelay is the delay before a row that the store rejected is written again; other rows are written meanwhile.
	rejectedRetryDelay = 5 * time.Second
	// maxRejectedTime is how long the row of a job may be rejected before the job ends as failed, maxRejectedTimeWithEnds how long if ended runs of it wait
	// to be recorded.
	maxRejectedTime, maxRejectedTimeWithEnds = 30 * time.Second, rejectedRetryDelay
)

// rejection is the record of a row that the store rejected.
type rejection struct {
	// first and last are the times of the first and the last attempt to write it.
	first, last time.Duration
}

// handleRejection switches to writing rows one at a time after the store rejected a batch, and sets a rejected single row aside.
func (t *term) handleRejection(b batch, err error) {
	w := &t.writer
	w.mu.Lock()
	if len(b.puts) != 1 {
		w.singleRows = true
		w.mu.Unlock()
		t.Logger.Error("batch rejected by the store, writing its rows one at a time", "rows", len(b.puts), "bytes", b.bytes, "error", err.Error())
		return
	}
	row, now := b.puts[0], t.now()
	r, known := w.rejected[row.Key]
	if !known {
		r.first = now
	}
	r.last = now
	w.rejected[row.Key] = r
	w.singleRows = false
	w.mu.Unlock()
	t.Logger.Error("row rejected by the store, trying again later", "table", row.Table, "key", row.Key, "bytes", b.bytes, "since", (now - r.first).String(), "error", err.Error())
	if row.Table == registrar.ProgressTable {
		t.mu.Lock()
		t.holdRejected(row.Key, now-r.first)
		t.mu.Unlock()
	}
}

// holdRejected starts no further tasks of a job whose row has been rejected for a time, and ends the job after too long; the caller holds the term's mutex.
func (t *term) holdRejected(id string, since time.Duration) {
	t.arranger.HoldJob(id, true)
	limit := maxRejectedTime
	if t.hasUnrecordedEnds(id) {
		limit = maxRejectedTimeWithEnds
	}
	if since >= limit {
		t.Logger.Error("job ends as failed, since the store rejects its progress", "job", id, "since", since.String(), "limit", limit.String())
		t.arranger.FailJob(id, "progress rejected by the store")
	}
}

// hasUnrecordedEnds reports whether a worker keeps an ended run of the job until that is recorded; the caller holds the term's mutex.
func (t *term) hasUnrecordedEnds(id string) bool {
	for _, s := range t.sessions {
		for _, end := range s.unrecordedEnds {
			if end.job == id {
				return true
			}
		}
	}
	return false
}

// retryRejected adds a row that the store rejected, which is now to be written again, and reports whether there is one; the caller holds both mutexes.
func (t *term) retryRejected(b *batch) bool {
	w, now := &t.writer, t.now()
	for key, r := range w.rejected {
		if now-r.last < rejectedRetryDelay {
			continue
		}
		delete(w.rejected, key)
		t.addRejected(b, key)
		if len(b.puts) > 0 {
			r.last = now
			w.rejected[key] = r
			b.complete = false
			return true
		}
	}
	return false
}

// addRejected adds the row with the key if it is still to be written.
func (t *term) addRejected(b *batch, key string) {
	w := &t.writer
	if _, dirty := w.dirtyJobs[key]; dirty {
		t.addJob(b, key)
		return
	}
	for shard := range w.shards {
		if registrar.WorkerShardRow(shard).Key == key {
			row := t.workerShardRows([]int{shard})[0]
			delete(w.shards, shard)
			b.shards = append(b.shards, shard)
			b.add(row, 1)
			return
		}
	}
	switch {
	case registrar.IsPendingKey(key):
		w.pendingWrittenAt = 0
		t.addPending(b)
	case key == registrar.SpeedsKey:
		w.speeds, w.speedsWrittenAt = nil, 0
		t.addSpeeds(b)
	case key == registrar.RunTimesKey:
		w.runTimesChanges, w.runTimesWrittenAt = 0, 0
		t.addRunTimes(b)
	}
}

// isSetAside reports whether the store rejected the row, so that it is written by itself later, and marks the batch as incomplete if so.
func (w *writer) isSetAside(b *batch, key string) bool {
	if _, rejected := w.rejected[key]; !rejected {
		return false
	}
	b.complete = false
	return true
}

// forgetRejections removes the record of rejections of rows that the store has accepted, and returns their keys; the caller holds the mutex.
func (w *writer) forgetRejections(rows []platform.Row) []string {
	var accepted []string
	for _, row := range rows {
		if _, rejected := w.rejected[row.Key]; rejected {
			delete(w.rejected, row.Key)
			accepted = append(accepted, row.Key)
		}
	}
	return accepted
}

// releaseAccepted lets the jobs go on whose rows the store has accepted after a rejection; the caller holds the term's mutex.
func (t *term) releaseAccepted(keys []string) {
	for _, key := range keys {
		t.Logger.Info("row accepted by the store after a rejection", "key", key)
		t.arranger.HoldJob(key, t.heldForForm[key])
		t.requestPlan()
	}
}
