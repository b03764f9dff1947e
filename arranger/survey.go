package arranger

import (
	"cmp"
	"slices"
	"time"
)

// maxStarting answers the load of a fleet that becomes free at once: the starts that may be without an outcome
// before work that is not urgent has to wait for the next plan, about 0.2 s of sending on 0.4 of a core.
const maxStarting = 400

// slot is a worker with its room during one pass of planning.
type slot struct {
	worker *worker
	rack   *rackRoom
	// free is what nothing occupies; prospect adds what is being vacated.
	free, prospect Resources
	// victims are the worker's runs in the order in which they would be stopped; nil until they are asked for.
	victims []victim

	// The fields below belong to the trial with the number.

	trial int
	room  Resources
	used  int
	// changes counts the changes of room and runs in the trial.
	changes int
}

// rackRoom is a rack during one pass of planning.
type rackRoom struct {
	name  string
	slots []*slot
	// position is the rack's number in a fixed order.
	position int
	// most bounds what is free on any of its workers, in each kind of resource.
	most Resources
	// free is the sum of its free accelerators, accelerators that of all.
	free, accelerators int
}

// tighten brings the bound down to what is free now.
func (r *rackRoom) tighten() {
	r.most = Resources{}
	for _, sl := range r.slots {
		r.most = r.most.largest(sl.free)
	}
}

// survey is one pass of planning over the fleet.
type survey struct {
	arranger *Arranger
	now      time.Time
	slots    []*slot
	ranks    map[*job]rank
	// racks are in a fixed order.
	racks      []*rackRoom
	rackByName map[string]*rackRoom
	// accelerators is the sum over the fleet, free what is neither occupied nor claimed of them.
	accelerators, free int
	// reserve are the accelerators that are kept free for urgent work, urgentUsed those that it uses.
	reserve    float64
	urgentUsed int
	// owed are the accelerators that waiting gangs need which go before the units still to be placed.
	owed int
	// starting are the starts without an outcome.
	starting int
	// refused remembers needs that found no room in this pass, of gangs the smallest number of tasks.
	refused map[refusedKey]int
	// holds remembers what the fleet could hold if it were empty.
	holds map[holdsKey]emptyFleet
	// gangLoss remembers what stopping a gang throws away.
	gangLoss map[*stage]float64
	// trials counts the packings that were tried.
	trials int
}

type refusedKey struct {
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

func (a *Arranger) newSurvey(now time.Time, ranks map[*job]rank) *survey {
	s := &survey{
		arranger: a, now: now, ranks: ranks, rackByName: map[string]*rackRoom{},
		refused: map[refusedKey]int{}, holds: map[holdsKey]emptyFleet{}, gangLoss: map[*stage]float64{},
	}
	room := make([]slot, len(a.order))
	for i, w := range a.order {
		w.slot = nil
		s.starting += w.starting()
		s.urgentUsed += s.urgentUse(w)
		if !w.takes(now) {
			continue
		}
		sl := &room[i]
		*sl = slot{worker: w, free: w.free(), prospect: w.prospect()}
		w.slot = sl
		s.accelerators += w.Capacity.Accelerators
		s.free += max(0, sl.free.Accelerators)
		s.slots = append(s.slots, sl)
		s.addToRack(sl)
	}
	s.numberRacks()
	s.noteUrgent(0)
	return s
}

// urgentUse returns the accelerators that urgent jobs use or have claimed on the worker.
func (s *survey) urgentUse(w *worker) int {
	used := 0
	for _, p := range w.places {
		if r, active := s.ranks[p.task.stage.job]; active && r <= rankUrgent {
			used += p.task.stage.step.Need.Accelerators
		}
	}
	return used
}

func (s *survey) addToRack(sl *slot) {
	r := s.rackByName[sl.worker.Rack]
	if r == nil {
		r = &rackRoom{name: sl.worker.Rack}
		s.rackByName[r.name] = r
		s.racks = append(s.racks, r)
	}
	sl.rack = r
	r.slots = append(r.slots, sl)
	r.most = r.most.largest(sl.free)
	r.free += max(0, sl.free.Accelerators)
	r.accelerators += sl.worker.Capacity.Accelerators
}

// starting returns the number of starts on the worker that have no outcome yet.
func (w *worker) starting() int {
	count := 0
	for _, p := range w.places {
		if p.state == placeStarting {
			count++
		}
	}
	return count
}

// place finds room for a unit and orders its start, or claims room that others have to leave first.
func (s *survey) place(u unit) {
	key, count := s.refusal(u)
	if least, ok := s.refused[key]; ok && count >= least {
		return
	}
	if u.stage.step.Gang {
		if s.startsEnough(u) {
			return
		}
		if !s.placeTogether(u, u.stage.tasks) {
			s.refused[key] = count
			s.oweGang(u)
		}
		return
	}
	for _, t := range u.stage.tasks {
		if t.done || t.place != nil {
			continue
		}
		if s.startsEnough(u) {
			return
		}
		if !s.placeTogether(u, []*task{t}) {
			if len(t.failedOn) == 0 && u.stage.step.MaxPerWorker == 0 {
				s.refused[key] = count
			}
			return
		}
	}
}

// startsEnough reports whether the unit waits until earlier starts have an outcome, so that what is urgent never stands behind thousands of orders.
func (s *survey) startsEnough(u unit) bool {
	return u.rank > rankUrgent && s.starting >= maxStarting
}

// refusal returns what a unit that finds no room has in common with others that then find none, and its number of tasks.
func (s *survey) refusal(u unit) (refusedKey, int) {
	step := u.stage.step
	key := refusedKey{
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
		key.sameRack = step.SameRack && s.emptyFleet(u.stage).rack >= count
	}
	return key, count
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
		return s.packAnywhere(u, tasks, displace)
	}
	best := s.bestRack(u, tasks, displace)
	if best == nil && (displace && u.rank == rankGuaranteed || s.emptyFleet(u.stage).rack < len(tasks)) {
		best = s.packAnywhere(u, tasks, displace)
	}
	return best
}

// bestRack returns the best packing within one rack, or nil.
func (s *survey) bestRack(u unit, tasks []*task, displace bool) *packing {
	need := len(tasks) * u.stage.step.Need.Accelerators
	var best *packing
	for i := range s.racks {
		rack := s.rackAt(u, i)
		if best != nil && best.lost <= 0 && rackWeight*float64(i*len(tasks)) >= best.distance {
			break
		}
		if rack.accelerators < need || !displace && rack.free < need {
			continue
		}
		p := s.pack(u, tasks, rack.slots, displace)
		if p != nil && (best == nil || cmp.Or(cmp.Compare(p.lost, best.lost), cmp.Compare(p.distance, best.distance)) < 0) {
			best = p
		}
	}
	return best
}

type holdsKey struct {
	need     Resources
	requires string
	service  string
}

// emptyFleet tells how many tasks of a step the fullest rack and the whole fleet could hold if they were empty.
type emptyFleet struct{ rack, all int }

func (s *survey) emptyFleet(of *stage) emptyFleet {
	key := holdsKey{need: of.step.Need, requires: of.step.Requires, service: of.job.Policy.Service}
	if known, ok := s.holds[key]; ok {
		return known
	}
	room := map[string]int{}
	var e emptyFleet
	for _, w := range s.arranger.order {
		if w.Service == key.service && w.has(key.requires) && !w.Draining {
			holds := w.Capacity.FitCount(key.need)
			room[w.Rack] += holds
			e.all += holds
			e.rack = max(e.rack, room[w.Rack])
		}
	}
	s.holds[key] = e
	return e
}

// commit carries a packing out.
func (s *survey) commit(u unit, tasks []*task, p *packing) {
	a := s.arranger
	for _, victim := range p.victims {
		a.options.Log("run displaced", "task", victim.task.label(), "run", victim.run,
			"worker", victim.worker.ID, "for", u.stage.job.ID, "rank", int(u.rank))
		a.stop(victim, "displaced by "+u.stage.job.ID)
		if sl := victim.worker.slot; sl != nil {
			sl.prospect = sl.prospect.Add(victim.task.stage.step.Need)
		}
	}
	group := make([]*place, 0, len(tasks))
	for i, t := range tasks {
		sl := p.slots[i]
		need := t.stage.step.Need
		pl := &place{task: t, worker: sl.worker, state: placeClaimed, began: s.now}
		t.place = pl
		sl.worker.places = append(sl.worker.places, pl)
		sl.free = sl.free.Sub(need)
		sl.prospect = sl.prospect.Sub(need)
		sl.rack.free -= need.Accelerators
		sl.victims = nil
		s.free -= need.Accelerators
		group = append(group, pl)
	}
	if u.rank <= rankUrgent {
		s.noteUrgent(len(tasks) * u.stage.step.Need.Accelerators)
	}
	if len(p.victims) == 0 && a.clear(s.now, group) {
		s.starting += len(group)
		a.start(s.now, group, "room was free")
		return
	}
	a.claims = append(a.claims, group)
}

// compareRacks puts racks into a fixed order.
func compareRacks(x, y *rackRoom) int { return cmp.Compare(x.name, y.name) }

// numberRacks numbers the racks in a fixed order.
func (s *survey) numberRacks() {
	slices.SortFunc(s.racks, compareRacks)
	for i, r := range s.racks {
		r.position = i
	}
}
