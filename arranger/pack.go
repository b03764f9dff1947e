package arranger

import (
	"cmp"
	"time"
)

// packing is a way to place a number of tasks, with what it costs others.
type packing struct {
	candidates []*candidate
	victims    []*place
	// lostWork is the work that is thrown away, in core-seconds.
	lostWork float64
	// misfit is how badly the place suits the tasks.
	misfit float64
}

// trial is the state of one packing while it is made.
type trial struct {
	pass    *pass
	unit    unit
	number  int
	stopped map[*place]bool
	// preempts tells that room counts which others still have to leave.
	preempts bool
	packing
}

func (s *pass) newTrial(u unit, displace bool) *trial {
	s.trials++
	return &trial{pass: s, unit: u, number: s.trials, preempts: displace}
}

// packAnywhere places the tasks one after another where each costs least in the fleet.
func (s *pass) packAnywhere(u unit, tasks []*task, displace bool) *packing {
	if displace {
		return s.pack(u, tasks, s.candidates, true)
	}
	t := s.newTrial(u, false)
	for _, task := range tasks {
		c, ok := t.bestFit(task)
		if !ok {
			return nil
		}
		t.add(task, &c)
	}
	return &t.packing
}

// bestFit returns the best free room for the task; racks are looked at in the order of preference, until the others cannot be better.
func (t *trial) bestFit(task *task) (choice, bool) {
	var best choice
	found := false
	if home := t.pass.rackByName[task.stage.step.DataRack]; home != nil {
		if t.bestFitInRack(task, home, &best, &found); found {
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

// bestFitInRack looks for better room than the best so far in one rack.
func (t *trial) bestFitInRack(task *task, r *rackCapacity, best *choice, found *bool) {
	if !r.maxFree.Covers(task.stage.step.Need) {
		return
	}
	fits := false
	for _, sl := range r.candidates {
		c, ok := t.evaluate(task.stage, sl)
		if !ok {
			continue
		}
		fits = true
		if t.avoids(task, sl.worker) {
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

// evaluation is what a worker offers the tasks of a step, as of a number of changes.
type evaluation struct {
	choice
	ok      bool
	version int
}

// pack places the tasks one after another where each costs least on the given workers.
func (s *pass) pack(u unit, tasks []*task, slots []*candidate, displace bool) *packing {
	t := s.newTrial(u, displace)
	offers := make([]evaluation, len(slots))
	for i, sl := range slots {
		t.reevaluate(&offers[i], u.stage, sl)
	}
	for _, task := range tasks {
		best := -1
		for i, sl := range slots {
			if sl.trial == t.number && offers[i].version != sl.version {
				t.reevaluate(&offers[i], u.stage, sl)
			}
			if !offers[i].ok || t.avoids(task, sl.worker) {
				continue
			}
			if best < 0 || offers[i].compare(offers[best].choice) < 0 {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		chosen := offers[best].choice
		t.add(task, &chosen)
	}
	return &t.packing
}

func (t *trial) reevaluate(o *evaluation, s *stage, sl *candidate) {
	o.choice, o.ok = t.evaluate(s, sl)
	o.version = 0
	if sl.trial == t.number {
		o.version = sl.version
	}
}

// choice is a worker for a task, with what it costs.
type choice struct {
	candidate *candidate
	victims   []*place
	lostWork  float64
	misfit    float64
}

func (c choice) compare(other choice) int {
	return cmp.Or(cmp.Compare(c.lostWork, other.lostWork), cmp.Compare(c.misfit, other.misfit))
}

// evaluate returns what it costs to put a task of the stage on the worker.
func (t *trial) evaluate(s *stage, sl *candidate) (choice, bool) {
	room := t.availableOn(sl)
	fits := room.Covers(s.step.Need)
	if !fits && !t.preempts || !t.eligible(s, sl) {
		return choice{}, false
	}
	c := choice{candidate: sl, lostWork: t.remoteDataCost(s, sl.worker), misfit: misfit(s, room) + rackPenalty*float64(t.pass.rackPreference(t.unit, sl.rack))}
	if sl.worker.health.suspect(t.pass.now) {
		c.misfit += suspectPenalty
	}
	if fits {
		return c, true
	}
	return c, t.chooseVictims(&c, room, s.step.Need)
}

// eligible reports whether tasks of the stage may run on the worker if there is room.
func (t *trial) eligible(s *stage, sl *candidate) bool {
	w := sl.worker
	if w.Service != s.job.Policy.Service || !w.has(s.step.Requires) || !w.Capacity.Covers(s.step.Need) {
		return false
	}
	if s.step.MaxPerWorker > 0 && sl.count(s)+t.placedOn(sl) >= s.step.MaxPerWorker {
		return false
	}
	return !w.conflicts(s.step) && s.mayRunOn(w, t.pass.now)
}

// avoids reports whether the task keeps away from the worker because of earlier failures.
func (t *trial) avoids(task *task, w *worker) bool {
	if task.failedOn[w.ID] && len(task.failedOn) < len(t.pass.candidates) {
		return true
	}
	if !w.health.suspect(t.pass.now) {
		return false
	}
	return task.failures() > 0 || w.health.suspectFor(task.stage.job.ID, t.pass.now) && !task.stage.job.atFault()
}

// availableOn returns the room that is left on a worker in this trial.
func (t *trial) availableOn(sl *candidate) Resources {
	switch {
	case sl.trial == t.number:
		return sl.available
	case t.preempts:
		return sl.freeAfterStops
	default:
		return sl.free
	}
}

// placedOn returns how many tasks the trial puts on a worker.
func (t *trial) placedOn(sl *candidate) int {
	if sl.trial == t.number {
		return sl.placed
	}
	return 0
}

// setAvailable sets the room that is left on a worker in this trial.
func (t *trial) setAvailable(sl *candidate, available Resources, placed int) {
	if sl.trial != t.number {
		sl.trial, sl.placed, sl.version = t.number, 0, 0
	}
	sl.available = available
	sl.placed += placed
	sl.version++
}

func (sl *candidate) count(s *stage) int {
	count := 0
	for _, p := range sl.worker.places {
		if p.task.stage == s {
			count++
		}
	}
	return count
}

// remoteDataCost returns the core-seconds that a task would take longer on the worker, away from its data.
func (t *trial) remoteDataCost(s *stage, w *worker) float64 {
	if s.step.DataRack == "" || s.step.DataRack == w.Rack {
		return 0
	}
	return (t.pass.arranger.options.RemoteFactor - 1) * s.step.Estimate.Seconds() * s.step.Need.cores()
}

// suspectPenalty is the room, in accelerators, that a worker without failures is worth more than a suspect one.
const suspectPenalty = 2

// coreWeight makes accelerators decide over cores when room is compared.
const coreWeight = 0.01

// misfit returns how much more room a worker has than a task needs.
func misfit(s *stage, room Resources) float64 {
	return float64(room.Accelerators-s.step.Need.Accelerators) + coreWeight*float64(room.CPU-s.step.Need.CPU)/1000
}

// add adds a choice to the packing.
func (t *trial) add(task *task, c *choice) {
	t.candidates = append(t.candidates, c.candidate)
	t.lostWork += c.lostWork
	t.misfit += c.misfit
	for _, p := range c.victims {
		t.stopWithGang(p)
	}
	t.setAvailable(c.candidate, t.availableOn(c.candidate).Sub(task.stage.step.Need), 1)
}

// restartCost is the time lost by stopping and starting a task that loses no work.
const restartCost = 500 * time.Millisecond
