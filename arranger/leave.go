package arranger

import (
	"slices"
	"time"
)

// Workers may be taken away at short notice. What still runs on a worker when it
// shuts down is lost, and its tasks cannot start again before the worker's leases
// have expired, so runs that cannot complete in time are stopped before.

const (
	// leaveMargin is the extra time, beside the worker's own stop time, that is allowed for a stop before the
	// worker shuts down.
	leaveMargin = 400 * time.Millisecond
	// minPaceProgress is the progress in percent from which a run's pace predicts its end better than the
	// estimate.
	minPaceProgress = 5
)

// stopRunsOnLeavingWorkers stops runs that will not complete before their worker shuts down. It does so as late
// as possible, since no other task may use the capacity of a draining worker.
func (a *Arranger) stopRunsOnLeavingWorkers(now time.Time) {
	for _, w := range a.sortedWorkers {
		if !w.Draining || w.LeavesAt.IsZero() || !w.reachable || now.Before(w.LeavesAt.Add(-a.options.StopTime-leaveMargin)) {
			continue
		}
		// Stopping a gang may release claims on this worker, hence the copy.
		for _, p := range slices.Clone(w.places) {
			step := p.task.stage.step
			if p.state != placeStarting && p.state != placeRunning || p.task.done || !a.expectedEnd(now, p).After(w.LeavesAt) && !step.LongRunning {
				continue
			}
			a.options.Log("run does not complete before its worker shuts down", "task", p.task.label(), "run", p.run, "worker", w.ID,
				"left", w.LeavesAt.Sub(now).String(), "percent", p.percent)
			a.stopRunOrGang(p, "worker shuts down")
		}
	}
}

// stopRunOrGang stops a run, or all runs of its gang.
func (a *Arranger) stopRunOrGang(p *place, reason string) {
	if p.task.stage.step.Gang {
		a.stopGang(p.task.stage, reason)
		return
	}
	a.stop(p, reason)
}

// expectedEnd returns when the run completes: with its gang by what was learned, else extrapolated from its own progress or,
// before enough progress, from the step's estimate. One whose end has passed has probably ended, and its report is under way.
func (a *Arranger) expectedEnd(now time.Time, p *place) time.Time {
	if learnsLeaving {
		return a.promisedEnd(now, p).expected
	}
	if end, ok := p.endByPace(); ok {
		return end.expected
	}
	return p.placedAt.Add(p.task.stage.step.Estimate)
}
