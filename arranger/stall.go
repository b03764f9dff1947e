package arranger

import "time"

// wholePercent is the percentage of a completed run.
const wholePercent = 100

// percentTime returns how long the run takes for one percent by its own pace. Before it has gained enough for that,
// the result is not below the estimate.
func (p *place) percentTime() time.Duration {
	estimate := p.task.stage.step.Estimate / wholePercent
	gained := p.percent - p.firstPercent
	switch {
	case gained > 0:
		pace := p.progressedAt.Sub(p.firstProgressAt) / time.Duration(gained)
		if gained >= minPaceProgress {
			return pace
		}
		return max(pace, estimate)
	case !p.adopted && p.firstPercent > 0:
		return max(p.firstProgressAt.Sub(p.placedAt)/time.Duration(p.firstPercent), estimate)
	default:
		return estimate
	}
}

// stalled reports whether a report that was requested at least the stall timeout after the run's latest progress
// shows no more of it. The arrival of a report proves nothing: the owner, the worker's host or the network may have paused
// after it was written.
func (p *place) stalled() bool {
	return p.state == placeRunning && !p.firstProgressAt.IsZero() && p.percent < wholePercent &&
		p.requestedAt.Sub(p.progressedAt) >= max(stallTimeout, stallPercents*p.percentTime())
}

// stopStalledRuns stops runs without progress if little work is lost by starting them on another worker.
func (a *Arranger) stopStalledRuns(now time.Time) {
	for _, w := range a.sortedWorkers {
		if !w.reachable {
			continue
		}
		var stalled map[*job]bool
		quarantined := !w.health.usable(now)
		for _, p := range w.places {
			if p.task.done || p.task.stage.step.LongRunning || !p.stalled() {
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
		if len(stalled) > 0 && !quarantined {
			a.logQuarantine(w, "runs stalled", len(stalled))
		}
	}
}
