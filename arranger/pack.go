package arranger

import (
	"cmp"
	"slices"
	"time"
)

// slot is a worker with its room during one pass of planning.
type slot struct {
	worker *worker
	// free is what nothing occupies; prospect adds what is being vacated.
	free, prospect Resources
}

// survey is one pass of planning over the fleet.
type survey struct {
	arranger *Arranger
	now      time.Time
	slots    []*slot
	byWorker map[*worker]*slot
	ranks    map[*job]rank
	// racks are in a fixed order, rackNumbers their positions in it.
	racks       []string
	rackNumbers map[string]int
	// accelerators is the sum over the fleet, free what is neither occupied nor claimed of them.
	accelerators, free int
	// owed are the accelerators that waiting gangs need which go before the units still to be placed.
	owed int
	// refused remembers needs that found no room in this pass.
	refused map[refusedKey]bool
}

type refusedKey struct {
	need     Resources
	rank     rank
	gang     int
	sameRack bool
	requires string
	service  string
	// advised is the stage if only some workers may run it.
	advised *stage
	// serves and fills are those of the step.
	serves, fills bool
}

func (a *Arranger) newSurvey(now time.Time) *survey {
	s := &survey{
		arranger: a, now: now, ranks: a.ranks(),
		byWorker: make(map[*worker]*slot, len(a.order)), refused: map[refusedKey]bool{},
	}
	for _, w := range a.order {
		if !w.takes(now) {
			continue
		}
		sl := &slot{worker: w, free: w.free(), prospect: w.prospect()}
		s.accelerators += w.Capacity.Accelerators
		s.free += max(0, sl.free.Accelerators)
		s.slots = append(s.slots, sl)
		s.byWorker[w] = sl
		if !slices.Contains(s.racks, w.Rack) {
			s.racks = append(s.racks, w.Rack)
		}
	}
	s.numberRacks()
	return s
}

// packing is a way to place a number of tasks, with what it costs others.
type packing struct {
	slots   []*slot
	victims []*place
	// lost is the work that is thrown away, in core-seconds.
	lost float64
	// distance is how badly the place suits the tasks.
	distance float64
}

// place finds room for a unit and orders its start, or claims room that others have to leave first.
func (s *survey) place(u unit) {
	key := refusedKey{
		need: u.stage.step.Need, rank: u.rank, sameRack: u.stage.step.SameRack,
		requires: u.stage.step.Requires, service: u.stage.job.Policy.Service,
		serves: u.stage.step.Serves, fills: u.stage.step.Fills,
	}
	if u.stage.job.Policy.Advised {
		key.advised = u.stage
	}
	if u.stage.step.Gang {
		key.gang = len(u.stage.tasks)
	}
	if s.refused[key] {
		return
	}
	if u.stage.step.Gang {
		if !s.placeTogether(u, u.stage.tasks) {
			s.refused[key] = true
			s.oweGang(u)
		}
		return
	}
	for _, t := range u.stage.tasks {
		if t.done || t.place != nil {
			continue
		}
		if !s.placeTogether(u, []*task{t}) {
			s.refused[key] = len(t.failedOn) == 0 && u.stage.step.MaxPerWorker == 0
			return
		}
	}
}

// placeTogether places all the tasks or none.
func (s *survey) placeTogether(u unit, tasks []*task) bool {
	if s.keepsFree(u, tasks) {
		return false
	}
	p := s.best(u, tasks, false)
	if s.mayDisplace(u) && (p == nil || p.lost > 0) {
		if other := s.best(u, tasks, true); p == nil || (other != nil && other.lost < p.lost) {
			p = other
		}
	}
	if p == nil {
		return false
	}
	s.commit(u, tasks, p)
	return true
}

// mayDisplace reports whether the unit may stop the work of others.
func (s *survey) mayDisplace(u unit) bool { return u.rank <= rankUrgent }

// best returns the packing that costs others least, then suits the tasks best.
func (s *survey) best(u unit, tasks []*task, displace bool) *packing {
	if !u.stage.step.Gang || !u.stage.step.SameRack || len(tasks) == 1 {
		return s.pack(u, tasks, s.slots, displace)
	}
	var best *packing
	for _, rack := range s.racks {
		slots := slices.DeleteFunc(slices.Clone(s.slots), func(sl *slot) bool { return sl.worker.Rack != rack })
		p := s.pack(u, tasks, slots, displace)
		if p != nil && (best == nil || cmp.Or(cmp.Compare(p.lost, best.lost), cmp.Compare(p.distance, best.distance)) < 0) {
			best = p
		}
	}
	if best == nil && (displace && u.rank == rankGuaranteed || !s.arranger.rackHolds(u.stage, len(tasks))) {
		best = s.pack(u, tasks, s.slots, displace)
	}
	return best
}

// rackHolds reports whether any rack could hold the gang if it were empty.
func (a *Arranger) rackHolds(s *stage, count int) bool {
	for _, holds := range a.emptyRacksHold(s) {
		if holds >= count {
			return true
		}
	}
	return false
}

// fleetHolds reports whether the fleet could hold the gang if it were empty.
func (a *Arranger) fleetHolds(s *stage, count int) bool {
	for _, holds := range a.emptyRacksHold(s) {
		count -= holds
	}
	return count <= 0
}

// emptyRacksHold returns how many tasks of the stage each rack could hold if it were empty.
func (a *Arranger) emptyRacksHold(s *stage) map[string]int {
	room := map[string]int{}
	for _, w := range a.order {
		if w.Service == s.job.Policy.Service && w.has(s.step.Requires) && !w.Draining {
			room[w.Rack] += w.Capacity.Holds(s.step.Need)
		}
	}
	return room
}

// trial is the state of one packing while it is made.
type trial struct {
	survey *survey
	unit   unit
	room   map[*slot]Resources
	used   map[*slot]int
	gone   map[*place]bool
	// displaces tells that room counts which others still have to leave.
	displaces bool
	packing
}

// pack places the tasks one after another where each costs least.
func (s *survey) pack(u unit, tasks []*task, slots []*slot, displace bool) *packing {
	t := &trial{survey: s, unit: u, room: map[*slot]Resources{}, used: map[*slot]int{}, gone: map[*place]bool{}, displaces: displace}
	for _, task := range tasks {
		if !t.placeOne(task, slots) {
			return nil
		}
	}
	return &t.packing
}

type choice struct {
	slot     *slot
	victims  []*place
	lost     float64
	distance float64
}

func (t *trial) placeOne(task *task, slots []*slot) bool {
	var best *choice
	for _, sl := range slots {
		c, ok := t.consider(task, sl)
		if !ok {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.lost, best.lost), cmp.Compare(c.distance, best.distance)) < 0 {
			best = &c
		}
	}
	if best == nil {
		return false
	}
	t.take(task, best)
	return true
}

// consider returns what it costs to put the task on the worker.
func (t *trial) consider(task *task, sl *slot) (choice, bool) {
	step := task.stage.step
	w := sl.worker
	if w.Service != task.stage.job.Policy.Service || !w.has(step.Requires) || !w.Capacity.Covers(step.Need) {
		return choice{}, false
	}
	if step.MaxPerWorker > 0 && sl.count(task.stage)+t.used[sl] >= step.MaxPerWorker {
		return choice{}, false
	}
	if w.disturbs(step) {
		return choice{}, false
	}
	if !task.stage.mayRunOn(w, t.survey.now) {
		return choice{}, false
	}
	if task.failedOn[w.ID] && len(task.failedOn) < len(t.survey.slots) {
		return choice{}, false
	}
	suspect := w.health.suspect(t.survey.now)
	if suspect && task.failures() > 0 {
		return choice{}, false
	}
	room := t.roomOf(sl)
	c := choice{slot: sl, lost: t.delay(task, w), distance: distance(task, room) + t.survey.rackDistance(t.unit, w.Rack)}
	if suspect {
		c.distance += suspectDistance
	}
	if room.Covers(step.Need) {
		return c, true
	}
	if !t.displaces {
		return choice{}, false
	}
	return c, t.displace(&c, room, step.Need)
}

// roomOf returns the room that is left on a worker in this trial.
func (t *trial) roomOf(sl *slot) Resources {
	if room, ok := t.room[sl]; ok {
		return room
	}
	if t.displaces {
		return sl.prospect
	}
	return sl.free
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

// delay returns the core-seconds that the task would take longer on the worker, away from its data.
func (t *trial) delay(task *task, w *worker) float64 {
	step := task.stage.step
	if step.DataRack == "" || step.DataRack == w.Rack {
		return 0
	}
	return (t.survey.arranger.options.RemoteFactor - 1) * step.Estimate.Seconds() * step.Need.cores()
}

// suspectDistance is the room, in accelerators, that a worker without failures is worth more than a suspect one.
const suspectDistance = 2

// coreWeight makes accelerators decide over cores when room is compared.
const coreWeight = 0.01

// distance returns how much more room a worker has than a task needs.
func distance(task *task, room Resources) float64 {
	return float64(room.Accelerators-task.stage.step.Need.Accelerators) +
		coreWeight*float64(room.CPU-task.stage.step.Need.CPU)/1000
}

// displace chooses the work whose stop makes room at the least loss.
func (t *trial) displace(c *choice, room, need Resources) bool {
	var candidates []*place
	for _, p := range c.slot.worker.places {
		if t.gone[p] || !t.mayStop(p) {
			continue
		}
		candidates = append(candidates, p)
	}
	slices.SortStableFunc(candidates, func(x, y *place) int {
		return cmp.Or(
			cmp.Compare(t.survey.ranks[y.task.stage.job], t.survey.ranks[x.task.stage.job]),
			cmp.Compare(t.lossOf(x), t.lossOf(y)),
		)
	})
	for _, p := range candidates {
		if room.Covers(need) {
			break
		}
		if boundTogether(c.victims, p) {
			continue
		}
		room = room.Plus(p.task.stage.step.Need)
		c.victims = append(c.victims, p)
	}
	if !room.Covers(need) {
		return false
	}
	c.victims = pruned(c.victims, room, need)
	for _, p := range c.victims {
		c.lost += t.lossOf(p)
	}
	return true
}

// pruned leaves out victims that turned out not to be needed.
func pruned(victims []*place, room, need Resources) []*place {
	kept := []*place{}
	for _, p := range victims {
		without := room.Minus(p.task.stage.step.Need)
		if without.Covers(need) {
			room = without
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

// mayStop reports whether the unit may displace the run.
func (t *trial) mayStop(p *place) bool {
	j := p.task.stage.job
	if p.state != placeStarting && p.state != placeRunning || p.task.done || j.state.Final() {
		return false
	}
	return t.survey.ranks[j] > t.unit.rank && t.survey.ranks[j] > rankGuaranteed && t.mayMiss(p)
}

// lossOf returns the core-seconds that stopping the run throws away, with those of its whole gang.
func (t *trial) lossOf(p *place) float64 {
	if !p.task.stage.step.Gang {
		return t.survey.lossOfOne(p)
	}
	lost := 0.0
	for _, member := range p.task.stage.tasks {
		if member.place != nil && !t.gone[member.place] {
			lost += t.survey.lossOfOne(member.place)
		}
	}
	return lost
}

// stopCost is the time lost by stopping and starting a task that loses no work.
const stopCost = 500 * time.Millisecond

func (s *survey) lossOfOne(p *place) float64 {
	since := p.began
	if p.task.stage.step.Checkpoints && p.saved.After(since) {
		since = p.saved
	}
	lost := stopCost
	if !p.task.stage.step.Checkpoints {
		lost += s.now.Sub(since)
	}
	return lost.Seconds() * p.task.stage.step.Need.cores()
}

// take adds a choice to the packing.
func (t *trial) take(task *task, c *choice) {
	need := task.stage.step.Need
	sl := c.slot
	t.slots = append(t.slots, sl)
	t.used[sl]++
	t.lost += c.lost
	t.distance += c.distance
	for _, p := range c.victims {
		t.stopWithGang(p)
	}
	t.room[sl] = t.roomOf(sl).Minus(need)
}

// stopWithGang counts a run, and the other members of its gang, as gone.
func (t *trial) stopWithGang(p *place) {
	members := []*place{p}
	if p.task.stage.step.Gang {
		members = members[:0]
		for _, member := range p.task.stage.tasks {
			if member.place != nil && member.place.state != placeClaimed && member.place.state != placeStopping {
				members = append(members, member.place)
			}
		}
	}
	for _, member := range members {
		if t.gone[member] {
			continue
		}
		t.gone[member] = true
		t.victims = append(t.victims, member)
		if sl := t.survey.byWorker[member.worker]; sl != nil {
			room, ok := t.room[sl]
			if !ok {
				room = sl.prospect
			}
			t.room[sl] = room.Plus(member.task.stage.step.Need)
		}
	}
}

// commit carries a packing out.
func (s *survey) commit(u unit, tasks []*task, p *packing) {
	a := s.arranger
	for _, victim := range p.victims {
		a.options.Note("run displaced", "task", victim.task.label(), "run", victim.run,
			"worker", victim.worker.ID, "for", u.stage.job.ID, "rank", int(u.rank))
		a.stop(victim, "displaced by "+u.stage.job.ID)
		if sl := s.byWorker[victim.worker]; sl != nil {
			sl.prospect = sl.prospect.Plus(victim.task.stage.step.Need)
		}
	}
	group := make([]*place, 0, len(tasks))
	for i, t := range tasks {
		sl := p.slots[i]
		pl := &place{task: t, worker: sl.worker, state: placeClaimed, began: s.now}
		t.place = pl
		sl.worker.places = append(sl.worker.places, pl)
		sl.free = sl.free.Minus(t.stage.step.Need)
		sl.prospect = sl.prospect.Minus(t.stage.step.Need)
		s.free -= t.stage.step.Need.Accelerators
		group = append(group, pl)
	}
	if len(p.victims) == 0 && a.clear(s.now, group) {
		a.start(s.now, group, "room was free")
		return
	}
	a.claims = append(a.claims, group)
}
