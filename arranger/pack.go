package arranger

import (
	"cmp"
	"slices"
	"time"
)

// packing is a placement of several tasks with its cost.
type packing struct {
	candidates []*candidate
	victims    []*place
	// lostWork is the work that preemption discards and the delay by remote data, in core-seconds.
	lostWork float64
	// misfit is how badly the candidates suit the tasks; lower is better.
	misfit float64
}

// trial is a packing under construction.
type trial struct {
	pass    *pass
	unit    unit
	number  int
	stopped map[*place]bool
	// preempts means that capacity counts as available if runs on it are being stopped or can be preempted.
	preempts bool
	// speeds is the range of speeds that members of a gang are placed on.
	speeds speedRange
	packing
}

func (ps *pass) newTrial(u unit, preempt bool) *trial {
	ps.trials++
	return &trial{pass: ps, unit: u, number: ps.trials, preempts: preempt}
}

// packAnywhere places the tasks one after another, each on the cheapest candidate of the fleet.
func (ps *pass) packAnywhere(u unit, tasks []*task, preempt bool) *packing {
	if preempt {
		return ps.pack(u, tasks, ps.candidates, true, speedRange{})
	}
	speeds, _ := ps.suitableSpeeds(u, len(tasks), ps.candidates)
	p := ps.packAcrossRacks(u, tasks, speeds)
	if p == nil && speeds != (speedRange{}) {
		p = ps.packAcrossRacks(u, tasks, speedRange{})
	}
	return p
}

// packAcrossRacks is packAnywhere without preemption, on workers of the given speeds.
func (ps *pass) packAcrossRacks(u unit, tasks []*task, speeds speedRange) *packing {
	t := ps.newTrial(u, false)
	t.speeds = speeds
	for _, task := range tasks {
		c, ok := t.bestFit(task)
		if !ok {
			return nil
		}
		t.add(task, &c)
	}
	return t.finish()
}

// bestFit returns the best candidate with free capacity for the task. It searches the data rack first, then the
// racks in order of preference until the remaining ones cannot be better.
func (t *trial) bestFit(task *task) (choice, bool) {
	var best choice
	found := false
	if dataRack := t.pass.rackByName[task.stage.step.DataRack]; dataRack != nil {
		if t.bestFitInRack(task, dataRack, &best, &found); found {
			return best, true
		}
	}
	for i := range t.pass.racks {
		if found && rackPenalty*float64(i) >= best.misfit {
			break
		}
		t.bestFitInRack(task, t.pass.preferredRack(t.unit, i), &best, &found)
	}
	return best, found
}

// bestFitInRack replaces best if the rack has a better candidate.
func (t *trial) bestFitInRack(task *task, r *rackCapacity, best *choice, found *bool) {
	if !r.maxFree.Covers(task.stage.step.Need) {
		return
	}
	fits := false
	for _, cand := range r.candidates {
		c, ok := t.evaluate(task.stage, cand)
		if !ok {
			continue
		}
		fits = true
		if t.avoids(task, cand.worker) || t.mixesSuspects(task, cand.worker) {
			continue
		}
		if !*found || c.compare(*best) < 0 {
			*best, *found = c, true
		}
	}
	if !fits {
		r.updateMaxFree()
	}
}

// evaluation is the cached choice of a candidate for tasks of a step; it is valid while the candidate's version
// stays the same and its victims may be stopped beside those of other candidates.
type evaluation struct {
	choice
	ok      bool
	version int
}

// pack places the tasks one after another, each on the cheapest of the given candidates; on those of the given speeds if
// these have room.
func (ps *pass) pack(u unit, tasks []*task, candidates []*candidate, preempt bool, speeds speedRange) *packing {
	p := ps.packAt(u, tasks, candidates, preempt, speeds)
	if p == nil && speeds != (speedRange{}) {
		p = ps.packAt(u, tasks, candidates, preempt, speedRange{})
	}
	return p
}

// packAt is pack on workers of the given speeds only.
func (ps *pass) packAt(u unit, tasks []*task, candidates []*candidate, preempt bool, speeds speedRange) *packing {
	t := ps.newTrial(u, preempt)
	t.speeds = speeds
	evaluations := make([]evaluation, len(candidates))
	for i, cand := range candidates {
		t.reevaluate(&evaluations[i], u.stage, cand)
	}
	for _, task := range tasks {
		best := -1
		for i, cand := range candidates {
			if t.isStale(&evaluations[i], cand) {
				t.reevaluate(&evaluations[i], u.stage, cand)
			}
			if !evaluations[i].ok || t.avoids(task, cand.worker) || t.mixesSuspects(task, cand.worker) {
				continue
			}
			if best < 0 || evaluations[i].compare(evaluations[best].choice) < 0 {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		chosen := evaluations[best].choice
		t.add(task, &chosen)
	}
	return t.finish()
}

// isStale reports whether the choice has to be evaluated again, since the trial has used the candidate or has stopped other runs of a step of which
// only so many may be unavailable.
func (t *trial) isStale(e *evaluation, cand *candidate) bool {
	if cand.trial == t.number && e.version != cand.version {
		return true
	}
	return e.ok && slices.ContainsFunc(e.victims, func(p *place) bool { return !t.mayBecomeUnavailable(p) })
}

func (t *trial) reevaluate(e *evaluation, s *stage, cand *candidate) {
	e.choice, e.ok = t.evaluate(s, cand)
	e.version = 0
	if cand.trial == t.number {
		e.version = cand.version
	}
}

// choice is a candidate for a task with its cost.
type choice struct {
	candidate *candidate
	victims   []*place
	lostWork  float64
	misfit    float64
}

func (c choice) compare(other choice) int {
	return cmp.Or(cmp.Compare(c.lostWork, other.lostWork), cmp.Compare(c.misfit, other.misfit))
}

// evaluate returns the cost of placing a task of the stage on the candidate, or false if that is impossible.
func (t *trial) evaluate(s *stage, cand *candidate) (choice, bool) {
	if !t.speeds.contains(cand.speed) {
		return choice{}, false
	}
	available := t.availableOn(cand)
	fits := available.Covers(s.step.Need)
	if !fits && !t.preempts || !t.eligible(s, cand) {
		return choice{}, false
	}
	c := choice{candidate: cand, lostWork: t.remoteDataCost(s, cand.worker)}
	c.misfit = misfit(s, available) + rackPenalty*float64(t.pass.rackPreference(t.unit, cand.rack)) + t.speedMisfit(cand)
	if cand.worker.health.suspect(t.pass.now) {
		c.misfit += suspectPenalty
	}
	if s.suspects > 0 {
		c.misfit += crashRisk * float64(max(0, cand.worker.Capacity.Accelerators-available.Accelerators))
		if t.pass.now.Sub(cand.worker.joinedAt) < unstablePeriod {
			c.misfit += unstablePenalty
		}
	}
	if fits {
		return c, true
	}
	return c, t.chooseVictims(&c, available, s.step.Need)
}

// eligible reports whether tasks of the stage may run on the candidate, regardless of its free capacity.
func (t *trial) eligible(s *stage, cand *candidate) bool {
	w := cand.worker
	if w.Service != s.job.Policy.Service || !w.has(s.step.Requires) || !w.Capacity.Covers(s.step.Need) {
		return false
	}
	if t.placedOn(cand) >= cand.startsLeft {
		return false
	}
	if s.step.MaxPerWorker > 0 {
		if own := cand.count(s); own+t.placedOn(cand) >= s.step.MaxPerWorker {
			t.pass.specific = t.pass.specific || own > 0
			return false
		}
	}
	if cand.probation != nil && cand.probation != s.job {
		t.pass.specific = true
		return false
	}
	return !w.conflicts(s.step) && s.mayRunOn(w, t.pass.now)
}

// mixesSuspects reports whether a suspected task must not start on a worker: where a crash would leave open which job caused it, and,
// unless the unit has to make do with such workers, where one has crashed under the task.
func (t *trial) mixesSuspects(task *task, w *worker) bool {
	if !task.suspected() {
		return false
	}
	mixes := w.hasUnprovenOther(task.stage.job) || !t.pass.acceptsSuspects && task.crashedOn(w.ID)
	t.pass.avoided = t.pass.avoided || mixes
	return mixes
}

// avoids reports whether earlier failures keep the task from a worker that has room for it.
func (t *trial) avoids(task *task, w *worker) bool {
	if len(task.failedOn) == 0 && len(w.health.failedJobs) == 0 || !t.avoidsFailed(task, w) {
		return false
	}
	t.pass.avoided = true
	return true
}

// avoidsFailed is avoids for a task or a worker with failures. A unit that accepts suspects avoids only those on which
// the task itself has failed.
func (t *trial) avoidsFailed(task *task, w *worker) bool {
	accepts, suspect := t.pass.acceptsSuspects, w.health.suspect(t.pass.now)
	if task.failedOn[w.ID] && len(task.failedOn) < len(t.pass.candidates) {
		return suspect || !accepts
	}
	if !suspect || accepts {
		return false
	}
	return task.failures() > 0 || w.health.suspectFor(task.stage.job.ID, t.pass.now) && !task.stage.job.atFault()
}

// availableOn returns the capacity of a candidate that the trial has not used yet.
func (t *trial) availableOn(cand *candidate) Resources {
	switch {
	case cand.trial == t.number:
		return cand.available
	case t.preempts:
		return cand.freeAfterStops
	default:
		return cand.free
	}
}

// placedOn returns the number of tasks that the trial has placed on a candidate.
func (t *trial) placedOn(cand *candidate) int {
	if cand.trial == t.number {
		return cand.placed
	}
	return 0
}

// setAvailable updates the remaining capacity of a candidate in this trial.
func (t *trial) setAvailable(cand *candidate, available Resources, placed int) {
	if cand.trial != t.number {
		cand.trial, cand.placed, cand.version = t.number, 0, 0
	}
	cand.available = available
	cand.placed += placed
	cand.version++
}

func (c *candidate) count(s *stage) int { return c.worker.countOf(s) }

// countOf returns the number of places of the stage on the worker.
func (w *worker) countOf(s *stage) int {
	count := 0
	for _, p := range w.places {
		if p.task.stage == s {
			count++
		}
	}
	return count
}

// remoteDataCost returns the additional core-seconds that a task takes on a worker outside its data rack.
func (t *trial) remoteDataCost(s *stage, w *worker) float64 {
	if s.step.DataRack == "" || s.step.DataRack == w.Rack {
		return 0
	}
	return (t.pass.arranger.options.RemoteFactor - 1) * s.step.Estimate.Seconds() * s.step.Need.cores()
}

// suspectPenalty is added to the misfit of a suspect worker, in accelerators.
const suspectPenalty = 2

// coreWeight is the weight of a core relative to an accelerator in the misfit; it only breaks ties.
const coreWeight = 0.01

// misfit returns the capacity that would be left on a candidate after placing a task of the stage.
func misfit(s *stage, available Resources) float64 {
	return float64(available.Accelerators-s.step.Need.Accelerators) + coreWeight*float64(available.CPU-s.step.Need.CPU)/1000
}

// add appends a choice to the packing.
func (t *trial) add(task *task, c *choice) {
	t.candidates = append(t.candidates, c.candidate)
	t.lostWork += c.lostWork
	t.misfit += c.misfit
	for _, p := range c.victims {
		t.stopWithGang(p)
	}
	t.setAvailable(c.candidate, t.availableOn(c.candidate).Sub(task.stage.step.Need), 1)
}

// restartCost is the time that stopping and restarting a task takes even if no work is lost.
const restartCost = 500 * time.Millisecond
