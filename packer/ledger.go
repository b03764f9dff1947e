package packer

import "maps"

// levels is the number of block sizes: a shape has at most 2^15 accelerators on a worker and 2^15 workers in a rack.
const levels = 16

// CapacityTracker counts, for every block size, the disjoint blocks that the fleet supplies and those that the shapes demand.
//
// All block sizes are powers of two, so a large block replaces a whole number of
// smaller ones wherever it is placed. Comparing supply and demand at each size is
// therefore an exact test of whether all shapes fit; no search is needed.
//
// An accelerator is bound if the caller has assigned it; only unbound ones count as supply.
type CapacityTracker struct {
	workerSize           int
	unboundByWorker      map[int]int
	rackByWorker         map[int]int
	unboundWorkersByRack map[int]int
	workerSupply         [levels]int
	rackSupply           [levels]int
	workerDemand         [levels]int
	rackDemand           [levels]int
}

// NewCapacityTracker returns a tracker without workers or demand, for workers of at most workerSize accelerators.
func NewCapacityTracker(workerSize int) *CapacityTracker {
	return &CapacityTracker{
		workerSize:           workerSize,
		unboundByWorker:      map[int]int{},
		rackByWorker:         map[int]int{},
		unboundWorkersByRack: map[int]int{},
	}
}

// Clone returns an independent copy.
func (t *CapacityTracker) Clone() *CapacityTracker {
	c := *t
	c.unboundByWorker = maps.Clone(t.unboundByWorker)
	c.rackByWorker = maps.Clone(t.rackByWorker)
	c.unboundWorkersByRack = maps.Clone(t.unboundWorkersByRack)
	return &c
}

// Unbound returns how many accelerators of the worker are not bound.
func (t *CapacityTracker) Unbound(worker int) int { return t.unboundByWorker[worker] }

// UnboundWorkers returns how many workers of full size in the rack have no bound accelerator.
func (t *CapacityTracker) UnboundWorkers(rack int) int { return t.unboundWorkersByRack[rack] }

// AddWorker adds a worker in the rack with the given number of unbound accelerators.
func (t *CapacityTracker) AddWorker(worker, rack, unbound int) {
	t.rackByWorker[worker] = rack
	t.SetUnbound(worker, unbound)
}

// RemoveWorker removes the worker and its accelerators from the supply.
func (t *CapacityTracker) RemoveWorker(worker int) {
	t.SetUnbound(worker, 0)
	delete(t.unboundByWorker, worker)
	delete(t.rackByWorker, worker)
}

// SetUnbound sets how many accelerators of the worker are not bound.
func (t *CapacityTracker) SetUnbound(worker, unbound int) {
	before := t.unboundByWorker[worker]
	t.unboundByWorker[worker] = unbound
	for k := 0; k < levels && 1<<k <= t.workerSize; k++ {
		t.workerSupply[k] += unbound>>k - before>>k
	}
	wasUnbound := before >= t.workerSize && t.workerSize > 0
	isUnbound := unbound >= t.workerSize && t.workerSize > 0
	if wasUnbound != isUnbound {
		t.changeUnboundWorkers(t.rackByWorker[worker], isUnbound)
	}
}

func (t *CapacityTracker) changeUnboundWorkers(rack int, added bool) {
	before := t.unboundWorkersByRack[rack]
	after := before - 1
	if added {
		after = before + 1
	}
	t.unboundWorkersByRack[rack] = after
	for k := range levels {
		t.rackSupply[k] += after>>k - before>>k
	}
}

// AddDemand adds the demand of count times the shape; a negative count removes it.
func (t *CapacityTracker) AddDemand(s Shape, count int) {
	members, perWorker := s.Members(t.workerSize)
	if s.Within == WithinRack {
		for k := 0; k <= log2(members); k++ {
			t.rackDemand[k] += count * (members >> k)
		}
	}
	for k := 0; k < levels && 1<<k <= perWorker; k++ {
		t.workerDemand[k] += count * members * (perWorker >> k)
	}
}

// Packs reports whether all demanded shapes fit the supply at once without overlap.
func (t *CapacityTracker) Packs() bool {
	for k := range levels {
		if t.workerDemand[k] > t.workerSupply[k] {
			return false
		}
		if t.rackDemand[k] > t.rackSupply[k] {
			return false
		}
	}
	return true
}

// PacksAfterBinding reports whether the rest of the demand packs once one demanded instance of the shape is bound to the given workers.
func (t *CapacityTracker) PacksAfterBinding(s Shape, workers []int) bool {
	_, perWorker := s.Members(t.workerSize)
	t.AddDemand(s, -1)
	t.subtract(workers, perWorker)
	packs := t.Packs()
	t.subtract(workers, -perWorker)
	t.AddDemand(s, 1)
	return packs
}

// PacksWithout reports whether the demand still packs when perWorker accelerators of each given worker are used for something else.
func (t *CapacityTracker) PacksWithout(workers []int, perWorker int) bool {
	t.subtract(workers, perWorker)
	packs := t.Packs()
	t.subtract(workers, -perWorker)
	return packs
}

func (t *CapacityTracker) subtract(workers []int, perWorker int) {
	for _, w := range workers {
		t.SetUnbound(w, t.unboundByWorker[w]-perWorker)
	}
}
