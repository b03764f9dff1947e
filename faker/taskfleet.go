package faker

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// TaskFleet is a fake of the platform's workers, which records each violation of an invariant that they can see.
//
// A task must not start while it runs elsewhere, nor after its end was acknowledged.
type TaskFleet struct {
	// Advisor issues the tickets that starts need; nil means that no ticket is needed.
	Advisor *Advisor
	// OnReturn is called when a crashed worker is back as a new incarnation; it may be nil.
	OnReturn func(w *TaskWorker)

	mu      sync.Mutex
	workers map[string]*TaskWorker
	jobs    map[string]TaskJob
	// done are the tasks whose successful end was acknowledged, and doneTasks their numbers by job; started is the time of the last start of each task.
	done       map[string]bool
	doneTasks  map[string]int
	started    map[string]time.Time
	violations []string
	starts     map[string]int
	// failed are the failed runs of each task; those of a gang count for its first task.
	failed map[string]int
	// crashes are the workers that each task has crashed, startsAfter its starts after crashBudget of them.
	crashes, startsAfter map[string]int
	// running are the workers on which each task runs, gangs the runs with the same job and number.
	running map[string]map[*TaskWorker]bool
	gangs   map[gangRun]map[*taskRun]*TaskWorker
}

// gangRun names the runs of a job that were started together.
type gangRun struct {
	job string
	run int64
}

// TaskJob describes how the tasks of a job behave on the fake workers.
type TaskJob struct {
	// Duration is the run time of each task.
	Duration time.Duration
	// Gang is the number of tasks that only make progress together; 0 means that the tasks are independent.
	Gang int
	// Count is the number of tasks; only Standing needs it.
	Count int
	// RemoteFactor multiplies the duration of a gang on more than one rack; 0 means that racks do not matter.
	RemoteFactor int
	// Accelerators is the number of accelerators that each task uses.
	Accelerators int
	// Checkpoint is the checkpoint that each running task reports.
	Checkpoint string
	// FailRuns is the number of runs of each task, or of a gang, that fail before one succeeds.
	FailRuns int
	// CrashAfter is the time after its start at which each run crashes its worker; 0 means never.
	CrashAfter time.Duration
}

const (
	// crashedTime is how long a crashed worker is away.
	crashedTime = 3 * time.Second
	// crashBudget is the number of workers that a task may crash before its starts are counted, and extraStarts the number of these that violates an invariant.
	crashBudget, extraStarts = 3, 3
)

// NewTaskFleet returns a fleet without workers.
func NewTaskFleet() *TaskFleet {
	return &TaskFleet{
		workers: map[string]*TaskWorker{}, jobs: map[string]TaskJob{}, done: map[string]bool{}, doneTasks: map[string]int{}, started: map[string]time.Time{},
		starts: map[string]int{}, failed: map[string]int{}, crashes: map[string]int{}, startsAfter: map[string]int{}, running: map[string]map[*TaskWorker]bool{}, gangs: map[gangRun]map[*taskRun]*TaskWorker{},
	}
}

// SetJob sets how the tasks of a job behave.
func (f *TaskFleet) SetJob(id string, job TaskJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = job
}

// Violations describes each violation of an invariant that the workers have seen.
func (f *TaskFleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Starts returns the number of starts of tasks of the job, repeated ones included.
func (f *TaskFleet) Starts(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[job]
}

// Crashes returns the largest number of workers that one task of the job has crashed.
func (f *TaskFleet) Crashes(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for task, count := range f.crashes {
		if jobOfTask(task) == job {
			most = max(most, count)
		}
	}
	return most
}

// RunsOn reports whether the worker runs tasks.
func (f *TaskFleet) RunsOn(w *TaskWorker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(w.runs) > 0
}

// taskRun is a run on a worker.
type taskRun struct {
	name         string
	job          string
	run          int64
	startedAt    time.Time
	workingSince time.Time
	duration     time.Duration
}

func (r *taskRun) gang() gangRun { return gangRun{r.job, r.run} }

// endedRun is an entry in a worker's list of ended runs.
type endedRun struct {
	number int64
	at     time.Time
	// leaseExpired is set when the worker's lease expires after the end of the run; the task may then have been started elsewhere.
	leaseExpired bool
	name         string
	run          int64
	outcome      string
}

// TaskWorker is a worker of a fleet.
type TaskWorker struct {
	fleet        *TaskFleet
	ID           string
	accelerators int
	rack         string

	// The fleet's lock guards the fields below.
	startedAt     time.Time
	incarnation   int64
	lease         time.Duration
	fence         int64
	runs          map[string]*taskRun
	lastRun       map[string]int64
	endedRuns     []endedRun
	lastEndNumber int64
	silent        bool
	failing       bool
	// crashed means that the worker is away and resets its connections.
	crashed bool
	// stalledAt is the time since which the runs make no progress; it is zero if they do.
	stalledAt   time.Time
	lostReplies int
	// delayedStarts is the number of start requests that are left unanswered and executed startDelay later.
	delayedStarts int
	startDelay    time.Duration
	changed       chan struct{}
}

// Add adds a worker to the fleet and returns it.
func (f *TaskFleet) Add(id string, accelerators int) *TaskWorker {
	w := &TaskWorker{fleet: f, ID: id, accelerators: accelerators}
	w.Restart()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = w
	return w
}

// Restart begins a new incarnation of the worker, which has none of the earlier state.
func (w *TaskWorker) Restart() { w.restart(false) }

func (w *TaskWorker) restart(crashed bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.startedAt = time.Now()
	w.incarnation = w.startedAt.UnixMilli()
	w.lease, w.fence, w.endedRuns, w.lastEndNumber = 0, 0, nil, 0
	for _, run := range w.runs {
		w.remove(run)
		w.fleet.breakGang(run)
	}
	w.runs, w.lastRun = map[string]*taskRun{}, map[string]int64{}
	w.crashed = crashed
	w.notify()
}

// Crash ends the worker; a new incarnation is back after crashedTime.
func (w *TaskWorker) Crash() {
	w.restart(true)
	time.AfterFunc(crashedTime, func() {
		w.Restart()
		if w.fleet.OnReturn != nil {
			w.fleet.OnReturn(w)
		}
	})
}

// crashBy crashes the worker if the run is still there.
func (w *TaskWorker) crashBy(run *taskRun) {
	w.fleet.mu.Lock()
	there := w.runs[run.name] == run
	if there {
		for _, other := range w.runs {
			// Tasks that start together would each have crashed the worker.
			if w.fleet.jobs[other.job].CrashAfter > 0 {
				w.fleet.crashes[other.name]++
			}
		}
	}
	w.fleet.mu.Unlock()
	if there {
		w.Crash()
	}
}

// notify wakes the polls that wait for a change of the runs; the caller holds the fleet's lock.
func (w *TaskWorker) notify() {
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

// remove removes a run from the worker and from the indexes of the fleet.
func (w *TaskWorker) remove(run *taskRun) {
	delete(w.runs, run.name)
	if delete(w.fleet.running[run.name], w); len(w.fleet.running[run.name]) == 0 {
		delete(w.fleet.running, run.name)
	}
	if delete(w.fleet.gangs[run.gang()], run); len(w.fleet.gangs[run.gang()]) == 0 {
		delete(w.fleet.gangs, run.gang())
	}
}

// SetSilent sets whether the worker leaves all requests unanswered; its running tasks continue.
func (w *TaskWorker) SetSilent(silent bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silent = silent
}

// LoseStartReplies makes the worker execute the next count start requests without a response.
func (w *TaskWorker) LoseStartReplies(count int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.lostReplies = count
}

// DelayStarts makes the worker leave the next count start requests unanswered and execute them after the delay.
func (w *TaskWorker) DelayStarts(count int, delay time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.delayedStarts, w.startDelay = count, delay
}

// Describe returns the worker's row in the platform's server list.
func (w *TaskWorker) Describe(service, address, rack string) map[string]any {
	const cpu, memory = 32000, 65536
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.rack = rack
	return map[string]any{
		"service": service, "addr": address, "zone": "zone-a", "state": "ready", "slots": w.accelerators, "seq": 1,
		"capacity": map[string]any{"cpu": cpu, "memMb": memory, "gpu": w.accelerators}, "labels": []string{"a", rack}, "born": w.incarnation,
	}
}

// ServeHTTP implements http.Handler.
func (w *TaskWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.fleet.mu.Lock()
	silent, crashed := w.silent, w.crashed
	w.fleet.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if silent {
		awaitDisconnect(r)
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var request taskRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/run-start":
		w.serveStart(rw, r, request)
	case "/run-stop":
		w.serveStop(rw, request)
	case "/hold":
		w.servePoll(rw, r, request)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

type taskRequest struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	AckedUpto  int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
	Ticket     string `json:"ticket"`
}

func (w *TaskWorker) clock() time.Duration { return time.Since(w.startedAt) }

func (w *TaskWorker) respond(rw http.ResponseWriter, status int, fields map[string]any) {
	fields["clockMs"] = w.clock().Milliseconds()
	fields["born"] = w.incarnation
	writeJSON(rw, status, fields)
}

// admit rejects a request with an old fence and extends the lease otherwise; the caller holds the fleet's lock.
func (w *TaskWorker) admit(rw http.ResponseWriter, request taskRequest) bool {
	if request.Fence < w.fence {
		w.respond(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	w.fence = request.Fence
	w.lease = max(w.lease, time.Duration(request.DeadlineMs)*time.Millisecond)
	return true
}

func (w *TaskWorker) serveStart(rw http.ResponseWriter, r *http.Request, request taskRequest) {
	w.fleet.mu.Lock()
	w.endDueRuns()
	if w.delayedStarts > 0 {
		w.delayedStarts--
		time.AfterFunc(w.startDelay, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			w.endDueRuns()
			w.startTask(unread{}, request)
		})
		w.fleet.mu.Unlock()
		<-r.Context().Done()
		return
	}
	lost := w.lostReplies > 0
	if lost {
		w.lostReplies--
	}
	status, reason := w.startTask(rw, request)
	w.fleet.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	if status == 0 {
		return
	}
	w.respond(rw, status, map[string]any{"reason": reason})
}

// unread is the writer of a response that nobody waits for.
type unread struct{}

// Header implements http.ResponseWriter.
func (unread) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (unread) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader implements http.ResponseWriter.
func (unread) WriteHeader(int) {}

func (w *TaskWorker) startTask(rw http.ResponseWriter, request taskRequest) (int, string) {
	if !w.admit(rw, request) {
		return 0, ""
	}
	if run := w.runs[request.Task]; run != nil && run.run == request.Run {
		return http.StatusOK, ""
	}
	if request.Run <= w.lastRun[request.Task] || w.runs[request.Task] != nil {
		return http.StatusConflict, "old"
	}
	if w.clock() > time.Duration(request.DeadlineMs)*time.Millisecond {
		return http.StatusConflict, "late"
	}
	if w.fleet.Advisor != nil && !w.fleet.Advisor.valid(request.Ticket, w.ID, request.Task) {
		return http.StatusConflict, "ticket"
	}
	job := jobOfTask(request.Task)
	if w.acceleratorsInUse()+w.fleet.jobs[job].Accelerators > w.accelerators {
		return http.StatusConflict, "room"
	}
	w.fleet.checkStart(w, request.Task, job)
	run := &taskRun{name: request.Task, job: job, run: request.Run, startedAt: time.Now()}
	w.runs[request.Task] = run
	if w.fleet.running[run.name] == nil {
		w.fleet.running[run.name] = map[*TaskWorker]bool{}
	}
	w.fleet.running[run.name][w] = true
	if w.fleet.gangs[run.gang()] == nil {
		w.fleet.gangs[run.gang()] = map[*taskRun]*TaskWorker{}
	}
	w.fleet.gangs[run.gang()][run] = w
	w.notify()
	w.fleet.assemble(run.gang())
	if after := w.fleet.jobs[job].CrashAfter; after > 0 {
		time.AfterFunc(after, func() { w.crashBy(run) })
	}
	return http.StatusOK, ""
}

// checkStart counts a start and records the invariants that it violates.
func (f *TaskFleet) checkStart(w *TaskWorker, task, job string) {
	f.starts[job]++
	if f.crashes[task] >= crashBudget {
		if f.startsAfter[task]++; f.startsAfter[task] == extraStarts {
			f.violations = append(f.violations, fmt.Sprintf("%s started %d times more after it had crashed %d workers", task, extraStarts, crashBudget))
		}
	}
	if f.done[task] {
		f.violations = append(f.violations, fmt.Sprintf("%s started on %s after it was done", task, w.ID))
	}
	f.started[task] = time.Now()
	others := slices.Collect(maps.Keys(f.running[task]))
	for _, other := range others {
		other.endDueRuns()
		if other.runs[task] != nil {
			f.violations = append(f.violations, fmt.Sprintf("%s started on %s while it runs on %s", task, w.ID, other.ID))
		}
	}
}

// acknowledge records that the owner has seen the end of a run; a task that is done must not start again.
func (f *TaskFleet) acknowledge(e endedRun) {
	if e.outcome != "done" || e.leaseExpired {
		return
	}
	if !f.done[e.name] {
		f.done[e.name] = true
		f.doneTasks[jobOfTask(e.name)]++
	}
	if f.started[e.name].After(e.at) {
		f.violations = append(f.violations, fmt.Sprintf("%s was started again after run %d was done", e.name, e.run))
	}
}

func jobOfTask(task string) string {
	const idLength = 16
	if len(task) < idLength {
		return task
	}
	return task[:idLength]
}

func (w *TaskWorker) acceleratorsInUse() int {
	sum := 0
	for _, run := range w.runs {
		sum += w.fleet.jobs[run.job].Accelerators
	}
	return sum
}

// assemble starts the progress of the tasks of a run: those of a gang once all its members have started.
func (f *TaskFleet) assemble(gang gangRun) {
	workers := slices.Collect(maps.Values(f.gangs[gang]))
	for _, w := range workers {
		w.endDueRuns()
	}
	job, members := f.jobs[gang.job], f.gangs[gang]
	if job.Gang > 0 && len(members) < job.Gang {
		return
	}
	duration, racks := job.Duration, map[string]bool{}
	for _, w := range members {
		racks[w.rack] = true
	}
	if job.Gang > 0 && job.RemoteFactor > 0 && len(racks) > 1 {
		duration *= time.Duration(job.RemoteFactor)
	}
	for r, w := range members {
		if r.workingSince.IsZero() {
			r.workingSince, r.duration = time.Now(), duration
			w.notify()
		}
	}
}

const (
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
	// failingTime is how long a run works before it fails on a worker that fails all runs.
	failingTime = 200 * time.Millisecond
)

// endDueRuns ends the runs that are due: all if the lease has expired; the caller holds the fleet's lock.
func (w *TaskWorker) endDueRuns() {
	if w.lease > 0 && w.clock() > w.lease {
		for _, run := range w.runs {
			w.end(run, "lapsed")
		}
		for i := range w.endedRuns {
			w.endedRuns[i].leaseExpired = true
		}
		return
	}
	for _, run := range w.runs {
		job, attempts := w.fleet.jobs[run.job], run.name
		if job.Gang > 0 {
			attempts = run.job
		}
		switch {
		case run.workingSince.IsZero() && time.Since(run.startedAt) > gangTimeout:
			w.end(run, "alone")
		case run.workingSince.IsZero():
		case w.failing && w.worked(run) > failingTime:
			w.fleet.failed[attempts]++
			w.end(run, "failed")
		case w.worked(run) < run.duration:
		case w.fleet.failed[attempts] < job.FailRuns:
			w.fleet.failed[attempts]++
			w.end(run, "failed")
		default:
			w.end(run, "done")
		}
	}
}

// end moves a run to the list of ended runs; unless the run is done, the other members of its gang end as broken.
func (w *TaskWorker) end(run *taskRun, outcome string) {
	w.remove(run)
	w.lastRun[run.name] = max(w.lastRun[run.name], run.run)
	w.lastEndNumber++
	w.endedRuns = append(w.endedRuns, endedRun{number: w.lastEndNumber, at: time.Now(), name: run.name, run: run.run, outcome: outcome})
	w.notify()
	if outcome != "done" && outcome != "broken" {
		w.fleet.breakGang(run)
	}
}

// breakGang ends the other members of the run's gang as broken.
func (f *TaskFleet) breakGang(run *taskRun) {
	if f.jobs[run.job].Gang == 0 {
		return
	}
	for member, other := range maps.Clone(f.gangs[run.gang()]) {
		if member != run {
			other.end(member, "broken")
		}
	}
}

func (w *TaskWorker) percent(run *taskRun) int {
	const hundred = 100
	if run.workingSince.IsZero() {
		return 0
	}
	return int(hundred * w.worked(run) / max(1, run.duration))
}

// worked returns how long the run has made progress.
func (w *TaskWorker) worked(run *taskRun) time.Duration {
	if w.stalledAt.IsZero() {
		return time.Since(run.workingSince)
	}
	return max(0, w.stalledAt.Sub(run.workingSince))
}

// untilDue returns the time until the next run of the worker is due to end.
func (w *TaskWorker) untilDue() time.Duration {
	due := time.Hour
	if clock := w.clock(); w.lease > clock {
		due = w.lease - clock
	}
	for _, run := range w.runs {
		switch {
		case run.workingSince.IsZero():
			due = min(due, gangTimeout-time.Since(run.startedAt))
		case w.failing:
			due = min(due, failingTime-w.worked(run))
		case w.stalledAt.IsZero():
			due = min(due, run.duration-w.worked(run))
		}
	}
	return max(due, 0) + time.Millisecond
}

func (w *TaskWorker) serveStop(rw http.ResponseWriter, request taskRequest) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.endDueRuns()
	if !w.admit(rw, request) {
		return
	}
	if run := w.runs[request.Task]; run != nil && run.run <= request.Run {
		w.end(run, "stopped")
	}
	w.lastRun[request.Task] = max(w.lastRun[request.Task], request.Run)
	w.respond(rw, http.StatusOK, map[string]any{})
}

func (w *TaskWorker) servePoll(rw http.ResponseWriter, r *http.Request, request taskRequest) {
	until := time.Now().Add(time.Duration(request.WaitMs) * time.Millisecond)
	for {
		w.fleet.mu.Lock()
		if w.crashed {
			w.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.endDueRuns()
		if !w.admit(rw, request) {
			w.fleet.mu.Unlock()
			return
		}
		for len(w.endedRuns) > 0 && w.endedRuns[0].number <= request.AckedUpto {
			w.fleet.acknowledge(w.endedRuns[0])
			w.endedRuns = w.endedRuns[1:]
		}
		if len(w.endedRuns) > 0 || !time.Now().Before(until) {
			break
		}
		wait, changed := min(w.untilDue(), time.Until(until)), w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	if w.silent {
		w.fleet.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer w.fleet.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.name, run.run, w.fleet.jobs[run.job].Checkpoint, w.percent(run)})
	}
	for _, e := range w.endedRuns {
		ended = append(ended, []any{e.number, e.name, e.run, e.outcome, ""})
	}
	w.respond(rw, http.StatusOK, map[string]any{"running": running, "finished": ended})
}
