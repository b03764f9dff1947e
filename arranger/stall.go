package arranger

import "time"

// wholePercent is the percentage of a run that is done.
const wholePercent = 100

// leaveStalled stops runs that stand still where little is lost by starting them elsewhere.
func (a *Arranger) leaveStalled(now time.Time) {
	for _, w := range a.order {
		if !w.reachable {
			continue
		}
		for _, p := range w.places {
			if p.state != placeRunning || p.worked.IsZero() || p.task.done || p.task.stage.step.LongRunning ||
				now.Sub(p.advanced) < stallLimit || p.reported.Sub(p.advanced) < stallLimit || p.percent >= wholePercent {
				continue
			}
			if !p.task.stage.step.Checkpoints && p.advanced.Sub(p.worked) > stallLoss {
				continue
			}
			w.health.leaveOut(now)
			a.options.Log("run stands still", "task", p.task.label(), "run", p.run, "worker", w.ID,
				"percent", p.percent, "since", now.Sub(p.advanced).String())
			a.stop(p, "run stands still")
		}
	}
}
