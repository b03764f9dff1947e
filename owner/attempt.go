package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/storer"
)

// commandRetryInterval is the time between attempts to send a command that a worker has not answered.
const commandRetryInterval = 500 * time.Millisecond

// startAttempt dispatches an attempt in the background: it records the attempt if the job must not run twice, reserves all members, then starts them.
func (o *Owner) startAttempt(now time.Time, d scheduler.Started) {
	t := o.jobs[d.Job.ID]
	if t == nil {
		return
	}
	t.attempt = newAttempt(d.Attempt, d.Members)
	t.record.Attempt = d.Attempt
	t.record.Members = d.Members
	t.record.Incarnations = o.incarnationsOf(d.Members)
	t.record.Checkpoint = d.Checkpoint
	t.startedAt = now
	o.logAttempt("dispatching attempt", d)
	dispatch := &dispatch{
		owner:    o,
		decision: d,
		record:   t.record,
		version:  t.version,
		traits:   t.traits(o.scheduler),
	}
	o.spawn(func(ctx context.Context) { dispatch.run(ctx) })
}

// incarnationsOf returns the last known incarnations of the members' workers.
func (o *Owner) incarnationsOf(members []scheduler.Member) map[string]string {
	incarnations := map[string]string{}
	for _, m := range members {
		if w := o.watches[m.Worker]; w != nil {
			incarnations[m.Worker] = w.response.Worker.Incarnation
		}
	}
	return incarnations
}

func (o *Owner) logAttempt(message string, d scheduler.Started) {
	o.options.Logger.Info(message,
		"job", d.Job.ID,
		"attempt", d.Attempt,
		"organisation", d.Job.Organisation,
		"epoch", o.options.Epoch,
		"workers", len(d.Members),
		"why", d.Reason.Sentence(),
	)
}

// dispatch sends one attempt to its workers; it runs outside the event loop and keeps copies of the job's state.
type dispatch struct {
	owner    *Owner
	decision scheduler.Started
	record   recorder.OpenJob
	version  int64
	traits   classTraits
}

func (d *dispatch) attempt() dispatcher.Attempt {
	return dispatcher.Attempt{Job: d.decision.Job.ID, Number: d.decision.Attempt}
}

// run dispatches the attempt, or reports it as refused if a step before the start fails.
func (d *dispatch) run(ctx context.Context) {
	ctx, end := d.owner.options.Tracer.span(ctx, "owner.dispatch", d.decision.Job.ID, d.record.Traceparent)
	defer end()
	if !d.owner.options.MayHoldLease() {
		d.owner.options.OnSuperseded()
		d.reportRefused("")
		return
	}
	if !d.traits.idempotent && !d.recordAttempt(ctx) {
		d.reportRefused("")
		return
	}
	if worker, ok := d.reserveAll(ctx); !ok {
		d.releaseReservations(ctx)
		d.reportRefused(worker)
		return
	}
	d.startAll(ctx)
}

// recordAttempt records the attempt and its workers; an attempt that must not run twice is sent only if this succeeds.
func (d *dispatch) recordAttempt(ctx context.Context) bool {
	err := d.owner.writer.write(ctx, []storer.Change{
		{Key: recorder.OpenKey(d.record.Job.ID), Expect: d.version, Value: recorder.Encode(d.record)},
	})
	if err == nil {
		d.owner.post(func() { d.owner.attemptRecorded(d.record.Job.ID, d.version+1) })
		return true
	}
	if errors.Is(err, storer.ErrOutcomeUnknown) || errors.Is(err, storer.ErrConflict) {
		d.owner.refreshVersion(ctx, d.record.Job.ID)
	}
	return false
}

// attemptRecorded lets the workers forget earlier attempts, since the open row now supersedes what they remember.
func (o *Owner) attemptRecorded(id string, version int64) {
	o.setVersion(id, version)
	if t := o.jobs[id]; t != nil {
		o.forgetRetired(id, t)
	}
}

func (o *Owner) setVersion(id string, version int64) {
	if t := o.jobs[id]; t != nil {
		t.version = version
	}
}

// refreshVersion rereads the version of an open row after a conflict or a write of unknown outcome.
func (o *Owner) refreshVersion(ctx context.Context, id string) {
	row, err := o.options.Table.Read(ctx, recorder.OpenKey(id))
	if err == nil {
		o.post(func() { o.setVersion(id, row.Version) })
	}
}

// reportRefused tells the scheduler that no member has started or can still start; worker is the one that did not accept, if any.
func (d *dispatch) reportRefused(worker string) {
	d.owner.post(func() {
		d.owner.apply(scheduler.AttemptRefused{ID: d.decision.Job.ID, Attempt: d.decision.Attempt, Worker: worker})
	})
}

// reserveAll reserves all members in parallel; if a worker does not accept, it returns the first such worker and false.
func (d *dispatch) reserveAll(ctx context.Context) (string, bool) {
	failed := make([]string, len(d.decision.Members))
	d.forEachMember(func(i int, m scheduler.Member) {
		ctx, end := d.owner.options.Tracer.child(ctx, "worker.reserve", m.Worker)
		defer end()
		address := d.owner.addressOf(m.Worker)
		status, err := d.owner.options.Workers.Reserve(ctx, address, d.reservation(i, m))
		d.owner.checkEpoch(err)
		d.owner.suspect(m.Worker, err)
		if err != nil || status.State.Final() {
			failed[i] = m.Worker
		}
	})
	for _, worker := range failed {
		if worker != "" {
			return worker, false
		}
	}
	return "", true
}

func (d *dispatch) reservation(i int, m scheduler.Member) dispatcher.ReserveRequest {
	return dispatcher.ReserveRequest{
		Epoch:         d.owner.options.Epoch,
		Attempt:       d.attempt(),
		ExpireSeconds: int(dispatcher.ReservationExpiry.Seconds()),
		Task: dispatcher.Task{
			Spec:         d.decision.Job,
			Member:       i,
			Members:      len(d.decision.Members),
			Accelerators: m.Accelerators,
			Lent:         d.decision.Lent,
			Resume:       d.decision.Checkpoint,
			Payload:      d.record.Payload,
			Traceparent:  d.record.Traceparent,
		},
	}
}

// forEachMember runs f for all members in parallel and waits.
func (d *dispatch) forEachMember(f func(i int, m scheduler.Member)) {
	var group sync.WaitGroup
	for i, m := range d.decision.Members {
		group.Go(func() { f(i, m) })
	}
	group.Wait()
}

// releaseReservations cancels the reservations once; those on unreachable workers expire, since no start was sent.
func (d *dispatch) releaseReservations(ctx context.Context) {
	d.forEachMember(func(_ int, m scheduler.Member) {
		_, err := d.owner.options.Workers.Stop(ctx, d.owner.addressOf(m.Worker), dispatcher.StopRequest{
			Epoch:   d.owner.options.Epoch,
			Attempt: d.attempt(),
		})
		if err != nil {
			d.owner.options.Logger.Debug("cannot release reservation", "job", d.decision.Job.ID, "worker", m.Worker, "error", err)
		}
	})
}

// startAll starts all members, retrying the idempotent start command until each worker has answered or its member has ended or is lost.
func (d *dispatch) startAll(ctx context.Context) {
	d.forEachMember(func(_ int, m scheduler.Member) {
		ctx, end := d.owner.options.Tracer.child(ctx, "worker.start", m.Worker)
		defer end()
		d.owner.retryCommand(ctx, d.attempt(), m.Worker, func(address string) (dispatcher.Status, error) {
			return d.owner.options.Workers.Start(ctx, address, dispatcher.StartRequest{
				Epoch:   d.owner.options.Epoch,
				Attempt: d.attempt(),
			})
		})
	})
}

// retryCommand calls send until the worker returns a status, which it passes to the event loop; it stops when the member has ended or is lost.
func (o *Owner) retryCommand(ctx context.Context, a dispatcher.Attempt, worker string, send func(address string) (dispatcher.Status, error)) {
	for ctx.Err() == nil && o.memberActive(ctx, a, worker) {
		status, err := send(o.addressOf(worker))
		o.checkEpoch(err)
		if err == nil {
			o.post(func() { o.handleStatus(worker, status) })
			return
		}
		sleeper.Sleep(ctx, commandRetryInterval)
	}
}

// memberActive reports whether the attempt is the current one and the worker's member of it has neither ended nor been lost.
func (o *Owner) memberActive(ctx context.Context, a dispatcher.Attempt, worker string) bool {
	active := false
	err := o.runInLoop(ctx, func() {
		t := o.jobs[a.Job]
		if t == nil || t.attempt == nil || t.attempt.number != a.Number {
			return
		}
		i := t.attempt.indexOf(worker)
		active = i >= 0 && !t.attempt.lost[i] && !t.attempt.statuses[i].State.Final()
	})
	return err == nil && active
}

// checkEpoch calls OnSuperseded if a worker has rejected the epoch as stale.
func (o *Owner) checkEpoch(err error) {
	if errors.Is(err, dispatcher.ErrStaleEpoch) && o.options.OnSuperseded != nil {
		o.options.OnSuperseded()
	}
}

// stopAttempt stops the members of an attempt if it is still the current one.
func (o *Owner) stopAttempt(d scheduler.Stopped) {
	t := o.jobs[d.ID]
	if t == nil || t.attempt == nil || t.attempt.number != d.Attempt {
		return
	}
	o.stopMembers(d.ID, t.attempt, d.Checkpoint)
}

// stopMembers sends a stop to every member that has neither ended nor been lost; later calls for the same attempt do nothing.
func (o *Owner) stopMembers(id string, a *attempt, checkpoint bool) {
	if a.stopping {
		return
	}
	a.stopping = true
	name := dispatcher.Attempt{Job: id, Number: a.number}
	for i, m := range a.members {
		if a.lost[i] || a.statuses[i].State.Final() {
			continue
		}
		o.spawn(func(ctx context.Context) {
			o.retryCommand(ctx, name, m.Worker, func(address string) (dispatcher.Status, error) {
				return o.options.Workers.Stop(ctx, address, dispatcher.StopRequest{
					Epoch:      o.options.Epoch,
					Attempt:    name,
					Checkpoint: checkpoint,
				})
			})
		})
	}
	o.evaluateAttempt(id, a)
}

// handleStatus applies a worker's status of one member, whether from a sync or from the response to a command; a result with a wrong digest is ignored.
func (o *Owner) handleStatus(worker string, s dispatcher.Status) {
	t := o.jobs[s.Attempt.Job]
	if t == nil || t.attempt == nil || t.attempt.number != s.Attempt.Number || s.Attempt.Direct != "" {
		o.handleOrphan(worker, s)
		return
	}
	a := t.attempt
	i := a.indexOf(worker)
	if i < 0 {
		o.handleOrphan(worker, s)
		return
	}
	if a.lost[i] || a.statuses[i].State.Final() {
		return
	}
	if s.State == dispatcher.StateSucceeded && !digestMatches(s) {
		return
	}
	a.statuses[i] = s
	o.evaluateAttempt(s.Attempt.Job, a)
}

// evaluateAttempt applies the events that follow from the states of the members: the start, a checkpoint or the end of the attempt.
//
// As soon as a member has ended without success, it stops the others.
func (o *Owner) evaluateAttempt(id string, a *attempt) {
	if a.ended {
		return
	}
	c := a.memberCounts()
	if !a.startReported && c.notLost == len(a.members) && c.running+c.succeeded+c.failed == c.notLost {
		a.startReported = true
		o.apply(scheduler.AttemptStarted{ID: id, Attempt: a.number})
	}
	if !a.checkpointReported && c.notLost == len(a.members) && c.running > 0 && c.checkpoints+c.succeeded == c.notLost {
		a.checkpointReported = true
		o.apply(scheduler.AttemptCheckpointed{ID: id, Attempt: a.number})
	}
	switch {
	case c.notLost == 0:
	case c.final < c.notLost:
		if c.final > c.succeeded {
			o.stopMembers(id, a, false)
		}
	default:
		a.ended = true
		o.apply(attemptResult(id, a, c))
	}
}

// attemptResult returns the event that follows from the final states of the members that are not lost.
func attemptResult(id string, a *attempt, c memberCounts) scheduler.Event {
	noneLost := c.notLost == len(a.members)
	switch {
	case noneLost && c.succeeded == c.notLost:
		return scheduler.AttemptFinished{ID: id, Attempt: a.number, Outcome: scheduler.OutcomeSucceeded}
	case c.failed > 0:
		return scheduler.AttemptFinished{ID: id, Attempt: a.number, Outcome: scheduler.OutcomeFailed, Worker: c.failedOn}
	case noneLost && c.neverStarted == c.notLost:
		return scheduler.AttemptRefused{ID: id, Attempt: a.number, Worker: c.refusedBy}
	default:
		return scheduler.AttemptStopped{ID: id, Attempt: a.number, Checkpoint: noneLost && c.checkpoints > 0 && c.checkpoints+c.succeeded == c.notLost}
	}
}

// retireAttempt moves the current attempt of a job to its retired ones.
//
// The workers may forget it at once if the job is idempotent. Otherwise only they
// know that it ran and stopped at a checkpoint, until the next attempt or the answer
// is recorded.
func (o *Owner) retireAttempt(id string) {
	t := o.jobs[id]
	if t == nil || t.attempt == nil {
		return
	}
	t.retired = append(t.retired, t.attempt)
	t.attempt = nil
	if t.traits(o.scheduler).idempotent {
		o.forgetRetired(id, t)
	}
}

// forgetRetired lets the workers forget the retired attempts of a job.
func (o *Owner) forgetRetired(id string, t *jobState) {
	for _, a := range t.retired {
		o.forget(id, a)
	}
	t.retired = nil
}

// forget tells the workers of an attempt that they may forget it.
func (o *Owner) forget(id string, a *attempt) {
	name := dispatcher.Attempt{Job: id, Number: a.number}
	for _, m := range a.members {
		if w := o.watches[m.Worker]; w != nil {
			w.forget(name)
		}
	}
}

func (o *Owner) throttle(d scheduler.Throttled) {
	t := o.jobs[d.ID]
	if t == nil || t.attempt == nil {
		return
	}
	name := dispatcher.Attempt{Job: d.ID, Number: t.attempt.number}
	address := o.addressOf(d.Worker)
	o.spawn(func(ctx context.Context) {
		_, err := o.options.Workers.Throttle(ctx, address, dispatcher.ThrottleRequest{Epoch: o.options.Epoch, Attempt: name})
		if err != nil {
			o.options.Logger.Warn("cannot throttle task", "job", d.ID, "worker", d.Worker, "error", err)
		}
	})
}
