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

// Guaranteed work has to start within 3.4 s: a claim that waited for a run on a worker that became unavailable was kept for 3.3 s, and the
// next one waited for another run.
func TestGuaranteedWorkStartsInTimeAlthoughItsAwaitedWorkerIsLost(t *testing.T) {
	const stopTime, maxReclaimTime, step = 900 * time.Millisecond, 3400 * time.Millisecond, 20 * time.Millisecond
	for name, lose := range map[string]func(h *harness, w Worker){
		"unreachable": func(h *harness, w Worker) { h.SetReachable(h.now, w.ID, false) },
		"draining":    func(h *harness, w Worker) { w.Draining = true; h.SetWorker(h.now, w) },
		"evacuated": func(h *harness, w Worker) {
			w.Zone = "zone"
			h.SetWorker(h.now, w)
			h.evacuate(nil, "zone")
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, ending, _ := newAwaitHarness(t)
			h.options.StopTime = stopTime
			claimed := h.now.Add(time.Millisecond)
			if o := h.planAfter(time.Millisecond); len(o.Stops) != 0 {
				t.Fatalf("got stops %+v, want the urgent job to wait", o.Stops)
			}
			// The run of the other worker is about to end when the claim is given up, and does not end.
			h.addWorker("other", "r1-0")
			h.AddJob(h.now, jobOf("other", 2, single(1, 8)), Progress{}, false)
			other := h.planAfter(time.Millisecond).Starts
			h.confirmStarts(Orders{Starts: other})
			if len(other) != 1 {
				t.Fatalf("got starts %+v, want that of the other job", other)
			}
			lose(h, h.workers[ending.Worker].Worker)
			var stopEnds time.Time
			for h.now.Sub(claimed) <= maxReclaimTime {
				o := h.planAfter(step)
				if len(o.Starts) == 1 && o.Starts[0].Task.Job == "urgent" {
					return
				}
				for _, s := range o.Stops {
					if s.Worker == "other" {
						stopEnds = h.now.Add(stopTime - step)
					}
				}
				if !stopEnds.IsZero() && !h.now.Before(stopEnds) {
					h.endRun("other", other[0].Task, other[0].Run, EndedInterrupted)
					continue
				}
				percent := min(99, int(h.now.Sub(claimed)/(30*time.Millisecond)))
				h.HandleReport(h.now, Report{Worker: "other", RequestedAt: h.now, Running: []RunReport{{Task: other[0].Task.String(), Run: other[0].Run, Percent: percent}}})
			}
			t.Errorf("the urgent job has not started after %v", maxReclaimTime)
		})
	}
}

// A run for which a released claim had waited was stopped for a later claim that waits for another run of its worker.
func TestARunIsNotStoppedForAClaimThatDoesNotNeedIt(t *testing.T) {
	h, ending, long := newAwaitHarness(t)
	h.planAfter(time.Millisecond)
	h.evacuate(nil, "")
	h.CancelJob("urgent")
	h.planAfter(h.options.StopTime / 2)
	h.evacuate([]string{""})
	h.now = h.now.Add(h.options.StopTime)
	for i, percent := range []int{20, 94} {
		h.now = h.now.Add(time.Second)
		h.HandleReport(h.now, Report{Worker: "w0-0", RequestedAt: h.now, Running: []RunReport{
			{Task: ending.Task.String(), Run: ending.Run, Percent: 95 + i}, {Task: long.Task.String(), Run: long.Run, Percent: percent},
		}})
	}
	h.AddJob(h.now, jobOf("later", 0, single(1, 4)), Progress{}, false)
	for range 2 {
		if o := h.planAfter(time.Millisecond); len(o.Stops) != 0 {
			t.Fatalf("got stops %+v, want the urgent job to wait for the run at 94%%", o.Stops)
		}
	}
}
