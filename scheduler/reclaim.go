package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// checkpointCost is the work lost by stopping a job at a checkpoint and starting it again.
const checkpointCost = 5 * time.Second

// lostWork returns the accelerator-seconds that stopping the job throws away.
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

// mayMove reports whether the job on the worker may be stopped in favour of the other.
func mayMove(victim, j *job, guaranteed bool) bool {
	if victim.room != roomLent || victim.phase == phaseStopping || victim == j {
		return false
	}
	return guaranteed || victim.rank > j.rank
}

// victims returns the jobs whose stop frees at least need units of the worker at the least lost work, or false.
func (s *Scheduler) victims(j *job, w *worker, need int, guaranteed bool) ([]*job, float64, bool) {
	var candidates []*job
	for _, v := range w.sortedJobs() {
		if mayMove(v, j, guaranteed) {
			candidates = append(candidates, v)
		}
	}
	for _, v := range w.claims {
		if mayMove(v, j, guaranteed) {
			candidates = append(candidates, v)
		}
	}
	return s.cheapest(candidates, w, need)
}

// cheapest takes candidates by lost work for each accelerator freed, then leaves out those that turn out not to help.
func (s *Scheduler) cheapest(candidates []*job, w *worker, need int) ([]*job, float64, bool) {
	price := func(v *job) float64 { return s.lostWork(v) / float64(countOn(v, w)) }
	slices.SortStableFunc(candidates, func(a, b *job) int {
		return cmp.Or(cmp.Compare(price(a), price(b)), byAge(b, a))
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

// evict stops the jobs, or takes back their claims, for the given reason.
func (s *Scheduler) evict(victims []*job, reason Reason) {
	for _, v := range victims {
		if v.phase == phaseClaiming {
			s.dropClaim(v)
			s.requeue(v, 0, reason)
			continue
		}
		s.stop(v, reason, v.class.Checkpointable)
	}
}
