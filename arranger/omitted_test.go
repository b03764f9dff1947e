package arranger

import (
	"testing"
	"time"
)

// A worker lists 500 ended runs at a time. Runs that had ended beyond those were taken for lost and ran again.
func TestRunsWhoseEndMayBeOmittedAreNotRequeued(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.AddJob(h.now, jobOf("job", 1, single(2, 1)), Progress{}, false)
	o := h.planAfter(0)
	h.confirmStarts(o)
	h.now = h.now.Add(time.Second)
	h.HandleReport(h.now, Report{Worker: "w0-0", RequestedAt: h.now, EndsOmitted: true})
	if again := h.planAfter(time.Second).Starts; len(again) != 0 {
		t.Fatalf("%d starts after a report that may omit the ends", len(again))
	}
	if got := h.workers["w0-0"].free().Accelerators; got != 6 {
		t.Errorf("%d accelerators count as free, want 6", got)
	}
	h.HandleReport(h.now, Report{Worker: "w0-0", RequestedAt: h.now, Ended: []EndReport{{Number: 501, Task: o.Starts[0].Task.String(), Run: o.Starts[0].Run, Outcome: EndedDone}}})
	if again := h.planAfter(time.Second).Starts; len(again) != 1 || again[0].Task != o.Starts[1].Task {
		t.Errorf("got starts %v once all ends were listed, want the task without one", again)
	}
}

// A new owner started the tasks of an inherited job once the first 500 ends were listed, or when the leases had expired at last.
func TestInheritedJobsWaitForOmittedEnds(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.options.WorkersRecorded = true
	const wait = 10 * time.Second
	h.ExpectReport("w0-0", h.now.Add(wait))
	h.AddJob(h.now, jobOf("job", 1, single(1, 1)), Progress{State: Running, Workers: []string{"w0-0"}}, true)
	h.HandleReport(h.now, Report{Worker: "w0-0", RequestedAt: h.now, EndsOmitted: true})
	if starts := h.planAfter(2 * wait).Starts; len(starts) != 0 {
		t.Fatalf("%d starts before all ends were listed", len(starts))
	}
	if got := h.Progress("job").Workers; len(got) != 1 {
		t.Errorf("got workers %v, want the one with omitted ends", got)
	}
	h.HandleReport(h.now, Report{Worker: "w0-0", RequestedAt: h.now, Ended: []EndReport{{Number: 501, Task: "job.0.0.0", Run: 1, Outcome: EndedDone}}})
	if got := h.Progress("job").State; got != Succeeded {
		t.Errorf("the job is %s", got)
	}
}

// A worker that is lost before it has listed all ends must not keep its jobs waiting.
func TestAWorkerThatIsLostIsNotWaitedForAnyMore(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.options.WorkersRecorded = true
	h.ExpectReport("w0-0", h.now.Add(10*time.Second))
	h.AddJob(h.now, jobOf("job", 1, single(1, 1)), Progress{State: Running, Workers: []string{"w0-0"}}, true)
	h.HandleReport(h.now, Report{Worker: "w0-0", RequestedAt: h.now, EndsOmitted: true})
	h.RemoveWorker(h.now, "w0-0", "its leases have expired")
	if starts := h.planAfter(time.Second).Starts; len(starts) != 1 {
		t.Errorf("%d starts, want one", len(starts))
	}
}
