package arranger

import (
	"fmt"
	"testing"
	"time"
)

// lasting returns a step of tasks that run until their job is cancelled.
func lasting(count, accelerators int) Step {
	s := single(count, accelerators)
	s.LongRunning, s.Estimate = true, time.Second
	return s
}

// review/8: a task that lasts counted as worthless seconds after its acceptance, and was put behind all batch work when its worker had crashed.
func TestALongRunningTaskIsStartedAgainInABusyFleet(t *testing.T) {
	for _, priority := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("priority %d beside 2", priority), func(t *testing.T) {
			h := newHarness(t, 1, 4)
			h.AddJob(h.now, jobOf("lasting", priority, lasting(1, 1)), Progress{}, false)
			o := h.planAfter(0)
			h.confirmStarts(o)
			victim := o.Starts[0].Worker
			h.now = h.now.Add(time.Minute)
			for i := range 40 {
				spec := jobOf(fmt.Sprintf("batch-%d", i), 2, single(8, 1))
				spec.Accepted = h.now
				h.AddJob(h.now, spec, Progress{}, false)
			}
			h.confirmStarts(h.planAfter(0))
			h.RemoveWorker(h.now, victim, "crashed")
			// The fleet is full; one run ends after the other.
			ended, deadline := 0, h.now.Add(3*time.Second)
			for h.now.Before(deadline) && h.jobs["lasting"].stages[0].tasks[0].place == nil {
				w := h.sortedWorkers[ended%len(h.sortedWorkers)]
				for _, p := range w.places {
					if p.state == placeRunning {
						h.endRun(w.ID, p.task.name(), p.run, EndedDone)
						ended++
						break
					}
				}
				h.confirmStarts(h.planAfter(100 * time.Millisecond))
			}
			if h.jobs["lasting"].stages[0].tasks[0].place == nil {
				t.Errorf("the task that lasts is not started again, while %d others were started", ended)
			}
		})
	}
}

// An occurrence that was due long after the job's acceptance counted as worthless from its beginning.
func TestAnOccurrenceIsJudgedByItsOwnDueTime(t *testing.T) {
	h := newHarness(t, 1, 1)
	spec := jobOf("timed", 1, single(1, 8))
	spec.Occurrences, spec.FirstDue, spec.Interval = 3, start, time.Hour
	spec.Steps[0].Estimate = time.Second
	h.AddJob(h.now, spec, Progress{}, false)
	for occurrence := range spec.Occurrences {
		h.now = start.Add(time.Duration(occurrence) * spec.Interval)
		other := jobOf(fmt.Sprintf("other-%d", occurrence), 2, single(1, 8))
		other.Accepted = h.now.Add(-time.Second)
		h.AddJob(h.now, other, Progress{}, false)
		o := h.planAfter(0)
		h.confirmStarts(o)
		if len(o.Starts) != 1 || o.Starts[0].Task.Job != "timed" || o.Starts[0].Task.Occurrence != occurrence {
			t.Fatalf("occurrence %d: got starts %+v, want it first", occurrence, o.Starts)
		}
		h.endRun(o.Starts[0].Worker, o.Starts[0].Task, o.Starts[0].Run, EndedDone)
		o = h.planAfter(0)
		h.confirmStarts(o)
		h.endRun(o.Starts[0].Worker, o.Starts[0].Task, o.Starts[0].Run, EndedDone)
	}
}
