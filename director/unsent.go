package director

import (
	"slices"

	"github.com/snipelift/snipelift/arranger"
)

// Starts are sent once the store lists their workers in the progress row of the
// job. The next owner then knows on which workers runs of a job may exist, and
// waits for the reports of these only. A worker that is listed already needs no
// new write, so a job continues on its workers while the store is unavailable.

// unsentStart is a start that waits for a write of its job's progress row.
type unsentStart struct {
	order arranger.StartOrder
	// change is the writer's change number from which the row lists the worker.
	change uint64
}

// recordStarts sends the starts whose workers are recorded, and schedules a write of the other workers, whose starts are sent when it is confirmed; the caller holds the term's mutex.
func (t *term) recordStarts(orders []arranger.StartOrder) {
	if len(orders) == 0 {
		return
	}
	ids := make([]string, 0, len(orders))
	for _, order := range orders {
		ids = append(ids, order.Task.Job)
	}
	// The rows of jobs whose starts are sent at once are written as well: they have to keep the workers.
	change := t.writer.markJobsDirty(slices.Compact(ids))
	t.writer.signal()
	isRecorded := func(order arranger.StartOrder) bool {
		return t.recorded[order.Task.Job].lists(order.Worker)
	}
	incomplete := gangsWithout(orders, isRecorded)
	for _, order := range orders {
		if isRecorded(order) && !incomplete[gangOf(order)] {
			t.sendStart(order)
			continue
		}
		t.unsent[order.Task.Job] = append(t.unsent[order.Task.Job], unsentStart{order: order, change: change})
	}
}

// gang identifies the start of a gang, whose members are sent together; it is zero for a task without a gang.
type gang struct {
	job              string
	occurrence, step int
	run              int64
}

func gangOf(order arranger.StartOrder) gang {
	if !order.Gang {
		return gang{}
	}
	return gang{job: order.Task.Job, occurrence: order.Task.Occurrence, step: order.Task.Step, run: order.Run}
}

// gangsWithout returns the gangs that have a member for which the condition does not hold.
func gangsWithout(orders []arranger.StartOrder, condition func(arranger.StartOrder) bool) map[gang]bool {
	gangs := map[gang]bool{}
	for _, order := range orders {
		if order.Gang && !condition(order) {
			gangs[gangOf(order)] = true
		}
	}
	return gangs
}

// workerSet is the list of workers in a progress row, which may stand for all workers.
type workerSet struct {
	ids []string
	all bool
}

func (s workerSet) has(worker string) bool { return s.all || slices.Contains(s.ids, worker) }

// and returns the workers in both sets.
func (s workerSet) and(o workerSet) workerSet {
	if s.all {
		return o
	}
	return workerSet{ids: slices.DeleteFunc(slices.Clone(s.ids), func(worker string) bool { return !o.has(worker) })}
}

// recordedWorkers are the workers in a job's progress row: those in the store, and those in a write whose outcome is
// not known yet.
type recordedWorkers struct {
	stored, pending workerSet
	isPending       bool
}

// lists reports whether the row in the store lists the worker, whatever the outcome of the pending write.
func (r recordedWorkers) lists(worker string) bool {
	return r.stored.has(worker) && (!r.isPending || r.pending.has(worker))
}

// noteWrite records that a write of the job's row with the workers begins. After one without a known outcome, the row
// may be that of either write; the caller holds the term's mutex.
func (t *term) noteWrite(id string, workers workerSet) {
	r := t.recorded[id]
	if r.isPending {
		r.stored = r.stored.and(r.pending)
	}
	r.pending, r.isPending = workers, true
	t.recorded[id] = r
}

// revertWrites records that the last writes of the jobs' rows were not executed and never will be.
func (t *term) revertWrites(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.recorded[id] = recordedWorkers{stored: t.recorded[id].stored}
	}
}

// confirmWrites records that the last writes of the jobs' rows have been executed; the caller holds the term's mutex.
func (t *term) confirmWrites(ids []string) {
	for _, id := range ids {
		if r := t.recorded[id]; r.pending.all || len(r.pending.ids) > 0 {
			t.recorded[id] = recordedWorkers{stored: r.pending}
			continue
		}
		delete(t.recorded, id)
	}
}

// sendRecorded sends the starts whose workers the batch has recorded; the caller holds the term's mutex.
func (t *term) sendRecorded(b batch) {
	for _, id := range b.jobs {
		var recorded []arranger.StartOrder
		waiting := t.unsent[id][:0]
		for _, start := range t.unsent[id] {
			if start.change > b.lastChange {
				waiting = append(waiting, start)
				continue
			}
			recorded = append(recorded, start.order)
		}
		if t.unsent[id] = waiting; len(waiting) == 0 {
			delete(t.unsent, id)
		}
		t.sendWanted(recorded)
	}
}

// sendWanted sends those starts of a job whose decision still holds: a worker may have been lost or have begun to drain, or its zone may be evacuated since. A gang is sent whole or not at all.
func (t *term) sendWanted(orders []arranger.StartOrder) {
	if len(orders) == 0 {
		return
	}
	t.applyEvacuation()
	unwanted := gangsWithout(orders, t.isWanted)
	for _, order := range orders {
		if unwanted[gangOf(order)] || !t.isWanted(order) {
			t.withdraw(order, "worker drains, has shrunk or is in an evacuated zone, or run is stopped")
			continue
		}
		t.sendStart(order)
	}
}

// wasSent reports whether the start of a run does not wait for a write; the caller holds the term's mutex.
func (t *term) wasSent(name arranger.TaskName, run int64) bool {
	return !slices.ContainsFunc(t.unsent[name.Job], func(start unsentStart) bool { return start.order.Task == name && start.order.Run == run })
}

// isWanted reports whether the start is still to be sent: not to a worker that has not answered its latest poll, either.
func (t *term) isWanted(order arranger.StartOrder) bool {
	w, known := t.arranger.Worker(order.Worker)
	if t.startsHeld || t.isEvacuated(order) {
		return false
	}
	if s := t.sessions[order.Worker]; s != nil && s.silent() {
		return false
	}
	return known && !w.Draining && !t.arranger.Overcommitted(order.Worker) && t.arranger.IsStarting(order.Task, order.Run)
}

// withdraw releases the place of a start that has not been sent.
func (t *term) withdraw(order arranger.StartOrder, reason string) {
	t.Logger.Info("start withdrawn", "task", order.Task.String(), "run", order.Run, "worker", order.Worker, "reason", reason)
	t.arranger.StartWithdrawn(order.Task, order.Run, order.Worker)
	t.requestPlan()
}

// withdrawStart discards the start of a run that is to be stopped and reports whether it had not been sent; the caller holds the term's mutex.
func (t *term) withdrawStart(stop arranger.StopOrder) bool {
	name, err := arranger.ParseTaskName(stop.Task)
	if err != nil {
		// A worker listed a run that is not ours.
		return false
	}
	starts := t.unsent[name.Job]
	i := slices.IndexFunc(starts, func(start unsentStart) bool { return start.order.Task == name && start.order.Run == stop.Run })
	if i < 0 {
		return false
	}
	order := starts[i].order
	t.unsent[name.Job] = slices.Delete(starts, i, i+1)
	t.withdraw(order, stop.Reason)
	return true
}
