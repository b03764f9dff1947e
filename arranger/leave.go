package arranger

import (
	"slices"
	"time"
)

// Workers that leave answer the load of machines that are taken away at short
// notice: what still runs there at the end is lost, and its tasks wait until the
// worker's leases have lapsed.

const (
	// leaveMargin is the time before a worker leaves in which a stop may be under way, beside the worker's own time for it.
	leaveMargin = 400 * time.Millisecond
	// minPaceProgress is the percentage of a run from which its pace says more than the estimate.
	minPaceProgress = 5
)

// stopRunsOnLeavingWorkers stops runs that do not end before their worker leaves, as late as it can be done: nobody else may use the room there meanwhile.
func (a *Arranger) stopRunsOnLeavingWorkers(now time.Time) {
	for _, w := range a.sortedWorkers {
		if !w.Draining || w.LeavesAt.IsZero() || !w.reachable || now.Before(w.LeavesAt.Add(-a.options.StopTime-leaveMargin)) {
			continue
		}
		// Stopping a gang may drop claims here.
		for _, p := range slices.Clone(w.places) {
			step := p.task.stage.step
			if p.state != placeStarting && p.state != placeRunning || p.task.done || !p.expectedEnd().After(w.LeavesAt) && !step.LongRunning {
				continue
			}
			a.options.Log("run does not end before its worker leaves", "task", p.task.label(), "run", p.run, "worker", w.ID,
				"left", w.LeavesAt.Sub(now).String(), "percent", p.percent)
			a.stopRunOrGang(p, "its worker leaves")
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

// expectedEnd returns when the run is done at its pace so far, or by the estimate of its step.
func (p *place) expectedEnd() time.Time {
	made := p.percent - p.firstPercent
	if p.firstProgressAt.IsZero() || made < minPaceProgress {
		return p.placedAt.Add(p.task.stage.step.Estimate)
	}
	pace := p.progressedAt.Sub(p.firstProgressAt) / time.Duration(made)
	return p.progressedAt.Add(pace * time.Duration(wholePercent-p.percent))
}
