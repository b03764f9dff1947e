package scheduler

import (
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the delay that a refused caller is asked to wait.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// submit admits the job or refuses it; a refused job leaves no state.
func (s *Scheduler) submit(e JobSubmitted) {
	if s.jobs[e.Job.ID] != nil {
		return
	}
	j := s.newJob(e.Job)
	if !e.Restored && !e.Recorded {
		if refusal, ok := s.refusal(j); ok {
			s.emit(refusal)
			return
		}
	}
	j.attempt = e.Attempt
	j.moves = e.Moves
	j.checkpoint = e.Checkpoint
	j.mayHaveRun = e.MayHaveRun
	s.jobs[j.ID] = j
	j.reason = s.waitingReason(j)
	if !j.Deadline.IsZero() {
		s.timers.set(j.Deadline, j.ID, timerDeadline)
	}
	s.enqueue(j)
	s.emit(Admitted{ID: j.ID, Reason: s.admissionReason(j, e.Restored)})
}

func (s *Scheduler) admissionReason(j *job, restored bool) Reason {
	if restored {
		return Reason{Rule: RuleRestored}
	}
	return Reason{
		Rule:         RuleAdmitted,
		Organisation: j.Organisation,
		Count:        s.queue.waiting[classKey{j.Organisation, j.Class}],
		Limit:        j.class.Limits.Queued,
	}
}

func (s *Scheduler) newJob(spec Job) *job {
	s.sequence++
	spec.Shape = spec.Shape.WithDefaults()
	j := &job{Job: spec, sequence: s.sequence, failedOn: map[string]bool{}, refusedOn: map[string]bool{}}
	class, rank, ok := s.document.Class(spec.Class)
	j.class = class
	j.rank = rank
	if !ok {
		j.rank = len(s.document.Classes) - 1
		j.class.Name = spec.Class
	}
	return j
}

// refusal returns why the job cannot be admitted, or false; it may end a queued job of a later class to admit this one.
func (s *Scheduler) refusal(j *job) (Refused, bool) {
	if refusal, ok := s.jobRefusal(j); ok {
		return refusal, true
	}
	if s.queue.total < s.options.MaxWaiting {
		return Refused{}, false
	}
	return s.shed(j)
}

// shed ends the youngest queued job of the last class, or refuses the job if no later class than its own has one.
func (s *Scheduler) shed(j *job) (Refused, bool) {
	reason := Reason{Rule: RuleShed, Count: s.queue.total, Limit: s.options.MaxWaiting}
	victim := s.queue.youngestAfter(j.rank)
	if victim == nil {
		return Refused{ID: j.ID, RetryAfter: s.retryAfter(j), Reason: reason}, true
	}
	s.end(victim, OutcomeRefused, ranBefore(victim), reason)
	return Refused{}, false
}

// permanentRefusal returns why the job can never run with the current document and workers, or false.
func (s *Scheduler) permanentRefusal(j *job) (Reason, bool) {
	if _, _, ok := s.document.Class(j.Class); !ok {
		return Reason{Rule: RuleUnknownClass}, true
	}
	if _, _, ok := s.document.Organisation(j.Organisation); !ok {
		return Reason{Rule: RuleUnknownOrganisation}, true
	}
	shape := j.Shape.String()
	if j.Shape.Validate(s.workerSize) != nil {
		return Reason{Rule: RuleImpossibleShape, Shape: shape}, true
	}
	if !s.everFits(j) {
		return Reason{Rule: RuleNeverFits, Shape: shape}, true
	}
	if share := s.largestShareMB(j); share > 0 && j.MemoryMB > share {
		return Reason{Rule: RuleTooMuchMemory, Count: j.MemoryMB, Limit: share}, true
	}
	return Reason{}, false
}

// everFits reports whether the known workers could hold the shape if they were idle.
func (s *Scheduler) everFits(j *job) bool {
	members, perWorker := j.Shape.Members(s.workerSize)
	perRack := map[int]int{}
	for _, w := range s.workerList {
		if fits(w, j) && w.capacity >= max(1, perWorker) {
			perRack[w.rack]++
			if perRack[w.rack] >= members {
				return true
			}
		}
	}
	return false
}

// largestShareMB returns the largest share of a worker's memory, in MB, that the job's accelerators entitle it to.
func (s *Scheduler) largestShareMB(j *job) int {
	_, perWorker := j.Shape.Members(s.workerSize)
	share := 0
	for _, w := range s.workerList {
		if fits(w, j) {
			share = max(share, shareMB(w, max(1, perWorker)))
		}
	}
	return share
}

func shareMB(w *worker, count int) int {
	if w.capacity == 0 {
		return 0
	}
	return w.MemoryMB * count / w.capacity
}

func (s *Scheduler) retryAfter(j *job) time.Duration {
	return min(max(s.runTimes.mean(j.Class, j.DeclaredRunTime), minRetryAfter), maxRetryAfter)
}

// fits reports whether the worker is of the kind that the job needs: with accelerators or without.
func fits(w *worker, j *job) bool {
	return (j.Shape.Accelerators == 0) == (w.Accelerators == 0)
}

// CheckAdmission returns the refusal that the job or its organisation's queue would cause now, or false if there is none.
func (s *Scheduler) CheckAdmission(now time.Time, spec Job) (Refused, bool) {
	s.now = now
	return s.jobRefusal(s.newJob(spec))
}

// jobRefusal returns a refusal because of the job itself or its organisation's limit of queued jobs, or false.
func (s *Scheduler) jobRefusal(j *job) (Refused, bool) {
	if reason, ok := s.permanentRefusal(j); ok {
		return Refused{ID: j.ID, Reason: reason}, true
	}
	waiting := s.queue.waiting[classKey{j.Organisation, j.Class}]
	if waiting < j.class.Limits.Queued {
		return Refused{}, false
	}
	after := s.retryAfter(j)
	reason := Reason{Rule: RuleQueueFull, Organisation: j.Organisation, Count: waiting, Limit: j.class.Limits.Queued, Span: after}
	return Refused{ID: j.ID, RetryAfter: after, Reason: reason}, true
}
