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

// Payload is what the stand-in understands of a job's payload: how long to run, and what to do at the end.
type Payload struct {
	RunMillis int    `json:"runMillis"`
	Fail      bool   `json:"fail,omitempty"`
	Echo      string `json:"echo,omitempty"`
	MemoryMB  int    `json:"memoryMb,omitempty"`
}

// Result is what a task of the stand-in returns.
type Result struct {
	Worker string `json:"worker"`
	Echo   string `json:"echo,omitempty"`
}

type task struct {
	status   dispatcher.Status
	started  time.Time
	sequence int64
	timer    *time.Timer
	left     time.Duration
}

// Worker runs tasks by waiting; it obeys epochs, leases and reservations as docs/WORKERS.md asks.
type Worker struct {
	faultInjector
	mu       sync.Mutex
	info     scheduler.Worker
	epoch    int64
	sequence int64
	tasks    map[dispatcher.Attempt]*task
	saved    map[string]time.Duration
	lease    *time.Timer
	news     chan struct{}
	starts   map[string]int
}

// NewWorker returns an idle worker.
func NewWorker(info scheduler.Worker) *Worker {
	return &Worker{
		info:   info,
		tasks:  map[dispatcher.Attempt]*task{},
		saved:  map[string]time.Duration{},
		news:   make(chan struct{}),
		starts: map[string]int{},
	}
}

// Starts returns how often each job was started here without a checkpoint to go on from.
func (w *Worker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	starts := make(map[string]int, len(w.starts))
	for id, n := range w.starts {
		starts[id] = n
	}
	return starts
}

// Restart forgets everything, as a worker that was replaced under its old address.
func (w *Worker) Restart(incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		stopTimer(t)
	}
	w.tasks = map[dispatcher.Attempt]*task{}
	w.info.Incarnation = incarnation
	w.epoch = 0
	w.changed()
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

// changed wakes whoever waits for news; the lock is held.
func (w *Worker) changed() {
	close(w.news)
	w.news = make(chan struct{})
}

func (w *Worker) touch(t *task, state dispatcher.State) {
	w.sequence++
	t.sequence = w.sequence
	t.status.State = state
	w.changed()
}

func (w *Worker) obey(epoch int64, a dispatcher.Attempt) error {
	if a.Direct != "" {
		return nil
	}
	if epoch < w.epoch {
		return fmt.Errorf("%w: worker obeys epoch %d", dispatcher.ErrStaleEpoch, w.epoch)
	}
	w.epoch = epoch
	return nil
}

func (w *Worker) before(ctx context.Context) error {
	if err := w.wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", dispatcher.ErrNoAnswer, err)
	}
	if w.CurrentFaults().Down {
		return fmt.Errorf("%w: told to be down", dispatcher.ErrUnreachable)
	}
	return nil
}

func (w *Worker) after(s dispatcher.Status) (dispatcher.Status, error) {
	if w.loseReply() {
		return dispatcher.Status{}, fmt.Errorf("%w: reply lost", dispatcher.ErrNoAnswer)
	}
	return s, nil
}

// Reserve keeps accelerators for an attempt.
func (w *Worker) Reserve(ctx context.Context, r dispatcher.ReserveRequest) (dispatcher.Status, error) {
	if err := w.before(ctx); err != nil {
		return dispatcher.Status{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.obey(r.Epoch, r.Attempt); err != nil {
		return dispatcher.Status{}, err
	}
	if t := w.tasks[r.Attempt]; t != nil {
		return w.after(t.status)
	}
	if w.CurrentFaults().Leaving {
		return dispatcher.Status{}, fmt.Errorf("%w: leaving", dispatcher.ErrRefused)
	}
	if r.AnyAccelerators {
		r.Task.Accelerators = w.pick(r.Task.Spec.Shape.Accelerators)
	}
	if r.Task.Accelerators == nil || w.taken(r.Task.Accelerators) {
		return dispatcher.Status{}, fmt.Errorf("%w: accelerators are taken", dispatcher.ErrRefused)
	}
	t := &task{status: dispatcher.Status{Attempt: r.Attempt, Task: r.Task}}
	w.tasks[r.Attempt] = t
	t.timer = time.AfterFunc(time.Duration(r.ExpireSeconds)*time.Second, func() { w.expire(t) })
	w.touch(t, dispatcher.StateReserved)
	return w.after(t.status)
}

func (w *Worker) occupied() []bool {
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

func (w *Worker) taken(list []int) bool {
	used := w.occupied()
	return slices.ContainsFunc(list, func(a int) bool { return a < 0 || a >= len(used) || used[a] })
}

// pick returns the first count free accelerators, or nil.
func (w *Worker) pick(count int) []int {
	list := []int{}
	for a, used := range w.occupied() {
		if !used && len(list) < count {
			list = append(list, a)
		}
	}
	if len(list) < count {
		return nil
	}
	return list
}

func (w *Worker) expire(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.status.State == dispatcher.StateReserved {
		w.touch(t, dispatcher.StateNeverStarted)
	}
}

// Start runs a reserved attempt.
func (w *Worker) Start(ctx context.Context, r dispatcher.StartRequest) (dispatcher.Status, error) {
	return w.command(ctx, r.Epoch, r.Attempt, func(t *task) {
		if t.status.State == dispatcher.StateReserved {
			w.run(t)
		}
	})
}

// command carries out a command on a task; one that is not known is fenced off.
func (w *Worker) command(ctx context.Context, epoch int64, a dispatcher.Attempt, f func(t *task)) (dispatcher.Status, error) {
	if err := w.before(ctx); err != nil {
		return dispatcher.Status{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.obey(epoch, a); err != nil {
		return dispatcher.Status{}, err
	}
	t := w.tasks[a]
	if t == nil {
		t = w.fence(a)
	}
	f(t)
	return w.after(t.status)
}

// fence makes sure that an attempt that is not known here can never start.
func (w *Worker) fence(a dispatcher.Attempt) *task {
	t := &task{status: dispatcher.Status{Attempt: a}}
	w.tasks[a] = t
	w.touch(t, dispatcher.StateNeverStarted)
	return t
}

func (w *Worker) run(t *task) {
	stopTimer(t)
	var p Payload
	_ = json.Unmarshal(t.status.Task.Payload, &p)
	left := time.Duration(p.RunMillis) * time.Millisecond
	spec := t.status.Task.Spec.ID
	if t.status.Task.Resume {
		left -= min(left, w.saved[spec])
	} else {
		w.starts[spec]++
	}
	t.left = left
	t.started = time.Now()
	t.status.MemoryMB = p.MemoryMB
	fail := p.Fail || w.CurrentFaults().FailTasks
	if w.CurrentFaults().FailTasks {
		left = 0
	}
	t.timer = time.AfterFunc(left, func() { w.finish(t, p, fail) })
	w.touch(t, dispatcher.StateRunning)
}

func (w *Worker) finish(t *task, p Payload, fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.status.State != dispatcher.StateRunning {
		return
	}
	t.status.RunSeconds = time.Since(t.started).Seconds()
	if fail {
		t.status.Error = "task failed"
		w.touch(t, dispatcher.StateFailed)
		return
	}
	t.status.Result, _ = json.Marshal(Result{Worker: w.info.ID, Echo: p.Echo})
	sum := sha256.Sum256(t.status.Result)
	t.status.Digest = hex.EncodeToString(sum[:])
	w.touch(t, dispatcher.StateSucceeded)
}

// Stop ends an attempt, or fences it off.
func (w *Worker) Stop(ctx context.Context, r dispatcher.StopRequest) (dispatcher.Status, error) {
	return w.command(ctx, r.Epoch, r.Attempt, func(t *task) { w.halt(t, r.Checkpoint) })
}

func (w *Worker) halt(t *task, checkpoint bool) {
	switch t.status.State {
	case dispatcher.StateReserved:
		stopTimer(t)
		w.touch(t, dispatcher.StateNeverStarted)
	case dispatcher.StateRunning:
		stopTimer(t)
		ran := time.Since(t.started)
		t.status.RunSeconds = ran.Seconds()
		if checkpoint {
			w.saved[t.status.Task.Spec.ID] += min(ran, t.left)
			t.status.Checkpoint = true
		}
		w.touch(t, dispatcher.StateStopped)
	case dispatcher.StateSucceeded, dispatcher.StateFailed, dispatcher.StateStopped, dispatcher.StateNeverStarted:
	}
}

// Throttle acknowledges without effect.
func (w *Worker) Throttle(ctx context.Context, r dispatcher.ThrottleRequest) (dispatcher.Status, error) {
	if err := w.before(ctx); err != nil {
		return dispatcher.Status{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return dispatcher.Status{Attempt: r.Attempt}, nil
}

// Sync renews the lease, waits for news and returns it.
func (w *Worker) Sync(ctx context.Context, r dispatcher.SyncRequest) (dispatcher.SyncResponse, error) {
	if err := w.before(ctx); err != nil {
		return dispatcher.SyncResponse{}, err
	}
	if err := w.beginSync(r); err != nil {
		return dispatcher.SyncResponse{}, err
	}
	w.awaitNews(ctx, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report(r), nil
}

func (w *Worker) beginSync(r dispatcher.SyncRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Epoch > 0 {
		if err := w.obey(r.Epoch, dispatcher.Attempt{}); err != nil {
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
		w.lease = time.AfterFunc(time.Duration(r.LeaseSeconds)*time.Second, w.lapse)
	}
	return nil
}

// lapse stops everything, since no entry has been heard of for the length of a lease.
func (w *Worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.halt(t, false)
	}
}

func (w *Worker) awaitNews(ctx context.Context, r dispatcher.SyncRequest) {
	hold := time.NewTimer(time.Duration(r.HoldMillis) * time.Millisecond)
	defer hold.Stop()
	for {
		w.mu.Lock()
		fresh := w.sequence > r.Since || r.Incarnation != w.info.Incarnation
		news := w.news
		w.mu.Unlock()
		if fresh {
			return
		}
		select {
		case <-news:
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
	var list []*task
	for _, t := range w.tasks {
		if t.sequence > since {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return int(a.sequence - b.sequence) })
	if w.CurrentFaults().RepeatAnswers {
		slices.Reverse(list)
	}
	for _, t := range list {
		s := t.status
		if s.State == dispatcher.StateRunning {
			s.RunSeconds = time.Since(t.started).Seconds()
		}
		response.Tasks = append(response.Tasks, s)
	}
	return response
}

// Running returns how many tasks run now.
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
