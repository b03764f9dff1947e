package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipelift/snipelift/packer"
)

// checkpointCost is the run time lost by stopping a job at a checkpoint and starting it again.
const checkpointCost = 5 * time.Second

// lostWork returns the accelerator-seconds that stopping the job loses.
func (s *Scheduler) lostWork(j *job) float64 {
	if j.phase == phaseClaiming {
		return 0
	}
	lost := checkpointCost
	if !j.class.Checkpointable {
		lost += s.now.Sub(j.started)
	}
	return lost.Seconds() * float64(j.accelerators())
}

// mayPreempt reports whether the victim may be stopped for the job: guaranteed jobs preempt any lent job, others only those of later classes.
func mayPreempt(victim, j *job, guaranteed bool) bool {
	if victim.allocation != allocationLent || victim.phase == phaseStopping || victim == j {
		return false
	}
	return guaranteed || victim.rank > j.rank
}

// victims returns jobs whose stop frees at least need units of the worker at a low cost, and the work lost, or false.
func (s *Scheduler) victims(j *job, w *worker, need int, guaranteed bool) ([]*job, float64, bool) {
	var candidates []*job
	for _, v := range w.sortedJobs() {
		if mayPreempt(v, j, guaranteed) {
			candidates = append(candidates, v)
		}
	}
	for _, v := range w.claims {
		if mayPreempt(v, j, guaranteed) {
			candidates = append(candidates, v)
		}
	}
	return s.cheapestVictims(candidates, w, need)
}

// victimsInCell returns jobs of the same organisation that yield to the job in their cell, or false if they free too little.
//
// Later classes yield to earlier ones, and jobs on one worker yield to gangs. Otherwise
// small jobs that were placed in a large cell would keep out the gangs it is meant for.
func (s *Scheduler) victimsInCell(j *job, c *cell, w *worker, need int) ([]*job, bool) {
	if need <= 0 {
		return nil, true
	}
	var candidates []*job
	for _, v := range w.sortedJobs() {
		if v.cell == c && yieldsTo(v, j) {
			candidates = append(candidates, v)
		}
	}
	victims, _, ok := s.cheapestVictims(candidates, w, need)
	return victims, ok
}

func yieldsTo(v, j *job) bool {
	if !v.class.Reclaimable() || v.phase == phaseStopping {
		return false
	}
	smaller := v.Shape.Within == packer.WithinWorker && j.Shape.Within == packer.WithinRack
	return v.rank > j.rank || (v.rank == j.rank && smaller)
}

// cheapestVictims selects candidates by the work lost for each unit freed, then drops those that turn out to be unnecessary.
func (s *Scheduler) cheapestVictims(candidates []*job, w *worker, need int) ([]*job, float64, bool) {
	cost := func(v *job) float64 { return s.lostWork(v) / float64(countOn(v, w)) }
	slices.SortStableFunc(candidates, func(a, b *job) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), byAge(b, a))
	})
	freed := 0
	var chosen []*job
	for _, v := range candidates {
		if freed >= need {
			break
		}
		chosen = append(chosen, v)
		freed += countOn(v, w)
	}
	if freed < need {
		return nil, 0, false
	}
	kept := chosen[:0]
	lost := 0.0
	for _, v := range slices.Clone(chosen) {
		if freed-countOn(v, w) >= need {
			freed -= countOn(v, w)
			continue
		}
		kept = append(kept, v)
		lost += s.lostWork(v)
	}
	return kept, lost, true
}

// evict stops the victims, or drops their claims if they have not started.
func (s *Scheduler) evict(victims []*job, reason Reason) {
	for _, v := range victims {
		if v.phase == phaseClaiming {
			s.dropClaim(v)
			s.requeue(v, 0, reason)
			continue
		}
		if v.allocation == allocationGuaranteed {
			s.releaseAllocation(v)
			v.allocation = allocationLent
		}
		s.stop(v, reason, v.class.Checkpointable)
	}
}
