package packer

import "maps"

// levels bounds a shape to 2^15 accelerators in a worker and 2^15 workers in a rack.
const levels = 16

// CapacityTracker keeps, for every size of cell, how many disjoint cells the fleet offers and how many are demanded.
//
// Sizes are powers of two, so a larger cell always displaces a whole number of
// smaller ones wherever it is put. Comparing the two sums at each size is
// therefore an exact answer to the packing question; no search is needed.
type CapacityTracker struct {
	unit         int
	residuals    map[int]int
	racks        map[int]int
	wholes       map[int]int
	workerSupply [levels]int
	rackSupply   [levels]int
	workerDemand [levels]int
	rackDemand   [levels]int
}

// NewCapacityTracker returns an empty ledger for workers of at most unit accelerators.
func NewCapacityTracker(unit int) *CapacityTracker {
	return &CapacityTracker{
		unit:      unit,
		residuals: map[int]int{},
		racks:     map[int]int{},
		wholes:    map[int]int{},
	}
}

// Clone returns an independent copy.
func (l *CapacityTracker) Clone() *CapacityTracker {
	c := *l
	c.residuals = maps.Clone(l.residuals)
	c.racks = maps.Clone(l.racks)
	c.wholes = maps.Clone(l.wholes)
	return &c
}

// Unbound returns how many accelerators of the worker are not bound.
func (l *CapacityTracker) Unbound(worker int) int { return l.residuals[worker] }

// UnboundWorkers returns how many workers of the rack have no bound accelerator.
func (l *CapacityTracker) UnboundWorkers(rack int) int { return l.wholes[rack] }

// AddWorker adds a worker of the rack with residual unbound accelerators.
func (l *CapacityTracker) AddWorker(worker, rack, residual int) {
	l.racks[worker] = rack
	l.SetUnbound(worker, residual)
}

// RemoveWorker takes the worker's accelerators out of the supply.
func (l *CapacityTracker) RemoveWorker(worker int) {
	l.SetUnbound(worker, 0)
	delete(l.residuals, worker)
	delete(l.racks, worker)
}

// SetUnbound changes how many accelerators of the worker are not bound.
func (l *CapacityTracker) SetUnbound(worker, residual int) {
	before := l.residuals[worker]
	l.residuals[worker] = residual
	for k := 0; k < levels && 1<<k <= l.unit; k++ {
		l.workerSupply[k] += residual>>k - before>>k
	}
	wasWhole := before >= l.unit && l.unit > 0
	isWhole := residual >= l.unit && l.unit > 0
	if wasWhole != isWhole {
		l.changeWholes(l.racks[worker], isWhole)
	}
}

func (l *CapacityTracker) changeWholes(rack int, more bool) {
	before := l.wholes[rack]
	after := before - 1
	if more {
		after = before + 1
	}
	l.wholes[rack] = after
	for k := range levels {
		l.rackSupply[k] += after>>k - before>>k
	}
}

// AddDemand adds count cells of the shape; a negative count takes them away.
func (l *CapacityTracker) AddDemand(s Shape, count int) {
	members, each := s.Members(l.unit)
	if s.Within == WithinRack {
		for k := 0; k <= log2(members); k++ {
			l.rackDemand[k] += count * (members >> k)
		}
	}
	for k := 0; k < levels && 1<<k <= each; k++ {
		l.workerDemand[k] += count * members * (each >> k)
	}
}

// Packs reports whether all demanded cells fit the supply at once, disjointly.
func (l *CapacityTracker) Packs() bool {
	for k := range levels {
		if l.workerDemand[k] > l.workerSupply[k] {
			return false
		}
		if l.rackDemand[k] > l.rackSupply[k] {
			return false
		}
	}
	return true
}

// PacksAfterBinding reports whether the demand still packs once one demanded cell is bound to the given workers.
func (l *CapacityTracker) PacksAfterBinding(s Shape, workers []int) bool {
	_, each := s.Members(l.unit)
	l.AddDemand(s, -1)
	l.take(workers, each)
	packs := l.Packs()
	l.take(workers, -each)
	l.AddDemand(s, 1)
	return packs
}

// PacksWithout reports whether the demand still packs once each accelerators of the given workers are taken for other use.
func (l *CapacityTracker) PacksWithout(workers []int, each int) bool {
	l.take(workers, each)
	packs := l.Packs()
	l.take(workers, -each)
	return packs
}

func (l *CapacityTracker) take(workers []int, each int) {
	for _, w := range workers {
		l.SetUnbound(w, l.residuals[w]-each)
	}
}
