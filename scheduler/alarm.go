package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

type alarmKind uint8

const (
	alarmRetry alarmKind = iota
	alarmDeadline
	alarmRunLimit
	alarmProbe
)

type alarm struct {
	at       time.Time
	id       string
	kind     alarmKind
	sequence int
}

// alarms is a heap of what falls due, the earliest first.
type alarms struct {
	list     alarmHeap
	sequence int
}

func (a *alarms) set(at time.Time, id string, kind alarmKind) {
	a.sequence++
	heap.Push(&a.list, alarm{at: at, id: id, kind: kind, sequence: a.sequence})
}

// due takes out and returns the next alarm that is not after now.
func (a *alarms) due(now time.Time) (alarm, bool) {
	if len(a.list) == 0 || a.list[0].at.After(now) {
		return alarm{}, false
	}
	next, ok := heap.Pop(&a.list).(alarm)
	return next, ok
}

type alarmHeap []alarm

func (h alarmHeap) Len() int { return len(h) }

func (h alarmHeap) Less(i, k int) bool {
	if c := h[i].at.Compare(h[k].at); c != 0 {
		return c < 0
	}
	return h[i].sequence < h[k].sequence
}

func (h alarmHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *alarmHeap) Push(x any) {
	if a, ok := x.(alarm); ok {
		*h = append(*h, a)
	}
}

// Pop implements heap.Interface.
func (h *alarmHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// NextTimer returns when the scheduler next needs a Ticked event, or false.
func (s *Scheduler) NextTimer() (time.Time, bool) {
	if len(s.alarms.list) == 0 {
		return time.Time{}, false
	}
	return s.alarms.list[0].at, true
}

const (
	// staleAlarms and alarmsPerJob bound the alarms of jobs that have ended before they are cleared out.
	staleAlarms  = 1024
	alarmsPerJob = 3
)

// pruneAlarms drops the alarms of jobs that have ended, once they are many.
func (s *Scheduler) pruneAlarms() {
	if len(s.alarms.list) < alarmsPerJob*len(s.jobs)+staleAlarms {
		return
	}
	s.alarms.list = slices.DeleteFunc(s.alarms.list, func(a alarm) bool {
		return a.kind != alarmProbe && s.jobs[a.id] == nil
	})
	heap.Init(&s.alarms.list)
}

// ring handles all alarms that are due.
func (s *Scheduler) ring() {
	s.pruneAlarms()
	for {
		a, ok := s.alarms.due(s.now)
		if !ok {
			return
		}
		s.handleAlarm(a)
	}
}

func (s *Scheduler) handleAlarm(a alarm) {
	if a.kind == alarmProbe {
		s.beginProbation(a.id)
		return
	}
	j := s.jobs[a.id]
	if j == nil {
		return
	}
	switch a.kind {
	case alarmRetry:
		if j.phase == phaseWaiting && j.notBefore.Equal(a.at) {
			s.enqueue(j)
		}
	case alarmDeadline:
		s.expire(j)
	case alarmRunLimit:
		s.limitRun(j)
	case alarmProbe:
	}
}

// expire ends a job that nobody waits for any more and that has not started.
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
