package owner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/scheduler"
)

const (
	// syncHold is how long a worker may delay the response to a sync while it has no changes to report.
	syncHold = 5 * time.Second
	// syncRetryInterval is the time between a failed sync and the next.
	syncRetryInterval = 500 * time.Millisecond
	// silentTimeout is the time since the last response after which a failed sync marks the worker as silent.
	silentTimeout = 2 * time.Second
	// maxRenewSilence is how long syncs still renew the leases on a worker that does not answer; later ones let them expire.
	maxRenewSilence = 10 * time.Second
	// leaseMargin is added to the lease of a task before the owner assumes that the worker has stopped it.
	leaseMargin = 2 * time.Second
	// listPollInterval is the time between reads of the platform's VM list.
	listPollInterval = 2 * time.Second
)

// watch keeps what the owner knows of one worker.
type watch struct {
	vm     lister.VM
	cancel context.CancelFunc

	mu       sync.Mutex
	toForget []dispatcher.Attempt

	// The fields below are used only by the event loop.
	seen    bool
	silent  bool
	lost    bool
	leaving bool
	// listed means that the VM list marks the worker as leaving.
	listed bool
	// cordoned keeps new work off the worker while an in-doubt job may be running there.
	cordoned bool
	response dispatcher.SyncResponse

	// The fields below are used only by the goroutine that runs syncLoop.
	since       int64
	incarnation string
	info        scheduler.Worker
	answeredAt  time.Time
	// renewedAt is the latest time at which the worker is assumed to have received the last renewal of its leases.
	renewedAt time.Time
}

// forget tells the worker with the next sync that it may forget the attempt.
func (w *watch) forget(a dispatcher.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.toForget = append(w.toForget, a)
}

func (w *watch) attemptsToForget() []dispatcher.Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.toForget)
}

// clearForgotten removes the first count attempts, which the worker has been told of.
func (w *watch) clearForgotten(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.toForget = slices.Delete(w.toForget, 0, count)
}

// addressOf returns the address of the worker, or its ID if the VM list never had it.
func (o *Owner) addressOf(worker string) string {
	if address, ok := o.addresses.Load(worker); ok {
		if text, ok := address.(string); ok {
			return text
		}
	}
	return worker
}

// pollVMList reads the platform's VM list at intervals.
func (o *Owner) pollVMList(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := o.options.List(ctx)
		if err == nil {
			o.post(func() { o.handleVMList(vms) })
		}
		sleeper.Sleep(ctx, listPollInterval)
	}
}

// handleVMList watches new workers and those with a new address, and stops watching lost workers that are no longer listed.
func (o *Owner) handleVMList(vms []lister.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.Role != lister.RoleWorker {
			continue
		}
		listed[vm.ID] = true
		w := o.watches[vm.ID]
		if w == nil || w.vm.Address != vm.Address {
			w = o.addWatch(vm, nil)
		}
		w.listed = vm.Leaving
		o.updateLeaving(w)
	}
	for id, w := range o.watches {
		if !listed[id] && w.lost {
			w.cancel()
			delete(o.watches, id)
		}
	}
}

// addWatch starts to watch a worker, replacing a previous watch; lastSync is its response to an earlier sync, or nil.
func (o *Owner) addWatch(vm lister.VM, lastSync *dispatcher.SyncResponse) *watch {
	if previous := o.watches[vm.ID]; previous != nil {
		previous.cancel()
	}
	ctx, cancel := context.WithCancel(o.ctx)
	now := time.Now()
	w := &watch{vm: vm, cancel: cancel, answeredAt: now, renewedAt: now}
	if lastSync != nil {
		w.seen = true
		w.response = *lastSync
		w.info = lastSync.Worker
		w.incarnation = lastSync.Incarnation
	}
	o.watches[vm.ID] = w
	o.addresses.Store(vm.ID, vm.Address)
	o.goroutines.Go(func() {
		defer cancel()
		o.syncLoop(ctx, w)
	})
	return w
}

// syncLoop keeps one sync open with the worker, which serves as health check, lease renewal and status update.
func (o *Owner) syncLoop(ctx context.Context, w *watch) {
	for ctx.Err() == nil {
		if o.syncOnce(ctx, w, syncHold) {
			continue
		}
		silence := time.Since(w.answeredAt)
		if silence >= silentTimeout {
			o.post(func() { o.silence(w) })
		}
		if time.Since(w.renewedAt) >= dispatcher.TaskLease+leaseMargin {
			o.post(func() { o.markLost(w) })
		}
		sleeper.Sleep(ctx, syncRetryInterval)
	}
}

// syncOnce sends one sync and passes the response to the event loop; it returns false if the sync failed.
func (o *Owner) syncOnce(ctx context.Context, w *watch, hold time.Duration) bool {
	request := dispatcher.SyncRequest{
		Epoch:       o.options.Epoch,
		Incarnation: w.incarnation,
		Since:       w.since,
		PollMillis:  hold.Milliseconds(),
		Forget:      w.attemptsToForget(),
	}
	if time.Since(w.answeredAt) < maxRenewSilence {
		request.LeaseSeconds = int(dispatcher.TaskLease.Seconds())
		w.renewedAt = time.Now().Add(hold)
	}
	response, err := o.options.Workers.Sync(ctx, w.vm.Address, request)
	o.checkEpoch(err)
	if err != nil {
		return false
	}
	w.answeredAt = time.Now()
	w.since = response.Sequence
	w.incarnation = response.Incarnation
	if response.Worker.ID != "" {
		w.info = response.Worker
	}
	response.Worker = w.info
	w.clearForgotten(len(request.Forget))
	return o.post(func() { o.handleSync(w, response) })
}

// handleSync applies a worker's response to a sync; members on a worker that has restarted are lost.
func (o *Owner) handleSync(w *watch, r dispatcher.SyncResponse) {
	if o.watches[w.vm.ID] != w {
		return
	}
	restarted := w.seen && w.response.Worker.Incarnation != r.Worker.Incarnation
	if restarted {
		o.markMembersLost(w.vm.ID)
	}
	if !w.seen || w.silent || w.lost || restarted || w.response.Worker != r.Worker {
		w.seen = true
		w.silent = false
		w.lost = false
		w.cordoned = w.cordoned || o.hasInDoubtJob(w.vm.ID)
		w.leaving = r.Leaving || w.listed || w.cordoned
		w.response = r
		o.apply(scheduler.WorkerReported{Worker: o.workerInfo(w, r), Leaving: w.leaving})
	}
	w.response = r
	o.updateLeaving(w)
	for _, s := range r.Tasks {
		o.handleStatus(w.vm.ID, s)
		if s.State == dispatcher.StateRunning && s.MemoryMB > 0 {
			o.apply(scheduler.UsageReported{ID: s.Attempt.Job, Worker: w.vm.ID, MemoryMB: s.MemoryMB})
		}
	}
	if len(o.inDoubt) > 0 {
		o.resolveAnswered()
	}
}

// workerInfo returns what the worker reports of itself, with the ID, zone and rack from the VM list.
func (o *Owner) workerInfo(w *watch, r dispatcher.SyncResponse) scheduler.Worker {
	info := r.Worker
	info.ID = w.vm.ID
	info.Zone = w.vm.Zone
	info.Rack = w.vm.Rack
	return info
}

// updateLeaving tells the scheduler when a worker starts or stops leaving; a cordoned worker counts as leaving, since it must get no new work.
func (o *Owner) updateLeaving(w *watch) {
	leaving := w.listed || w.response.Leaving || w.cordoned
	if !w.seen || leaving == w.leaving {
		return
	}
	w.leaving = leaving
	o.apply(scheduler.WorkerReported{Worker: o.workerInfo(w, w.response), Leaving: leaving})
}

// suspect marks a worker that did not answer a command as silent until its next sync succeeds.
func (o *Owner) suspect(worker string, err error) {
	if !errors.Is(err, dispatcher.ErrOutcomeUnknown) && !errors.Is(err, dispatcher.ErrUnreachable) {
		return
	}
	o.post(func() {
		if w := o.watches[worker]; w != nil {
			o.silence(w)
		}
	})
}

// silence marks a worker as silent, so that it gets no new work.
func (o *Owner) silence(w *watch) {
	if o.watches[w.vm.ID] != w || w.silent || !w.seen {
		return
	}
	w.silent = true
	o.options.Logger.Warn("worker silent", "worker", w.vm.ID, "epoch", o.options.Epoch)
	o.apply(scheduler.WorkerSilent{ID: w.vm.ID})
}

// markLost marks a worker and all members on it as lost, once its leases have expired.
func (o *Owner) markLost(w *watch) {
	if o.watches[w.vm.ID] != w || w.lost {
		return
	}
	w.lost = true
	o.options.Logger.Warn("worker lost", "worker", w.vm.ID, "epoch", o.options.Epoch)
	o.markMembersLost(w.vm.ID)
	o.apply(scheduler.WorkerLost{ID: w.vm.ID})
}

// markMembersLost marks all members on the worker as lost and has their attempts evaluated.
func (o *Owner) markMembersLost(worker string) {
	for id, t := range o.jobs {
		a := t.attempt
		if a == nil || a.ended {
			continue
		}
		if i := a.indexOf(worker); i >= 0 && !a.lost[i] {
			a.lost[i] = true
			o.evaluateLater(id, a)
		}
	}
}

// evaluateLater evaluates an attempt in a later turn of the event loop, so that the scheduler learns of the lost worker first.
func (o *Owner) evaluateLater(id string, a *attempt) {
	o.post(func() { o.evaluateAttempt(id, a) })
}

// handleOrphan handles a task that belongs to no current attempt: it stops the task, and lets the worker forget it once it has ended.
//
// The worker must remember an ended task while its job is open and not idempotent.
// The status of a task of an in-doubt job is kept until that is resolved. Direct
// tasks, which an entry placed without an owner, are left alone.
func (o *Owner) handleOrphan(worker string, s dispatcher.Status) {
	if d := o.inDoubt[s.Attempt.Job]; d != nil && s.Attempt.Direct == "" {
		d.statuses[worker] = s
		return
	}
	w := o.watches[worker]
	if w == nil || s.Attempt.Direct != "" {
		return
	}
	t := o.jobs[s.Attempt.Job]
	if s.State.Final() {
		if t == nil || t.traits(o.scheduler).idempotent {
			w.forget(s.Attempt)
		}
		return
	}
	if t != nil && t.attempt != nil && s.Attempt.Number > t.attempt.number {
		return
	}
	o.options.Logger.Warn("stopping orphaned task", "job", s.Attempt.Job, "attempt", s.Attempt.Number, "worker", worker)
	o.spawn(func(ctx context.Context) {
		_, err := o.options.Workers.Stop(ctx, w.vm.Address, dispatcher.StopRequest{Epoch: o.options.Epoch, Attempt: s.Attempt})
		o.checkEpoch(err)
	})
}
