package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a worker grants (bound maxHoldMs).
	maxHold = 10 * time.Second
	// maxListed is the number of ended runs that one response lists.
	maxListed = 500
	// lasts is the work of a task that lasts; it is at work, at 100 percent, after startup.
	lasts   = 24 * time.Hour
	startup = 300 * time.Millisecond
	// heartbeat is the interval at which a worker writes its entry (heartbeatMs).
	heartbeat = 1500 * time.Millisecond
)

// run is one run of a task on a worker.
type run struct {
	task    string
	number  int64
	started time.Time
	due     time.Time
}

// ended is an entry of the list of ended runs.
type ended struct {
	number int64
	run    run
	how    string
	at     time.Time
	lapsed bool
}

// worker is a stand-in of a worker that keeps to PROTOCOL.md; it admits only what fits.
type worker struct {
	world *world
	index int
	rack  string
	cpu   int
	mem   int
	gpu   int
	slots int

	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	id      string
	life    int
	startAt time.Time
	born    int64
	seq     int
	lease   time.Time
	fence   int64
	runs    map[string]*run
	lastRun map[string]int64
	ends    []*ended
	lastEnd int64
	changed chan struct{}
	dark    bool
	gone    bool
	// grey is the share of requests that are rejected with 503.
	grey     float64
	conns    map[net.Conn]bool
	inUseCPU int
	inUseMem int
	inUseGPU int
}

func newWorker(w *world, index, cpu, mem, gpu int, rack string) *worker {
	wk := &worker{world: w, index: index, cpu: cpu, mem: mem, gpu: gpu, slots: 8, rack: rack, conns: map[net.Conn]bool{}}
	wk.begin(fmt.Sprintf("i-%08x", 0x7f3a9100+index))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	wk.listener = l
	wk.server = &http.Server{Handler: wk, ReadHeaderTimeout: time.Minute, ConnState: func(c net.Conn, s http.ConnState) {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		switch s {
		case http.StateNew:
			wk.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(wk.conns, c)
		}
	}}
	go func() { _ = wk.server.Serve(l) }()
	go wk.beat()
	go wk.tick()
	return wk
}

// begin starts a new life of the worker, which knows nothing of before; the caller holds the lock or is the only user.
func (w *worker) begin(id string) {
	w.id, w.life, w.seq = id, w.life+1, 0
	w.startAt = time.Now()
	w.born = w.startAt.UnixMilli()
	w.lease, w.fence, w.lastEnd = time.Time{}, 0, 0
	w.runs, w.lastRun, w.ends = map[string]*run{}, map[string]int64{}, nil
	w.inUseCPU, w.inUseMem, w.inUseGPU = 0, 0, 0
	w.dark = false
	w.wake()
}

func (w *worker) wake() {
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// setGrey sets the share of requests that the worker rejects with 503, having done nothing.
func (w *worker) setGrey(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grey = share
	w.world.note("worker %s rejects %.0f of 100 requests with 503", w.id, 100*share)
}

// setSlots sets the number of slots in the worker's entry.
func (w *worker) setSlots(n int) {
	w.mu.Lock()
	w.slots = n
	w.mu.Unlock()
	w.register()
}

func (w *worker) clock() time.Duration { return time.Since(w.startAt) }

// crash ends the worker: all its runs are lost, and it answers nothing.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.world.judge.lost(w, r)
	}
	w.dark = true
	w.runs = map[string]*run{}
	w.wake()
	w.world.note("worker %s (life %d) crashes, silent", w.id, w.life)
	id, life := w.id, w.life
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.dark && w.life == life {
			w.world.store.remove("servers", id)
			w.world.note("entry of %s is removed", id)
		}
	})
}

// restart brings a crashed worker back as a new incarnation; connections of before are reset.
func (w *worker) restart(id string) {
	w.mu.Lock()
	old := w.id
	for c := range w.conns {
		reset(c)
	}
	w.begin(id)
	w.mu.Unlock()
	w.world.note("worker %s is back as %s (life %d)", old, id, w.life)
	if old != id {
		time.AfterFunc(3*heartbeat, func() { w.world.store.remove("servers", old) })
	}
	w.register()
}

func (w *worker) register() {
	w.mu.Lock()
	if w.dark || w.gone {
		w.mu.Unlock()
		return
	}
	w.seq++
	id := w.id
	entry := map[string]any{
		"service": service, "addr": w.listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": w.slots, "state": "ready",
		"coldLeftMs": 0, "capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpu": w.gpu}, "labels": []string{"a", w.rack},
		"clockMs": w.clock().Milliseconds(), "seq": w.seq, "born": w.born, "machine": fmt.Sprintf("m-%04x", w.index),
	}
	w.mu.Unlock()
	w.world.putWorker(id, entry)
}

func (w *worker) beat() {
	for {
		w.register()
		time.Sleep(heartbeat)
	}
}

// tick ends the runs that are due.
func (w *worker) tick() {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if !w.dark {
			w.endDue()
		}
		w.mu.Unlock()
	}
}

func (w *worker) endDue() {
	now := time.Now()
	if !w.lease.IsZero() && now.After(w.lease) {
		for _, r := range w.runs {
			w.end(r, "lapsed", w.lease)
		}
		for _, e := range w.ends {
			e.lapsed = true
		}
		return
	}
	for _, r := range w.runs {
		if !now.Before(r.due) {
			w.end(r, "done", now)
		}
	}
}

func (w *worker) end(r *run, how string, at time.Time) {
	delete(w.runs, r.task)
	s := w.world.specOf(r.task)
	w.inUseCPU, w.inUseMem, w.inUseGPU = w.inUseCPU-s.CPU, w.inUseMem-s.MemMB, w.inUseGPU-s.GPU
	w.lastRun[r.task] = max(w.lastRun[r.task], r.number)
	w.lastEnd++
	e := &ended{number: w.lastEnd, run: *r, how: how, at: at}
	w.ends = append(w.ends, e)
	w.world.judge.end(w, r, how, at)
	w.wake()
}

type request struct {
	Task       string  `json:"task"`
	Run        int64   `json:"run"`
	Spec       string  `json:"spec"`
	DeadlineMs float64 `json:"deadlineMs"`
	Fence      int64   `json:"fence"`
	AckedUpto  int64   `json:"ackedUpto"`
	WaitMs     int64   `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var q request
	err := json.NewDecoder(r.Body).Decode(&q)
	w.mu.Lock()
	if w.dark || w.gone {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	life, id, grey := w.life, w.id, w.grey > rand.Float64()
	w.mu.Unlock()
	if r.Header.Get("X-Expect-Instance") != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if grey {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var status int
	var body map[string]any
	switch r.URL.Path {
	case "/run-start":
		status, body = w.serveStart(q)
	case "/run-stop":
		status, body = w.serveStop(q)
	case "/hold":
		status, body = w.serveHold(r, q, life)
	default:
		status, body = http.StatusNotFound, map[string]any{}
	}
	w.mu.Lock()
	silent := status == 0 || w.dark || w.gone || w.life != life
	w.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// admit checks the fence and extends the lease; the caller holds the lock.
func (w *worker) admit(q request) bool {
	w.endDue()
	if q.Fence < w.fence {
		return false
	}
	w.fence = q.Fence
	if q.DeadlineMs > 0 {
		until := w.startAt.Add(time.Duration(q.DeadlineMs * float64(time.Millisecond)))
		if limit := time.Now().Add(maxHold); until.After(limit) {
			until = limit
		}
		if until.After(w.lease) {
			w.lease = until
		}
	}
	return true
}

func (w *worker) reply(fields map[string]any) map[string]any {
	fields["clockMs"] = w.clock().Milliseconds()
	fields["born"] = w.born
	return fields
}

func (w *worker) serveStart(q request) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(q) {
		return http.StatusConflict, w.reply(map[string]any{"reason": "fence"})
	}
	if r := w.runs[q.Task]; r != nil && r.number == q.Run {
		return http.StatusOK, w.reply(map[string]any{})
	}
	if w.runs[q.Task] != nil || q.Run <= w.lastRun[q.Task] {
		return http.StatusConflict, w.reply(map[string]any{"reason": "old"})
	}
	if float64(w.clock().Milliseconds()) > q.DeadlineMs {
		return http.StatusConflict, w.reply(map[string]any{"reason": "late"})
	}
	s := w.world.specOf(q.Task)
	if w.inUseCPU+s.CPU > w.cpu || w.inUseMem+s.MemMB > w.mem || w.inUseGPU+s.GPU > w.gpu {
		return http.StatusConflict, w.reply(map[string]any{"reason": "room"})
	}
	w.inUseCPU, w.inUseMem, w.inUseGPU = w.inUseCPU+s.CPU, w.inUseMem+s.MemMB, w.inUseGPU+s.GPU
	now := time.Now()
	r := &run{task: q.Task, number: q.Run, started: now, due: now.Add(s.work)}
	w.runs[q.Task] = r
	w.world.judge.start(w, r)
	return http.StatusOK, w.reply(map[string]any{})
}

func (w *worker) serveStop(q request) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(q) {
		return http.StatusConflict, w.reply(map[string]any{"reason": "fence"})
	}
	if r := w.runs[q.Task]; r != nil && r.number <= q.Run {
		w.world.judge.stopped(w, r)
		w.end(r, "stopped", time.Now())
	}
	w.lastRun[q.Task] = max(w.lastRun[q.Task], q.Run)
	return http.StatusOK, w.reply(map[string]any{})
}

// serveHold answers at once if there are ended runs, or after the wait, or when a run ends.
func (w *worker) serveHold(r *http.Request, q request, life int) (int, map[string]any) {
	until := time.Now().Add(time.Duration(min(q.WaitMs, 2000)) * time.Millisecond)
	for {
		w.mu.Lock()
		if w.dark || w.gone || w.life != life {
			w.mu.Unlock()
			return 0, nil
		}
		if !w.admit(q) {
			defer w.mu.Unlock()
			return http.StatusConflict, w.reply(map[string]any{"reason": "fence"})
		}
		for len(w.ends) > 0 && w.ends[0].number <= q.AckedUpto {
			w.world.judge.acked(w, w.ends[0])
			w.ends = w.ends[1:]
		}
		if len(w.ends) > 0 || !time.Now().Before(until) {
			defer w.mu.Unlock()
			return http.StatusOK, w.report()
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			return 0, nil
		}
	}
}

func (w *worker) report() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := min(99, int(100*time.Since(r.started)/max(1, r.due.Sub(r.started))))
		if w.world.specOf(r.task).work == lasts && time.Since(r.started) > startup {
			percent = 100
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	return w.reply(map[string]any{"running": running, "finished": finished})
}
