package director

import (
	"context"
	"errors"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// holdWait is how long a worker may wait for an end before it answers.
	holdWait = 1200 * time.Millisecond
	// recordWait bounds the wait for ends to be recorded before the worker is asked again.
	recordWait = 250 * time.Millisecond
	// holdRetry is the time between tries to reach a worker.
	holdRetry = 250 * time.Millisecond
	// renewTries is the number of unanswered tries after which a lease is no longer renewed, so that it surely lapses.
	renewTries = 2
)

// session is the owner's contact with one life of a worker.
type session struct {
	term    *term
	worker  arranger.Worker
	cancel  context.CancelFunc
	changed chan struct{}

	// The fields below are guarded by the term's lock.

	// clock is the worker's clock at the time of the latest answer, at.
	clock time.Duration
	at    time.Duration
	heard bool
	// leaseUntil is the latest lease that was sent, on the worker's clock.
	leaseUntil time.Duration
	// ends are the ends that the worker has listed, recorded those that the store knows.
	ends, recorded int64
	count          uint64
	// listed tells that the platform's list names the worker.
	listed bool
	// vacant tells that the worker leaves, runs nothing and will be given nothing, so that no successor has to ask it.
	vacant   bool
	failures int
}

// openSession begins to lead a worker, if it is not led already; the term's lock is held.
func (t *term) openSession(info arranger.Worker) {
	if s := t.sessions[info.ID]; s != nil {
		s.worker.Draining = info.Draining
		s.setVacant(s.vacant && info.Draining)
		if s.worker.Incarnation == info.Incarnation || info.Incarnation == 0 || s.worker.Incarnation == 0 {
			return
		}
		t.closeSession(s, "worker restarted")
	}
	s := &session{term: t, worker: info, changed: make(chan struct{}, 1), listed: true}
	t.sessions[info.ID] = s
	t.spawn(func() { s.lead(t.context(s)) })
	t.recordWorker(info.ID)
}

// context returns the context of a session, which ends with the term's.
func (t *term) context(s *session) context.Context {
	ctx, cancel := context.WithCancel(t.base)
	s.cancel = cancel
	return ctx
}

// closeSession ends the contact with a life of a worker on which nothing runs any more.
func (t *term) closeSession(s *session, reason string) {
	if t.sessions[s.worker.ID] != s {
		return
	}
	delete(t.sessions, s.worker.ID)
	t.arranger.RemoveWorker(s.worker.ID, reason)
	t.Logger.Info("worker lost", "worker", s.worker.ID, "born", s.worker.Incarnation, "reason", reason)
	s.cancel()
	t.recordWorker(s.worker.ID)
	t.wake()
}

// clockNow estimates the worker's clock; it may run slower than ours, so that the estimate may be ahead.
func (s *session) clockNow() time.Duration { return s.clock + s.term.now() - s.at }

// nextLease returns the end of a lease given now, on the worker's clock.
func (s *session) nextLease() time.Duration {
	until := s.clockNow() + min(workerLease, s.term.Bounds.MaxLease)
	s.leaseUntil = max(s.leaseUntil, until)
	return until
}

// lapsed reports whether all leases given to the worker have surely run out.
func (s *session) lapsed() bool {
	if !s.heard {
		return false
	}
	left := time.Duration(float64(s.leaseUntil-s.clock)*clockTolerance) + lapseSlack
	return s.term.now()-s.at >= left
}

// lead holds the worker's leases and takes in its reports until the session ends.
func (s *session) lead(ctx context.Context) {
	for ctx.Err() == nil {
		order, ok := s.nextHold()
		if !ok {
			sleeper.Sleep(ctx, holdRetry)
			continue
		}
		asked := time.Now()
		held, err := s.term.Workers.Poll(ctx, s.worker.ID, s.worker.Address, order)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.takeFailure(err)
			sleeper.Sleep(ctx, holdRetry)
			continue
		}
		if s.takeReport(asked, held) {
			s.awaitRecorded(ctx)
		}
	}
}

// nextHold returns the next order, or false while the owner may not give any.
func (s *session) nextHold() (platform.PollRequest, bool) {
	if !s.term.mayAct() {
		return platform.PollRequest{}, false
	}
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	o := platform.PollRequest{Fence: s.term.lease.Epoch, Acknowledged: s.recorded}
	if !s.heard {
		return o, true
	}
	if s.failures < renewTries {
		o.LeaseUntil = s.nextLease()
	}
	if s.failures == 0 && s.recorded == s.ends {
		o.Wait = holdWait
	}
	return o, true
}

// takeReport takes in a report and tells whether it lists ends that are not recorded yet.
func (s *session) takeReport(asked time.Time, held platform.WorkerReport) bool {
	t := s.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.worker.ID] != s {
		return false
	}
	if s.worker.Incarnation != 0 && held.Incarnation != 0 && held.Incarnation != s.worker.Incarnation {
		t.closeSession(s, "another life answers")
		return false
	}
	if _, known := t.arranger.Worker(s.worker.ID); !known {
		// Ends that nobody takes in must not be forgotten by the worker.
		t.Logger.Error("report of a worker that is not part of the fleet", "worker", s.worker.ID, "ends", len(held.Ended))
		return false
	}
	if held.Incarnation != 0 {
		s.worker.Incarnation = held.Incarnation
	}
	if s.failures > 0 {
		t.Logger.Info("worker answers again", "worker", s.worker.ID, "failures", s.failures)
	}
	s.clock, s.at, s.heard, s.failures = held.Clock, t.now(), true, 0
	report := arranger.Report{Worker: s.worker.ID, RequestedAt: asked}
	for _, r := range held.Running {
		report.Running = append(report.Running, arranger.RunReport{Task: r.Task, Run: r.Run, Checkpoint: r.Checkpoint, Percent: r.Percent})
	}
	news := false
	for _, e := range held.Ended {
		if e.Number > s.ends {
			s.ends = e.Number
			news = true
		}
		report.Ended = append(report.Ended, arranger.EndReport{Number: e.Number, Task: e.Task, Run: e.Run, Outcome: howOf(e.Outcome), Checkpoint: e.Checkpoint})
	}
	t.arranger.HandleReport(time.Now(), report)
	if news {
		s.count = t.writer.change(t.arranger.TakeDirtyJobs())
		t.writer.signal()
	}
	s.setVacant(s.worker.Draining && len(held.Running) == 0 && s.recorded == s.ends && !t.arranger.Occupied(s.worker.ID))
	if t.arranger.NeedsPlan() {
		t.wake()
	}
	return s.recorded < s.ends
}

// setVacant notes whether a successor has to ask the worker; the term's lock is held.
func (s *session) setVacant(vacant bool) {
	if s.vacant == vacant {
		return
	}
	s.vacant = vacant
	s.term.Logger.Info("worker is leaving", "worker", s.worker.ID, "vacant", vacant)
	s.term.recordWorker(s.worker.ID)
}

func howOf(how platform.RunOutcome) arranger.Outcome {
	switch how {
	case platform.EndedDone:
		return arranger.EndedDone
	case platform.EndedFailed:
		return arranger.EndedFailed
	default:
		return arranger.EndedInterrupted
	}
}

// noticeRecorded moves the number up to which the worker may forget ends; the term's lock is held.
func (s *session) noticeRecorded() {
	if s.recorded < s.ends && s.term.writer.isRecorded(s.count) {
		s.recorded = s.ends
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

func (s *session) awaitRecorded(ctx context.Context) {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-s.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// takeFailure takes in that the worker gave no report.
func (s *session) takeFailure(err error) {
	t := s.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.worker.ID] != s {
		return
	}
	s.failures++
	switch {
	case errors.Is(err, platform.ErrFenced):
		t.Logger.Warn("fenced off by a worker", "worker", s.worker.ID, "epoch", t.lease.Epoch)
		t.cancel()
	case errors.Is(err, platform.ErrInstanceMismatch):
		t.closeSession(s, "another worker at its address")
	case s.lapsed():
		t.closeSession(s, "its leases have lapsed")
	default:
		if s.failures == 1 {
			t.Logger.Warn("worker does not answer", "worker", s.worker.ID, "error", err.Error())
		}
		t.arranger.SetReachable(s.worker.ID, false)
	}
}
