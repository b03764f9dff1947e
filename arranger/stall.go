package arranger

import "time"

// wholePercent is the percentage of a completed run.
const wholePercent = 100

// stopStalledRuns stops runs without progress if little work is lost by starting them on another worker.
func (a *Arranger) stopStalledRuns(now time.Time) {
	for _, w := range a.sortedWorkers {
		if !w.reachable {
			continue
		}
		var stalled map[*job]bool
		for _, p := range w.places {
			if p.state != placeRunning || p.firstProgressAt.IsZero() || p.task.done || p.task.stage.step.LongRunning ||
				now.Sub(p.progressedAt) < stallTimeout || p.reportedAt.Sub(p.progressedAt) < stallTimeout || p.percent >= wholePercent {
				continue
			}
			if !p.task.stage.step.Checkpoints && p.progressedAt.Sub(p.firstProgressAt) > maxStallLoss {
				continue
			}
			w.health.quarantine(now)
			if stalled == nil {
				stalled = map[*job]bool{}
			}
			stalled[p.task.stage.job] = true
			a.options.Log("run stalled", "task", p.task.label(), "run", p.run, "worker", w.ID,
				"percent", p.percent, "since", now.Sub(p.progressedAt).String())
			a.stop(p, "run stalled")
		}
		if len(stalled) > 0 {
			a.logQuarantine(w, "runs stalled", len(stalled))
		}
	}
}
