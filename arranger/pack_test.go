package arranger

import (
	"testing"
	"time"
)

// A task that returns too early to workers that fail runs uses up its attempts, and one that avoids them for ever
// waits beside a free fleet.
func TestATaskReturnsToSuspectWorkersOnlyIfTheFleetIsIdle(t *testing.T) {
	for _, test := range []struct {
		name string
		// used holds the accelerators in use on the workers; those without any are suspect.
		used     []int
		failedOn []string
		wait     time.Duration
		want     int
	}{
		{"idle, before the delay", []int{8, 0, 0, 0}, []string{"w0-0"}, suspectDelay - time.Millisecond, 0},
		{"idle, after the delay", []int{8, 0, 0, 0}, []string{"w0-0"}, suspectDelay, 1},
		{"idle, failed on all that are free", []int{8, 0, 0, 0}, []string{"w0-1", "w0-2", "w0-3"}, suspicionPeriod - time.Millisecond, 0},
		{"idle, failed on all that are free, no longer suspect", []int{8, 0, 0, 0}, []string{"w0-1", "w0-2", "w0-3"}, suspicionPeriod, 1},
		{"busy", []int{8, 8, 8, 0}, []string{"w0-0"}, suspicionPeriod - time.Millisecond, 0},
		{"busy, no longer suspect", []int{8, 8, 8, 0}, []string{"w0-0"}, suspicionPeriod, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 4)
			h.occupy([][]int{test.used})
			for i, w := range h.sortedWorkers {
				if test.used[i] == 0 {
					w.health.recordFailure("other", h.now)
				}
			}
			j := jobOf("failing", 0, single(1, 8))
			j.Organisation = "other"
			h.AddJob(h.now, j, Progress{}, false)
			failing := h.jobs["failing"].stages[0].tasks[0]
			failing.failedRuns, failing.failedOn = []int64{1}, map[string]bool{}
			for _, id := range test.failedOn {
				failing.failedOn[id] = true
			}
			if starts := h.planAfter(0).Starts; len(starts) != 0 {
				t.Fatalf("%d starts in the first pass, want none", len(starts))
			}
			if starts := h.planAfter(test.wait).Starts; len(starts) != test.want {
				t.Errorf("%d starts after %s, want %d", len(starts), test.wait, test.want)
			}
		})
	}
}

// The other tasks of the step need not avoid the workers that a failed task avoids.
func TestATaskThatAvoidsSuspectWorkersBlocksNoneOfItsStep(t *testing.T) {
	h := newHarness(t, 1, 4)
	for _, w := range h.sortedWorkers {
		w.health.recordFailure("other", h.now)
	}
	h.AddJob(h.now, jobOf("wide", 1, single(3, 4)), Progress{}, false)
	h.jobs["wide"].stages[0].tasks[0].failedRuns = []int64{1}
	starts := h.planAfter(0).Starts
	if len(starts) != 2 || starts[0].Task.Index != 1 || starts[1].Task.Index != 2 {
		t.Errorf("got %+v, want starts of the tasks 1 and 2", starts)
	}
}

// Tasks are placed one after another, so that the last one would be left with the worker on which it failed.
func TestAGangWhoseLastTaskFailedStartsAgainInAnIdleFleet(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.AddJob(h.now, jobOf("gang", 1, gang(4, 8)), Progress{}, false)
	h.workers["w0-3"].health.recordFailure("gang", h.now)
	last := h.jobs["gang"].stages[0].tasks[3]
	last.failedRuns, last.failedOn = []int64{1}, map[string]bool{"w0-3": true}
	h.planAfter(0)
	starts := h.planAfter(suspectDelay).Starts
	if len(starts) != 4 {
		t.Fatalf("%d starts, want 4", len(starts))
	}
	for _, s := range starts {
		if s.Task.Index == 3 && s.Worker == "w0-3" {
			t.Error("the task returned to the worker on which it failed")
		}
	}
}
