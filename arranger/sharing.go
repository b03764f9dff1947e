package arranger

// conflicts reports whether a latency-sensitive and a best-effort task would share the worker. They must not,
// since nothing throttles best-effort tasks when the other tasks need the CPU.
func (w *worker) conflicts(s Step) bool {
	if !s.LatencySensitive && !s.BestEffort {
		return false
	}
	for _, p := range w.places {
		other := p.task.stage.step
		if s.LatencySensitive && other.BestEffort || s.BestEffort && other.LatencySensitive {
			return true
		}
	}
	return false
}

// mayBecomeUnavailable reports whether stopping the run keeps its step within MaxUnavailable, counting the runs
// that the trial already stops.
func (t *trial) mayBecomeUnavailable(p *place) bool {
	s := p.task.stage
	if !s.step.LongRunning || s.step.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, other := range s.tasks {
		if other != p.task && (!other.isAvailable() || t.stopped[other.place]) {
			unavailable++
		}
	}
	return unavailable < s.step.MaxUnavailable
}

// sharesUnavailabilityLimit reports whether a chosen victim belongs to the same step with a MaxUnavailable
// limit; mayBecomeUnavailable does not count the victims of the choice in progress.
func sharesUnavailabilityLimit(victims []*place, p *place) bool {
	if p.task.stage.step.MaxUnavailable == 0 {
		return false
	}
	for _, victim := range victims {
		if victim.task.stage == p.task.stage {
			return true
		}
	}
	return false
}

// isAvailable reports whether the task's run is up, on a reachable worker; a long-running task reports 100
// percent once it is up.
func (t *task) isAvailable() bool {
	return t.place != nil && t.place.state == placeRunning && t.place.percent >= wholePercent && t.place.worker.reachable
}
