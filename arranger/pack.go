package arranger

import (
	"cmp"
	"time"
)

// packing is a way to place a number of tasks, with what it costs others.
type packing struct {
	slots   []*slot
	victims []*place
	// lost is the work that is thrown away, in core-seconds.
	lost float64
	// distance is how badly the place suits the tasks.
	distance float64
}

// trial is the state of one packing while it is made.
type trial struct {
	survey *survey
	unit   unit
	number int
	gone   map[*place]bool
	// displaces tells that room counts which others still have to leave.
	displaces bool
	packing
}

func (s *survey) newTrial(u unit, displace bool) *trial {
	s.trials++
	return &trial{survey: s, unit: u, number: s.trials, displaces: displace}
}

// packAnywhere places the tasks one after another where each costs least in the fleet.
func (s *survey) packAnywhere(u unit, tasks []*task, displace bool) *packing {
	if displace {
		return s.pack(u, tasks, s.slots, true)
	}
	t := s.newTrial(u, false)
	for _, task := range tasks {
		c, ok := t.nearest(task)
		if !ok {
			return nil
		}
		t.take(task, &c)
	}
	return &t.packing
}

// nearest returns the best free room for the task; racks are looked at in the order of preference, until the others cannot be better.
func (t *trial) nearest(task *task) (choice, bool) {
	var best choice
	found := false
	if home := t.survey.rackByName[task.stage.step.DataRack]; home != nil {
		if t.nearestIn(task, home, &best, &found); found {
			return best, true
		}
	}
	for i := range t.survey.racks {
		if found && rackWeight*float64(i) >= best.distance {
			break
		}
		t.nearestIn(task, t.survey.rackAt(t.unit, i), &best, &found)
	}
	return best, found
}

// nearestIn looks for better room than the best so far in one rack.
func (t *trial) nearestIn(task *task, r *rackRoom, best *choice, found *bool) {
	if !r.most.Covers(task.stage.step.Need) {
		return
	}
	fits := false
	for _, sl := range r.slots {
		c, ok := t.consider(task.stage, sl)
		if !ok {
			continue
		}
		fits = true
		if t.excludes(task, sl.worker) {
			continue
		}
		if !*found || c.compare(*best) < 0 {
			*best, *found = c, true
		}
	}
	if !fits {
		r.tighten()
	}
}

// offer is what a worker offers the tasks of a step, as of a number of changes.
type offer struct {
	choice
	ok      bool
	changes int
}

// pack places the tasks one after another where each costs least on the given workers.
func (s *survey) pack(u unit, tasks []*task, slots []*slot, displace bool) *packing {
	t := s.newTrial(u, displace)
	offers := make([]offer, len(slots))
	for i, sl := range slots {
		t.renew(&offers[i], u.stage, sl)
	}
	for _, task := range tasks {
		best := -1
		for i, sl := range slots {
			if sl.trial == t.number && offers[i].changes != sl.changes {
				t.renew(&offers[i], u.stage, sl)
			}
			if !offers[i].ok || t.excludes(task, sl.worker) {
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
		t.take(task, &chosen)
	}
	return &t.packing
}

func (t *trial) renew(o *offer, s *stage, sl *slot) {
	o.choice, o.ok = t.consider(s, sl)
	o.changes = 0
	if sl.trial == t.number {
		o.changes = sl.changes
	}
}

// choice is a worker for a task, with what it costs.
type choice struct {
	slot     *slot
	victims  []*place
	lost     float64
	distance float64
}

func (c choice) compare(other choice) int {
	return cmp.Or(cmp.Compare(c.lost, other.lost), cmp.Compare(c.distance, other.distance))
}

// consider returns what it costs to put a task of the stage on the worker.
func (t *trial) consider(s *stage, sl *slot) (choice, bool) {
	room := t.roomOf(sl)
	fits := room.Covers(s.step.Need)
	if !fits && !t.displaces || !t.suits(s, sl) {
		return choice{}, false
	}
	c := choice{slot: sl, lost: t.delay(s, sl.worker), distance: distance(s, room) + rackWeight*float64(t.survey.rackOrder(t.unit, sl.rack))}
	if sl.worker.health.suspect(t.survey.now) {
		c.distance += suspectDistance
	}
	if fits {
		return c, true
	}
	return c, t.displace(&c, room, s.step.Need)
}

// suits reports whether tasks of the stage may run on the worker if there is room.
func (t *trial) suits(s *stage, sl *slot) bool {
	w := sl.worker
	if w.Service != s.job.Policy.Service || !w.has(s.step.Requires) || !w.Capacity.Covers(s.step.Need) {
		return false
	}
	if s.step.MaxPerWorker > 0 && sl.count(s)+t.usedOf(sl) >= s.step.MaxPerWorker {
		return false
	}
	return !w.disturbs(s.step) && s.mayRunOn(w, t.survey.now)
}

// excludes reports whether the task keeps away from the worker because of earlier failures.
func (t *trial) excludes(task *task, w *worker) bool {
	if task.failedOn[w.ID] && len(task.failedOn) < len(t.survey.slots) {
		return true
	}
	if !w.health.suspect(t.survey.now) {
		return false
	}
	return task.failures() > 0 || w.health.suspectFor(task.stage.job.ID, t.survey.now) && !task.stage.job.atFault()
}

// roomOf returns the room that is left on a worker in this trial.
func (t *trial) roomOf(sl *slot) Resources {
	switch {
	case sl.trial == t.number:
		return sl.room
	case t.displaces:
		return sl.prospect
	default:
		return sl.free
	}
}

// usedOf returns how many tasks the trial puts on a worker.
func (t *trial) usedOf(sl *slot) int {
	if sl.trial == t.number {
		return sl.used
	}
	return 0
}

// change sets the room that is left on a worker in this trial.
func (t *trial) change(sl *slot, room Resources, used int) {
	if sl.trial != t.number {
		sl.trial, sl.used, sl.changes = t.number, 0, 0
	}
	sl.room = room
	sl.used += used
	sl.changes++
}

func (sl *slot) count(s *stage) int {
	count := 0
	for _, p := range sl.worker.places {
		if p.task.stage == s {
			count++
		}
	}
	return count
}

// delay returns the core-seconds that a task would take longer on the worker, away from its data.
func (t *trial) delay(s *stage, w *worker) float64 {
	if s.step.DataRack == "" || s.step.DataRack == w.Rack {
		return 0
	}
	return (t.survey.arranger.options.RemoteFactor - 1) * s.step.Estimate.Seconds() * s.step.Need.cores()
}

// suspectDistance is the room, in accelerators, that a worker without failures is worth more than a suspect one.
const suspectDistance = 2

// coreWeight makes accelerators decide over cores when room is compared.
const coreWeight = 0.01

// distance returns how much more room a worker has than a task needs.
func distance(s *stage, room Resources) float64 {
	return float64(room.Accelerators-s.step.Need.Accelerators) + coreWeight*float64(room.CPU-s.step.Need.CPU)/1000
}

// take adds a choice to the packing.
func (t *trial) take(task *task, c *choice) {
	t.slots = append(t.slots, c.slot)
	t.lost += c.lost
	t.distance += c.distance
	for _, p := range c.victims {
		t.stopWithGang(p)
	}
	t.change(c.slot, t.roomOf(c.slot).Sub(task.stage.step.Need), 1)
}

// stopCost is the time lost by stopping and starting a task that loses no work.
const stopCost = 500 * time.Millisecond
