package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// placement is a possible assignment of a job to workers, with its cost to other jobs.
type placement struct {
	cell      *cell
	bind      []*worker
	workers   []*worker
	perWorker int
	victims   []*job
	score     score
}

// score orders placements by its fields in turn; less is better in each.
type score struct {
	// brokenBlock is the size of the largest unused block of the organisation's cells that the placement splits, in accelerators.
	brokenBlock int
	// lost is the work that stopping the victims loses, in accelerator-seconds.
	lost float64
	// victimCount is the number of jobs that are stopped.
	victimCount int
	// reserved is the number of workers that are reserved for another job.
	reserved int
	// waste is the number of accelerators left unused in the cell, or left unbound on the worker.
	waste int
	// freeLeft is the free capacity left on the workers or, for a gang, the number of idle workers left in the rack.
	freeLeft int
	// idleInRack is the number of idle workers in the racks used, so that racks with many of them are kept for gangs.
	idleInRack int
}

func (a score) compare(b score) int {
	return cmp.Or(
		cmp.Compare(a.brokenBlock, b.brokenBlock),
		cmp.Compare(a.lost, b.lost),
		cmp.Compare(a.victimCount, b.victimCount),
		cmp.Compare(a.reserved, b.reserved),
		cmp.Compare(a.waste, b.waste),
		cmp.Compare(a.freeLeft, b.freeLeft),
		cmp.Compare(a.idleInRack, b.idleInRack),
	)
}

func cheaper(a, b *placement) *placement {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case b.score.compare(a.score) < 0:
		return b
	default:
		return a
	}
}

// planGuaranteed returns the cheapest placement in a cell of the job's organisation, or nil.
func (s *Scheduler) planGuaranteed(j *job) *placement {
	if j.Shape.Accelerators == 0 {
		return nil
	}
	members, perWorker := j.Shape.Members(s.workerSize)
	var best *placement
	tried := map[guaranteeKey]bool{}
	for _, c := range s.cells[j.Organisation] {
		if c.broken || c.members < members || c.perWorker < perWorker {
			continue
		}
		if c.bound() {
			best = cheaper(best, s.planInside(j, c, c.workers, nil, members, perWorker))
			continue
		}
		key := guaranteeKey{c.organisation, c.shape}
		if !tried[key] {
			tried[key] = true
			best = cheaper(best, s.planBinding(j, c, members, perWorker))
		}
	}
	return best
}

// planInside returns the cheapest placement on the given workers of the cell, or nil; other jobs of the organisation may have to yield.
func (s *Scheduler) planInside(j *job, c *cell, workers, bind []*worker, members, perWorker int) *placement {
	options := make([]option, 0, len(workers))
	for _, w := range workers {
		unused := c.perWorker
		if c.used != nil {
			unused = c.unusedOn(w)
		}
		cellVictims, ok := s.victimsInCell(j, c, w, perWorker-unused)
		if !ok || s.avoids(j, w) {
			continue
		}
		if o, ok := s.optionFor(j, w, perWorker, true, cellVictims...); ok {
			o.score.brokenBlock = c.unusedBlockAt(w)
			if len(cellVictims) > 0 {
				o.score.brokenBlock = c.members * c.perWorker
			}
			o.score.waste = max(0, unused-perWorker)
			options = append(options, o)
		}
	}
	p := s.combine(options, members, perWorker)
	if p == nil {
		return nil
	}
	p.cell = c
	p.bind = bind
	p.score.waste += (c.members - members) * c.perWorker
	return p
}

// planBinding returns the cheapest placement that binds the cell to workers and leaves capacity for all other cells, or nil.
func (s *Scheduler) planBinding(j *job, c *cell, members, perWorker int) *placement {
	if c.members == 1 {
		return s.planBindingWorker(j, c, perWorker)
	}
	var best *placement
	for _, rack := range s.byRack {
		bind := s.workersForCell(j, rack, c, members, perWorker)
		if bind == nil || !s.tracker.PacksAfterBinding(c.shape, workerIndexes(bind)) {
			continue
		}
		best = cheaper(best, s.planInside(j, c, bind, bind, members, perWorker))
	}
	return best
}

func (s *Scheduler) planBindingWorker(j *job, c *cell, perWorker int) *placement {
	var best *placement
	for _, w := range s.workerList {
		unbound := s.tracker.Unbound(w.index)
		if !w.usable() || unbound < c.perWorker || s.avoids(j, w) {
			continue
		}
		o, ok := s.optionFor(j, w, perWorker, true)
		if !ok {
			continue
		}
		p := &placement{cell: c, bind: []*worker{w}, workers: []*worker{w}, perWorker: perWorker, victims: o.victims, score: o.score}
		p.score.brokenBlock = c.perWorker
		p.score.waste = unbound - perWorker
		if best != nil && p.score.compare(best.score) >= 0 {
			continue
		}
		if s.tracker.PacksAfterBinding(c.shape, []int{w.index}) {
			best = p
		}
	}
	return best
}

// workersForCell returns as many unbound workers of the rack as the cell spans, the cheapest for the job first, or nil.
func (s *Scheduler) workersForCell(j *job, rack []*worker, c *cell, members, perWorker int) []*worker {
	var options []option
	for _, w := range rack {
		if !w.usable() || s.tracker.Unbound(w.index) < c.perWorker {
			continue
		}
		if o, ok := s.optionFor(j, w, perWorker, true); ok {
			options = append(options, o)
		}
	}
	if len(options) < max(c.members, members) {
		return nil
	}
	sortOptions(options)
	workers := make([]*worker, 0, c.members)
	for _, o := range options[:c.members] {
		workers = append(workers, o.worker)
	}
	return workers
}

// option is a worker on which a member could run, with the cost of that.
type option struct {
	worker  *worker
	victims []*job
	score   score
}

func sortOptions(options []option) {
	slices.SortStableFunc(options, func(a, b option) int { return a.score.compare(b.score) })
}

// optionFor returns the cost of running a member with perWorker accelerators on the worker, or false if that would stop a job that must not be preempted.
func (s *Scheduler) optionFor(j *job, w *worker, perWorker int, guaranteed bool, cellVictims ...*job) (option, bool) {
	o := option{worker: w}
	available := w.available()
	for _, v := range cellVictims {
		available += countOn(v, w)
		o.score.lost += s.lostWork(v)
	}
	o.victims = cellVictims
	o.score.victimCount = len(cellVictims)
	o.score.freeLeft = max(0, available-perWorker)
	o.score.idleInRack = s.idleWorkers[w.rack]
	if s.reservedForOther(w, j) {
		o.score.reserved = 1
	}
	if available >= perWorker {
		return o, true
	}
	victims, lost, ok := s.victims(j, w, perWorker-available, guaranteed)
	if !ok {
		return o, false
	}
	o.victims = slices.Concat(victims, cellVictims)
	o.score.lost += lost
	o.score.victimCount = len(o.victims)
	return o, true
}

// combine returns the placement on the cheapest options, or nil if there are too few; a victim on several workers counts once.
func (s *Scheduler) combine(options []option, members, perWorker int) *placement {
	if len(options) < members {
		return nil
	}
	sortOptions(options)
	p := &placement{perWorker: perWorker}
	seen := map[*job]bool{}
	for _, o := range options[:members] {
		p.workers = append(p.workers, o.worker)
		p.score.brokenBlock = max(p.score.brokenBlock, o.score.brokenBlock)
		p.score.reserved += o.score.reserved
		p.score.waste += o.score.waste
		p.score.freeLeft += o.score.freeLeft
		p.score.idleInRack += o.score.idleInRack
		for _, v := range o.victims {
			if !seen[v] {
				seen[v] = true
				p.victims = append(p.victims, v)
				p.score.lost += s.lostWork(v)
			}
		}
	}
	p.score.victimCount = len(p.victims)
	return p
}

// planLent returns the best placement on capacity that no job occupies, or nil.
func (s *Scheduler) planLent(j *job) *placement {
	members, perWorker := j.Shape.Members(s.workerSize)
	perWorker = max(1, perWorker)
	if members > 1 {
		return s.planLentGang(j, members, perWorker)
	}
	var best *placement
	for _, w := range s.workerList {
		if !w.usable() || !fits(w, j) || w.freeNow() < perWorker || s.avoids(j, w) {
			continue
		}
		reserved := s.reservedForOther(w, j)
		if reserved && !s.mayBackfill(j) {
			continue
		}
		p := &placement{workers: []*worker{w}, perWorker: perWorker}
		p.score.freeLeft = w.freeNow() - perWorker
		p.score.idleInRack = s.idleWorkers[w.rack]
		if reserved {
			p.score.reserved = 1
		}
		best = cheaper(best, p)
	}
	return best
}

func (s *Scheduler) planLentGang(j *job, members, perWorker int) *placement {
	var best *placement
	for r, rack := range s.byRack {
		if s.idleWorkers[r] < members {
			continue
		}
		p := &placement{perWorker: perWorker}
		for _, w := range rack {
			if len(p.workers) == members {
				break
			}
			if w.usable() && fits(w, j) && w.freeNow() >= perWorker && !s.reservedForOther(w, j) {
				p.workers = append(p.workers, w)
			}
		}
		if len(p.workers) == members {
			p.score.freeLeft = s.idleWorkers[r] - members
			best = cheaper(best, p)
		}
	}
	return best
}

// planUrgent returns the cheapest placement of an urgent job outside its organisation's cells, which may preempt lent jobs of later classes, or nil.
func (s *Scheduler) planUrgent(j *job) *placement {
	members, perWorker := j.Shape.Members(s.workerSize)
	if members > 1 {
		return nil
	}
	perWorker = max(1, perWorker)
	var options []option
	for _, w := range s.workerList {
		if w.usable() && fits(w, j) && !s.avoids(j, w) {
			if o, ok := s.optionFor(j, w, perWorker, false); ok {
				options = append(options, o)
			}
		}
	}
	return s.combine(options, members, perWorker)
}

// avoids reports whether the job failed on the worker or was refused there since it last ran, while enough other workers remain.
func (s *Scheduler) avoids(j *job, w *worker) bool {
	if j.failedOn[w.ID] && len(j.failedOn) < len(s.workerList) {
		return true
	}
	return j.refusedOn[w.ID] && len(j.refusedOn) <= len(s.workerList)/2
}

// planSpare returns the best placement on capacity that no guarantee needs, for a job that must not borrow, or nil.
func (s *Scheduler) planSpare(j *job) *placement {
	members, perWorker := j.Shape.Members(s.workerSize)
	if members > 1 || j.Shape.Accelerators == 0 {
		return nil
	}
	var best *placement
	for _, w := range s.workerList {
		if !w.usable() || w.freeNow() < perWorker || s.tracker.Unbound(w.index) < perWorker || s.reservedForOther(w, j) {
			continue
		}
		p := &placement{workers: []*worker{w}, perWorker: perWorker}
		p.score.waste = s.tracker.Unbound(w.index) - perWorker
		p.score.freeLeft = w.freeNow() - perWorker
		p.score.idleInRack = s.idleWorkers[w.rack]
		if best != nil && p.score.compare(best.score) >= 0 {
			continue
		}
		if s.tracker.PacksWithout([]int{w.index}, perWorker) {
			best = p
		}
	}
	return best
}

func workerIndexes(workers []*worker) []int {
	list := make([]int, 0, len(workers))
	for _, w := range workers {
		list = append(list, w.index)
	}
	return list
}

// commit applies a placement: the job claims its workers, the victims are stopped, and the job starts once its workers are clear.
func (s *Scheduler) commit(j *job, p *placement, kind allocation, reason, victimReason Reason) {
	s.queue.remove(j)
	if s.reservation != nil && s.reservation.job == j {
		s.reservation = nil
	}
	j.allocation = kind
	j.phase = phaseClaiming
	j.reason = reason
	j.members = j.members[:0]
	for _, w := range p.workers {
		j.members = append(j.members, member{worker: w, count: p.perWorker})
	}
	s.recordAllocation(j, p)
	for _, m := range j.members {
		m.worker.claimed += m.count
		m.worker.claims = append(m.worker.claims, j)
	}
	s.claims = append(s.claims, j)
	s.evict(p.victims, victimReason)
	s.startReadyClaims()
	if j.phase == phaseClaiming {
		s.setClaimReason(j, len(p.victims))
	}
}

func (s *Scheduler) setClaimReason(j *job, victims int) {
	j.reason = Reason{Rule: RuleWaitsForReclaim, Organisation: j.Organisation, Shape: j.Shape.String(), Count: victims}
}

func (s *Scheduler) recordAllocation(j *job, p *placement) {
	switch j.allocation {
	case allocationGuaranteed:
		if p.bind != nil {
			s.bind(p.cell, p.bind)
		}
		s.addToCell(j, p.cell)
	case allocationSpare:
		s.subtractJob(j, 1)
	case allocationNone, allocationLent:
	}
}

// startReadyClaims starts every job whose claimed workers are clear, the oldest claim first.
func (s *Scheduler) startReadyClaims() {
	for _, j := range slices.Clone(s.claims) {
		if j.phase == phaseClaiming && s.claimReady(j) {
			s.start(j)
		}
	}
}

// claimReady reports whether the free units cover the job's claim and the older ones on its workers.
func (s *Scheduler) claimReady(j *job) bool {
	return !slices.ContainsFunc(j.members, func(m member) bool {
		needed := 0
		for _, c := range m.worker.claims {
			needed += countOn(c, m.worker)
			if c == j {
				break
			}
		}
		return m.worker.free() < needed
	})
}

func countOn(j *job, w *worker) int {
	for _, m := range j.members {
		if m.worker == w {
			return m.count
		}
	}
	return 0
}

func (s *Scheduler) start(j *job) {
	s.removeClaim(j)
	for i := range j.members {
		m := &j.members[i]
		before := m.worker.occupied
		m.mask = m.worker.occupy(m.count)
		after := m.worker.occupied
		m.worker.occupied = before
		s.changeOccupied(m.worker, after)
		m.worker.jobs[j.ID] = j
	}
	j.phase = phaseStarting
	j.attempt++
	j.started = s.now
	j.checkpointedAt = time.Time{}
	j.reason = s.startReason(j)
	s.budget(j.Class).earn()
	s.emit(Started{
		Job:        j.Job,
		Attempt:    j.attempt,
		Members:    j.memberList(),
		Lent:       j.allocation == allocationLent,
		Checkpoint: j.checkpoint,
		Reason:     j.reason,
	})
}

func (s *Scheduler) startReason(j *job) Reason {
	rule := RuleLent
	switch {
	case j.members[0].worker.probeJob == j.ID:
		return Reason{Rule: RuleProbe, Worker: j.members[0].worker.ID}
	case j.allocation == allocationGuaranteed:
		rule = RuleGuaranteed
	case j.allocation == allocationSpare:
		rule = RuleSpare
	}
	return Reason{Rule: rule, Organisation: j.Organisation, Shape: j.Shape.String(), Worker: j.members[0].worker.ID}
}

// removeClaim removes the job's claims and keeps its allocation.
func (s *Scheduler) removeClaim(j *job) {
	for _, m := range j.members {
		m.worker.claimed -= m.count
		m.worker.claims = without(m.worker.claims, j)
	}
	s.claims = without(s.claims, j)
}

func without(list []*job, j *job) []*job {
	return slices.DeleteFunc(list, func(other *job) bool { return other == j })
}

// dropClaim releases the claims and the allocation of a job that has not started, if it has any.
func (s *Scheduler) dropClaim(j *job) {
	if j.phase != phaseClaiming {
		return
	}
	s.removeClaim(j)
	s.releaseAllocation(j)
	for _, m := range j.members {
		if m.worker.probeJob == j.ID {
			m.worker.probeJob = ""
		}
	}
	j.members = nil
	j.phase = phaseWaiting
	s.fullPass = true
}
