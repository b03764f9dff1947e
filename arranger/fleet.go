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
		w = &worker{strangers: map[string]Resources{}}
		a.workers[info.ID] = w
		at, _ := slices.BinarySearchFunc(a.order, info.ID, func(other *worker, id string) int { return strings.Compare(other.ID, id) })
		a.order = slices.Insert(a.order, at, w)
	}
	a.changed = a.changed || w.Draining != info.Draining || w.Capacity != info.Capacity
	w.Worker = info
}

// ExpectReport tells that an earlier owner may have started tasks on the worker, under leases that have lapsed at the given time.
func (a *Arranger) ExpectReport(id string, lapsed time.Time) { a.unheard[id] = lapsed }

// awaitsReports reports whether some worker may still run tasks of an earlier owner that are not known.
func (a *Arranger) awaitsReports(now time.Time) bool {
	for id, lapsed := range a.unheard {
		if !now.Before(lapsed) {
			delete(a.unheard, id)
			a.options.Log("worker not heard, and all leases there have lapsed", "worker", id, "left", len(a.unheard))
		}
	}
	return len(a.unheard) > 0
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
	delete(a.unheard, id)
	w := a.workers[id]
	if w == nil {
		return
	}
	delete(a.workers, id)
	a.order = slices.DeleteFunc(a.order, func(other *worker) bool { return other == w })
	for _, p := range slices.Clone(w.places) {
		a.vacate(p, reason)
	}
}

// vacate takes away a place whose run has surely ended or never began; the task waits again unless it is done.
func (a *Arranger) vacate(p *place, reason string) {
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
		a.breakGang(t.stage, reason)
	}
}

// breakGang stops the members of a gang that has lost one, so that it can start again as a whole.
func (a *Arranger) breakGang(s *stage, reason string) {
	for _, other := range s.tasks {
		if other.place == nil || other.done {
			continue
		}
		if other.place.state == placeClaimed {
			a.dropPlace(other.place)
			continue
		}
		a.stop(other.place, reason)
	}
}

// dropPlace gives up a claim.
func (a *Arranger) dropPlace(p *place) {
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
		a.dropPlace(p)
		return
	case placeStopping:
		return
	case placeStarting, placeRunning:
	}
	p.state = placeStopping
	p.reason = reason
	p.confirmed = time.Time{}
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
	return w != nil && (len(w.places) > 0 || len(w.strangers) > 0)
}
