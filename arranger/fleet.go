package arranger

import (
	"slices"
	"strings"
	"time"
)

// SetWorker adds or updates a worker; a changed incarnation means that it restarted and has lost its runs.
func (a *Arranger) SetWorker(now time.Time, info Worker) {
	w := a.workers[info.ID]
	if w != nil && w.Incarnation != info.Incarnation && info.Incarnation != 0 && w.Incarnation != 0 {
		a.WorkerRestarted(now, info, "worker restarted", nil)
		w = a.workers[info.ID]
	}
	if w == nil {
		w = &worker{orphans: map[string]Resources{}, joinedAt: now, cold: coldState{since: now}}
		a.workers[info.ID] = w
		index, _ := slices.BinarySearchFunc(a.sortedWorkers, info.ID, func(other *worker, id string) int { return strings.Compare(other.ID, id) })
		a.sortedWorkers = slices.Insert(a.sortedWorkers, index, w)
	}
	a.changed = a.changed || w.Draining != info.Draining || w.Capacity != info.Capacity
	if !now.Before(w.ColdUntil) && now.Before(info.ColdUntil) {
		w.cold = coldState{returnedAt: w.cold.returnedAt, since: now}
	}
	wasEvacuated := w.evacuated
	w.Worker = info
	a.updateZone(w)
	if w.evacuated && !wasEvacuated {
		a.releaseEvacuatedClaims()
	}
	a.resolveSilentLoss(now, info)
}

// ExpectReport delays inherited jobs until the worker has reported, or until the given time, when the leases of
// the tasks that a previous owner may have started there have expired.
func (a *Arranger) ExpectReport(id string, expiry time.Time) {
	a.awaitedReports[id] = expiry
	if w := a.workers[id]; w != nil {
		w.cold.inherited = true
	}
}

// ExpectsReport reports whether inherited jobs wait for the worker's report.
func (a *Arranger) ExpectsReport(id string) bool {
	_, expected := a.awaitedReports[id]
	return expected
}

// awaitingReports reports whether a worker that has not reported may still run tasks of a previous owner.
func (a *Arranger) awaitingReports(now time.Time) bool {
	for id, expiry := range a.awaitedReports {
		if !expiry.IsZero() && !now.Before(expiry) {
			delete(a.awaitedReports, id)
			a.options.Log("worker has not reported, but all leases there have expired", "worker", id, "left", len(a.awaitedReports))
		}
	}
	return len(a.awaitedReports) > 0
}

// awaitsReport reports whether a worker that has not reported may still run tasks of the job.
func (a *Arranger) awaitsReport(j *job) bool {
	if !j.inherited || len(a.awaitedReports) == 0 {
		return false
	}
	if j.workersUnknown {
		return true
	}
	return slices.ContainsFunc(j.inheritedWorkers, func(id string) bool {
		_, awaited := a.awaitedReports[id]
		return awaited
	})
}

// learnUnknownWorkers notes that the workers of all jobs are known again, once all workers have reported.
func (a *Arranger) learnUnknownWorkers() {
	if !a.hasUnknownWorkers || len(a.awaitedReports) > 0 {
		return
	}
	a.hasUnknownWorkers = false
	for _, j := range a.active {
		if j.workersUnknown {
			j.workersUnknown = false
			a.dirty[j.ID] = true
		}
	}
}

// AwaitsReports reports whether a worker that has not reported may still run tasks of a previous owner.
func (a *Arranger) AwaitsReports() bool { return len(a.awaitedReports) > 0 }

// SetReachable records whether a worker answers; an unreachable worker keeps its runs but gets no new work.
func (a *Arranger) SetReachable(now time.Time, id string, reachable bool) {
	w := a.workers[id]
	if w == nil {
		return
	}
	a.changed = a.changed || w.reachable != reachable
	if w.reachable && !reachable {
		w.lostContactAt = now
		a.recordLoss(now, w)
	}
	w.reachable = reachable
}

// removeWorker removes a worker on which no run can be alive any more.
func (a *Arranger) removeWorker(id, reason string) {
	delete(a.awaitedReports, id)
	w := a.workers[id]
	if w == nil {
		return
	}
	delete(a.workers, id)
	w.rating.discard(len(w.rating.observations))
	a.sortedWorkers = slices.DeleteFunc(a.sortedWorkers, func(other *worker) bool { return other == w })
	for _, p := range slices.Clone(w.places) {
		a.releaseAndRequeue(p, reason)
	}
}

// releaseAndRequeue removes a place whose run has ended or never started; its task waits again unless it is
// done.
func (a *Arranger) releaseAndRequeue(p *place, reason string) {
	p.worker.remove(p)
	a.changed = true
	t := p.task
	if t.place == p {
		t.place = nil
	}
	if t.done || t.stage.job.state.Final() {
		return
	}
	a.observeInterruption(p)
	a.options.Log("task requeued", "task", t.label(), "run", p.run, "worker", p.worker.ID, "reason", reason)
	if t.stage.step.Gang {
		a.stopGang(t.stage, reason)
	}
}

// stopGang stops the remaining members of a gang that has lost one, so that the whole gang can start again.
func (a *Arranger) stopGang(s *stage, reason string) {
	for _, other := range s.tasks {
		if other.place == nil || other.done {
			continue
		}
		if other.place.state == placeClaimed {
			a.release(other.place)
			continue
		}
		a.stop(other.place, reason)
	}
}

// release removes a place and frees its capacity.
func (a *Arranger) release(p *place) {
	p.worker.remove(p)
	a.changed = true
	if p.task.place == p {
		p.task.place = nil
	}
}

// stop orders the end of a run; its capacity stays in use until the worker reports the end.
func (a *Arranger) stop(p *place, reason string) {
	switch p.state {
	case placeClaimed:
		a.release(p)
		return
	case placeStopping:
		return
	case placeStarting, placeRunning:
	}
	p.state = placeStopping
	p.reason = reason
	if !p.fencedOff {
		p.confirmedAt = time.Time{}
	}
	a.orderStop(p)
}

func (a *Arranger) orderStop(p *place) {
	a.orders.Stops = append(a.orders.Stops, StopOrder{Task: p.task.label(), Run: p.run, Worker: p.worker.ID, Reason: p.reason})
}

// Worker returns the description of a worker; the result is false if the worker is unknown.
func (a *Arranger) Worker(id string) (Worker, bool) {
	if w := a.workers[id]; w != nil {
		return w.Worker, true
	}
	return Worker{}, false
}

// Occupied reports whether the worker has runs, orphaned runs or claimed capacity.
func (a *Arranger) Occupied(id string) bool {
	w := a.workers[id]
	return w != nil && (len(w.places) > 0 || len(w.orphans) > 0)
}

// Overcommitted reports whether the ordered runs need more than the worker's capacity, which may shrink while they are there.
func (a *Arranger) Overcommitted(id string) bool {
	w := a.workers[id]
	return w != nil && !w.Capacity.Covers(w.inUse())
}
