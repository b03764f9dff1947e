package faker

import (
	"encoding/json"
	"net/http"
	"time"
)

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

// maxLease is the longest lease that a worker grants.
const maxLease = 10 * time.Second

// maxListedEnds is the number of ended runs that one response lists.
const maxListedEnds = 500

type taskRequest struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	AckedUpto  int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
	Ticket     string `json:"ticket"`
	// heldUp means that the worker executes the request later than it was given it.
	heldUp bool
}

// respond writes a response of this incarnation; the caller holds the fleet's lock.
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
	w.lease = max(w.lease, min(time.Duration(request.DeadlineMs)*time.Millisecond, w.clock()+maxLease))
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
			request.heldUp = true
			if !w.settled(request) {
				w.startTask(unread{}, request)
			}
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
	if !lost && status != 0 {
		w.respond(rw, status, map[string]any{"reason": reason})
	}
	w.fleet.mu.Unlock()
	if lost {
		<-r.Context().Done()
	}
}

// settled reports whether an earlier incarnation has fenced off a start or ended its run. No owner can fence off the next incarnation before its
// first request to that, so such a start is not executed; the caller holds the fleet's lock.
func (w *TaskWorker) settled(request taskRequest) bool {
	return request.Fence < w.highestFence || request.Run <= w.settledRuns[request.Task]
}

// unread is the writer of a response that nobody waits for.
type unread struct{}

// Header implements http.ResponseWriter.
func (unread) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (unread) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader implements http.ResponseWriter.
func (unread) WriteHeader(int) {}

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

// poll applies a poll to the worker's lease and its ended runs, and returns false if its fence is old; the caller holds the fleet's lock.
func (w *TaskWorker) poll(rw http.ResponseWriter, request taskRequest) bool {
	w.endDueRuns()
	if !w.admit(rw, request) {
		return false
	}
	for len(w.endedRuns) > 0 && w.endedRuns[0].number <= request.AckedUpto {
		w.fleet.acknowledge(w.endedRuns[0])
		w.endedRuns = w.endedRuns[1:]
	}
	return true
}

// delayPoll executes a poll later if it is to be left unanswered, and reports whether it is; the caller holds the fleet's lock.
func (w *TaskWorker) delayPoll(request taskRequest) bool {
	if w.delayedPolls == 0 {
		return false
	}
	w.delayedPolls--
	time.AfterFunc(w.pollDelay, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.poll(unread{}, request)
	})
	return true
}

func (w *TaskWorker) servePoll(rw http.ResponseWriter, r *http.Request, request taskRequest) {
	w.fleet.mu.Lock()
	delayed, incarnation := w.delayPoll(request), w.incarnation
	w.fleet.mu.Unlock()
	if delayed {
		<-r.Context().Done()
		return
	}
	until := time.Now().Add(time.Duration(request.WaitMs) * time.Millisecond)
	for {
		w.fleet.mu.Lock()
		if w.crashed || w.incarnation != incarnation {
			w.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if !w.poll(rw, request) {
			w.fleet.mu.Unlock()
			return
		}
		// Ends are acknowledged when the request arrives, not while it waits.
		request.AckedUpto = 0
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
	if w.pollsUntilSilent > 0 {
		w.pollsUntilSilent--
		w.silent = w.pollsUntilSilent == 0
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.name, run.run, w.fleet.jobs[run.job].Checkpoint, w.percent(run)})
	}
	for _, e := range w.endedRuns[:min(len(w.endedRuns), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.name, e.run, e.outcome, ""})
	}
	w.respond(rw, http.StatusOK, map[string]any{"running": running, "finished": ended})
}
