package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// maxMoves limits how often a job is stopped for gangs beyond their guarantee; stops for guarantees are not limited.
const maxMoves = 2

// reservation holds workers of one rack for the first waiting gang.
type reservation struct {
	job     *job
	workers map[int]bool
	// ready is the estimated time until the workers are clear.
	ready time.Duration
}

// reservedForOther reports whether the worker is reserved for another job.
func (s *Scheduler) reservedForOther(w *worker, j *job) bool {
	return s.reservation != nil && s.reservation.job != j && s.reservation.workers[w.index]
}

// mayBackfill reports whether the job may run on reserved workers: it is urgent, or expected to end before they are clear.
func (s *Scheduler) mayBackfill(j *job) bool {
	if j.class.Urgent() {
		return true
	}
	return s.runTimes.mean(j.Class, j.DeclaredRunTime) < s.reservation.ready
}

// reserve finds workers for a gang beyond its guarantee.
//
// It stops smaller lent jobs at once if that clears enough workers of a rack and loses
// no more accelerator-seconds than the gang has lost by waiting. Otherwise it reserves
// the workers that can be clear first.
func (s *Scheduler) reserve(j *job) bool {
	members, perWorker := j.Shape.Members(s.workerSize)
	best, ready := s.earliestRack(j, members, perWorker)
	if best == nil {
		return false
	}
	if ready == 0 {
		p := s.combine(best, members, perWorker)
		waited := s.now.Sub(j.Submitted)
		if p.score.lost <= waited.Seconds()*float64(j.accelerators()) {
			reason := Reason{Rule: RulePreemptedByGang, Job: j.ID, Organisation: j.Organisation, Shape: j.Shape.String(), Span: waited}
			s.commit(j, p, allocationLent, s.waitingReason(j), reason)
			return true
		}
	}
	s.reservation = &reservation{job: j, workers: map[int]bool{}, ready: ready}
	for _, o := range best {
		s.reservation.workers[o.worker.index] = true
	}
	j.reason = Reason{Rule: RuleReserved, Worker: best[0].worker.ID, Span: ready}
	return false
}

// earliestRack returns the workers of the rack that can be clear for the gang first, and the time until then.
func (s *Scheduler) earliestRack(j *job, members, perWorker int) ([]option, time.Duration) {
	var best []option
	var bestReady time.Duration
	var bestLost float64
	for _, rack := range s.byRack {
		options, ready, lost := s.earliestWorkers(j, rack, members, perWorker)
		if options == nil {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(ready, bestReady), cmp.Compare(lost, bestLost)) < 0 {
			best, bestReady, bestLost = options, ready, lost
		}
	}
	return best, bestReady
}

// earliestWorkers returns the workers of one rack that can be clear first, the time until the last of them is, and the work lost by stopping the preemptible jobs.
func (s *Scheduler) earliestWorkers(j *job, rack []*worker, members, perWorker int) ([]option, time.Duration, float64) {
	type candidate struct {
		option
		ready time.Duration
	}
	var candidates []candidate
	for _, w := range rack {
		if !w.usable() || !fits(w, j) || w.capacity < perWorker || w.claimed > 0 {
			continue
		}
		c := candidate{option: option{worker: w}}
		for _, v := range w.sortedJobs() {
			if s.preemptibleForGang(v, j) {
				c.victims = append(c.victims, v)
				c.score.lost += s.lostWork(v)
				continue
			}
			c.ready = max(c.ready, s.remaining(v))
		}
		candidates = append(candidates, c)
	}
	if len(candidates) < members {
		return nil, 0, 0
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.ready, b.ready), cmp.Compare(a.score.lost, b.score.lost))
	})
	var options []option
	var ready time.Duration
	var lost float64
	for _, c := range candidates[:members] {
		options = append(options, c.option)
		ready = max(ready, c.ready)
		lost += c.score.lost
	}
	return options, ready, lost
}

// remaining estimates the time until the job leaves its workers; it is never zero.
func (s *Scheduler) remaining(j *job) time.Duration {
	if j.phase == phaseStopping {
		return checkpointCost
	}
	return max(time.Second, s.runTimes.remaining(j, s.now))
}

// preemptibleForGang reports whether the running job may be stopped to clear workers for the gang.
func (s *Scheduler) preemptibleForGang(v, j *job) bool {
	if v.allocation != allocationLent || v.phase == phaseStopping || v.rank < j.rank || v.moves >= maxMoves {
		return false
	}
	return len(v.members) < j.memberCount(s.workerSize)
}

func (j *job) memberCount(workerSize int) int {
	members, _ := j.Shape.Members(workerSize)
	return members
}
