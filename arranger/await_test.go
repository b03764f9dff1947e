package arranger

import (
	"testing"
	"time"
)

// newAwaitHarness returns a worker with two runs of 4 accelerators that started 1.1 and 1.5 s ago, of which the first is at 94
// percent, and an urgent job that needs 4 accelerators.
func newAwaitHarness(t *testing.T) (h *harness, ending, long StartOrder) {
	t.Helper()
	h = newHarness(t, 1, 1)
	h.SetGuarantees(map[string]int{"unions": 8})
	h.AddJob(h.now, jobOf("long", 2, single(1, 4)), Progress{}, false)
	starts := h.planAfter(0)
	h.confirmStarts(starts)
	long = starts.Starts[0]
	h.AddJob(h.now, jobOf("ending", 2, single(1, 4)), Progress{}, false)
	starts = h.planAfter(400 * time.Millisecond)
	h.confirmStarts(starts)
	ending = starts.Starts[0]
	for _, percent := range []int{45, 94} {
		h.now = h.now.Add(550 * time.Millisecond)
		h.HandleReport(h.now, Report{Worker: "w0-0", RequestedAt: h.now, Running: []RunReport{
			{Task: ending.Task.String(), Run: ending.Run, Percent: percent}, {Task: long.Task.String(), Run: long.Run, Percent: percent / 20},
		}})
	}
	urgent := jobOf("urgent", 0, single(1, 4))
	urgent.Accepted = h.now
	h.AddJob(h.now, urgent, Progress{}, false)
	return h, ending, long
}

// TestARunAboutToEndIsAwaited guards against the choice of the youngest run as the victim although it ends before a stop would
// take effect.
func TestARunAboutToEndIsAwaited(t *testing.T) {
	h, ending, _ := newAwaitHarness(t)
	if o := h.planAfter(time.Millisecond); len(o.Stops) != 0 || len(o.Starts) != 0 {
		t.Fatalf("got %+v, want no order before the run has ended", o)
	}
	h.now = h.now.Add(80 * time.Millisecond)
	h.endRun(ending.Worker, ending.Task, ending.Run, EndedDone)
	if o := h.planAfter(time.Millisecond); len(o.Starts) != 1 || o.Starts[0].Task.Job != "urgent" {
		t.Errorf("got starts %+v after the end, want the urgent job", o.Starts)
	}
}

// TestAnAwaitedRunIsStoppedIfItDoesNotEnd guards against urgent work that waits for a run that has stopped making progress.
func TestAnAwaitedRunIsStoppedIfItDoesNotEnd(t *testing.T) {
	h, ending, _ := newAwaitHarness(t)
	h.planAfter(time.Millisecond)
	o := h.planAfter(h.options.StopTime)
	if len(o.Stops) != 1 || o.Stops[0].Task != ending.Task.String() {
		t.Fatalf("got stops %+v after the time that a stop takes, want the awaited run", o.Stops)
	}
	h.endRun(ending.Worker, ending.Task, ending.Run, EndedInterrupted)
	if o = h.planAfter(time.Millisecond); len(o.Starts) != 1 || o.Starts[0].Task.Job != "urgent" {
		t.Errorf("got starts %+v after the stop, want the urgent job", o.Starts)
	}
}

// TestAStalledRunIsNotAwaited guards against urgent work that waits for a run since it was about to end long ago.
func TestAStalledRunIsNotAwaited(t *testing.T) {
	h, _, _ := newAwaitHarness(t)
	if o := h.planAfter(time.Second); len(o.Stops) != 1 {
		t.Errorf("got stops %+v, want one at once, since the end is overdue", o.Stops)
	}
}

// TestTheVictimIsTheRunWithTimeLeft guards against stopping a run of which little remains for one that would gain more time.
func TestTheVictimIsTheRunWithTimeLeft(t *testing.T) {
	h, ending, long := newAwaitHarness(t)
	h.options.StopTime = 40 * time.Millisecond
	o := h.planAfter(time.Millisecond)
	if len(o.Stops) != 1 || o.Stops[0].Task != long.Task.String() {
		t.Errorf("got stops %+v, want the run that has 30 s left, not %v", o.Stops, ending.Task)
	}
}
