package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// judge checks the rules TWICE and AVAIL from what the workers see.
type judge struct {
	world *world

	mu     sync.Mutex
	live   map[string]map[*run]*worker
	starts map[string][]start
	doneAt map[string][]doneEnd
	// failed counts the ends failed, and crashed the workers that crashed under a run, by task.
	failed, crashed map[string]int
	// stoppedAt is when an order last ended a run of a task that was at work.
	stoppedAt map[string]time.Time
	ends      int
	broken    []string
	started   int
}

type start struct {
	at     time.Time
	number int64
	worker string
}

type doneEnd struct {
	at     time.Time
	number int64
	worker string
	acked  bool
}

func newJudge(w *world) *judge {
	return &judge{world: w, live: map[string]map[*run]*worker{}, starts: map[string][]start{}, doneAt: map[string][]doneEnd{}, stoppedAt: map[string]time.Time{}, failed: map[string]int{}, crashed: map[string]int{}}
}

func (j *judge) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.broken = append(j.broken, text)
	j.world.note("BROKEN: %s", text)
}

func (j *judge) start(w *worker, r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.started++
	j.world.note("start %s run %d on %s (life %d)", r.task, r.number, w.id, w.life)
	for other, on := range j.live[r.task] {
		j.breaks("TWICE: %s run %d starts on %s (life %d) while run %d is at work on %s (life %d)", r.task, r.number, w.id, w.life, other.number, on.id, on.life)
	}
	j.late(r)
	if j.live[r.task] == nil {
		j.live[r.task] = map[*run]*worker{}
	}
	j.live[r.task][r] = w
	j.starts[r.task] = append(j.starts[r.task], start{time.Now(), r.number, w.id})
}

func (j *judge) end(w *worker, r *run, how string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.live[r.task], r)
	j.world.note("end %s run %d on %s (life %d): %s", r.task, r.number, w.id, w.life, how)
	if how == "failed" {
		j.failed[r.task]++
	}
	if how == "done" {
		j.doneAt[r.task] = append(j.doneAt[r.task], doneEnd{at: at, number: r.number, worker: w.id})
	}
}

// lost removes a run that ends with its worker.
func (j *judge) lost(w *worker, r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.live[r.task], r)
	j.crashed[r.task]++
	j.world.note("lost %s run %d with %s (life %d)", r.task, r.number, w.id, w.life)
}

// acked notes that ackedUpto has reached an end.
func (j *judge) acked(w *worker, e *ended) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.how != "done" || e.lapsed {
		return
	}
	for i := range j.doneAt[e.run.task] {
		d := &j.doneAt[e.run.task][i]
		if d.number == e.run.number && d.worker == w.id && !d.acked {
			d.acked = true
			for _, s := range j.starts[e.run.task] {
				if s.number != d.number && s.at.After(d.at) {
					j.breaks("TWICE: %s run %d started on %s %s after run %d had ended done on %s, an end that was taken note of",
						e.run.task, s.number, s.worker, s.at.Sub(d.at).Truncate(time.Millisecond), d.number, d.worker)
				}
			}
		}
	}
}

// late checks a start against the ends that have been taken note of.
func (j *judge) late(r *run) {
	for _, d := range j.doneAt[r.task] {
		if d.acked {
			j.breaks("TWICE: %s run %d starts after run %d had ended done and was taken note of", r.task, r.number, d.number)
		}
	}
}

// verdict returns the number of broken checks.
func (j *judge) verdict() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.broken)
}

// stopped checks the rule AVAIL when an order stops a run: so many other tasks of its step may be away as mayMiss says.
func (j *judge) stopped(w *worker, r *run) {
	s := w.world.specOf(r.task)
	if s.mayMiss == 0 || time.Since(r.started) < startup {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	step := r.task[:strings.LastIndex(r.task, ".")+1]
	away := 0
	for task, at := range j.stoppedAt {
		if task != r.task && strings.HasPrefix(task, step) && !j.isBack(task, at) {
			away++
			j.world.note("%s is away, ended by an order %s ago", task, time.Since(at).Truncate(time.Millisecond))
		}
	}
	if away >= s.mayMiss {
		j.breaks("AVAIL: an order ends %s run %d, which is at work on %s, while %d others of its step are away; mayMiss is %d", r.task, r.number, w.id, away, s.mayMiss)
	}
	j.stoppedAt[r.task] = time.Now()
}

// isBack reports whether a run that started after the order is at work.
func (j *judge) isBack(task string, stoppedAt time.Time) bool {
	for r := range j.live[task] {
		if r.started.After(stoppedAt) && time.Since(r.started) >= startup {
			return true
		}
	}
	return false
}

// causes returns the number of ends failed of a job, and the most workers that crashed under one of its tasks.
func (j *judge) causes(job string) (failed, crashed int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, n := range j.failed {
		if strings.HasPrefix(task, job) {
			failed += n
		}
	}
	for task, n := range j.crashed {
		if strings.HasPrefix(task, job) {
			crashed = max(crashed, n)
		}
	}
	return failed, crashed
}
