package arranger

import (
	"slices"
	"strings"
	"time"
)

// SetWorker takes in what a worker says of itself; another life of it begins empty.
func (a *Arranger) SetWorker(info Worker) {
	w := a.workers[info.ID]
	if w != nil && w.Incarnation != info.Incarnation && info.Incarnation != 0 && w.Incarnation != 0 {
		a.RemoveWorker(info.ID, "worker restarted")
		w = nil
	}
	if w == nil {
		w = &worker{orphans: map[string]Resources{}}
		a.workers[info.ID] = w
		at, _ := slices.BinarySearchFunc(a.sortedWorkers, info.ID, func(other *worker, id string) int { return strings.Compare(other.ID, id) })
		a.sortedWorkers = slices.Insert(a.sortedWorkers, at, w)
	}
	a.changed = a.changed || w.Draining != info.Draining || w.Capacity != info.Capacity
	w.Worker = info
}

// ExpectReport tells that an earlier owner may have started tasks on the worker, under leases that have lapsed at the given time.
func (a *Arranger) ExpectReport(id string, lapsed time.Time) { a.awaitedReports[id] = lapsed }

// awaitingReports reports whether some worker may still run tasks of an earlier owner that are not known.
func (a *Arranger) awaitingReports(now time.Time) bool {
	for id, lapsed := range a.awaitedReports {
		if !now.Before(lapsed) {
			delete(a.awaitedReports, id)
			a.options.Log("worker not heard, and all leases there have lapsed", "worker", id, "left", len(a.awaitedReports))
		}
	}
	return len(a.awaitedReports) > 0
}

// SetReachable tells whether a worker answers; one that does not keeps what it runs but gets no new work.
func (a *Arranger) SetReachable(id string, reachable bool) {
	if w := a.workers[id]; w != nil {
		a.changed = a.changed || w.reachable != reachable
		w.reachable = reachable
	}
}

// RemoveWorker removes a worker on which surely nothing runs any more.
func (a *Arranger) RemoveWorker(id, reason string) {
	delete(a.awaitedReports, id)
	w := a.workers[id]
	if w == nil {
		return
	}
	delete(a.workers, id)
	a.sortedWorkers = slices.DeleteFunc(a.sortedWorkers, func(other *worker) bool { return other == w })
	for _, p := range slices.Clone(w.places) {
		a.releaseAndRequeue(p, reason)
	}
}

// releaseAndRequeue takes away a place whose run has surely ended or never began; the task waits again unless it is done.
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
	a.options.Log("task waits again", "task", t.label(), "run", p.run, "worker", p.worker.ID, "reason", reason)
	if t.stage.step.Gang {
		a.stopGang(t.stage, reason)
	}
}

// stopGang stops the members of a gang that has lost one, so that it can start again as a whole.
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

// release gives up a claim.
func (a *Arranger) release(p *place) {
	p.worker.remove(p)
	a.changed = true
	if p.task.place == p {
		p.task.place = nil
	}
}

// stop orders the end of a run; the place stays taken until the worker reports the end.
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
	p.confirmedAt = time.Time{}
	a.orderStop(p)
}

func (a *Arranger) orderStop(p *place) {
	a.orders.Stops = append(a.orders.Stops, StopOrder{Task: p.task.label(), Run: p.run, Worker: p.worker.ID, Reason: p.reason})
}

// Worker returns what is known of a worker, or false.
func (a *Arranger) Worker(id string) (Worker, bool) {
	if w := a.workers[id]; w != nil {
		return w.Worker, true
	}
	return Worker{}, false
}

// Occupied reports whether the worker has a run, may have one, or has room claimed.
func (a *Arranger) Occupied(id string) bool {
	w := a.workers[id]
	return w != nil && (len(w.places) > 0 || len(w.orphans) > 0)
}
