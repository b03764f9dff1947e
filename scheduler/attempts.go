package scheduler

import (
	"time"
)

const (
	// refusedDelay is the delay before a job whose start was refused is placed again.
	refusedDelay = 200 * time.Millisecond
	// firstRetryDelay and maxRetryDelay are the first and the greatest bound of the random delay before a retry.
	firstRetryDelay = 500 * time.Millisecond
	maxRetryDelay   = 30 * time.Second
	// maxFailedWorkers is the number of different workers on which a job may fail before the job itself is considered faulty.
	maxFailedWorkers = 3
)

func (s *Scheduler) confirmStart(e AttemptStarted) {
	j := s.attempt(e.ID, e.Attempt)
	if j == nil || j.phase != phaseStarting {
		return
	}
	j.phase = phaseRunning
	j.started = s.now
	clear(j.refusedOn)
	if limit := j.class.RunLimit(); limit > 0 {
		s.timers.set(s.now.Add(limit), j.ID, timerRunLimit)
	}
}

// requeueRefused requeues a job whose attempt certainly did not start.
func (s *Scheduler) requeueRefused(e AttemptRefused) {
	j := s.attempt(e.ID, e.Attempt)
	if j == nil || j.phase == phaseClaiming {
		return
	}
	s.clearProbe(j)
	if j.phase == phaseStopping && j.stop.Rule == RuleCancelled {
		s.end(j, OutcomeCancelled, NotRun, j.stop)
		return
	}
	if e.Worker != "" {
		j.refusedOn[e.Worker] = true
	}
	s.requeue(j, refusedDelay, Reason{Rule: RuleNotStarted, Worker: e.Worker})
}

func (s *Scheduler) saveCheckpoint(e AttemptCheckpointed) {
	j := s.attempt(e.ID, e.Attempt)
	if j == nil {
		return
	}
	j.checkpointedAt = s.now
	j.checkpoint = true
}

// finishStop ends or requeues a job whose attempt has stopped.
func (s *Scheduler) finishStop(e AttemptStopped) {
	j := s.attempt(e.ID, e.Attempt)
	if j == nil || j.phase == phaseClaiming {
		return
	}
	if j.phase != phaseStopping {
		j.stop = Reason{Rule: RuleMemberLost, Worker: j.members[0].worker.ID}
	}
	j.checkpoint = j.checkpoint || e.Checkpoint
	s.clearProbe(j)
	s.resolveStop(j)
}

func (s *Scheduler) resolveStop(j *job) {
	switch j.stop.Rule {
	case RuleCancelled:
		s.end(j, OutcomeCancelled, DidRun, j.stop)
	case RuleRunLimit, RuleMemoryStopped:
		s.end(j, OutcomeFailed, DidRun, j.stop)
	case RuleMemberLost:
		s.resolveLoss(j)
	default:
		s.resolveMove(j)
	}
}

// resolveMove requeues a job that was stopped to run elsewhere: from its checkpoint, or from the start if it is idempotent; else its outcome is unknown.
func (s *Scheduler) resolveMove(j *job) {
	if !j.class.Idempotent && !j.checkpoint {
		s.end(j, OutcomeUnknown, RanUnknown, Reason{Rule: RuleOutcomeUnknown, Worker: j.stop.Worker})
		return
	}
	j.moves++
	s.requeue(j, 0, j.stop)
}

// resolveLoss ends or requeues a job that has lost a worker and of which nothing runs any more.
func (s *Scheduler) resolveLoss(j *job) {
	if j.class.Idempotent || j.checkpoint {
		s.requeue(j, 0, j.stop)
		return
	}
	s.end(j, OutcomeUnknown, RanUnknown, Reason{Rule: RuleOutcomeUnknown, Worker: j.stop.Worker})
}

func (s *Scheduler) finish(e AttemptFinished) {
	j := s.attempt(e.ID, e.Attempt)
	if j == nil || j.phase == phaseClaiming {
		return
	}
	switch e.Outcome {
	case OutcomeSucceeded:
		s.succeed(j)
	case OutcomeFailed:
		s.fail(j, e.Worker)
	default:
		j.stop = Reason{Rule: RuleMemberLost, Worker: e.Worker}
		s.resolveLoss(j)
	}
}

func (s *Scheduler) succeed(j *job) {
	took := s.now.Sub(j.started)
	s.runTimes.observe(j.Class, took)
	for _, m := range j.members {
		s.recordSuccess(m.worker, j)
	}
	s.end(j, OutcomeSucceeded, DidRun, Reason{Rule: RuleFinished, Span: took})
}

// fail retries an idempotent job on another worker within the class's limit of retries, or ends it.
func (s *Scheduler) fail(j *job, workerID string) {
	j.failedOn[workerID] = true
	s.recordFailure(s.workers[workerID], j)
	s.clearProbe(j)
	failures := len(j.failedOn)
	switch {
	case j.phase == phaseStopping && j.stop.Rule == RuleCancelled:
		s.end(j, OutcomeCancelled, DidRun, j.stop)
	case failures >= maxFailedWorkers:
		s.discountFailures(j)
		s.end(j, OutcomeFailed, DidRun, Reason{Rule: RuleJobAtFault, Count: failures, Worker: workerID})
	case !j.class.Idempotent || failures > j.class.Limits.Retries:
		s.end(j, OutcomeFailed, DidRun, Reason{Rule: RuleFailed, Worker: workerID})
	default:
		delay := s.retryDelay(j, failures)
		s.requeue(j, delay, Reason{Rule: RuleRetried, Worker: workerID, Count: failures, Limit: j.class.Limits.Retries, Span: delay})
	}
}

// retryDelay returns a random delay below a bound that doubles with each failure, and is at its greatest once the class's retry budget is spent.
func (s *Scheduler) retryDelay(j *job, failures int) time.Duration {
	ceiling := min(firstRetryDelay<<(failures-1), maxRetryDelay)
	if !s.budget(j.Class).spend() {
		ceiling = maxRetryDelay
	}
	return time.Duration(float64(ceiling)*s.options.Random()) + time.Millisecond
}

// retryBudget allows a class one retry without the greatest delay for every ten starts, and saves up to ten of these.
type retryBudget struct{ tenths int }

const (
	maxRetryBudget = 100
	retryCost      = 10
)

func (s *Scheduler) budget(class string) *retryBudget {
	b := s.budgets[class]
	if b == nil {
		b = &retryBudget{tenths: maxRetryBudget}
		s.budgets[class] = b
	}
	return b
}

func (b *retryBudget) earn() { b.tenths = min(b.tenths+1, maxRetryBudget) }

func (b *retryBudget) spend() bool {
	if b.tenths < retryCost {
		return false
	}
	b.tenths -= retryCost
	return true
}
