package director

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

// listPause is the time between two readings of the list of workers; one that leaves must get no new work within two seconds.
const listPause = 800 * time.Millisecond

// followWorkers keeps the fleet at what the platform's list says.
func (t *term) followWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := t.Store.Range(ctx, platform.WorkerTable, "", "", "")
		if err == nil {
			t.mu.Lock()
			t.takeWorkerRows(page.Rows)
			wants := t.arranger.WantsPlan()
			t.mu.Unlock()
			if wants {
				t.wake()
			}
		}
		sleeper.Sleep(ctx, listPause)
	}
}

// takeWorkerRows takes in the list of workers; the term's lock is held.
func (t *term) takeWorkerRows(rows []platform.Row) {
	listed := map[string]bool{}
	for _, row := range rows {
		w, err := platform.DecodeWorker(row.Key, row.Value)
		if err != nil {
			t.Logger.Debug("entry of the worker list passed over", "worker", row.Key, "error", err.Error())
			continue
		}
		listed[w.ID] = true
		t.takeWorker(w)
	}
	for id, s := range t.sessions {
		if s.listed == listed[id] {
			continue
		}
		s.listed = listed[id]
		if !s.listed {
			t.Logger.Info("worker no longer listed", "worker", id)
			if info, ok := t.arranger.Worker(id); ok {
				info.Draining = true
				t.arranger.SetWorker(info)
			}
		}
	}
}

func (t *term) takeWorker(w platform.Worker) {
	info := arranger.Worker{
		ID: w.ID, Born: w.Born, Service: w.Service, Address: w.Address, Rack: w.Rack, Labels: w.Labels, Draining: w.Draining,
		Capacity: arranger.Resources{CPU: w.CPU, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators},
	}
	before, known := t.arranger.Worker(w.ID)
	if known && before.Born != 0 && info.Born != 0 && before.Born > info.Born {
		return
	}
	// Of the workers that an earlier owner used only the address is known at first.
	if known && before.Service != "" && before.Draining != info.Draining {
		t.Logger.Info("worker changes state", "worker", w.ID, "draining", w.Draining, "remaining", w.Remaining.String())
	}
	t.openSession(info)
	t.arranger.SetWorker(info)
}

// recordWorker asks for the record of a worker to be brought up to date.
func (t *term) recordWorker(id string) {
	t.writer.changeGroup(registrar.WorkersGroup(id))
	t.writer.signal()
}

// workersRows returns the rows of the groups as they are to be recorded; the term's lock is held.
func (t *term) workersRows(groups []int) []platform.Row {
	members := make(map[int][]registrar.KnownWorker, len(groups))
	for _, group := range groups {
		members[group] = []registrar.KnownWorker{}
	}
	for id, s := range t.sessions {
		group := registrar.WorkersGroup(id)
		if _, wanted := members[group]; wanted && !s.vacant {
			members[group] = append(members[group], registrar.KnownWorker{ID: id, Address: s.worker.Address, Born: s.worker.Born})
		}
	}
	rows := make([]platform.Row, 0, len(groups))
	for _, group := range groups {
		slices.SortFunc(members[group], func(x, y registrar.KnownWorker) int { return cmp.Compare(x.ID, y.ID) })
		row := registrar.WorkersRow(group)
		row.Value = registrar.Encode(members[group])
		rows = append(rows, row)
	}
	return rows
}
