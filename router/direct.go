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
	// maxDirectWorkers is the maximum number of workers that one round of direct placement tries.
	maxDirectWorkers = 8
	// directPollInterval is the time between status requests for a directly placed task.
	directPollInterval = 250 * time.Millisecond
	// keepAliveInterval is the mean time between renewals of task leases during an outage.
	keepAliveInterval = 8 * time.Second
	// keepAliveTimeout limits one renewal, and the write and read of a direct answer.
	keepAliveTimeout = time.Second
)

// placeDirectly runs a job on a worker with free accelerators, without an owner.
//
// The entry has no record of what the workers run. It tries random workers, and only
// a worker's own response decides whether the job fits there. placeDirectly returns
// the answer, or nil, and whether the job may have been started.
func (r *Router) placeDirectly(ctx context.Context, record recorder.OpenJob) (answer *recorder.Answer, started bool) {
	attempt := dispatcher.Attempt{Job: record.Job.ID, Number: 1, Direct: r.options.Entry + "/" + r.options.Incarnation}
	for _, vm := range r.randomWorkers() {
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

// randomWorkers returns up to maxDirectWorkers listed workers in random order, leaving out those that are about to leave.
func (r *Router) randomWorkers() []lister.VM {
	var workers []lister.VM
	for _, vm := range r.listedVMs() {
		if vm.Role == lister.RoleWorker && !vm.Leaving {
			workers = append(workers, vm)
		}
	}
	for i := len(workers) - 1; i > 0; i-- {
		k := int(r.options.Random() * float64(i+1))
		workers[i], workers[k] = workers[k], workers[i]
	}
	return workers[:min(len(workers), maxDirectWorkers)]
}

func (r *Router) reserveDirectly(ctx context.Context, vm lister.VM, attempt dispatcher.Attempt, record recorder.OpenJob) bool {
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

// awaitDirect starts the attempt and polls it, by repeating the idempotent start request, until it has ended.
//
// It returns false if the attempt failed or the context ended.
func (r *Router) awaitDirect(ctx context.Context, vm lister.VM, attempt dispatcher.Attempt) (dispatcher.Status, bool) {
	for ctx.Err() == nil {
		status, err := r.options.Workers.Start(ctx, vm.Address, dispatcher.StartRequest{Attempt: attempt})
		if err == nil && status.State.Final() {
			return status, status.State == dispatcher.StateSucceeded
		}
		sleeper.Sleep(ctx, directPollInterval)
	}
	return dispatcher.Status{}, false
}

// forgetDirect allows the worker to delete a task whose result has arrived.
func (r *Router) forgetDirect(ctx context.Context, vm lister.VM, attempt dispatcher.Attempt) {
	_, err := r.options.Workers.Sync(ctx, vm.Address, dispatcher.SyncRequest{Forget: []dispatcher.Attempt{attempt}})
	if err != nil {
		r.options.Logger.Debug("failed to delete finished task from worker", "job", attempt.Job, "worker", vm.ID, "error", err)
	}
}

func directAnswer(record recorder.OpenJob, vm lister.VM, s dispatcher.Status) recorder.Answer {
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

// recordDirect writes the answer to the table, if the table can be reached, and returns the answer to report.
//
// An answer that is already recorded takes precedence.
func (r *Router) recordDirect(ctx context.Context, answer recorder.Answer) recorder.Answer {
	ctx, cancel := context.WithTimeout(ctx, keepAliveTimeout)
	defer cancel()
	key := recorder.DoneKey(answer.Job.ID)
	err := r.options.Table.WriteIdempotent(ctx, r.options.NewID(), []storer.Change{
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

// keepAlive renews the leases of running tasks while neither the owner nor the table can be reached.
//
// Without it, workers would stop their tasks during an outage, since nobody else renews the leases.
func (r *Router) keepAlive(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, time.Duration(float64(keepAliveInterval)*(0.5+r.options.Random())))
		if _, fresh := r.leaser.Current(); fresh || r.ownerReachable(ctx) {
			continue
		}
		for _, vm := range r.listedVMs() {
			if vm.Role == lister.RoleWorker {
				r.spawn(func() { r.renewLeases(ctx, vm) })
			}
		}
	}
}

func (r *Router) renewLeases(ctx context.Context, vm lister.VM) {
	ctx, cancel := context.WithTimeout(ctx, keepAliveTimeout)
	defer cancel()
	_, err := r.options.Workers.Sync(ctx, vm.Address, dispatcher.SyncRequest{
		LeaseSeconds: int(dispatcher.TaskLease.Seconds()),
	})
	if err != nil {
		r.options.Logger.Debug("failed to renew task leases", "worker", vm.ID, "error", err)
	}
}
