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

func (a *timers) set(at time.Time, id string, kind timerKind) {
	a.sequence++
	heap.Push(&a.list, timer{at: at, id: id, kind: kind, sequence: a.sequence})
}

// due removes and returns the next timer that has expired by now, or false.
func (a *timers) due(now time.Time) (timer, bool) {
	if len(a.list) == 0 || a.list[0].at.After(now) {
		return timer{}, false
	}
	next, ok := heap.Pop(&a.list).(timer)
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
	if a, ok := x.(timer); ok {
		*h = append(*h, a)
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
	s.timers.list = slices.DeleteFunc(s.timers.list, func(a timer) bool {
		return a.kind != timerProbe && s.jobs[a.id] == nil
	})
	heap.Init(&s.timers.list)
}

// fireTimers handles all timers that have expired.
func (s *Scheduler) fireTimers() {
	s.pruneTimers()
	for {
		a, ok := s.timers.due(s.now)
		if !ok {
			return
		}
		s.handleTimer(a)
	}
}

func (s *Scheduler) handleTimer(a timer) {
	if a.kind == timerProbe {
		s.startProbing(a.id)
		return
	}
	j := s.jobs[a.id]
	if j == nil {
		return
	}
	switch a.kind {
	case timerRetry:
		if j.phase == phaseWaiting && j.notBefore.Equal(a.at) {
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
