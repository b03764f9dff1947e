package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

type timerKind uint8

const (
	timerRetry timerKind = iota
	timerDeadline
	timerRunLimit
	timerProbe
)

type timer struct {
	at       time.Time
	id       string
	kind     timerKind
	sequence int
}

// timers is a heap of pending timers, earliest first.
type timers struct {
	list     timerHeap
	sequence int
}

func (t *timers) set(at time.Time, id string, kind timerKind) {
	t.sequence++
	heap.Push(&t.list, timer{at: at, id: id, kind: kind, sequence: t.sequence})
}

// due removes and returns the next timer that has expired by now, or false.
func (t *timers) due(now time.Time) (timer, bool) {
	if len(t.list) == 0 || t.list[0].at.After(now) {
		return timer{}, false
	}
	next, ok := heap.Pop(&t.list).(timer)
	return next, ok
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, k int) bool {
	if c := h[i].at.Compare(h[k].at); c != 0 {
		return c < 0
	}
	return h[i].sequence < h[k].sequence
}

func (h timerHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	if t, ok := x.(timer); ok {
		*h = append(*h, t)
	}
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// NextTimer returns when the scheduler next needs a Ticked event, or false if no timer is pending.
func (s *Scheduler) NextTimer() (time.Time, bool) {
	if len(s.timers.list) == 0 {
		return time.Time{}, false
	}
	return s.timers.list[0].at, true
}

const (
	// maxStaleTimers and timersPerJob set how many timers may be pending before those of ended jobs are removed.
	maxStaleTimers = 1024
	timersPerJob   = 3
)

// pruneTimers removes the timers of ended jobs once too many timers are pending.
func (s *Scheduler) pruneTimers() {
	if len(s.timers.list) < timersPerJob*len(s.jobs)+maxStaleTimers {
		return
	}
	s.timers.list = slices.DeleteFunc(s.timers.list, func(t timer) bool {
		return t.kind != timerProbe && s.jobs[t.id] == nil
	})
	heap.Init(&s.timers.list)
}

// fireTimers handles all timers that have expired.
func (s *Scheduler) fireTimers() {
	s.pruneTimers()
	for {
		t, ok := s.timers.due(s.now)
		if !ok {
			return
		}
		s.handleTimer(t)
	}
}

func (s *Scheduler) handleTimer(t timer) {
	if t.kind == timerProbe {
		s.startProbing(t.id)
		return
	}
	j := s.jobs[t.id]
	if j == nil {
		return
	}
	switch t.kind {
	case timerRetry:
		if j.phase == phaseWaiting && j.notBefore.Equal(t.at) {
			s.enqueue(j)
		}
	case timerDeadline:
		s.expire(j)
	case timerRunLimit:
		s.limitRun(j)
	case timerProbe:
	}
}

// expire ends a job that has not started by its deadline.
func (s *Scheduler) expire(j *job) {
	if j.phase != phaseWaiting && j.phase != phaseClaiming {
		return
	}
	s.end(j, OutcomeExpired, ranBefore(j), Reason{Rule: RuleDeadline, Span: s.now.Sub(j.Deadline)})
}

func (s *Scheduler) limitRun(j *job) {
	limit := j.class.RunLimit()
	if j.phase != phaseRunning || s.now.Sub(j.started) < limit {
		return
	}
	s.stop(j, Reason{Rule: RuleRunLimit, Span: s.now.Sub(j.started)}, j.class.Checkpointable)
}
