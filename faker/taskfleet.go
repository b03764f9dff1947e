package faker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// TaskFleet stands in for the operated platform's workers and notes each broken promise that they can see.
type TaskFleet struct {
	// Advisor issues the tickets without which no task starts; nil means that none are needed.
	Advisor *Advisor

	mu      sync.Mutex
	workers map[string]*TaskWorker
	jobs    map[string]TaskJob
	// done are the tasks whose end was taken note of, started when each was last started.
	done    map[string]bool
	started map[string]time.Time
	broken  []string
	starts  map[string]int
	failed  map[string]int
}

// TaskJob is what the stand-ins need to know of a job to run its tasks.
type TaskJob struct {
	// Duration is what each task takes.
	Duration time.Duration
	// Gang is the number of tasks that only work together; 0 for tasks that stand alone.
	Gang int
	// Accelerators are what each task takes of its worker.
	Accelerators int
	// Checkpoint is what each running task says that it has saved.
	Checkpoint string
	// FailRuns is the number of runs of each task that fail first.
	FailRuns int
}

// NewTaskFleet returns a fleet without workers.
func NewTaskFleet() *TaskFleet {
	return &TaskFleet{workers: map[string]*TaskWorker{}, jobs: map[string]TaskJob{}, done: map[string]bool{}, started: map[string]time.Time{}, starts: map[string]int{}, failed: map[string]int{}}
}

// SetJob tells the fleet how tasks of a job behave.
func (f *TaskFleet) SetJob(id string, job TaskJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = job
}

// Violations describes each violation of an invariant that the workers have seen.
func (f *TaskFleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// Starts returns how many tasks of the job were started, repetitions included.
func (f *TaskFleet) Starts(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[job]
}

// taskRun is a run on a worker.
type taskRun struct {
	name    string
	job     string
	run     int64
	began   time.Time
	working time.Time
}

// taskEnd is a row of a worker's list of ends.
type taskEnd struct {
	number int64
	at     time.Time
	// lapsed tells that the worker's lease has run out since, so that the task may have been started elsewhere.
	lapsed bool
	name   string
	run    int64
	how    string
}

// TaskWorker is one worker of a fleet.
type TaskWorker struct {
	fleet        *TaskFleet
	ID           string
	accelerators int

	// The fields below are guarded by the fleet's lock.
	born      time.Time
	bornMs    int64
	lease     time.Duration
	fence     int64
	runs      map[string]*taskRun
	used      map[string]int64
	ends      []taskEnd
	lastEnd   int64
	silent    bool
	loseStart int
	changed   chan struct{}
}

// Add returns a new worker of the fleet.
func (f *TaskFleet) Add(id string, accelerators int) *TaskWorker {
	w := &TaskWorker{fleet: f, ID: id, accelerators: accelerators}
	w.Restart()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = w
	return w
}

// Restart begins a new life of the worker, which knows nothing of the one before.
func (w *TaskWorker) Restart() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.born = time.Now()
	w.bornMs = w.born.UnixMilli()
	w.lease, w.fence, w.ends, w.lastEnd = 0, 0, nil, 0
	w.runs, w.used = map[string]*taskRun{}, map[string]int64{}
	w.changed = make(chan struct{})
}

// SetSilent makes the worker leave all calls unanswered, while what it runs goes on.
func (w *TaskWorker) SetSilent(silent bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silent = silent
}

// LoseStartReplies makes the worker execute the next count start requests without a response.
func (w *TaskWorker) LoseStartReplies(count int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.loseStart = count
}

// Describe returns what the worker says of itself in the platform's list.
func (w *TaskWorker) Describe(service, address, rack string) map[string]any {
	const cpu, memory = 32000, 65536
	return map[string]any{
		"service": service, "addr": address, "zone": "zone-a", "state": "ready", "slots": w.accelerators, "seq": 1,
		"capacity": map[string]any{"cpu": cpu, "memMb": memory, "gpu": w.accelerators}, "labels": []string{"a", rack}, "born": w.bornMs,
	}
}

// ServeHTTP implements http.Handler.
func (w *TaskWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.fleet.mu.Lock()
	silent := w.silent
	w.fleet.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o taskOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/run-start":
		w.serveStart(rw, r, o)
	case "/run-stop":
		w.serveStop(rw, o)
	case "/hold":
		w.serveHold(rw, r, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

type taskOrder struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	AckedUpto  int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
	Ticket     string `json:"ticket"`
}

func (w *TaskWorker) clock() time.Duration { return time.Since(w.born) }

func (w *TaskWorker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	fields["clockMs"] = w.clock().Milliseconds()
	fields["born"] = w.bornMs
	answerJSON(rw, status, fields)
}

// admit checks the fence; the fleet's lock is held.
func (w *TaskWorker) admit(rw http.ResponseWriter, o taskOrder) bool {
	if o.Fence < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	w.fence = o.Fence
	w.lease = max(w.lease, time.Duration(o.DeadlineMs)*time.Millisecond)
	return true
}

func (w *TaskWorker) serveStart(rw http.ResponseWriter, r *http.Request, o taskOrder) {
	w.fleet.mu.Lock()
	w.advance()
	lost := w.loseStart > 0
	if lost {
		w.loseStart--
	}
	status, reason := w.begin(rw, o)
	w.fleet.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	if status == 0 {
		return
	}
	w.answer(rw, status, map[string]any{"reason": reason})
}

func (w *TaskWorker) begin(rw http.ResponseWriter, o taskOrder) (int, string) {
	if !w.admit(rw, o) {
		return 0, ""
	}
	if run := w.runs[o.Task]; run != nil && run.run == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= w.used[o.Task] || w.runs[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	if w.clock() > time.Duration(o.DeadlineMs)*time.Millisecond {
		return http.StatusConflict, "late"
	}
	if w.fleet.Advisor != nil && !w.fleet.Advisor.valid(o.Ticket, w.ID, o.Task) {
		return http.StatusConflict, "ticket"
	}
	job := jobOfTask(o.Task)
	if w.occupied()+w.fleet.jobs[job].Accelerators > w.accelerators {
		return http.StatusConflict, "room"
	}
	w.fleet.noteStart(w, o.Task, job)
	w.runs[o.Task] = &taskRun{name: o.Task, job: job, run: o.Run, began: time.Now()}
	w.fleet.assemble(job, o.Run)
	return http.StatusOK, ""
}

// noteStart checks a start against all that the fleet has seen.
func (f *TaskFleet) noteStart(w *TaskWorker, task, job string) {
	f.starts[job]++
	if f.done[task] {
		f.broken = append(f.broken, fmt.Sprintf("%s started on %s after it was done", task, w.ID))
	}
	f.started[task] = time.Now()
	for _, other := range f.workers {
		other.advance()
		if other.runs[task] != nil {
			f.broken = append(f.broken, fmt.Sprintf("%s started on %s while it runs on %s", task, w.ID, other.ID))
		}
	}
}

// takeNote makes a done task's end final.
func (f *TaskFleet) takeNote(e taskEnd) {
	if e.how != "done" || e.lapsed {
		return
	}
	f.done[e.name] = true
	if f.started[e.name].After(e.at) {
		f.broken = append(f.broken, fmt.Sprintf("%s was started again after run %d was done", e.name, e.run))
	}
}

func jobOfTask(task string) string {
	const idLength = 16
	if len(task) < idLength {
		return task
	}
	return task[:idLength]
}

func (w *TaskWorker) occupied() int {
	sum := 0
	for _, run := range w.runs {
		sum += w.fleet.jobs[run.job].Accelerators
	}
	return sum
}

// assemble lets the tasks of a run work: those of a gang once all are there.
func (f *TaskFleet) assemble(job string, run int64) {
	var members []*taskRun
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.job == job && r.run == run {
				members = append(members, r)
			}
		}
	}
	if gang := f.jobs[job].Gang; gang > 0 && len(members) < gang {
		return
	}
	for _, r := range members {
		if r.working.IsZero() {
			r.working = time.Now()
		}
	}
}

// advance ends what is due; the fleet's lock is held.
func (w *TaskWorker) advance() {
	if w.lease > 0 && w.clock() > w.lease {
		for _, run := range w.runs {
			w.end(run, "lapsed")
		}
		for i := range w.ends {
			w.ends[i].lapsed = true
		}
		return
	}
	const gangWait = 3 * time.Second
	for _, run := range w.runs {
		job := w.fleet.jobs[run.job]
		switch {
		case run.working.IsZero() && time.Since(run.began) > gangWait:
			w.end(run, "alone")
		case run.working.IsZero() || time.Since(run.working) < job.Duration:
		case w.fleet.failed[run.name] < job.FailRuns:
			w.fleet.failed[run.name]++
			w.end(run, "failed")
		default:
			w.end(run, "done")
		}
	}
}

// end moves a run to the list of ends; a gang loses its other members unless it is done.
func (w *TaskWorker) end(run *taskRun, how string) {
	delete(w.runs, run.name)
	w.used[run.name] = max(w.used[run.name], run.run)
	w.lastEnd++
	w.ends = append(w.ends, taskEnd{number: w.lastEnd, at: time.Now(), name: run.name, run: run.run, how: how})
	close(w.changed)
	w.changed = make(chan struct{})
	if w.fleet.jobs[run.job].Gang == 0 || how == "done" || how == "broken" {
		return
	}
	for _, other := range w.fleet.workers {
		for _, member := range other.runs {
			if member.job == run.job && member.run == run.run {
				other.end(member, "broken")
			}
		}
	}
}

func (w *TaskWorker) percent(run *taskRun) int {
	const whole = 100
	if run.working.IsZero() {
		return 0
	}
	return int(whole * time.Since(run.working) / max(1, w.fleet.jobs[run.job].Duration))
}

func (w *TaskWorker) serveStop(rw http.ResponseWriter, o taskOrder) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.advance()
	if !w.admit(rw, o) {
		return
	}
	if run := w.runs[o.Task]; run != nil && run.run <= o.Run {
		w.end(run, "stopped")
	}
	w.used[o.Task] = max(w.used[o.Task], o.Run)
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *TaskWorker) serveHold(rw http.ResponseWriter, r *http.Request, o taskOrder) {
	const look = 20 * time.Millisecond
	until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for {
		w.fleet.mu.Lock()
		w.advance()
		if !w.admit(rw, o) {
			w.fleet.mu.Unlock()
			return
		}
		for len(w.ends) > 0 && w.ends[0].number <= o.AckedUpto {
			w.fleet.takeNote(w.ends[0])
			w.ends = w.ends[1:]
		}
		if len(w.ends) > 0 || !time.Now().Before(until) {
			break
		}
		w.fleet.mu.Unlock()
		select {
		case <-time.After(look):
		case <-r.Context().Done():
			return
		}
	}
	defer w.fleet.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.name, run.run, w.fleet.jobs[run.job].Checkpoint, w.percent(run)})
	}
	for _, e := range w.ends {
		ended = append(ended, []any{e.number, e.name, e.run, e.how, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "finished": ended})
}
