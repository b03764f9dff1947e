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

// review/9: two workers that had failed runs stayed in quarantine for seconds after they were sound, though a job's tasks had nowhere else to run.
func TestWorkersInQuarantineAreReadmittedForUnitsThatNoOthersMayRun(t *testing.T) {
	for _, test := range []struct {
		name string
		step Step
		// labelled is the number of workers with the label that the step requires, of 24.
		labelled int
		// within is the time within which a task has to start once the workers are sound.
		within time.Duration
	}{
		{"tasks that last", lasting(3, 1), 2, 3 * time.Second},
		{"tasks that last, one worker", lasting(1, 1), 1, 3 * time.Second},
		{"single tasks", single(3, 1), 2, minQuarantine + time.Second},
		{"a gang", func() Step { s := gang(16, 1); s.SameRack = false; return s }(), 2, minQuarantine + time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 0, 0)
			for i := range 24 {
				label := "a"
				if i < test.labelled {
					label = "b"
				}
				id := fmt.Sprintf("w%02d", i)
				h.SetWorker(h.now, Worker{ID: id, Incarnation: 1, Service: "tabulator", Rack: "r1", Labels: []string{label}, Capacity: Resources{CPU: 64000, MemoryMB: 131072, Accelerators: 8}})
				h.HandleReport(h.now, Report{Worker: id, RequestedAt: h.now})
			}
			test.step.Requires = "b"
			spec := jobOf("job", 1, test.step)
			spec.Policy.MaxAttempts = 1000
			h.AddJob(h.now, spec, Progress{}, false)
			fail := func(o Orders) {
				h.confirmStarts(o)
				for _, s := range o.Starts {
					h.endRun(s.Worker, s.Task, s.Run, EndedFailed)
				}
			}
			starts := 0
			for end := h.now.Add(20 * time.Second); h.now.Before(end); {
				o := h.planAfter(100 * time.Millisecond)
				starts += len(o.Starts)
				fail(o)
			}
			// Each worker is tried once a second at most.
			if most := 20 * test.labelled * 16; starts > most {
				t.Errorf("%d starts in 20 s of failures, want at most %d", starts, most)
			}
			began := h.now
			for h.now.Sub(began) < test.within {
				o := h.planAfter(100 * time.Millisecond)
				h.confirmStarts(o)
				if len(o.Starts) > 0 {
					return
				}
			}
			t.Errorf("nothing is started on sound workers for %s", test.within)
		})
	}
}
