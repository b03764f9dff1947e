package scheduler

import (
	"cmp"
	"slices"

	"github.com/snipelift/snipelift/packer"
)

// guaranteeKey identifies a guarantee by its organisation and shape.
type guaranteeKey struct {
	organisation string
	shape        packer.Shape
}

// cellKey identifies a cell across changes of the document and the fleet.
type cellKey struct {
	organisation string
	shape        packer.Shape
	number       int
}

// rebind recomputes which cells are bound to which workers, after workers or the document changed.
//
// A cell stays bound while its workers are usable. A job whose cell is gone is moved
// into another cell of its organisation that can include the job's workers. If there is
// none, it continues on lent capacity if its class may borrow and can be stopped
// without loss, and on spare capacity otherwise.
func (s *Scheduler) rebind() {
	before := s.cells
	s.rebuildTracker()
	s.cells = map[string][]*cell{}
	kept := s.buildCells(before)
	jobsWithoutCell := s.jobsWithoutCell(kept)
	for _, j := range jobsWithoutCell {
		j.allocation = allocationSpare
		j.cell = nil
		s.subtractJob(j, 1)
	}
	for _, j := range jobsWithoutCell {
		s.moveIntoCell(j)
	}
	s.addCellDemand()
	s.reportBrokenGuarantees()
	s.fullPass = true
}

func (s *Scheduler) rebuildTracker() {
	s.tracker = packer.NewCapacityTracker(s.workerSize)
	for _, w := range s.workerList {
		if w.usable() {
			s.tracker.AddWorker(w.index, w.rack, w.Accelerators)
		}
	}
}

// buildCells creates the document's cells and keeps the bindings that are still valid.
func (s *Scheduler) buildCells(before map[string][]*cell) map[*cell]bool {
	old := map[cellKey]*cell{}
	for _, list := range before {
		for _, c := range list {
			old[keyOfCell(c)] = c
		}
	}
	kept := map[*cell]bool{}
	for _, o := range s.document.Organisations {
		numbers := map[packer.Shape]int{}
		for i, g := range o.Guarantees {
			for range g.Count {
				c := s.newCell(o.Name, g.Shape, i, numbers[g.Shape])
				numbers[g.Shape]++
				if previous := old[keyOfCell(c)]; previous != nil && s.canKeepBinding(previous, c) {
					s.transferBinding(previous, c)
					kept[c] = true
				}
				s.cells[o.Name] = append(s.cells[o.Name], c)
			}
		}
	}
	return kept
}

func keyOfCell(c *cell) cellKey {
	return cellKey{organisation: c.organisation, shape: c.shape, number: c.number}
}

func (s *Scheduler) newCell(organisation string, shape packer.Shape, guarantee, number int) *cell {
	members, perWorker := shape.Members(s.workerSize)
	return &cell{
		organisation: organisation,
		shape:        shape,
		guarantee:    guarantee,
		number:       number,
		members:      members,
		perWorker:    perWorker,
	}
}

func (s *Scheduler) canKeepBinding(previous, current *cell) bool {
	if !previous.bound() || previous.members != current.members || previous.perWorker != current.perWorker {
		return false
	}
	return !slices.ContainsFunc(previous.workers, func(w *worker) bool {
		return !w.usable() || s.workers[w.ID] != w
	})
}

func (s *Scheduler) transferBinding(previous, current *cell) {
	current.workers = previous.workers
	current.used = previous.used
	current.jobs = previous.jobs
	for _, j := range s.jobs {
		if j.cell == previous {
			j.cell = current
		}
	}
	s.subtractCell(current, 1)
}

// subtractCell subtracts the cell's accelerators from the unbound supply, or adds them with a sign of -1.
func (s *Scheduler) subtractCell(c *cell, sign int) {
	for _, w := range c.workers {
		if w.usable() {
			s.tracker.SetUnbound(w.index, s.tracker.Unbound(w.index)-sign*c.perWorker)
		}
	}
}

// jobsWithoutCell returns the jobs on spare capacity and those whose cell was not kept, the largest first.
func (s *Scheduler) jobsWithoutCell(kept map[*cell]bool) []*job {
	var list []*job
	for _, j := range s.jobs {
		if j.allocation == allocationSpare || (j.allocation == allocationGuaranteed && !kept[j.cell]) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		if c := cmp.Compare(b.accelerators(), a.accelerators()); c != 0 {
			return c
		}
		return byAge(a, b)
	})
	return list
}

// subtractJob subtracts the job's accelerators from the unbound supply, or adds them with a sign of -1.
func (s *Scheduler) subtractJob(j *job, sign int) {
	for _, m := range j.members {
		if m.worker.usable() && m.worker.Accelerators > 0 {
			s.tracker.SetUnbound(m.worker.index, s.tracker.Unbound(m.worker.index)-sign*m.count)
		}
	}
}

// moveIntoCell moves a job from spare capacity into a cell of its organisation that can include its workers, or else to lent capacity if its class allows that.
func (s *Scheduler) moveIntoCell(j *job) {
	s.subtractJob(j, -1)
	for _, c := range s.cellsFor(j) {
		if !c.bound() {
			workers := s.workersIncluding(j, c)
			if workers == nil {
				continue
			}
			s.bindWorkers(c, workers)
		}
		s.addToCell(j, c)
		return
	}
	if j.class.Reclaimable() && j.class.Borrows {
		j.allocation = allocationLent
		return
	}
	s.subtractJob(j, 1)
}

// cellsFor returns the organisation's cells that might include the job on its current workers: bound cells first, then the smallest.
func (s *Scheduler) cellsFor(j *job) []*cell {
	var list []*cell
	for _, c := range s.cells[j.Organisation] {
		if c.bound() && s.fitsInCell(c, j) {
			list = append(list, c)
		}
		if !c.bound() && c.perWorker*c.members >= j.Shape.Accelerators {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b *cell) int {
		if a.bound() != b.bound() {
			if a.bound() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.members*a.perWorker, b.members*b.perWorker)
	})
	return list
}

func (s *Scheduler) fitsInCell(c *cell, j *job) bool {
	return !slices.ContainsFunc(j.members, func(m member) bool {
		return !c.covers(m.worker) || c.unusedOn(m.worker) < m.count
	})
}

// workersIncluding returns unbound workers for the cell that include those of the job, or nil.
func (s *Scheduler) workersIncluding(j *job, c *cell) []*worker {
	var workers []*worker
	for _, m := range j.members {
		if !m.worker.usable() || s.tracker.Unbound(m.worker.index) < c.perWorker || c.perWorker < m.count {
			return nil
		}
		workers = append(workers, m.worker)
	}
	if len(workers) == 0 || len(workers) > c.members {
		return nil
	}
	for _, w := range s.byRack[workers[0].rack] {
		if len(workers) == c.members {
			break
		}
		if w.usable() && !slices.Contains(workers, w) && s.tracker.Unbound(w.index) >= c.perWorker {
			workers = append(workers, w)
		}
	}
	if len(workers) < c.members {
		return nil
	}
	return workers
}

// addCellDemand adds the demand of unbound cells in the document's order; a cell that does not fit together with those before it is broken.
func (s *Scheduler) addCellDemand() {
	for _, o := range s.document.Organisations {
		for _, c := range s.cells[o.Name] {
			if c.bound() {
				continue
			}
			s.tracker.AddDemand(c.shape, 1)
			c.broken = !s.tracker.Packs()
			if c.broken {
				s.tracker.AddDemand(c.shape, -1)
			}
		}
	}
}

// reportBrokenGuarantees reports each guarantee whose number of broken cells has changed.
func (s *Scheduler) reportBrokenGuarantees() {
	before := s.brokenCells
	s.brokenCells = map[guaranteeKey]int{}
	for _, o := range s.document.Organisations {
		for _, c := range s.cells[o.Name] {
			if c.broken {
				s.brokenCells[guaranteeKey{c.organisation, c.shape}]++
			}
		}
	}
	for _, o := range s.document.Organisations {
		for _, g := range o.Guarantees {
			key := guaranteeKey{o.Name, g.Shape}
			if s.brokenCells[key] != before[key] {
				s.reportGuarantee(key)
				before[key] = s.brokenCells[key]
			}
		}
	}
}

func (s *Scheduler) reportGuarantee(key guaranteeKey) {
	rule := RuleGuaranteeBroken
	if s.brokenCells[key] == 0 {
		rule = RuleGuaranteeRestored
	}
	s.emit(GuaranteeChanged{
		Organisation: key.organisation,
		Shape:        key.shape,
		Missing:      s.brokenCells[key],
		Reason:       Reason{Rule: rule, Organisation: key.organisation, Shape: key.shape.String(), Count: s.brokenCells[key]},
	})
}

// bind binds a cell from the demand to workers.
func (s *Scheduler) bind(c *cell, workers []*worker) {
	s.tracker.AddDemand(c.shape, -1)
	s.bindWorkers(c, workers)
}

func (s *Scheduler) bindWorkers(c *cell, workers []*worker) {
	c.workers = workers
	c.used = map[int]int{}
	s.subtractCell(c, 1)
}

// addToCell records the job's members as use of the bound cell.
func (s *Scheduler) addToCell(j *job, c *cell) {
	j.allocation = allocationGuaranteed
	j.cell = c
	c.jobs++
	for _, m := range j.members {
		c.used[m.worker.index] += m.count
	}
}

// releaseAllocation returns what the job uses of a cell or of spare capacity.
func (s *Scheduler) releaseAllocation(j *job) {
	switch j.allocation {
	case allocationGuaranteed:
		s.removeFromCell(j)
	case allocationSpare:
		s.subtractJob(j, -1)
	case allocationNone, allocationLent:
	}
	j.allocation = allocationNone
	j.cell = nil
}

func (s *Scheduler) removeFromCell(j *job) {
	c := j.cell
	c.jobs--
	for _, m := range j.members {
		c.used[m.worker.index] -= m.count
	}
	if c.jobs > 0 {
		return
	}
	s.subtractCell(c, -1)
	c.workers = nil
	c.used = nil
	s.tracker.AddDemand(c.shape, 1)
}
