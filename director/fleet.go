package director

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// listFeedTimeout bounds one wait for changes of the list, so that a dead connection is detected.
	listFeedTimeout = 800 * time.Millisecond
	// listBatchDelay is the delay before the next feed request, so that one response holds several changes.
	listBatchDelay = 40 * time.Millisecond
	// maxClockSkew is how far the start of a worker may lie in the future; after an entry with a later one, all true entries would look old.
	maxClockSkew = time.Hour
)

// followWorkers applies the changes that are made to the platform's list of workers after version from.
func (t *term) followWorkers(ctx context.Context, from int64) {
	for ctx.Err() == nil {
		page, err := t.Store.Feed(ctx, platform.WorkerTable, from, listFeedTimeout)
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			from = t.reloadWorkers(ctx, from)
		case err != nil:
			sleeper.Sleep(ctx, loadRetryDelay)
		default:
			t.updateFleet(func() {
				t.applyWorkerChanges(page.Rows)
				t.reopenSessions()
			})
			from = max(from, page.Version)
			sleeper.Sleep(ctx, listBatchDelay)
		}
	}
}

// reloadWorkers reads the whole list once its history is gone and returns the version from which to follow changes.
func (t *term) reloadWorkers(ctx context.Context, from int64) int64 {
	page, err := t.Store.Range(ctx, platform.WorkerTable, "", "", "")
	if err != nil {
		t.Logger.Warn("list of workers not reloaded", "from", from, "error", err.Error())
		sleeper.Sleep(ctx, loadRetryDelay)
		return from
	}
	if page.Version < from {
		// The feed does not repeat the changes in between, so that a draining worker would be taken for an active one.
		t.Logger.Warn("list of workers older than the known version, reading again", "from", from, "version", page.Version)
		sleeper.Sleep(ctx, loadRetryDelay)
		return from
	}
	t.Logger.Info("list of workers reloaded, since its history was gone", "from", from, "version", page.Version, "workers", len(page.Rows))
	t.updateFleet(func() { t.applyWorkerList(page.Rows) })
	return max(from, page.Version)
}

// updateFleet calls update under the term's mutex and requests a plan if the change needs one.
func (t *term) updateFleet(update func()) {
	t.mu.Lock()
	update()
	needsPlan := t.arranger.NeedsPlan()
	t.mu.Unlock()
	if needsPlan {
		t.requestPlan()
	}
}

// applyWorkerList applies the complete list of workers; the caller holds the term's mutex.
func (t *term) applyWorkerList(rows []platform.Row) {
	listed := map[string]bool{}
	for _, row := range rows {
		if t.applyWorkerRow(row) {
			listed[row.Key] = true
		}
	}
	maps.DeleteFunc(t.listed, func(id string, _ platform.Worker) bool { return !listed[id] })
	for id, s := range t.sessions {
		if !listed[id] {
			t.markUnlisted(s)
		}
	}
}

// applyWorkerChanges applies changes of the list of workers; the caller holds the term's mutex.
func (t *term) applyWorkerChanges(rows []platform.Row) {
	for _, row := range rows {
		if !row.Deleted && t.applyWorkerRow(row) {
			continue
		}
		delete(t.listed, row.Key)
		if s := t.sessions[row.Key]; s != nil {
			t.markUnlisted(s)
		}
	}
}

// applyWorkerRow applies a row of the list and reports whether it describes a worker; the caller holds the term's mutex.
func (t *term) applyWorkerRow(row platform.Row) bool {
	w, err := platform.DecodeWorker(row.Key, row.Value)
	if err == nil && w.Incarnation > time.Now().Add(maxClockSkew).UnixMilli() {
		err = fmt.Errorf("%w: it starts in the future, at %d", platform.ErrInvalidWorker, w.Incarnation)
	}
	if err != nil {
		t.Logger.Warn("entry of the worker list ignored", "worker", row.Key, "row", row.Version, "error", err.Error())
		return false
	}
	t.listed[w.ID] = w
	t.updateWorker(w)
	if s := t.sessions[w.ID]; s != nil {
		s.listed = true
	}
	return true
}

// reopenSessions opens sessions with listed workers whose session was closed; the caller holds the term's mutex.
func (t *term) reopenSessions() {
	for id, w := range t.listed {
		if t.sessions[id] == nil {
			t.updateWorker(w)
		}
	}
}

// markUnlisted marks a worker as no longer listed: it gets no new tasks, but its running tasks and ended runs count.
func (t *term) markUnlisted(s *session) {
	if !s.listed {
		return
	}
	s.listed = false
	t.Logger.Info("worker no longer listed", "worker", s.worker.ID)
	if info, ok := t.arranger.Worker(s.worker.ID); ok {
		info.Draining = true
		t.arranger.SetWorker(time.Now(), info)
	}
}

// updateWorker opens a session with the worker if necessary and passes its description to the arranger, unless the description is of an earlier incarnation.
func (t *term) updateWorker(w platform.Worker) {
	info := arranger.Worker{
		ID: w.ID, Incarnation: w.Incarnation, Service: w.Service, Address: w.Address, Zone: w.Zone, Rack: w.Rack, Labels: w.Labels, Draining: w.Draining, Leaving: w.Draining,
		Capacity: arranger.Resources{CPU: w.CPU, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators},
	}
	previous, known := t.arranger.Worker(w.ID)
	if known && previous.Incarnation != 0 && info.Incarnation != 0 && previous.Incarnation > info.Incarnation {
		return
	}
	if w.Draining && w.DrainRemaining > 0 {
		info.LeavesAt = earliest(previous.LeavesAt, time.Now().Add(w.DrainRemaining))
	}
	info.ColdUntil = coldUntil(w, previous, time.Now())
	// Only the addresses of the workers recorded by a previous owner are known at first.
	if known && previous.Service != "" && previous.Draining != info.Draining {
		t.Logger.Info("worker state changed", "worker", w.ID, "draining", w.Draining, "remaining", w.DrainRemaining.String())
	}
	t.openSession(info)
	t.arranger.SetWorker(time.Now(), info)
}

// earliest returns the earlier of two times, ignoring a zero x; a list entry holds the remaining time from when it was written, so that reading it again gives a later end.
func earliest(x, y time.Time) time.Time {
	if x.IsZero() || y.Before(x) {
		return y
	}
	return x
}

// markWorkerDirty schedules a write of the shard that lists the worker.
func (t *term) markWorkerDirty(id string) {
	t.writer.markShardDirty(registrar.WorkerShard(id))
	t.writer.signal()
}

// workerShardRows returns the current rows of the shards; the caller holds the term's mutex.
func (t *term) workerShardRows(shards []int) []platform.Row {
	members := make(map[int][]registrar.KnownWorker, len(shards))
	for _, shard := range shards {
		members[shard] = []registrar.KnownWorker{}
	}
	for id, s := range t.sessions {
		shard := registrar.WorkerShard(id)
		if _, wanted := members[shard]; wanted && !s.drained {
			members[shard] = append(members[shard], registrar.KnownWorker{
				ID: id, Address: s.worker.Address, Incarnation: s.worker.Incarnation, LeaseEndMillis: s.leaseEnd.Milliseconds(),
			})
		}
	}
	rows := make([]platform.Row, 0, len(shards))
	for _, shard := range shards {
		slices.SortFunc(members[shard], func(x, y registrar.KnownWorker) int { return cmp.Compare(x.ID, y.ID) })
		row := registrar.WorkerShardRow(shard)
		row.Value = registrar.Encode(members[shard])
		rows = append(rows, row)
	}
	return rows
}
