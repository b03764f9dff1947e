package scheduler

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/snipelift/snipelift/packer"
)

// ErrInvariant is wrapped by every error about a broken invariant.
var ErrInvariant = errors.New("invariant broken")

func (s *Scheduler) assertInvariants(event Event) {
	if err := s.Check(); err != nil {
		panic(fmt.Sprintf("after %T%+v: %v", event, event, err))
	}
}

// Check checks all invariants from scratch and returns an error that wraps ErrInvariant for the first broken one.
func (s *Scheduler) Check() error {
	checks := []func() error{
		s.checkWorkers,
		s.checkJobs,
		s.checkCells,
		s.checkPacking,
		s.checkReasons,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return fmt.Errorf("%w: %w", ErrInvariant, err)
		}
	}
	return nil
}

// checkWorkers checks that no accelerator has two jobs and that the counts of each worker agree with its jobs.
func (s *Scheduler) checkWorkers() error {
	for _, w := range s.workerList {
		var seen uint64
		vacating, claimed := 0, 0
		for _, j := range w.jobs {
			for _, m := range j.members {
				if m.worker != w {
					continue
				}
				if seen&m.mask != 0 {
					return fmt.Errorf("accelerators %b of %s have two jobs", seen&m.mask, w.ID)
				}
				if bits.OnesCount64(m.mask) != m.count {
					return fmt.Errorf("job %s has %d accelerators on %s instead of %d", j.ID, bits.OnesCount64(m.mask), w.ID, m.count)
				}
				seen |= m.mask
				if j.phase == phaseStopping {
					vacating += m.count
				}
			}
		}
		for _, j := range w.claims {
			claimed += countOn(j, w)
		}
		if seen != w.occupied || vacating != w.vacating || claimed != w.claimed {
			return fmt.Errorf("worker %s: occupied %b vacating %d claimed %d, but its jobs make %b %d %d", w.ID, w.occupied, w.vacating, w.claimed, seen, vacating, claimed)
		}
		if w.available() < 0 {
			return fmt.Errorf("claims on worker %s exceed its available capacity by %d", w.ID, -w.available())
		}
	}
	return nil
}

// checkJobs checks that each job has all its members or none, and that every waiting job is in the queue.
func (s *Scheduler) checkJobs() error {
	queued := 0
	for id, j := range s.jobs {
		members, perWorker := j.Shape.Members(s.workerSize)
		held := 0
		for _, m := range j.members {
			held += m.count
		}
		switch j.phase {
		case phaseWaiting:
			if held != 0 {
				return fmt.Errorf("job %s waits and holds %d accelerators", id, held)
			}
			if j.notBefore.IsZero() {
				queued++
			}
		case phaseClaiming, phaseStarting, phaseRunning:
			if j.phase != phaseRunning && (len(j.members) != members || held != members*max(1, perWorker)) {
				return fmt.Errorf("job %s has %d accelerators on %d workers instead of %d on %d", id, held, len(j.members), members*perWorker, members)
			}
			if held != max(1, j.Shape.Accelerators) {
				return fmt.Errorf("job %s runs on %d of %d accelerators", id, held, j.Shape.Accelerators)
			}
		case phaseStopping:
		}
		if j.allocation == allocationLent && !j.class.Reclaimable() && j.phase != phaseStopping {
			return fmt.Errorf("job %s of class %s is on lent capacity but cannot be reclaimed", id, j.Class)
		}
	}
	if queued != s.queue.total {
		return fmt.Errorf("%d jobs are in the queue, %d should be", s.queue.total, queued)
	}
	return nil
}

// checkCells checks that guaranteed jobs run inside cells of their organisation.
func (s *Scheduler) checkCells() error {
	used := map[*cell]map[int]int{}
	for _, j := range s.jobs {
		if j.allocation != allocationGuaranteed {
			continue
		}
		if j.cell == nil || j.cell.organisation != j.Organisation {
			return fmt.Errorf("job %s of %s is in a cell of another organisation", j.ID, j.Organisation)
		}
		if used[j.cell] == nil {
			used[j.cell] = map[int]int{}
		}
		for _, m := range j.members {
			if !j.cell.covers(m.worker) {
				return fmt.Errorf("job %s is on %s, outside of its cell", j.ID, m.worker.ID)
			}
			used[j.cell][m.worker.index] += m.count
		}
	}
	for _, list := range s.cells {
		for _, c := range list {
			if c.bound() != (used[c] != nil) {
				return fmt.Errorf("cell %d of %s is bound without a job in it, or the other way round", c.number, c.organisation)
			}
			for _, w := range c.workers {
				if used[c][w.index] > c.perWorker {
					return fmt.Errorf("cell %d of %s holds more than its %d accelerators on %s", c.number, c.organisation, c.perWorker, w.ID)
				}
			}
		}
	}
	return nil
}

// checkPacking checks that the guaranteed cells that are not in use fit the capacity that is free or can be reclaimed.
func (s *Scheduler) checkPacking() error {
	tracker := packer.NewCapacityTracker(s.workerSize)
	unboundOf := map[*worker]int{}
	for _, w := range s.workerList {
		if w.usable() {
			unboundOf[w] = w.Accelerators
		}
	}
	for _, list := range s.cells {
		for _, c := range list {
			for _, w := range c.workers {
				unboundOf[w] -= c.perWorker
			}
			if !c.bound() && !c.broken {
				tracker.AddDemand(c.shape, 1)
			}
		}
	}
	for _, j := range s.jobs {
		for _, m := range j.members {
			if j.allocation == allocationSpare && m.worker.usable() && m.worker.Accelerators > 0 {
				unboundOf[m.worker] -= m.count
			}
		}
	}
	for w, unbound := range unboundOf {
		if unbound < 0 {
			return fmt.Errorf("bindings on worker %s exceed its capacity by %d accelerators", w.ID, -unbound)
		}
		if unbound != s.tracker.Unbound(w.index) {
			return fmt.Errorf("the tracker has %d unbound accelerators on %s, there are %d", s.tracker.Unbound(w.index), w.ID, unbound)
		}
		tracker.AddWorker(w.index, w.rack, unbound)
	}
	if !tracker.Packs() {
		return errors.New("the guaranteed cells that are not in use do not fit the free and lent capacity")
	}
	return nil
}

// checkReasons checks that every decision has a reason with a known rule.
func (s *Scheduler) checkReasons() error {
	for _, d := range s.decisions {
		if _, ok := sentences[d.Why().Rule]; !ok {
			return fmt.Errorf("decision %T has no reason: %+v", d, d)
		}
	}
	return nil
}
