package director

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// maxPollWait is how long a worker may delay its response to a poll until a run ends.
	maxPollWait = 1200 * time.Millisecond
	// recordTimeout bounds the wait for ended runs to be recorded before the worker is polled again.
	recordTimeout = 250 * time.Millisecond
	// maxAcknowledgeAge is the time since the last answer of a worker up to which a poll acknowledges ended runs. The next incarnation numbers its ends anew, so that
	// it would forget them unseen; in this time it cannot have started, run tasks and ended them.
	maxAcknowledgeAge = 50 * time.Millisecond
	// pollRetryDelay is the time between two attempts to poll a worker.
	pollRetryDelay = 250 * time.Millisecond
)

// session is the owner's connection to one incarnation of a worker.
type session struct {
	term   *term
	worker arranger.Worker
	// ctx ends with the session.
	ctx            context.Context //nolint:containedctx // Orders to the worker end with the session as well.
	cancel         context.CancelFunc
	recordedSignal chan struct{}
	// fence is the fencing token of all requests of the session.
	fence int64
	// successor means that an earlier incarnation under the same ID had a session, whose requests may still arrive here until this one has responded.
	successor bool

	// The fields below are guarded by the term's mutex.

	// workerClock is the worker's clock in its latest response, which arrived at respondedAt.
	workerClock time.Duration
	respondedAt time.Duration
	responded   bool
	// leasesExpire is the local time at which all leases of the worker, those of earlier owners included, have expired for certain. It is
	// known from the beginning of the session.
	leasesExpire time.Duration
	// lastEnded is the number of the last ended run that the worker has reported, lastRecorded that of the last one in the store.
	lastEnded, lastRecorded int64
	// acknowledged is the number of the last one that the worker has forgotten.
	acknowledged int64
	// unrecordedEnds are the ended runs after lastRecorded, in the order of their numbers.
	unrecordedEnds []unrecordedEnd
	// listed is true while the platform's list of workers contains the worker.
	listed bool
	// drained means that the worker is draining, runs nothing and will get no tasks, so that the next owner need not poll it.
	drained  bool
	failures int
	// grantedAt is when the latest lease was granted.
	grantedAt time.Duration
	// leaseEnd is the reading of the store's clock at which all leases of a silent worker have expired, as it is recorded or about to be; 0 for one that responds.
	leaseEnd time.Duration
}

// unrecordedEnd is a reported end of a run that is in the store once the change of its job is.
type unrecordedEnd struct {
	number int64
	job    string
	change uint64
}

// openSession starts a session with a worker unless there is one with this incarnation; the caller holds the term's mutex.
func (t *term) openSession(info arranger.Worker) {
	if s := t.sessions[info.ID]; s != nil {
		s.worker.Draining = info.Draining
		s.setDrained(s.drained && info.Draining)
		if s.worker.Incarnation == info.Incarnation || info.Incarnation == 0 || s.worker.Incarnation == 0 {
			return
		}
		t.replaceSession(s, info, "worker restarted")
		return
	}
	t.startSession(info)
}

// startSession starts a session with a worker that has none; the caller holds the term's mutex.
func (t *term) startSession(info arranger.Worker) *session {
	s := &session{term: t, worker: info, recordedSignal: make(chan struct{}, 1), listed: true, leasesExpire: t.inheritedExpiry}
	t.beginLife(s)
	t.sessions[info.ID] = s
	ctx, cancel := context.WithCancel(t.baseCtx)
	s.ctx, s.cancel = ctx, cancel
	t.spawn(func() { s.run(ctx) })
	t.markWorkerDirty(info.ID)
	return s
}

// replaceSession starts a session with the next incarnation of a worker in place of the present one; the caller holds the term's mutex.
func (t *term) replaceSession(s *session, next arranger.Worker, reason string) {
	if !t.endSession(s, reason) {
		return
	}
	t.arranger.WorkerRestarted(time.Now(), next, reason, t.wasSent)
	successor := t.startSession(next)
	successor.listed = s.listed
	if t.arranger.ExpectsReport(next.ID) {
		t.arranger.ExpectReport(next.ID, time.Now().Add(successor.leasesExpire-t.now()))
	}
}

// closeSession ends the session with an incarnation of a worker on which nothing runs any more, and removes the worker from the arranger by the given function; the caller holds the term's mutex.
func (t *term) closeSession(s *session, reason string, remove func(id, reason string)) {
	if t.endSession(s, reason) {
		remove(s.worker.ID, reason)
	}
}

// endSession ends a session, with all orders that are being sent, and returns false if it had ended before; the caller holds the term's mutex.
func (t *term) endSession(s *session, reason string) bool {
	if t.sessions[s.worker.ID] != s {
		return false
	}
	delete(t.sessions, s.worker.ID)
	t.Logger.Info("worker lost", "worker", s.worker.ID, "born", s.worker.Incarnation, "fence", s.fence, "reason", reason)
	s.cancel()
	t.markWorkerDirty(s.worker.ID)
	if s.leaseEnd != 0 {
		t.uncleared[s.worker.ID] = true
	}
	t.requestPlan()
	return true
}

// removeReplaced removes a worker at whose address another one responds from the arranger; the caller holds the term's mutex.
func (t *term) removeReplaced(id, reason string) {
	t.arranger.WorkerReplaced(time.Now(), id, reason)
}

// removeSilent removes a worker whose leases have expired from the arranger; the caller holds the term's mutex.
func (t *term) removeSilent(id, reason string) { t.arranger.RemoveWorker(time.Now(), id, reason) }

// estimateClock estimates the worker's clock; the estimate may be ahead, since that clock may run slower than the local one.
func (s *session) estimateClock() time.Duration { return s.workerClock + s.term.now() - s.respondedAt }

// extendLease returns the end of a lease granted now, on the worker's clock.
func (s *session) extendLease() time.Duration {
	until := s.estimateClock() + s.term.grantDuration()
	s.leasesExpire = max(s.leasesExpire, s.respondedAt+time.Duration(float64(until-s.workerClock)*clockDriftFactor)+leaseExpiryMargin)
	s.grantedAt = s.term.now()
	return until
}

// leaseExpired reports whether the worker need not be kept: all leases have expired for certain, and it has responded or succeeds an incarnation
// whose runs wait for its first report.
func (s *session) leaseExpired() bool {
	return (s.responded || s.successor) && s.term.now() >= s.leasesExpire
}

// restoreLeaseEnd applies the recorded end of the worker's leases, by the store's clock, which shows storeTime now.
func (s *session) restoreLeaseEnd(leaseEnd, storeTime time.Duration) {
	s.leaseEnd = leaseEnd
	if leaseEnd != 0 && storeTime != 0 {
		s.leasesExpire = min(s.leasesExpire, s.term.now()+leaseEnd-storeTime)
	}
}

// silent reports whether the worker has not answered the latest poll, so that its lease is not renewed before it answers.
func (s *session) silent() bool { return s.failures > 0 }

// mayGrant reports whether a lease may be granted: not while the store may hold the end of the latest one for the next owner; the caller holds the term's mutex.
func (s *session) mayGrant() bool {
	return s.leaseEnd == 0 && !s.term.uncleared[s.worker.ID]
}

// run polls the worker, which renews its lease, and handles its reports until the session ends.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		request, ok := s.nextPoll()
		if !ok {
			sleeper.Sleep(ctx, pollRetryDelay)
			continue
		}
		requestedAt := time.Now()
		pollCtx, cancel := s.untilExpiry(ctx)
		report, err := s.term.Workers.Poll(pollCtx, s.worker.ID, s.worker.Address, request)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.handleFailure(err)
			sleepCtx, cancel := s.untilExpiry(ctx)
			sleeper.Sleep(sleepCtx, pollRetryDelay)
			cancel()
			continue
		}
		if s.handleReport(requestedAt, request.Acknowledged, report) {
			s.awaitRecorded(ctx)
		}
	}
}

// untilExpiry returns a context that ends when the leases of a worker that does not answer have expired, so that it is given up then.
func (s *session) untilExpiry(ctx context.Context) (context.Context, context.CancelFunc) {
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	if left := s.leasesExpire - s.term.now(); s.failures > 0 && left > 0 {
		return context.WithTimeout(ctx, left)
	}
	return context.WithCancel(ctx)
}

// nextPoll returns the next poll request, or false while the owner may not send requests.
func (s *session) nextPoll() (platform.PollRequest, bool) {
	if !s.term.maySendRequests() {
		return platform.PollRequest{}, false
	}
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	request := platform.PollRequest{Fence: s.fence}
	if !s.responded || s.silent() {
		return request, true
	}
	if s.lastRecorded > s.acknowledged && s.term.now()-s.respondedAt <= maxAcknowledgeAge {
		request.Acknowledged = s.lastRecorded
	}
	if s.mayGrant() {
		request.LeaseUntil = s.extendLease()
	}
	if s.lastEnded == max(s.acknowledged, request.Acknowledged) {
		request.Wait = maxPollWait
	}
	return request, true
}

// handleReport applies a report and returns whether it lists ended runs that are not recorded yet.
func (s *session) handleReport(requestedAt time.Time, acknowledged int64, received platform.WorkerReport) bool {
	t := s.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.worker.ID] != s {
		return false
	}
	if s.worker.Incarnation != 0 && received.Incarnation != 0 && received.Incarnation != s.worker.Incarnation {
		t.replaceSession(s, t.nextIncarnation(s, received.Incarnation), "another incarnation responded")
		return false
	}
	if _, known := t.arranger.Worker(s.worker.ID); !known {
		// The worker must keep the ended runs, since nothing records them here.
		t.Logger.Error("report from a worker that is not part of the fleet", "worker", s.worker.ID, "ends", len(received.Ended))
		return false
	}
	if received.Incarnation != 0 {
		s.worker.Incarnation = received.Incarnation
		t.lives[s.worker.ID] = life{received.Incarnation, s.fence}
	}
	if !s.responded {
		// Requests of earlier owners and sessions are rejected from now on.
		s.leasesExpire = min(s.leasesExpire, t.now()+t.longestLease())
	}
	if s.failures > 0 {
		t.Logger.Info("worker reachable again", "worker", s.worker.ID, "failures", s.failures)
	}
	s.workerClock, s.respondedAt, s.responded, s.failures = received.Clock, t.now(), true, 0
	s.acknowledged = max(s.acknowledged, acknowledged)
	s.clearLeaseEnd()
	report := arranger.Report{Worker: s.worker.ID, RequestedAt: requestedAt, EndsOmitted: received.EndsOmitted}
	for _, r := range received.Running {
		report.Running = append(report.Running, arranger.RunReport{Task: r.Task, Run: r.Run, Checkpoint: r.Checkpoint, Percent: r.Percent})
	}
	known := len(s.unrecordedEnds)
	for _, e := range received.Ended {
		if e.Number > s.lastEnded {
			s.lastEnded = e.Number
			job, _, _ := strings.Cut(e.Task, ".")
			s.unrecordedEnds = append(s.unrecordedEnds, unrecordedEnd{number: e.Number, job: job})
		}
		report.Ended = append(report.Ended, arranger.EndReport{Number: e.Number, Task: e.Task, Run: e.Run, Outcome: runOutcome(e.Outcome), Checkpoint: e.Checkpoint})
	}
	t.arranger.HandleReport(time.Now(), report)
	if known < len(s.unrecordedEnds) {
		change := t.writer.markJobsDirty(t.arranger.TakeDirtyJobs())
		for i := range s.unrecordedEnds[known:] {
			s.unrecordedEnds[known+i].change = change
		}
		t.writer.signal()
	}
	s.setDrained(s.worker.Draining && len(received.Running) == 0 && !received.EndsOmitted && s.lastRecorded == s.lastEnded && !t.arranger.Occupied(s.worker.ID))
	if t.arranger.NeedsPlan() {
		t.requestPlan()
	}
	return s.lastRecorded < s.lastEnded
}

// clearLeaseEnd schedules the removal of the recorded end of the worker's leases; the caller holds the term's mutex.
func (s *session) clearLeaseEnd() {
	if s.leaseEnd == 0 {
		return
	}
	s.term.Logger.Info("worker heard again, removing the recorded end of its leases", "worker", s.worker.ID, "leaseEnd", s.leaseEnd.String())
	s.leaseEnd = 0
	s.term.uncleared[s.worker.ID] = true
	s.term.markWorkerDirty(s.worker.ID)
}

// setDrained sets whether the worker is drained, and records the change for the next owner; the caller holds the term's mutex.
func (s *session) setDrained(drained bool) {
	if s.drained == drained {
		return
	}
	s.drained = drained
	s.term.Logger.Info("drained state of worker changed", "worker", s.worker.ID, "vacant", drained)
	s.term.markWorkerDirty(s.worker.ID)
}

// runOutcome converts a run's outcome as reported by the worker to that of the arranger.
func runOutcome(outcome platform.RunOutcome) arranger.Outcome {
	switch outcome {
	case platform.EndedDone:
		return arranger.EndedDone
	case platform.EndedFailed:
		return arranger.EndedFailed
	default:
		return arranger.EndedInterrupted
	}
}

// updateRecorded advances lastRecorded through the ended runs that the store holds, which the worker may forget; the caller holds the term's mutex.
func (s *session) updateRecorded() {
	if len(s.unrecordedEnds) == 0 {
		return
	}
	recorded := 0
	for _, end := range s.unrecordedEnds {
		if !s.term.writer.isRecorded(end.job, end.change) {
			break
		}
		s.lastRecorded = end.number
		recorded++
	}
	if s.unrecordedEnds = s.unrecordedEnds[recorded:]; len(s.unrecordedEnds) > 0 {
		return
	}
	s.unrecordedEnds = nil
	select {
	case s.recordedSignal <- struct{}{}:
	default:
	}
}

// awaitRecorded waits until the reported ended runs are recorded, for recordTimeout at most.
func (s *session) awaitRecorded(ctx context.Context) {
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-s.recordedSignal:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// handleFailure handles a failed poll: it ends the term if the worker has seen a later epoch, and closes the session if the worker was restarted or its leases have expired.
func (s *session) handleFailure(err error) {
	t := s.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.worker.ID] != s {
		return
	}
	s.failures++
	switch {
	case errors.Is(err, platform.ErrFenced):
		t.Logger.Warn("request rejected by a worker that has seen a later epoch", "worker", s.worker.ID, "fence", s.fence)
		t.cancel()
	case errors.Is(err, platform.ErrInstanceMismatch):
		t.closeSession(s, "another worker at its address", t.removeReplaced)
	case s.leaseExpired():
		t.closeSession(s, "its leases have expired", t.removeSilent)
	default:
		if s.failures == 1 {
			t.Logger.Warn("worker does not respond", "worker", s.worker.ID, "error", err.Error())
		}
		t.arranger.SetReachable(time.Now(), s.worker.ID, false)
	}
}
