package arranger

import (
	"cmp"
	"slices"
	"time"
)

// maxPendingStarts is the number of starts without an outcome from which work that is not urgent waits for the
// next pass. Sending that many takes about 0.2 s on 0.4 of a core; without the limit, a fleet that becomes free
// at once delays urgent starts by thousands of others.
const maxPendingStarts = 400

// pendingStartTime is how long a start without an outcome counts as pending; after both tries to send it, it delays no
// others.
const pendingStartTime = 2 * time.Second

// gangSpreadDelay is how long a gang waits for room in one rack before it is spread over several while the fleet is
// not busy.
const gangSpreadDelay = 2 * time.Second

// suspectDelay is how long a unit waits for workers that it need not avoid before it takes others while the fleet is
// not busy. In a busy fleet a worker that fails runs at once is often the only free one.
const suspectDelay = time.Second

// candidate is a schedulable worker with its free capacity during a planning pass.
type candidate struct {
	worker *worker
	rack   *rackCapacity
	// speed is the worker's rated speed, or that of a cold one; fleetSpeeds is the range of those of its service.
	speed       float64
	fleetSpeeds *speedRange
	// startsLeft is the number of tasks that may still be started on the worker if it is cold.
	startsLeft int
	// free is the capacity that is neither in use nor claimed; freeAfterStops adds the runs that are being
	// stopped.
	free, freeAfterStops Resources
	// probation is the job of a suspected task on the worker that other jobs must not join, or nil.
	probation *job
	// victims caches the worker's runs in the order in which they would be preempted; nil if not computed.
	victims []victim

	// The fields below hold the candidate's state within the trial of that number.

	trial     int
	available Resources
	placed    int
	// version is incremented with each change of available and placed.
	version int
}

// rackCapacity is a rack with its free capacity during a planning pass.
type rackCapacity struct {
	name       string
	candidates []*candidate
	// position is the index of the rack in the order of names.
	position int
	// maxFree is an upper bound of the free capacity of any of its workers that may start tasks in each dimension.
	maxFree Resources
	// free and accelerators are the free and the total accelerators of the rack.
	free, accelerators int
}

// updateMaxFree recomputes the bound from the current free capacity.
func (r *rackCapacity) updateMaxFree() {
	r.maxFree = Resources{}
	for _, cand := range r.candidates {
		if cand.startsLeft > 0 {
			r.maxFree = r.maxFree.Max(cand.free)
		}
	}
}

// pass is the state of one planning pass.
type pass struct {
	arranger   *Arranger
	now        time.Time
	candidates []*candidate
	ranks      map[*job]rank
	// racks are sorted by name.
	racks      []*rackCapacity
	rackByName map[string]*rackCapacity
	// accelerators and free are the total accelerators of all candidates and the free ones of those that may start tasks.
	accelerators, free int
	// installed is the number of accelerators of all known workers outside evacuated zones, inUse the number that ordered work uses there,
	// without claims.
	installed, inUse int
	// reserve is the number of accelerators kept free for urgent work, urgentUsed the number that urgent work
	// uses, urgentEvacuated that in evacuated zones.
	reserve         float64
	urgentUsed      int
	urgentEvacuated int
	// gangReserve is the number of accelerators kept free for waiting gangs that precede the units still to be
	// placed.
	gangReserve int
	// pendingStarts is the number of starts whose outcome is not known yet.
	pendingStarts int
	// unplaceable holds the classes of units that found no capacity in this pass.
	unplaceable map[unitClass]unplaceable
	// tasksThatFit caches how many tasks the fleet could run if it were empty.
	tasksThatFit map[emptyCapacityKey]emptyCapacity
	// gangRemovals caches what is lost if a gang makes room for other work.
	gangRemovals map[*stage]removal
	// speeds are the ranges of the speeds of the candidates by service.
	speeds map[string]*speedRange
	// rooms is a buffer of roomsBySpeed.
	rooms []roomAtSpeed
	// trials is the number of trials so far.
	trials int
	// acceptsSuspects means that the unit being placed has to make do with workers that it would avoid; avoided means
	// that it avoided one that has room for it.
	acceptsSuspects, avoided bool
	// specific means that the search for the unit being placed depended on more than its class.
	specific bool
	// retried is the stage that is searched for in this pass although its class has no room, or nil.
	retried *stage
}

func (a *Arranger) newPass(now time.Time, ranks map[*job]rank) *pass {
	ps := &pass{
		arranger: a, now: now, ranks: ranks, rackByName: map[string]*rackCapacity{},
		unplaceable: map[unitClass]unplaceable{}, tasksThatFit: map[emptyCapacityKey]emptyCapacity{}, gangRemovals: map[*stage]removal{},
		speeds: map[string]*speedRange{},
	}
	a.speeds.update(now, a.sortedWorkers)
	a.limitQuarantine(now)
	avoidsUnanswered := a.avoidsUnanswered(now)
	all := make([]candidate, len(a.sortedWorkers))
	for i, w := range a.sortedWorkers {
		w.candidate = nil
		used := ps.urgentUseOf(w)
		ps.urgentUsed += used
		ps.countPendingStarts(w)
		if w.evacuated {
			ps.urgentEvacuated += used
			continue
		}
		ps.installed += w.Capacity.Accelerators
		ps.countOrderedWork(w)
		if !w.schedulable(now) || avoidsUnanswered && now.Before(w.unanswered.until) {
			continue
		}
		cand := &all[i]
		*cand = candidate{worker: w, speed: a.presentSpeed(now, w), startsLeft: a.startsLeft(now, w), free: w.free(), freeAfterStops: w.freeAfterStops(), probation: w.onProbation()}
		w.candidate = cand
		ps.accelerators += w.Capacity.Accelerators
		if cand.startsLeft > 0 {
			ps.free += max(0, cand.free.Accelerators)
		}
		ps.addSpeed(cand)
		ps.candidates = append(ps.candidates, cand)
		ps.addToRack(cand)
	}
	ps.numberRacks()
	ps.updateReserve(0)
	return ps
}

// urgentUseOf returns the accelerators that urgent jobs use or have claimed on the worker.
func (ps *pass) urgentUseOf(w *worker) int {
	used := 0
	for _, p := range w.places {
		if r, active := ps.ranks[p.task.stage.job]; active && r <= rankUrgent {
			used += p.task.stage.step.Need.Accelerators
		}
	}
	return used
}

func (ps *pass) addToRack(cand *candidate) {
	r := ps.rackByName[cand.worker.Rack]
	if r == nil {
		r = &rackCapacity{name: cand.worker.Rack}
		ps.rackByName[r.name] = r
		ps.racks = append(ps.racks, r)
	}
	cand.rack = r
	r.candidates = append(r.candidates, cand)
	if cand.startsLeft > 0 {
		r.maxFree = r.maxFree.Max(cand.free)
	}
	r.free += max(0, cand.free.Accelerators)
	r.accelerators += cand.worker.Capacity.Accelerators
}

// countPendingStarts adds the pending starts on the worker.
func (ps *pass) countPendingStarts(w *worker) {
	for _, p := range w.places {
		if p.state == placeStarting && ps.now.Sub(p.placedAt) < pendingStartTime {
			ps.pendingStarts++
		}
	}
}

// countOrderedWork adds the accelerators that ordered work uses on the worker, without claims.
func (ps *pass) countOrderedWork(w *worker) {
	for _, p := range w.places {
		if p.state != placeClaimed {
			ps.inUse += p.task.stage.step.Need.Accelerators
		}
	}
	for _, orphan := range w.orphans {
		ps.inUse += orphan.Accelerators
	}
}

// place finds capacity for a unit and orders its start, or claims capacity and preempts the runs that use it.
func (ps *pass) place(u unit) {
	u.stage.wait.block = notBlocked
	if ps.skips(u) {
		u.stage.wait.block = blockedByClass
		u.stage.recordNoRoom(ps.now)
		return
	}
	u.stage.wait.searchedAt = ps.now
	if u.stage.step.Gang {
		if ps.mustDeferStart(u) {
			return
		}
		if !ps.placeAllOrNone(u, u.stage.tasks) {
			ps.markUnplaceable(u)
			u.stage.recordNoRoom(ps.now)
			ps.reserveForGang(u)
		}
		return
	}
	suspectsWait := false
	for _, t := range u.stage.tasks {
		if t.done || t.place != nil || suspectsWait && t.suspected() {
			continue
		}
		if ps.mustDeferStart(u) {
			return
		}
		if !ps.placeAllOrNone(u, []*task{t}) {
			u.stage.recordNoRoom(ps.now)
			if ps.avoided && (t.failures() > 0 || t.suspected()) {
				suspectsWait = suspectsWait || t.suspected()
				continue
			}
			ps.markUnplaceable(u)
			return
		}
	}
}

// recordNoRoom records that a pass found no room for the stage.
func (s *stage) recordNoRoom(now time.Time) {
	if s.noRoomSince.IsZero() {
		s.noRoomSince = now
	}
}

// hasWaited reports whether passes have found no room for the stage for at least that long.
func (s *stage) hasWaited(now time.Time, least time.Duration) bool {
	return !s.noRoomSince.IsZero() && now.Sub(s.noRoomSince) >= least
}

// mustDeferStart reports whether the unit has to wait for the outcome of earlier starts, so that urgent starts
// do not queue behind thousands of others.
func (ps *pass) mustDeferStart(u unit) bool {
	if u.rank <= rankUrgent || ps.pendingStarts < maxPendingStarts {
		return false
	}
	u.stage.wait.block = blockedByStarts
	return true
}

// placeAllOrNone places all of the tasks or none of them.
func (ps *pass) placeAllOrNone(u unit, tasks []*task) bool {
	ps.acceptsSuspects, ps.avoided, ps.specific = false, false, false
	if ps.exceedsReserve(u, tasks) {
		u.stage.wait.block = blockedByReserve
		return false
	}
	p := ps.cheapestPacking(u, tasks)
	if p == nil && ps.avoided && u.stage.hasWaited(ps.now, suspectDelay) && !ps.fleetIsBusy() {
		ps.acceptsSuspects = true
		tasks = byFailures(tasks)
		p = ps.cheapestPacking(u, tasks)
	}
	if p == nil {
		u.stage.wait.block = blockedByCapacity
		return false
	}
	ps.commit(u, tasks, p)
	return true
}

// byFailures returns the tasks in the order in which they have failed on most workers, since these have the least
// choice.
func byFailures(tasks []*task) []*task {
	return slices.SortedStableFunc(slices.Values(tasks), func(x, y *task) int {
		return cmp.Compare(len(y.failedOn), len(x.failedOn))
	})
}

// cheapestPacking returns the packing that loses least work, with preemption if the unit may preempt; nil if there
// is none.
func (ps *pass) cheapestPacking(u unit, tasks []*task) *packing {
	p := ps.bestPacking(u, tasks, false)
	if ps.mayPreempt(u) && (p == nil || p.lostWork > 0) {
		if withPreemption := ps.bestPacking(u, tasks, true); p == nil || (withPreemption != nil && withPreemption.lostWork < p.lostWork) {
			p = withPreemption
		}
	}
	return p
}

// mayPreempt reports whether the unit may preempt runs of other jobs.
func (ps *pass) mayPreempt(u unit) bool { return u.rank <= rankUrgent }

// bestPacking returns the packing that loses least work and, among these, has the lowest misfit; nil if there
// is none.
func (ps *pass) bestPacking(u unit, tasks []*task, preempt bool) *packing {
	if !u.stage.step.Gang || !u.stage.step.SameRack || len(tasks) == 1 {
		return ps.packAnywhere(u, tasks, preempt)
	}
	bestPacking := ps.bestPackingInRack(u, tasks, preempt)
	if bestPacking == nil && (preempt && u.rank == rankGuaranteed || ps.maySpread(u.stage)) {
		bestPacking = ps.packAnywhere(u, tasks, preempt)
	}
	return bestPacking
}

// bestPackingInRack returns the best packing within one rack, or nil.
func (ps *pass) bestPackingInRack(u unit, tasks []*task, preempt bool) *packing {
	need := len(tasks) * u.stage.step.Need.Accelerators
	var best *packing
	for i := range ps.racks {
		rack := ps.preferredRack(u, i)
		if best != nil && best.lostWork <= 0 && rackPenalty*float64(i*len(tasks)) >= best.misfit {
			break
		}
		if rack.accelerators < need || !preempt && rack.free < need {
			continue
		}
		var speeds speedRange
		if !preempt {
			var misfit float64
			speeds, misfit = ps.suitableSpeeds(u, len(tasks), rack.candidates)
			if best != nil && best.lostWork <= 0 && rackPenalty*float64(i*len(tasks))+misfit >= best.misfit {
				continue
			}
		}
		p := ps.pack(u, tasks, rack.candidates, preempt, speeds)
		if p != nil && (best == nil || cmp.Or(cmp.Compare(p.lostWork, best.lostWork), cmp.Compare(p.misfit, best.misfit)) < 0) {
			best = p
		}
	}
	return best
}

// maySpread reports whether a gang that should run in one rack may be spread over several: if none could run it, or
// if it has waited for one long enough although the fleet is not busy.
func (ps *pass) maySpread(s *stage) bool {
	if ps.emptyCapacity(s).rack < len(s.tasks) {
		return true
	}
	return s.hasWaited(ps.now, gangSpreadDelay) && !ps.fleetIsBusy()
}

type emptyCapacityKey struct {
	need         Resources
	requires     string
	service      string
	maxPerWorker int
	// advised is the stage itself if the advice service decides which workers may run it.
	advised *stage
}

// emptyCapacity is the number of tasks of a step that the usable workers of a rack, at most, and the whole fleet
// could run if they were empty.
type emptyCapacity struct{ rack, all int }

func (ps *pass) emptyCapacity(of *stage) emptyCapacity {
	key := emptyCapacityKey{need: of.step.Need, requires: of.step.Requires, service: of.job.Policy.Service, maxPerWorker: of.step.MaxPerWorker}
	if of.job.Policy.Advised {
		key.advised = of
	}
	if known, ok := ps.tasksThatFit[key]; ok {
		return known
	}
	perRack := map[string]int{}
	var e emptyCapacity
	for _, w := range ps.arranger.sortedWorkers {
		if tasksThatFit := of.roomIfEmpty(w); tasksThatFit > 0 && !w.Draining && !w.evacuated {
			e.all += tasksThatFit
			if w.candidate != nil || ps.arranger.awaits(w) {
				perRack[w.Rack] += tasksThatFit
				e.rack = max(e.rack, perRack[w.Rack])
			}
		}
	}
	ps.tasksThatFit[key] = e
	return e
}

// roomIfEmpty returns how many tasks of the stage the worker could run if it were empty.
func (s *stage) roomIfEmpty(w *worker) int {
	if w.Service != s.job.Policy.Service || !w.has(s.step.Requires) || s.forbidden(w) {
		return 0
	}
	count := w.Capacity.FitCount(s.step.Need)
	if s.step.MaxPerWorker > 0 {
		count = min(count, s.step.MaxPerWorker)
	}
	return count
}

// awaits reports whether the worker has yet to report to a new owner, which learns within seconds what it can do.
func (a *Arranger) awaits(w *worker) bool {
	_, awaited := a.awaitedReports[w.ID]
	return awaited
}

// commit applies a packing: it preempts the victims and starts the tasks or claims their capacity.
func (ps *pass) commit(u unit, tasks []*task, p *packing) {
	a := ps.arranger
	u.stage.noRoomSince = time.Time{}
	if u.stage == ps.retried {
		a.options.Log("room found for a unit whose class had none", "job", u.stage.job.ID, "step", u.stage.stepName(), "tasks", len(tasks), "need", u.stage.step.Need)
	}
	var awaits []*place
	mayAwait := !slices.ContainsFunc(tasks, func(t *task) bool { return t.awaited })
	for _, victim := range p.victims {
		if mayAwait && ps.removalOf(victim).endsSoon {
			awaits = append(awaits, victim)
			a.await(ps.now, victim, u)
		} else {
			a.options.Log("run preempted", "task", victim.task.label(), "run", victim.run,
				"worker", victim.worker.ID, "for", u.stage.job.ID, "rank", int(u.rank))
			a.stop(victim, "preempted by "+u.stage.job.ID)
		}
		if cand := victim.worker.candidate; cand != nil {
			cand.freeAfterStops = cand.freeAfterStops.Add(victim.task.stage.step.Need)
		}
	}
	group := make([]*place, 0, len(tasks))
	for i, t := range tasks {
		cand := p.candidates[i]
		need := t.stage.step.Need
		pl := &place{task: t, worker: cand.worker, state: placeClaimed, placedAt: ps.now, awaits: awaits}
		t.place, t.awaited = pl, t.awaited || len(awaits) > 0
		cand.worker.places = append(cand.worker.places, pl)
		cand.free = cand.free.Sub(need)
		cand.freeAfterStops = cand.freeAfterStops.Sub(need)
		cand.rack.free -= need.Accelerators
		cand.startsLeft--
		cand.victims = nil
		if t.suspected() {
			cand.probation = u.stage.job
		}
		ps.free -= need.Accelerators
		group = append(group, pl)
	}
	if u.rank <= rankUrgent {
		ps.updateReserve(len(tasks) * u.stage.step.Need.Accelerators)
	}
	if len(p.victims) == 0 && a.canStart(ps.now, group) {
		ps.pendingStarts += len(group)
		ps.inUse += len(group) * u.stage.step.Need.Accelerators
		a.start(ps.now, group, "capacity is free")
		return
	}
	a.claims = append(a.claims, group)
	a.dirty[u.stage.job.ID] = true
}

// compareRacks orders racks by name.
func compareRacks(x, y *rackCapacity) int { return cmp.Compare(x.name, y.name) }

// numberRacks sorts the racks and sets their positions.
func (ps *pass) numberRacks() {
	slices.SortFunc(ps.racks, compareRacks)
	for i, r := range ps.racks {
		r.position = i
	}
}
