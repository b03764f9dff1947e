package arranger

import (
	"cmp"
	"slices"
	"time"
)

// maxPendingStarts answers the load of a fleet that becomes free at once: the starts that may be without an outcome
// before work that is not urgent has to wait for the next plan, about 0.2 s of sending on 0.4 of a core.
const maxPendingStarts = 400

// candidate is a worker with its room during one pass of planning.
type candidate struct {
	worker *worker
	rack   *rackCapacity
	// free is what nothing occupies; freeAfterStops adds what is being vacated.
	free, freeAfterStops Resources
	// victims are the worker's runs in the order in which they would be stopped; nil until they are asked for.
	victims []victim

	// The fields below belong to the trial with the number.

	trial     int
	available Resources
	placed    int
	// version counts the version of room and runs in the trial.
	version int
}

// rackCapacity is a rack during one pass of planning.
type rackCapacity struct {
	name       string
	candidates []*candidate
	// position is the rack's number in a fixed order.
	position int
	// maxFree bounds what is free on any of its workers, in each kind of resource.
	maxFree Resources
	// free is the sum of its free accelerators, accelerators that of all.
	free, accelerators int
}

// updateMaxFree brings the bound down to what is free now.
func (r *rackCapacity) updateMaxFree() {
	r.maxFree = Resources{}
	for _, sl := range r.candidates {
		r.maxFree = r.maxFree.Max(sl.free)
	}
}

// pass is one pass of planning over the fleet.
type pass struct {
	arranger   *Arranger
	now        time.Time
	candidates []*candidate
	ranks      map[*job]rank
	// racks are in a fixed order.
	racks      []*rackCapacity
	rackByName map[string]*rackCapacity
	// accelerators is the sum over the fleet, free what is neither occupied nor claimed of them.
	accelerators, free int
	// reserve are the accelerators that are kept free for urgent work, urgentUsed those that it uses.
	reserve    float64
	urgentUsed int
	// gangReserve are the accelerators that waiting gangs need which go before the units still to be placed.
	gangReserve int
	// pendingStarts are the starts without an outcome.
	pendingStarts int
	// unplaceable remembers needs that found no room in this pass, of gangs the smallest number of tasks.
	unplaceable map[unitClass]int
	// tasksThatFit remembers what the fleet could hold if it were empty.
	tasksThatFit map[emptyCapacityKey]emptyCapacity
	// gangLoss remembers what stopping a gang throws away.
	gangLoss map[*stage]float64
	// trials counts the packings that were tried.
	trials int
}

type unitClass struct {
	need     Resources
	rank     rank
	gang     bool
	sameRack bool
	requires string
	service  string
	// advised is the stage if only some workers may run it.
	advised *stage
	// serves and fills are those of the step.
	serves, fills bool
}

func (a *Arranger) newPass(now time.Time, ranks map[*job]rank) *pass {
	s := &pass{
		arranger: a, now: now, ranks: ranks, rackByName: map[string]*rackCapacity{},
		unplaceable: map[unitClass]int{}, tasksThatFit: map[emptyCapacityKey]emptyCapacity{}, gangLoss: map[*stage]float64{},
	}
	room := make([]candidate, len(a.sortedWorkers))
	for i, w := range a.sortedWorkers {
		w.candidate = nil
		s.pendingStarts += w.pendingStarts()
		s.urgentUsed += s.urgentUseOf(w)
		if !w.schedulable(now) {
			continue
		}
		sl := &room[i]
		*sl = candidate{worker: w, free: w.free(), freeAfterStops: w.freeAfterStops()}
		w.candidate = sl
		s.accelerators += w.Capacity.Accelerators
		s.free += max(0, sl.free.Accelerators)
		s.candidates = append(s.candidates, sl)
		s.addToRack(sl)
	}
	s.numberRacks()
	s.updateReserve(0)
	return s
}

// urgentUseOf returns the accelerators that urgent jobs use or have claimed on the worker.
func (s *pass) urgentUseOf(w *worker) int {
	used := 0
	for _, p := range w.places {
		if r, active := s.ranks[p.task.stage.job]; active && r <= rankUrgent {
			used += p.task.stage.step.Need.Accelerators
		}
	}
	return used
}

func (s *pass) addToRack(sl *candidate) {
	r := s.rackByName[sl.worker.Rack]
	if r == nil {
		r = &rackCapacity{name: sl.worker.Rack}
		s.rackByName[r.name] = r
		s.racks = append(s.racks, r)
	}
	sl.rack = r
	r.candidates = append(r.candidates, sl)
	r.maxFree = r.maxFree.Max(sl.free)
	r.free += max(0, sl.free.Accelerators)
	r.accelerators += sl.worker.Capacity.Accelerators
}

// pendingStarts returns the number of starts on the worker that have no outcome yet.
func (w *worker) pendingStarts() int {
	count := 0
	for _, p := range w.places {
		if p.state == placeStarting {
			count++
		}
	}
	return count
}

// place finds room for a unit and orders its start, or claims room that others have to leave first.
func (s *pass) place(u unit) {
	key, count := s.classOf(u)
	if least, ok := s.unplaceable[key]; ok && count >= least {
		return
	}
	if u.stage.step.Gang {
		if s.mustDeferStart(u) {
			return
		}
		if !s.placeAllOrNone(u, u.stage.tasks) {
			s.unplaceable[key] = count
			s.reserveForGang(u)
		}
		return
	}
	for _, t := range u.stage.tasks {
		if t.done || t.place != nil {
			continue
		}
		if s.mustDeferStart(u) {
			return
		}
		if !s.placeAllOrNone(u, []*task{t}) {
			if len(t.failedOn) == 0 && u.stage.step.MaxPerWorker == 0 {
				s.unplaceable[key] = count
			}
			return
		}
	}
}

// mustDeferStart reports whether the unit waits until earlier starts have an outcome, so that what is urgent never stands behind thousands of orders.
func (s *pass) mustDeferStart(u unit) bool {
	return u.rank > rankUrgent && s.pendingStarts >= maxPendingStarts
}

// classOf returns what a unit that finds no room has in common with others that then find none, and its number of tasks.
func (s *pass) classOf(u unit) (unitClass, int) {
	step := u.stage.step
	key := unitClass{
		need: step.Need, rank: u.rank, gang: step.Gang, sameRack: step.SameRack, requires: step.Requires,
		service: u.stage.job.Policy.Service, serves: step.LatencySensitive, fills: step.BestEffort,
	}
	if u.stage.job.Policy.Advised {
		key.advised = u.stage
	}
	count := 1
	if step.Gang {
		count = len(u.stage.tasks)
		// A gang that fits into no rack may be spread, unlike a smaller one.
		key.sameRack = step.SameRack && s.emptyCapacity(u.stage).rack >= count
	}
	return key, count
}

// placeAllOrNone places all the tasks or none.
func (s *pass) placeAllOrNone(u unit, tasks []*task) bool {
	if s.exceedsReserve(u, tasks) {
		return false
	}
	p := s.bestPacking(u, tasks, false)
	if s.mayPreempt(u) && (p == nil || p.lostWork > 0) {
		if other := s.bestPacking(u, tasks, true); p == nil || (other != nil && other.lostWork < p.lostWork) {
			p = other
		}
	}
	if p == nil {
		return false
	}
	s.commit(u, tasks, p)
	return true
}

// mayPreempt reports whether the unit may stop the work of others.
func (s *pass) mayPreempt(u unit) bool { return u.rank <= rankUrgent }

// bestPacking returns the packing that costs others least, then suits the tasks bestPacking.
func (s *pass) bestPacking(u unit, tasks []*task, displace bool) *packing {
	if !u.stage.step.Gang || !u.stage.step.SameRack || len(tasks) == 1 {
		return s.packAnywhere(u, tasks, displace)
	}
	bestPacking := s.bestPackingInRack(u, tasks, displace)
	if bestPacking == nil && (displace && u.rank == rankGuaranteed || s.emptyCapacity(u.stage).rack < len(tasks)) {
		bestPacking = s.packAnywhere(u, tasks, displace)
	}
	return bestPacking
}

// bestPackingInRack returns the best packing within one rack, or nil.
func (s *pass) bestPackingInRack(u unit, tasks []*task, displace bool) *packing {
	need := len(tasks) * u.stage.step.Need.Accelerators
	var best *packing
	for i := range s.racks {
		rack := s.preferredRack(u, i)
		if best != nil && best.lostWork <= 0 && rackPenalty*float64(i*len(tasks)) >= best.misfit {
			break
		}
		if rack.accelerators < need || !displace && rack.free < need {
			continue
		}
		p := s.pack(u, tasks, rack.candidates, displace)
		if p != nil && (best == nil || cmp.Or(cmp.Compare(p.lostWork, best.lostWork), cmp.Compare(p.misfit, best.misfit)) < 0) {
			best = p
		}
	}
	return best
}

type emptyCapacityKey struct {
	need     Resources
	requires string
	service  string
}

// emptyCapacity tells how many tasks of a step the fullest rack and the whole fleet could hold if they were empty.
type emptyCapacity struct{ rack, all int }

func (s *pass) emptyCapacity(of *stage) emptyCapacity {
	key := emptyCapacityKey{need: of.step.Need, requires: of.step.Requires, service: of.job.Policy.Service}
	if known, ok := s.tasksThatFit[key]; ok {
		return known
	}
	room := map[string]int{}
	var e emptyCapacity
	for _, w := range s.arranger.sortedWorkers {
		if w.Service == key.service && w.has(key.requires) && !w.Draining {
			tasksThatFit := w.Capacity.FitCount(key.need)
			room[w.Rack] += tasksThatFit
			e.all += tasksThatFit
			e.rack = max(e.rack, room[w.Rack])
		}
	}
	s.tasksThatFit[key] = e
	return e
}

// commit carries a packing out.
func (s *pass) commit(u unit, tasks []*task, p *packing) {
	a := s.arranger
	for _, victim := range p.victims {
		a.options.Log("run displaced", "task", victim.task.label(), "run", victim.run,
			"worker", victim.worker.ID, "for", u.stage.job.ID, "rank", int(u.rank))
		a.stop(victim, "displaced by "+u.stage.job.ID)
		if sl := victim.worker.candidate; sl != nil {
			sl.freeAfterStops = sl.freeAfterStops.Add(victim.task.stage.step.Need)
		}
	}
	group := make([]*place, 0, len(tasks))
	for i, t := range tasks {
		sl := p.candidates[i]
		need := t.stage.step.Need
		pl := &place{task: t, worker: sl.worker, state: placeClaimed, placedAt: s.now}
		t.place = pl
		sl.worker.places = append(sl.worker.places, pl)
		sl.free = sl.free.Sub(need)
		sl.freeAfterStops = sl.freeAfterStops.Sub(need)
		sl.rack.free -= need.Accelerators
		sl.victims = nil
		s.free -= need.Accelerators
		group = append(group, pl)
	}
	if u.rank <= rankUrgent {
		s.updateReserve(len(tasks) * u.stage.step.Need.Accelerators)
	}
	if len(p.victims) == 0 && a.hasRoom(s.now, group) {
		s.pendingStarts += len(group)
		a.start(s.now, group, "room was free")
		return
	}
	a.claims = append(a.claims, group)
}

// compareRacks puts racks into a fixed order.
func compareRacks(x, y *rackCapacity) int { return cmp.Compare(x.name, y.name) }

// numberRacks numbers the racks in a fixed order.
func (s *pass) numberRacks() {
	slices.SortFunc(s.racks, compareRacks)
	for i, r := range s.racks {
		r.position = i
	}
}
