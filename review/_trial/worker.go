package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold, stopTime and maxListed are those of PROTOCOL.md and of the settings.
	maxHold   = 10 * time.Second
	maxListed = 500
	gangWait  = 3 * time.Second
	greyRun   = 300 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// need is what a task of the stand-in clients uses; a worker reads it from the task's spec.
type need struct {
	// Millis is how long the task works, CPU is in thousandths of a core.
	Millis int `json:"millis"`
	CPU    int `json:"cpu"`
	MemMB  int `json:"memMb"`
	GPU    int `json:"gpu"`
	// Lasting tasks work until they are stopped.
	Lasting bool `json:"lasting,omitempty"`
	// Requires is a label that the worker must have.
	Requires string `json:"requires,omitempty"`
	// Gang is the number of tasks that work only together; 0 means that they work by themselves.
	Gang int `json:"gang,omitempty"`
	// PerServer is the largest number of tasks of the step on one worker; 0 means no limit.
	PerServer int `json:"perServer,omitempty"`
}

// run is a run of a task on a worker.
type run struct {
	task    string
	number  int64
	spec    need
	started time.Time
	timer   *time.Timer
	worker  *worker
}

// gang names the runs of a step that were started together: ID.K.STEP and the number of the run.
type gang struct {
	step string
	run  int64
}

func (r *run) gang() gang { return gang{r.task[:strings.LastIndexByte(r.task, '.')], r.number} }

// ended is an entry of a worker's list of ended runs.
type ended struct {
	number  int64
	task    string
	run     int64
	outcome string
}

// worker is a sound worker as PROTOCOL.md describes it.
type worker struct {
	fleet   *fleet
	id      string
	address string
	rack    string
	kind    string

	// The fleet's mutex guards the fields below.
	born     time.Time
	fence    int64
	lease    time.Duration
	runs     map[string]*run
	lastRun  map[string]int64
	ends     []ended
	lastEnd  int64
	changed  chan struct{}
	down     bool
	sequence int
	conns    map[net.Conn]bool
	// state is that of the worker's entry in the list.
	state string
	// grey means that all that the worker starts fails after greyRun.
	grey bool
}

// capacity is that of each worker: those of the site berkep-snipelift.
var capacity = need{CPU: 32000, MemMB: 65536, GPU: 8}

// fleet is the set of workers, with the record of all that they ran.
type fleet struct {
	mu      sync.Mutex
	workers []*worker
	record  *record
	store   *store
	// doneAt is when a run of a task ended as done, acked when its end was acknowledged, by task.
	doneAt, acked map[string]time.Time
	// gangs are the members of gangs that are present.
	gangs map[gang][]*run
	// leftAt is when the latest run of a task ended or was lost with its worker, by task.
	leftAt        map[string]time.Time
	starts, dones int
	// onStart is called with each start of a task, with the mutex held; it may be nil.
	onStart func(w *worker, r *run)
	// onDone is called with each run that ended as done, with the mutex held; it may be nil.
	onDone func(r *run)
	// quiet leaves starts and ends of the job with this prefix out of the record.
	quiet string
}

func newFleet(rec *record, s *store) *fleet {
	return &fleet{record: rec, store: s, doneAt: map[string]time.Time{}, acked: map[string]time.Time{}, leftAt: map[string]time.Time{}, gangs: map[gang][]*run{}}
}

// add starts a worker and lists it in the store.
func (f *fleet) add(id, rack, kind string) (*worker, error) {
	w := &worker{fleet: f, id: id, rack: rack, kind: kind, state: "ready", conns: map[net.Conn]bool{}}
	w.reset()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute, ConnState: w.trackConnection}
	go func() { _ = server.Serve(l) }()
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	w.register()
	go w.beat()
	return w, nil
}

// trackConnection notes the open connections, which a crash resets.
func (w *worker) trackConnection(c net.Conn, state http.ConnState) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// reset begins a new incarnation, which has none of the earlier state.
func (w *worker) reset() {
	w.born, w.fence, w.lease = time.Now(), 0, 0
	w.runs, w.lastRun, w.ends, w.lastEnd = map[string]*run{}, map[string]int64{}, nil, 0
	w.changed = make(chan struct{})
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// register writes the worker's entry in the list of workers.
func (w *worker) register() {
	w.fleet.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": "tabulator", "addr": w.address, "zone": "zone-a", "version": "1", "slots": 8, "state": w.state, "seq": w.sequence,
		"capacity": map[string]any{"cpu": capacity.CPU, "memMb": capacity.MemMB, "gpu": capacity.GPU},
		"labels":   []string{w.kind, w.rack}, "born": w.born.UnixMilli(),
	}
	down := w.down
	w.fleet.mu.Unlock()
	if !down {
		w.fleet.store.put("servers", w.id, entry)
	}
}

func (w *worker) beat() {
	for range time.Tick(heartbeat) {
		w.register()
	}
}

// leave reports that the worker drains, and ends it after the given time, with its entry.
func (w *worker) leave(after time.Duration) {
	w.fleet.mu.Lock()
	w.state = "draining"
	w.fleet.mu.Unlock()
	w.fleet.record.line("worker %s drains", w.id)
	w.register()
	time.AfterFunc(after, func() {
		w.fleet.mu.Lock()
		w.down = true
		for c := range w.conns {
			_ = c.Close()
		}
		w.fleet.mu.Unlock()
		w.fleet.store.rows.Remove("servers", w.id)
		w.fleet.record.line("worker %s has left", w.id)
	})
}

// crash ends all runs and resets all connections; the worker is back under its ID after the given time.
func (w *worker) crash(away time.Duration) {
	w.fleet.mu.Lock()
	var lost []string
	for _, r := range w.runs {
		r.timer.Stop()
		w.fleet.leftAt[r.task] = time.Now()
		lost = append(lost, fmt.Sprintf("%s run %d", r.task, r.number))
	}
	w.fleet.record.line("worker %s crashes, lost with it: %s", w.id, strings.Join(lost, ", "))
	w.down = true
	w.reset()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	w.fleet.mu.Unlock()
	time.AfterFunc(away, func() {
		w.fleet.mu.Lock()
		w.down = false
		w.reset()
		w.fleet.mu.Unlock()
		w.fleet.record.line("worker %s is back", w.id)
		w.register()
	})
}

type request struct {
	Task           string `json:"task"`
	Run            int64  `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     int64  `json:"deadlineMs"`
	Fence          int64  `json:"fence"`
	AckedUpto      int64  `json:"ackedUpto"`
	WaitMs         int64  `json:"waitMs"`
	LastCheckpoint string `json:"lastCheckpoint"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.fleet.mu.Lock()
	down := w.down
	w.fleet.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	switch r.URL.Path {
	case "/run-start":
		status, reason := w.start(q)
		w.respond(rw, status, map[string]any{"reason": reason})
	case "/run-stop":
		status, reason := w.stop(q)
		w.respond(rw, status, map[string]any{"reason": reason})
	case "/hold":
		w.hold(rw, r, q)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) respond(rw http.ResponseWriter, status int, fields map[string]any) {
	fields["clockMs"], fields["born"] = w.clock().Milliseconds(), w.born.UnixMilli()
	if fields["reason"] == "" {
		delete(fields, "reason")
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(fields)
}

// admit applies the fence and the lease of a call.
func (w *worker) admit(q request) bool {
	w.expire()
	if q.Fence < w.fence {
		return false
	}
	w.fence = q.Fence
	w.lease = max(w.lease, min(time.Duration(q.DeadlineMs)*time.Millisecond, w.clock()+maxHold))
	return true
}

// expire ends everything once the lease has lapsed.
func (w *worker) expire() {
	if w.lease > 0 && w.clock() > w.lease {
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
	}
}

func (w *worker) used() need {
	var sum need
	for _, r := range w.runs {
		sum.CPU, sum.MemMB, sum.GPU = sum.CPU+r.spec.CPU, sum.MemMB+r.spec.MemMB, sum.GPU+r.spec.GPU
	}
	return sum
}

func (w *worker) start(q request) (int, string) {
	if !w.admit(q) {
		return http.StatusConflict, "fence"
	}
	if r := w.runs[q.Task]; r != nil && r.number == q.Run {
		return http.StatusOK, ""
	}
	if q.Run <= w.lastRun[q.Task] || w.runs[q.Task] != nil {
		return http.StatusConflict, "old"
	}
	if w.clock() > time.Duration(q.DeadlineMs)*time.Millisecond {
		return http.StatusConflict, "late"
	}
	r := &run{task: q.Task, number: q.Run, started: time.Now(), worker: w}
	if err := json.Unmarshal([]byte(q.Spec), &r.spec); err != nil {
		return http.StatusBadRequest, "spec"
	}
	used := w.used()
	if used.CPU+r.spec.CPU > capacity.CPU || used.MemMB+r.spec.MemMB > capacity.MemMB || used.GPU+r.spec.GPU > capacity.GPU {
		return http.StatusConflict, "room"
	}
	w.runs[r.task] = r
	w.fleet.starts++
	if w.fleet.quiet == "" || !strings.HasPrefix(r.task, w.fleet.quiet) {
		w.fleet.record.line("%s starts %s run %d", w.id, r.task, r.number)
	}
	if w.fleet.onStart != nil {
		w.fleet.onStart(w, r)
	}
	if w.grey {
		r.timer = time.AfterFunc(greyRun, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if w.runs[r.task] == r {
				w.end(r, "failed")
			}
		})
		return http.StatusOK, ""
	}
	if r.spec.Gang > 0 {
		w.fleet.join(r)
		return http.StatusOK, ""
	}
	if r.spec.Lasting {
		r.timer = time.AfterFunc(time.Hour, func() {})
		return http.StatusOK, ""
	}
	r.timer = time.AfterFunc(time.Duration(r.spec.Millis)*time.Millisecond, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.expire()
		if w.runs[r.task] == r {
			w.end(r, "done")
		}
	})
	return http.StatusOK, ""
}

// join adds a run to its gang, which works once all members are present, and ends as done together.
func (f *fleet) join(r *run) {
	r.timer = time.AfterFunc(gangWait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.worker.runs[r.task] == r {
			r.worker.end(r, "alone")
		}
	})
	f.gangs[r.gang()] = append(f.gangs[r.gang()], r)
	members := f.gangs[r.gang()]
	if len(members) < r.spec.Gang {
		return
	}
	for _, member := range members {
		member.timer.Stop()
	}
	r.timer = time.AfterFunc(time.Duration(r.spec.Millis)*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.gangs[r.gang()]) < r.spec.Gang {
			return
		}
		delete(f.gangs, r.gang())
		for _, member := range members {
			member.worker.end(member, "done")
		}
	})
}

// leave removes a run from its gang, whose other members end as broken.
func (f *fleet) leave(r *run) {
	members := f.gangs[r.gang()]
	delete(f.gangs, r.gang())
	for _, member := range members {
		if member != r && member.worker.runs[member.task] == member {
			member.worker.end(member, "broken")
		}
	}
}

func (w *worker) stop(q request) (int, string) {
	if !w.admit(q) {
		return http.StatusConflict, "fence"
	}
	if r := w.runs[q.Task]; r != nil && r.number <= q.Run {
		w.end(r, "stopped")
	}
	w.lastRun[q.Task] = max(w.lastRun[q.Task], q.Run)
	return http.StatusOK, ""
}

// end moves a run to the list of ended runs.
func (w *worker) end(r *run, outcome string) {
	r.timer.Stop()
	w.fleet.leftAt[r.task] = time.Now()
	delete(w.runs, r.task)
	if r.spec.Gang > 0 && outcome != "done" {
		w.fleet.leave(r)
	}
	w.lastRun[r.task] = max(w.lastRun[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r.task, r.number, outcome})
	if outcome == "done" {
		w.fleet.dones++
		w.fleet.doneAt[r.task] = time.Now()
		if w.fleet.onDone != nil {
			w.fleet.onDone(r)
		}
	}
	if w.fleet.quiet == "" || !strings.HasPrefix(r.task, w.fleet.quiet) {
		w.fleet.record.line("%s ends %s run %d as %s", w.id, r.task, r.number, outcome)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// hold renews the lease, forgets acknowledged ends and lists the runs; the fleet's mutex is held at entry and exit.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, q request) {
	if !w.admit(q) {
		w.respond(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	for len(w.ends) > 0 && w.ends[0].number <= q.AckedUpto {
		if w.ends[0].outcome == "done" {
			w.fleet.acked[w.ends[0].task] = time.Now()
		}
		w.ends = w.ends[1:]
	}
	born, until := w.born, time.Now().Add(time.Duration(q.WaitMs)*time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) {
		changed := w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		w.fleet.mu.Lock()
		if w.down || w.born != born || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		w.expire()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := r.percent()
		running = append(running, []any{r.task, r.number, "", percent, r.spec.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.outcome, ""})
	}
	w.respond(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// lastingStartup is how long a lasting task takes until it is at work.
const lastingStartup = 300 * time.Millisecond

func (r *run) percent() int {
	if r.spec.Lasting {
		return min(100, int(100*time.Since(r.started)/lastingStartup))
	}
	return min(99, int(100*time.Since(r.started)/(time.Duration(max(1, r.spec.Millis))*time.Millisecond)))
}

// runningOn returns the worker that runs the task, or nil; the caller holds the mutex.
func (f *fleet) runningOn(task string) *worker {
	for _, w := range f.workers {
		if w.runs[task] != nil {
			return w
		}
	}
	return nil
}

// places returns how many tasks of the need fit beside what runs on the workers that are up; the caller holds the mutex.
func (f *fleet) places(n need) int {
	count := 0
	for _, w := range f.workers {
		if w.down || w.state != "ready" || n.Requires != "" && n.Requires != w.kind {
			continue
		}
		used, fits := w.used(), 1<<20
		for _, pair := range [][2]int{{capacity.CPU - used.CPU, n.CPU}, {capacity.MemMB - used.MemMB, n.MemMB}, {capacity.GPU - used.GPU, n.GPU}} {
			if pair[1] > 0 {
				fits = min(fits, max(0, pair[0])/pair[1])
			}
		}
		count += fits
	}
	return count
}

// listed returns the numbers of ended runs that the workers still list and of runs that are there.
func (f *fleet) listed() (ends, runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		ends += len(w.ends)
		runs += len(w.runs)
	}
	return ends, runs
}

// counts returns the numbers of starts and of ends as done.
func (f *fleet) counts() (starts, dones int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts, f.dones
}
