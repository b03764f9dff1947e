package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as a client sends it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemoryMB     int    `json:"memMb,omitempty"`
	GPU          int    `json:"gpu,omitempty"`
	EstimateMs   int    `json:"estimateMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requires     string `json:"requires,omitempty"`
	MaxPerServer int    `json:"maxPerServer,omitempty"`
	Persistent   bool   `json:"persistent,omitempty"`
	MayMiss      int    `json:"mayMiss,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMs     int    `json:"targetMs,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
}

// counted returns the processor time of a task that counts against a worker's capacity.
func (s step) counted() int {
	if s.Fills {
		return 0
	}
	return s.CPU
}

// job is a job of a client; Work is how long its tasks take.
type job struct {
	ID    string
	Steps []step
	Work  time.Duration
}

// event is a start or an end of a run, as a worker sees it.
type event struct {
	At     time.Time
	Worker string
	Task   string
	Run    int64
	// What is start, done, stopped, lapsed or lost.
	What string
}

// fleet is the set of all workers of the service.
type fleet struct {
	mu      sync.Mutex
	workers []*worker
	jobs    map[string]job
	events  []event
	record  *recorder
	// onReturn is called when a crashed worker is back.
	onReturn func(w *worker)
}

// worker is a stand-in of one worker, with room as it reports it.
type worker struct {
	fleet         *fleet
	id, rack      string
	address       string
	cpu, mem, gpu int

	// The fleet's lock guards the rest.
	bornAt    time.Time
	lease     time.Duration
	fence     int64
	runs      map[string]*taskRun
	settled   map[string]int64
	ended     [][]any
	lastEnd   int64
	down      bool
	listeners *http.Server
}

type taskRun struct {
	task      string
	run       int64
	step      step
	work      time.Duration
	startedAt time.Time
	stopAt    time.Time
}

// persistentStartup is how long a task that lasts needs until it is at work.
const persistentStartup = 300 * time.Millisecond

// stopTime is how long a stop takes; the settings allow stopMs.
const stopTime = 200 * time.Millisecond

const maxHold = 10 * time.Second

func newFleet(r *recorder) *fleet { return &fleet{jobs: map[string]job{}, record: r} }

func (f *fleet) note(w *worker, task string, run int64, what string) {
	f.events = append(f.events, event{time.Now(), w.id, task, run, what})
	f.record.line("worker %s: %s %s run %d", w.id, what, task, run)
}

// add adds a worker on a port of its own.
func (f *fleet) add(id, rack string, cpu, mem, gpu int) (*worker, error) {
	w := &worker{fleet: f, id: id, rack: rack, cpu: cpu, mem: mem, gpu: gpu}
	w.begin()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.listeners = &http.Server{Handler: w}
	go func() { _ = w.listeners.Serve(l) }()
	f.workers = append(f.workers, w)
	return w, nil
}

func (w *worker) begin() {
	w.bornAt = time.Now()
	w.lease, w.fence, w.ended, w.lastEnd = 0, 0, nil, 0
	w.runs, w.settled = map[string]*taskRun{}, map[string]int64{}
}

// crash ends everything on the worker; a new life under the same id is back after the given time.
func (w *worker) crash(down time.Duration) {
	w.fleet.mu.Lock()
	w.fleet.record.line("worker %s: crashes", w.id)
	for _, r := range w.runs {
		w.fleet.note(w, r.task, r.run, "lost")
	}
	w.runs = map[string]*taskRun{}
	w.down = true
	w.fleet.mu.Unlock()
	time.AfterFunc(down, func() {
		w.fleet.mu.Lock()
		w.begin()
		w.down = false
		w.fleet.record.line("worker %s: back as a new life", w.id)
		w.fleet.mu.Unlock()
		w.fleet.onReturn(w)
	})
}

// entry returns the worker's row in the platform's list.
func (w *worker) entry(service string) map[string]any {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return map[string]any{
		"service": service, "addr": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpu": w.gpu}, "labels": []string{"a", w.rack}, "seq": 1,
		"clockMs": time.Since(w.bornAt).Milliseconds(), "born": w.bornAt.UnixMilli(), "machine": "m-" + w.id,
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.bornAt) }

// settle ends the runs that are due.
func (w *worker) settle() {
	if w.lease > 0 && w.clock() > w.lease {
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
		return
	}
	for _, r := range w.runs {
		switch {
		case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
			w.end(r, "stopped")
		case r.stopAt.IsZero() && !r.step.Persistent && time.Since(r.startedAt) >= r.work:
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *taskRun, how string) {
	delete(w.runs, r.task)
	w.settled[r.task] = max(w.settled[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.run, how, ""})
	w.fleet.note(w, r.task, r.run, how)
}

func (r *taskRun) percent() int {
	if r.step.Persistent {
		if time.Since(r.startedAt) >= persistentStartup {
			return 100
		}
		return 0
	}
	return min(99, int(100*time.Since(r.startedAt)/max(1, r.work)))
}

type request struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	AckedUpto  int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.fleet.mu.Lock()
	down := w.down
	w.fleet.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet {
		rw.WriteHeader(http.StatusOK)
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, q)
	case "/run-stop":
		w.stop(rw, q)
	case "/hold":
		w.hold(rw, r, q)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) respond(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = w.clock().Milliseconds(), w.bornAt.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// admit checks the fence and extends the lease.
func (w *worker) admit(rw http.ResponseWriter, q request) bool {
	w.settle()
	if q.Fence < w.fence {
		w.respond(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	w.fence = q.Fence
	w.lease = max(w.lease, min(time.Duration(q.DeadlineMs)*time.Millisecond, w.clock()+maxHold))
	return true
}

// room reports whether the step fits beside the present runs.
func (w *worker) room(s step) bool {
	cpu, mem, gpu := s.counted(), s.MemoryMB, s.GPU
	for _, r := range w.runs {
		cpu, mem, gpu = cpu+r.step.counted(), mem+r.step.MemoryMB, gpu+r.step.GPU
	}
	return cpu <= w.cpu && mem <= w.mem && gpu <= w.gpu
}

func (w *worker) start(rw http.ResponseWriter, q request) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !w.admit(rw, q) {
		return
	}
	if r := w.runs[q.Task]; r != nil && r.run == q.Run {
		w.respond(rw, http.StatusOK, map[string]any{})
		return
	}
	if w.runs[q.Task] != nil || q.Run <= w.settled[q.Task] {
		w.respond(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if w.clock() > time.Duration(q.DeadlineMs)*time.Millisecond {
		w.respond(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	var occurrence, number, index int
	id, rest, _ := strings.Cut(q.Task, ".")
	j, known := w.fleet.jobs[id]
	if n, _ := fmt.Sscanf(rest, "%d.%d.%d", &occurrence, &number, &index); n != 3 || !known || number >= len(j.Steps) {
		w.fleet.note(w, q.Task, q.Run, "start of what nobody sent")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !w.room(j.Steps[number]) {
		w.respond(rw, http.StatusConflict, map[string]any{"reason": "room"})
		return
	}
	w.runs[q.Task] = &taskRun{task: q.Task, run: q.Run, step: j.Steps[number], work: j.Work, startedAt: time.Now()}
	w.fleet.note(w, q.Task, q.Run, "start")
	w.respond(rw, http.StatusOK, map[string]any{})
}

func (w *worker) stop(rw http.ResponseWriter, q request) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !w.admit(rw, q) {
		return
	}
	if r := w.runs[q.Task]; r != nil && r.run <= q.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
		w.fleet.record.line("worker %s: told to stop %s run %d", w.id, q.Task, q.Run)
	}
	w.settled[q.Task] = max(w.settled[q.Task], q.Run)
	w.respond(rw, http.StatusOK, map[string]any{})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, q request) {
	until := time.Now().Add(time.Duration(q.WaitMs) * time.Millisecond)
	const look = 20 * time.Millisecond
	born := w.bornAt
	for first := true; ; first = false {
		w.fleet.mu.Lock()
		if w.down || w.bornAt != born && !first {
			w.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if !w.admit(rw, q) {
			w.fleet.mu.Unlock()
			return
		}
		if first {
			for len(w.ended) > 0 && w.ended[0][0].(int64) <= q.AckedUpto {
				w.ended = w.ended[1:]
			}
		}
		if len(w.ended) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			break
		}
		w.fleet.mu.Unlock()
		time.Sleep(look)
	}
	defer w.fleet.mu.Unlock()
	running := [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.run, "", run.percent(), 0})
	}
	sort.Slice(running, func(i, k int) bool { return running[i][0].(string) < running[k][0].(string) })
	const most = 500
	w.respond(rw, http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, w.ended[:min(len(w.ended), most)]...)})
}

// begun returns for each task of the job's first step that has started when it first did.
func (f *fleet) begun(id string, number int) map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := map[string]time.Time{}
	for _, e := range f.events {
		if e.What == "start" && strings.HasPrefix(e.Task, fmt.Sprintf("%s.0.%d.", id, number)) {
			if _, known := first[e.Task]; !known {
				first[e.Task] = e.At
			}
		}
	}
	return first
}

// count returns how often runs of the job's tasks have had the event.
func (f *fleet) count(id, what string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.events {
		if e.What == what && strings.HasPrefix(e.Task, id+".") {
			n++
		}
	}
	return n
}

// runsOf returns the workers on which tasks of the job run now.
func (f *fleet) runsOf(id string) map[string][]*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := map[string][]*worker{}
	for _, w := range f.workers {
		for task := range w.runs {
			if strings.HasPrefix(task, id+".") {
				found[task] = append(found[task], w)
			}
		}
	}
	return found
}
