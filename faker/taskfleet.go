package faker

import (
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
	// lostUnder are the incarnations of workers that ended while they ran the task.
	lostUnder map[string]int
	// evacuated maps the evacuated zones to the time from which on no task may start there, startsIn the zones to the starts there.
	evacuated map[string]time.Time
	startsIn  map[string]int
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
	// Count is the number of tasks, MaxPerWorker their limit on one worker or 0; only Standing needs them.
	Count, MaxPerWorker int
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

// NewTaskFleet returns a fleet without workers.
func NewTaskFleet() *TaskFleet {
	return &TaskFleet{
		workers: map[string]*TaskWorker{}, jobs: map[string]TaskJob{}, done: map[string]bool{}, doneTasks: map[string]int{}, started: map[string]time.Time{},
		starts: map[string]int{}, failed: map[string]int{}, crashes: map[string]int{}, startsAfter: map[string]int{}, lostUnder: map[string]int{}, running: map[string]map[*TaskWorker]bool{}, gangs: map[gangRun]map[*taskRun]*TaskWorker{},
		evacuated: map[string]time.Time{}, startsIn: map[string]int{},
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
	zone         string

	// The fleet's lock guards the fields below.
	startedAt   time.Time
	incarnation int64
	lease       time.Duration
	fence       int64
	runs        map[string]*taskRun
	lastRun     map[string]int64
	// highestFence and settledRuns are the highest fence and the last ended or stopped runs of all earlier incarnations.
	highestFence  int64
	settledRuns   map[string]int64
	endedRuns     []endedRun
	lastEndNumber int64
	silent        bool
	// pollsUntilSilent is the number of polls after which the worker becomes silent; 0 means that it does not.
	pollsUntilSilent int
	failing          bool
	// crashed means that the worker is away and resets its connections.
	crashed bool
	// stalledAt is the time since which the runs make no progress; it is zero if they do.
	stalledAt   time.Time
	lostReplies int
	// delayedStarts is the number of start requests that are left unanswered and executed startDelay later.
	delayedStarts int
	startDelay    time.Duration
	// delayedPolls is the number of polls that are left unanswered and executed pollDelay later.
	delayedPolls int
	pollDelay    time.Duration
	changed      chan struct{}
}

// UnacknowledgedEnds returns the number of ended runs that the worker has to keep.
func (w *TaskWorker) UnacknowledgedEnds() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return len(w.endedRuns)
}

// Add adds a worker to the fleet and returns it.
func (f *TaskFleet) Add(id string, accelerators int) *TaskWorker {
	w := &TaskWorker{fleet: f, ID: id, accelerators: accelerators, zone: "zone-a"}
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
	if w.settledRuns == nil {
		w.settledRuns = map[string]int64{}
	}
	w.highestFence = max(w.highestFence, w.fence)
	for task, run := range w.lastRun {
		w.settledRuns[task] = max(w.settledRuns[task], run)
	}
	w.lease, w.fence, w.endedRuns, w.lastEndNumber = 0, 0, nil, 0
	for _, run := range w.runs {
		w.fleet.lostUnder[run.name]++
	}
	for _, run := range w.runs {
		w.remove(run)
		w.fleet.breakGang(run)
	}
	w.runs, w.lastRun = map[string]*taskRun{}, map[string]int64{}
	w.crashed = crashed
	w.notify()
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

// Describe returns the worker's row in the platform's server list.
func (w *TaskWorker) Describe(service, address, rack string) map[string]any {
	const cpu, memory = 32000, 65536
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.rack = rack
	return map[string]any{
		"service": service, "addr": address, "zone": w.zone, "state": "ready", "slots": w.accelerators, "seq": 1,
		"capacity": map[string]any{"cpu": cpu, "memMb": memory, "gpu": w.accelerators}, "labels": []string{"a", rack}, "born": w.incarnation,
	}
}

func (w *TaskWorker) clock() time.Duration { return time.Since(w.startedAt) }

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
	w.fleet.checkZone(w, request)
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
