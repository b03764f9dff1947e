package faker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/scheduler"
)

// Payload is the payload of a job as the fake reads it: how long a task runs, and how it ends.
type Payload struct {
	RunMillis int    `json:"runMillis"`
	Fail      bool   `json:"fail,omitempty"`
	Echo      string `json:"echo,omitempty"`
	MemoryMB  int    `json:"memoryMb,omitempty"`
}

// Result is the result of a task of the fake.
type Result struct {
	Worker string `json:"worker"`
	Echo   string `json:"echo,omitempty"`
}

type task struct {
	status    dispatcher.Status
	started   time.Time
	sequence  int64
	timer     *time.Timer
	remaining time.Duration
}

// Worker is a fake worker whose tasks only wait; it follows the rules of docs/WORKERS.md on epochs, leases and reservations.
type Worker struct {
	faultInjector
	mu           sync.Mutex
	info         scheduler.Worker
	epoch        int64
	sequence     int64
	tasks        map[dispatcher.Attempt]*task
	checkpointed map[string]time.Duration
	lease        *time.Timer
	updates      chan struct{}
	starts       map[string]int
}

// NewWorker returns an idle worker.
func NewWorker(info scheduler.Worker) *Worker {
	return &Worker{
		info:         info,
		tasks:        map[dispatcher.Attempt]*task{},
		checkpointed: map[string]time.Duration{},
		updates:      make(chan struct{}),
		starts:       map[string]int{},
	}
}

// Starts returns how often each job was started on this worker without resuming from a checkpoint.
func (w *Worker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	starts := make(map[string]int, len(w.starts))
	for id, n := range w.starts {
		starts[id] = n
	}
	return starts
}

// Restart drops all tasks and the epoch, as if the worker had been replaced under the same address.
func (w *Worker) Restart(incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		stopTimer(t)
	}
	w.tasks = map[dispatcher.Attempt]*task{}
	w.info.Incarnation = incarnation
	w.epoch = 0
	w.notify()
}

// Close stops all timers.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		stopTimer(t)
	}
	if w.lease != nil {
		w.lease.Stop()
	}
}

func stopTimer(t *task) {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// notify wakes the waiting Sync calls; the caller holds the lock.
func (w *Worker) notify() {
	close(w.updates)
	w.updates = make(chan struct{})
}

func (w *Worker) setState(t *task, state dispatcher.State) {
	w.sequence++
	t.sequence = w.sequence
	t.status.State = state
	w.notify()
}

func (w *Worker) checkEpoch(epoch int64, a dispatcher.Attempt) error {
	if a.Direct != "" {
		return nil
	}
	if epoch < w.epoch {
		return fmt.Errorf("%w: worker is at epoch %d", dispatcher.ErrStaleEpoch, w.epoch)
	}
	w.epoch = epoch
	return nil
}

func (w *Worker) injectFaults(ctx context.Context) error {
	if err := w.delay(ctx); err != nil {
		return fmt.Errorf("%w: %w", dispatcher.ErrOutcomeUnknown, err)
	}
	if w.CurrentFaults().Down {
		return fmt.Errorf("%w: told to be down", dispatcher.ErrUnreachable)
	}
	return nil
}

func (w *Worker) reply(s dispatcher.Status) (dispatcher.Status, error) {
	if w.loseReply() {
		return dispatcher.Status{}, fmt.Errorf("%w: reply lost", dispatcher.ErrOutcomeUnknown)
	}
	return s, nil
}

// Reserve reserves accelerators for an attempt.
func (w *Worker) Reserve(ctx context.Context, r dispatcher.ReserveRequest) (dispatcher.Status, error) {
	if err := w.injectFaults(ctx); err != nil {
		return dispatcher.Status{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(r.Epoch, r.Attempt); err != nil {
		return dispatcher.Status{}, err
	}
	if t := w.tasks[r.Attempt]; t != nil {
		return w.reply(t.status)
	}
	if w.CurrentFaults().Leaving {
		return dispatcher.Status{}, fmt.Errorf("%w: leaving", dispatcher.ErrRefused)
	}
	if r.AnyAccelerators {
		r.Task.Accelerators = w.freeAccelerators(r.Task.Spec.Shape.Accelerators)
	}
	if r.Task.Accelerators == nil || w.anyInUse(r.Task.Accelerators) {
		return dispatcher.Status{}, fmt.Errorf("%w: accelerators are taken", dispatcher.ErrRefused)
	}
	t := &task{status: dispatcher.Status{Attempt: r.Attempt, Task: r.Task}}
	w.tasks[r.Attempt] = t
	t.timer = time.AfterFunc(time.Duration(r.ExpireSeconds)*time.Second, func() { w.expireReservation(t) })
	w.setState(t, dispatcher.StateReserved)
	return w.reply(t.status)
}

func (w *Worker) inUse() []bool {
	used := make([]bool, w.info.Accelerators)
	for _, t := range w.tasks {
		if t.status.State.Final() {
			continue
		}
		for _, a := range t.status.Task.Accelerators {
			used[a] = true
		}
	}
	return used
}

func (w *Worker) anyInUse(accelerators []int) bool {
	used := w.inUse()
	return slices.ContainsFunc(accelerators, func(a int) bool { return a < 0 || a >= len(used) || used[a] })
}

// freeAccelerators returns the first count free accelerators, or nil.
func (w *Worker) freeAccelerators(count int) []int {
	accelerators := []int{}
	for a, used := range w.inUse() {
		if !used && len(accelerators) < count {
			accelerators = append(accelerators, a)
		}
	}
	if len(accelerators) < count {
		return nil
	}
	return accelerators
}

func (w *Worker) expireReservation(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.status.State == dispatcher.StateReserved {
		w.setState(t, dispatcher.StateNeverStarted)
	}
}

// Start starts a reserved attempt.
func (w *Worker) Start(ctx context.Context, r dispatcher.StartRequest) (dispatcher.Status, error) {
	return w.command(ctx, r.Epoch, r.Attempt, func(t *task) {
		if t.status.State == dispatcher.StateReserved {
			w.startTask(t)
		}
	})
}

// command applies a command to the task of an attempt; an unknown attempt is fenced first.
func (w *Worker) command(ctx context.Context, epoch int64, a dispatcher.Attempt, f func(t *task)) (dispatcher.Status, error) {
	if err := w.injectFaults(ctx); err != nil {
		return dispatcher.Status{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(epoch, a); err != nil {
		return dispatcher.Status{}, err
	}
	t := w.tasks[a]
	if t == nil {
		t = w.fence(a)
	}
	f(t)
	return w.reply(t.status)
}

// fence records an unknown attempt as never started, so that a late request cannot start it.
func (w *Worker) fence(a dispatcher.Attempt) *task {
	t := &task{status: dispatcher.Status{Attempt: a}}
	w.tasks[a] = t
	w.setState(t, dispatcher.StateNeverStarted)
	return t
}

func (w *Worker) startTask(t *task) {
	stopTimer(t)
	var p Payload
	_ = json.Unmarshal(t.status.Task.Payload, &p)
	remaining := time.Duration(p.RunMillis) * time.Millisecond
	spec := t.status.Task.Spec.ID
	if t.status.Task.Resume {
		remaining -= min(remaining, w.checkpointed[spec])
	} else {
		w.starts[spec]++
	}
	t.remaining = remaining
	t.started = time.Now()
	t.status.MemoryMB = p.MemoryMB
	fail := p.Fail || w.CurrentFaults().FailTasks
	if w.CurrentFaults().FailTasks {
		remaining = 0
	}
	t.timer = time.AfterFunc(remaining, func() { w.finishTask(t, p, fail) })
	w.setState(t, dispatcher.StateRunning)
}

func (w *Worker) finishTask(t *task, p Payload, fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.status.State != dispatcher.StateRunning {
		return
	}
	t.status.RunSeconds = time.Since(t.started).Seconds()
	if fail {
		t.status.Error = "task failed"
		w.setState(t, dispatcher.StateFailed)
		return
	}
	t.status.Result, _ = json.Marshal(Result{Worker: w.info.ID, Echo: p.Echo})
	sum := sha256.Sum256(t.status.Result)
	t.status.Digest = hex.EncodeToString(sum[:])
	w.setState(t, dispatcher.StateSucceeded)
}

// Stop stops an attempt; an unknown attempt is fenced.
func (w *Worker) Stop(ctx context.Context, r dispatcher.StopRequest) (dispatcher.Status, error) {
	return w.command(ctx, r.Epoch, r.Attempt, func(t *task) { w.stopTask(t, r.Checkpoint) })
}

func (w *Worker) stopTask(t *task, checkpoint bool) {
	switch t.status.State {
	case dispatcher.StateReserved:
		stopTimer(t)
		w.setState(t, dispatcher.StateNeverStarted)
	case dispatcher.StateRunning:
		stopTimer(t)
		ran := time.Since(t.started)
		t.status.RunSeconds = ran.Seconds()
		if checkpoint {
			w.checkpointed[t.status.Task.Spec.ID] += min(ran, t.remaining)
			t.status.Checkpoint = true
		}
		w.setState(t, dispatcher.StateStopped)
	case dispatcher.StateSucceeded, dispatcher.StateFailed, dispatcher.StateStopped, dispatcher.StateNeverStarted:
	}
}

// Throttle acknowledges the request and has no effect.
func (w *Worker) Throttle(ctx context.Context, r dispatcher.ThrottleRequest) (dispatcher.Status, error) {
	if err := w.injectFaults(ctx); err != nil {
		return dispatcher.Status{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return dispatcher.Status{Attempt: r.Attempt}, nil
}

// Sync renews the lease, waits for changes of tasks and returns them.
func (w *Worker) Sync(ctx context.Context, r dispatcher.SyncRequest) (dispatcher.SyncResponse, error) {
	if err := w.injectFaults(ctx); err != nil {
		return dispatcher.SyncResponse{}, err
	}
	if err := w.beginSync(r); err != nil {
		return dispatcher.SyncResponse{}, err
	}
	w.awaitUpdate(ctx, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report(r), nil
}

func (w *Worker) beginSync(r dispatcher.SyncRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Epoch > 0 {
		if err := w.checkEpoch(r.Epoch, dispatcher.Attempt{}); err != nil {
			return err
		}
	}
	for _, a := range r.Forget {
		if t := w.tasks[a]; t != nil && t.status.State.Final() && !w.CurrentFaults().RepeatAnswers {
			delete(w.tasks, a)
		}
	}
	if r.LeaseSeconds > 0 {
		if w.lease != nil {
			w.lease.Stop()
		}
		w.lease = time.AfterFunc(time.Duration(r.LeaseSeconds)*time.Second, w.expireLease)
	}
	return nil
}

// expireLease stops all tasks, since no entry has renewed the lease.
func (w *Worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.stopTask(t, false)
	}
}

func (w *Worker) awaitUpdate(ctx context.Context, r dispatcher.SyncRequest) {
	hold := time.NewTimer(time.Duration(r.PollMillis) * time.Millisecond)
	defer hold.Stop()
	for {
		w.mu.Lock()
		updated := w.sequence > r.Since || r.Incarnation != w.info.Incarnation
		updates := w.updates
		w.mu.Unlock()
		if updated {
			return
		}
		select {
		case <-updates:
		case <-hold.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (w *Worker) report(r dispatcher.SyncRequest) dispatcher.SyncResponse {
	since := r.Since
	if r.Incarnation != w.info.Incarnation || w.CurrentFaults().RepeatAnswers {
		since = 0
	}
	response := dispatcher.SyncResponse{
		Incarnation: w.info.Incarnation,
		Leaving:     w.CurrentFaults().Leaving,
		Epoch:       w.epoch,
		Sequence:    w.sequence,
	}
	if r.Incarnation != w.info.Incarnation {
		response.Worker = w.info
	}
	var changed []*task
	for _, t := range w.tasks {
		if t.sequence > since {
			changed = append(changed, t)
		}
	}
	slices.SortFunc(changed, func(a, b *task) int { return int(a.sequence - b.sequence) })
	if w.CurrentFaults().RepeatAnswers {
		slices.Reverse(changed)
	}
	for _, t := range changed {
		s := t.status
		if s.State == dispatcher.StateRunning {
			s.RunSeconds = time.Since(t.started).Seconds()
		}
		response.Tasks = append(response.Tasks, s)
	}
	return response
}

// Running returns the number of running tasks.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.tasks {
		if t.status.State == dispatcher.StateRunning {
			n++
		}
	}
	return n
}
