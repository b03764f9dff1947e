package director

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// listWait bounds one wait for changes of the list, so that a connection that went silent is noticed.
	listWait = 800 * time.Millisecond
	// listPause lets several changes come in one answer.
	listPause = 40 * time.Millisecond
)

// followWorkers keeps the fleet at what the platform's list says, from the version at which it was read.
func (t *term) followWorkers(ctx context.Context, from int64) {
	for ctx.Err() == nil {
		page, err := t.Store.Feed(ctx, platform.WorkerTable, from, listWait)
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			from = t.rereadWorkers(ctx, from)
		case err != nil:
			sleeper.Sleep(ctx, loadPause)
		default:
			t.takeList(func() {
				t.takeWorkerChanges(page.Rows)
				t.reopenSessions()
			})
			from = max(from, page.Version)
			sleeper.Sleep(ctx, listPause)
		}
	}
}

// rereadWorkers reads the whole list after its history was dropped and returns the version from which to follow.
func (t *term) rereadWorkers(ctx context.Context, from int64) int64 {
	page, err := t.Store.Range(ctx, platform.WorkerTable, "", "", "")
	if err != nil {
		t.Logger.Warn("list of workers not read anew", "from", from, "error", err.Error())
		sleeper.Sleep(ctx, loadPause)
		return from
	}
	if page.Version < from {
		// What changed in between is not told again: a worker that leaves would be taken for one that stays.
		t.Logger.Warn("list of workers older than what is known, reading again", "from", from, "version", page.Version)
		sleeper.Sleep(ctx, loadPause)
		return from
	}
	t.Logger.Info("history of the list of workers gone, read anew", "from", from, "version", page.Version, "workers", len(page.Rows))
	t.takeList(func() { t.takeWorkerRows(page.Rows) })
	return max(from, page.Version)
}

// takeList takes in news of the list under the term's lock and asks for a plan that they give reason for.
func (t *term) takeList(take func()) {
	t.mu.Lock()
	take()
	wants := t.arranger.NeedsPlan()
	t.mu.Unlock()
	if wants {
		t.requestPlan()
	}
}

// takeWorkerRows takes in the whole list of workers; the term's lock is held.
func (t *term) takeWorkerRows(rows []platform.Row) {
	listed := map[string]bool{}
	for _, row := range rows {
		if t.takeWorkerRow(row) {
			listed[row.Key] = true
		}
	}
	maps.DeleteFunc(t.listed, func(id string, _ platform.Worker) bool { return !listed[id] })
	for id, s := range t.sessions {
		if !listed[id] {
			t.unlist(s)
		}
	}
}

// takeWorkerChanges takes in changes of the list of workers; the term's lock is held.
func (t *term) takeWorkerChanges(rows []platform.Row) {
	for _, row := range rows {
		if !row.Deleted && t.takeWorkerRow(row) {
			continue
		}
		delete(t.listed, row.Key)
		if s := t.sessions[row.Key]; s != nil {
			t.unlist(s)
		}
	}
}

// takeWorkerRow takes in an entry of the list and reports whether it names a worker; the term's lock is held.
func (t *term) takeWorkerRow(row platform.Row) bool {
	w, err := platform.DecodeWorker(row.Key, row.Value)
	if err != nil {
		t.Logger.Debug("entry of the worker list passed over", "worker", row.Key, "error", err.Error())
		return false
	}
	t.listed[w.ID] = w
	t.takeWorker(w)
	if s := t.sessions[w.ID]; s != nil {
		s.listed = true
	}
	return true
}

// reopenSessions begins anew with workers that were given up and are still listed; the term's lock is held.
func (t *term) reopenSessions() {
	for id, w := range t.listed {
		if t.sessions[id] == nil {
			t.takeWorker(w)
		}
	}
}

// unlist takes in that the list does not name a worker any more: it gets no new work, but what it runs and has ended counts.
func (t *term) unlist(s *session) {
	if !s.listed {
		return
	}
	s.listed = false
	t.Logger.Info("worker no longer listed", "worker", s.worker.ID)
	if info, ok := t.arranger.Worker(s.worker.ID); ok {
		info.Draining = true
		t.arranger.SetWorker(info)
	}
}

func (t *term) takeWorker(w platform.Worker) {
	info := arranger.Worker{
		ID: w.ID, Incarnation: w.Incarnation, Service: w.Service, Address: w.Address, Rack: w.Rack, Labels: w.Labels, Draining: w.Draining,
		Capacity: arranger.Resources{CPU: w.CPU, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators},
	}
	before, known := t.arranger.Worker(w.ID)
	if known && before.Incarnation != 0 && info.Incarnation != 0 && before.Incarnation > info.Incarnation {
		return
	}
	if w.Draining && w.DrainRemaining > 0 {
		info.LeavesAt = earliest(before.LeavesAt, time.Now().Add(w.DrainRemaining))
	}
	// Of the workers that an earlier owner used only the address is known at first.
	if known && before.Service != "" && before.Draining != info.Draining {
		t.Logger.Info("worker changes state", "worker", w.ID, "draining", w.Draining, "remaining", w.DrainRemaining.String())
	}
	t.openSession(info)
	t.arranger.SetWorker(info)
}

// earliest returns the earlier time; an entry that is read again says what was left when it was written.
func earliest(x, y time.Time) time.Time {
	if x.IsZero() || y.Before(x) {
		return y
	}
	return x
}

// recordWorker asks for the record of a worker to be brought up to date.
func (t *term) recordWorker(id string) {
	t.writer.changeGroup(registrar.WorkerShard(id))
	t.writer.signal()
}

// workersRows returns the rows of the groups as they are to be recorded; the term's lock is held.
func (t *term) workersRows(groups []int) []platform.Row {
	members := make(map[int][]registrar.KnownWorker, len(groups))
	for _, group := range groups {
		members[group] = []registrar.KnownWorker{}
	}
	for id, s := range t.sessions {
		group := registrar.WorkerShard(id)
		if _, wanted := members[group]; wanted && !s.drained {
			members[group] = append(members[group], registrar.KnownWorker{ID: id, Address: s.worker.Address, Incarnation: s.worker.Incarnation})
		}
	}
	rows := make([]platform.Row, 0, len(groups))
	for _, group := range groups {
		slices.SortFunc(members[group], func(x, y registrar.KnownWorker) int { return cmp.Compare(x.ID, y.ID) })
		row := registrar.WorkerShardRow(group)
		row.Value = registrar.Encode(members[group])
		rows = append(rows, row)
	}
	return rows
}
