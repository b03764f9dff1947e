package scheduler

import (
	"cmp"
	"slices"

	"github.com/snipelift/snipelift/packer"
)

// guaranteeKey names one line of an organisation's guarantees.
type guaranteeKey struct {
	organisation string
	shape        packer.Shape
}

// cellKey names one guaranteed cell across changes of the document and the fleet.
type cellKey struct {
	organisation string
	shape        packer.Shape
	number       int
}

// rebind works out anew which cells are bound where, after workers or the document changed.
//
// A cell stays where it is while its workers are usable. Jobs whose cell is gone
// find another cell of their organisation at their place, or go on as lent work if
// they can be stopped, or keep their place as spare work if they cannot.
func (s *Scheduler) rebind() {
	before := s.cells
	s.rebuildLedger()
	s.cells = map[string][]*cell{}
	kept := s.layCells(before)
	orphans := s.orphans(kept)
	for _, j := range orphans {
		j.room = roomSpare
		j.cell = nil
		s.takeSpare(j, 1)
	}
	for _, j := range orphans {
		s.adoptIntoCell(j)
	}
	s.demandCells()
	s.announceMissing()
	s.fullPass = true
}

func (s *Scheduler) rebuildLedger() {
	s.ledger = packer.NewCapacityTracker(s.workerSize)
	for _, w := range s.workerList {
		if w.usable() {
			s.ledger.AddWorker(w.index, w.rack, w.Accelerators)
		}
	}
}

// layCells creates the cells of the document and keeps those bindings that still hold.
func (s *Scheduler) layCells(before map[string][]*cell) map[*cell]bool {
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
				if was := old[keyOfCell(c)]; was != nil && s.canKeep(was, c) {
					s.moveBinding(was, c)
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
	members, each := shape.Members(s.workerSize)
	return &cell{
		organisation: organisation,
		shape:        shape,
		guarantee:    guarantee,
		number:       number,
		members:      members,
		each:         each,
	}
}

func (s *Scheduler) canKeep(was, now *cell) bool {
	if !was.bound() || was.members != now.members || was.each != now.each {
		return false
	}
	return !slices.ContainsFunc(was.workers, func(w *worker) bool {
		return !w.usable() || s.workers[w.ID] != w
	})
}

func (s *Scheduler) moveBinding(was, now *cell) {
	now.workers = was.workers
	now.used = was.used
	now.jobs = was.jobs
	for _, j := range s.jobs {
		if j.cell == was {
			j.cell = now
		}
	}
	s.shrink(now, 1)
}

// shrink takes the cell's workers out of the unbound supply, or gives them back with a factor of -1.
func (s *Scheduler) shrink(c *cell, factor int) {
	for _, w := range c.workers {
		if w.usable() {
			s.ledger.SetUnbound(w.index, s.ledger.Unbound(w.index)-factor*c.each)
		}
	}
}

// orphans returns the jobs that hold accelerators on their own account but in no kept cell, the largest first.
func (s *Scheduler) orphans(kept map[*cell]bool) []*job {
	var list []*job
	for _, j := range s.jobs {
		if j.room == roomSpare || (j.room == roomGuaranteed && !kept[j.cell]) {
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

// takeSpare takes the job's accelerators out of the unbound supply, or gives them back with a factor of -1.
func (s *Scheduler) takeSpare(j *job, factor int) {
	for _, m := range j.members {
		if m.worker.usable() && m.worker.Accelerators > 0 {
			s.ledger.SetUnbound(m.worker.index, s.ledger.Unbound(m.worker.index)-factor*m.count)
		}
	}
}

// adoptIntoCell moves a job with spare room into a cell of its organisation around it, if there is one.
func (s *Scheduler) adoptIntoCell(j *job) {
	s.takeSpare(j, -1)
	for _, c := range s.cellsAround(j) {
		if !c.bound() {
			workers := s.workersAround(j, c)
			if workers == nil {
				continue
			}
			s.bindWorkers(c, workers)
		}
		s.enterCell(j, c)
		return
	}
	if j.class.Reclaimable() && j.class.Borrows {
		j.room = roomLent
		return
	}
	s.takeSpare(j, 1)
}

// cellsAround returns the organisation's cells that could hold the job where it is: bound ones first, then the smallest.
func (s *Scheduler) cellsAround(j *job) []*cell {
	var list []*cell
	for _, c := range s.cells[j.Organisation] {
		if c.bound() && s.holds(c, j) {
			list = append(list, c)
		}
		if !c.bound() && c.each*c.members >= j.Shape.Accelerators {
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
		return cmp.Compare(a.members*a.each, b.members*b.each)
	})
	return list
}

func (s *Scheduler) holds(c *cell, j *job) bool {
	return !slices.ContainsFunc(j.members, func(m member) bool {
		return !c.covers(m.worker) || c.spareOn(m.worker) < m.count
	})
}

// workersAround returns unbound workers for the cell that include the job's own, or nil.
func (s *Scheduler) workersAround(j *job, c *cell) []*worker {
	var workers []*worker
	for _, m := range j.members {
		if !m.worker.usable() || s.ledger.Unbound(m.worker.index) < c.each || c.each < m.count {
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
		if w.usable() && !slices.Contains(workers, w) && s.ledger.Unbound(w.index) >= c.each {
			workers = append(workers, w)
		}
	}
	if len(workers) < c.members {
		return nil
	}
	return workers
}

// demandCells adds the unbound cells in the document's order; a cell that does not pack beside those before it is broken.
func (s *Scheduler) demandCells() {
	for _, o := range s.document.Organisations {
		for _, c := range s.cells[o.Name] {
			if c.bound() {
				continue
			}
			s.ledger.AddDemand(c.shape, 1)
			c.broken = !s.ledger.Packs()
			if c.broken {
				s.ledger.AddDemand(c.shape, -1)
			}
		}
	}
}

// announceMissing says by name which guarantees no longer pack, and which do again.
func (s *Scheduler) announceMissing() {
	before := s.missing
	s.missing = map[guaranteeKey]int{}
	for _, o := range s.document.Organisations {
		for _, c := range s.cells[o.Name] {
			if c.broken {
				s.missing[guaranteeKey{c.organisation, c.shape}]++
			}
		}
	}
	for _, o := range s.document.Organisations {
		for _, g := range o.Guarantees {
			key := guaranteeKey{o.Name, g.Shape}
			if s.missing[key] != before[key] {
				s.announce(key)
				before[key] = s.missing[key]
			}
		}
	}
}

func (s *Scheduler) announce(key guaranteeKey) {
	rule := RuleGuaranteeBroken
	if s.missing[key] == 0 {
		rule = RuleGuaranteeRestored
	}
	s.emit(GuaranteeChanged{
		Organisation: key.organisation,
		Shape:        key.shape,
		Missing:      s.missing[key],
		Reason:       Reason{Rule: rule, Organisation: key.organisation, Shape: key.shape.String(), Count: s.missing[key]},
	})
}

// bind puts a demanded cell on workers.
func (s *Scheduler) bind(c *cell, workers []*worker) {
	s.ledger.AddDemand(c.shape, -1)
	s.bindWorkers(c, workers)
}

func (s *Scheduler) bindWorkers(c *cell, workers []*worker) {
	c.workers = workers
	c.used = map[int]int{}
	s.shrink(c, 1)
}

// enterCell accounts for the job's members inside the bound cell.
func (s *Scheduler) enterCell(j *job, c *cell) {
	j.room = roomGuaranteed
	j.cell = c
	c.jobs++
	for _, m := range j.members {
		c.used[m.worker.index] += m.count
	}
}

// leaveRoom gives back what the job holds of a cell or of the spare supply.
func (s *Scheduler) leaveRoom(j *job) {
	switch j.room {
	case roomGuaranteed:
		s.leaveCell(j)
	case roomSpare:
		s.takeSpare(j, -1)
	case roomNone, roomLent:
	}
	j.room = roomNone
	j.cell = nil
}

func (s *Scheduler) leaveCell(j *job) {
	c := j.cell
	c.jobs--
	for _, m := range j.members {
		c.used[m.worker.index] -= m.count
	}
	if c.jobs > 0 {
		return
	}
	s.shrink(c, -1)
	c.workers = nil
	c.used = nil
	s.ledger.AddDemand(c.shape, 1)
}
