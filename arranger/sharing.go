package arranger

// Tasks that serve users of their own share workers with tasks that fill, and
// must stay available while room is made for others.

// conflicts reports whether the step's tasks and one that is on the worker must not run side by side, since nothing here paces tasks that fill.
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

// mayBecomeUnavailable reports whether a task of a step that has to stay available may be stopped, besides those gone already.
func (t *trial) mayBecomeUnavailable(p *place) bool {
	s := p.task.stage
	if !s.step.LongRunning || s.step.MaxUnavailable == 0 {
		return true
	}
	missing := 0
	for _, other := range s.tasks {
		if other != p.task && (!other.isAvailable() || t.stopped[other.place]) {
			missing++
		}
	}
	return missing < s.step.MaxUnavailable
}

// sharesUnavailabilityLimit reports whether stopping the run as well would count twice against the bound of a step that has to stay available.
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

// isAvailable reports whether the task has a run that has come up.
func (t *task) isAvailable() bool {
	return t.place != nil && t.place.state == placeRunning && t.place.percent >= wholePercent && t.place.worker.reachable
}
