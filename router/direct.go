package router

import (
	"context"
	"errors"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/storer"
)

const (
	// directTries bounds the workers that one round of a direct placement asks.
	directTries = 8
	// directPoll is the time between questions after a task that was placed directly.
	directPoll = 250 * time.Millisecond
	// keepAlivePause is the time between renewals of leases while nobody owns the service.
	keepAlivePause = 8 * time.Second
	// keepAliveTimeout bounds one renewal.
	keepAliveTimeout = time.Second
)

// placeDirectly runs an urgent idempotent job on a worker with free accelerators, without an owner; the worker's own acceptance is the truth.
//
// It returns the answer, or nil, and whether the job may have been started.
func (r *Router) placeDirectly(ctx context.Context, record recorder.Open) (answer *recorder.Answer, started bool) {
	attempt := dispatcher.Attempt{Job: record.Job.ID, Number: 1, Direct: r.options.Entry + "/" + r.options.Incarnation}
	for _, vm := range r.shuffledWorkers() {
		if !r.reserveDirectly(ctx, vm, attempt, record) {
			continue
		}
		status, ok := r.awaitDirect(ctx, vm, attempt)
		if !ok {
			return nil, true
		}
		r.forgetDirect(ctx, vm, attempt)
		recorded := r.recordDirect(ctx, directAnswer(record, vm, status))
		return &recorded, true
	}
	return nil, false
}

// shuffledWorkers returns some workers of the last list in random order.
func (r *Router) shuffledWorkers() []lister.VM {
	var workers []lister.VM
	for _, vm := range r.lastList() {
		if vm.Role == lister.RoleWorker && !vm.Leaving {
			workers = append(workers, vm)
		}
	}
	for i := len(workers) - 1; i > 0; i-- {
		k := int(r.options.Random() * float64(i+1))
		workers[i], workers[k] = workers[k], workers[i]
	}
	return workers[:min(len(workers), directTries)]
}

func (r *Router) reserveDirectly(ctx context.Context, vm lister.VM, attempt dispatcher.Attempt, record recorder.Open) bool {
	record.Job.Shape = record.Job.Shape.WithDefaults()
	_, err := r.options.Workers.Reserve(ctx, vm.Address, dispatcher.ReserveRequest{
		Attempt:         attempt,
		ExpireSeconds:   int(dispatcher.ReservationExpiry.Seconds()),
		AnyAccelerators: true,
		Task: dispatcher.Task{
			Spec:        record.Job,
			Members:     1,
			Payload:     record.Payload,
			Traceparent: record.Traceparent,
		},
	})
	return err == nil
}

// awaitDirect starts the attempt and asks after it, by repeating the start, until it has ended.
func (r *Router) awaitDirect(ctx context.Context, vm lister.VM, attempt dispatcher.Attempt) (dispatcher.Status, bool) {
	for ctx.Err() == nil {
		status, err := r.options.Workers.Start(ctx, vm.Address, dispatcher.StartRequest{Attempt: attempt})
		if err == nil && status.State.Final() {
			return status, status.State == dispatcher.StateSucceeded
		}
		sleeper.Sleep(ctx, directPoll)
	}
	return dispatcher.Status{}, false
}

// forgetDirect lets the worker forget a task whose result has arrived.
func (r *Router) forgetDirect(ctx context.Context, vm lister.VM, attempt dispatcher.Attempt) {
	_, err := r.options.Workers.Sync(ctx, vm.Address, dispatcher.SyncRequest{Forget: []dispatcher.Attempt{attempt}})
	if err != nil {
		r.options.Logger.Debug("task not forgotten", "job", attempt.Job, "worker", vm.ID, "error", err)
	}
}

func directAnswer(record recorder.Open, vm lister.VM, s dispatcher.Status) recorder.Answer {
	now := time.Now()
	reason := scheduler.Reason{Rule: scheduler.RuleDirect, Worker: vm.ID}
	return recorder.Answer{
		Job:         record.Job,
		Fingerprint: record.Fingerprint,
		Outcome:     scheduler.OutcomeSucceeded,
		Ran:         scheduler.DidRun,
		Reason:      reason,
		Result:      s.Result,
		Digest:      s.Digest,
		Members:     []scheduler.Member{{Worker: vm.ID, Accelerators: s.Task.Accelerators}},
		Finished:    now,
		Notes:       recorder.AddNote(nil, now, reason),
	}
}

// recordDirect records the answer if the table can be reached; an answer that was recorded earlier goes before it.
func (r *Router) recordDirect(ctx context.Context, answer recorder.Answer) recorder.Answer {
	ctx, cancel := context.WithTimeout(ctx, keepAliveTimeout)
	defer cancel()
	key := recorder.DoneKey(answer.Job.ID)
	err := r.options.Table.WriteSettled(ctx, r.options.NewID(), []storer.Change{
		{Key: key, Expect: 0, Value: recorder.Encode(answer)},
	})
	if !errors.Is(err, storer.ErrConflict) {
		return answer
	}
	row, err := r.options.Table.Read(ctx, key)
	if err != nil {
		return answer
	}
	first, err := recorder.Decode[recorder.Answer](row)
	if err != nil {
		return answer
	}
	return first
}

// keepAlive renews the leases of running work while neither the owner nor the table can be reached, so that an outage does not stop it.
func (r *Router) keepAlive(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, time.Duration(float64(keepAlivePause)*(0.5+r.options.Random())))
		if _, fresh := r.leaser.Current(); fresh || r.ownerAnswers(ctx) {
			continue
		}
		for _, vm := range r.lastList() {
			if vm.Role == lister.RoleWorker {
				r.spawn(func() { r.renew(ctx, vm) })
			}
		}
	}
}

func (r *Router) renew(ctx context.Context, vm lister.VM) {
	ctx, cancel := context.WithTimeout(ctx, keepAliveTimeout)
	defer cancel()
	_, err := r.options.Workers.Sync(ctx, vm.Address, dispatcher.SyncRequest{
		LeaseSeconds: int(dispatcher.TaskLease.Seconds()),
	})
	if err != nil {
		r.options.Logger.Debug("lease not renewed", "worker", vm.ID, "error", err)
	}
}
