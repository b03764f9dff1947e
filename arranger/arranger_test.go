package arranger

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness is an arranger whose workers are simulated by the test.
type harness struct {
	*Arranger

	t   *testing.T
	now time.Time
	// endNumbers holds the number of the last end that each worker has reported.
	endNumbers map[string]int64
}

func newHarness(t *testing.T, racks, perRack int) *harness {
	t.Helper()
	h := &harness{Arranger: New(Options{StopTime: 400 * time.Millisecond, RemoteFactor: 3}), t: t, now: start, endNumbers: map[string]int64{}}
	for r := range racks {
		for i := range perRack {
			h.addWorker(fmt.Sprintf("w%d-%d", r, i), fmt.Sprintf("r1-%d", r))
		}
	}
	return h
}

func (h *harness) addWorker(id, rack string) {
	h.SetWorker(h.now, Worker{
		ID: id, Incarnation: 1, Service: "tabulator", Rack: rack, Labels: []string{"a", rack},
		Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8},
	})
	h.HandleReport(h.now, Report{Worker: id, RequestedAt: h.now})
}

// planAfter advances the clock, plans, checks the invariants and returns the orders.
func (h *harness) planAfter(d time.Duration) Orders {
	h.t.Helper()
	h.now = h.now.Add(d)
	h.Plan(h.now)
	if err := h.Check(); err != nil {
		h.t.Fatal(err)
	}
	return h.TakeOrders()
}

// confirmStarts confirms all starts of the orders.
func (h *harness) confirmStarts(o Orders) {
	for _, s := range o.Starts {
		h.StartConfirmed(h.now, s.Task, s.Run)
	}
}

// endRun reports the end of a run; the other runs on the worker continue.
func (h *harness) endRun(worker string, task TaskName, run int64, outcome Outcome) {
	h.endNumbers[worker]++
	h.now = h.now.Add(time.Millisecond)
	r := Report{Worker: worker, RequestedAt: h.now, Ended: []EndReport{{
		Number: h.endNumbers[worker], Task: task.String(), Run: run, Outcome: outcome,
	}}}
	for _, p := range h.workers[worker].places {
		if p.state != placeClaimed && p.task.name() != task {
			r.Running = append(r.Running, RunReport{Task: p.task.name().String(), Run: p.run})
		}
	}
	h.HandleReport(h.now, r)
}

func jobOf(id string, priority int, steps ...Step) Job {
	return Job{
		ID: id, Queue: "q", Organisation: "unions", Steps: steps, Accepted: start,
		Policy: Policy{Service: "tabulator", Priority: priority, MaxAttempts: 3, Stretch: 3, Objective: time.Second},
	}
}

// gang returns a step whose tasks start together, in one rack.
func gang(count, accelerators int) Step {
	return Step{Count: count, Need: Resources{CPU: 4000, MemoryMB: 8000, Accelerators: accelerators}, Estimate: 2 * time.Second, Gang: true, SameRack: true}
}

// single returns a step of independent tasks.
func single(count, accelerators int) Step {
	return Step{Count: count, Need: Resources{CPU: 3000, MemoryMB: 8000, Accelerators: accelerators}, Estimate: 8 * time.Second}
}

func TestAGangStartsWholeInOneRack(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.AddJob(h.now, jobOf("small", 2, single(1, 8)), Progress{}, false)
	h.confirmStarts(h.planAfter(0))
	h.AddJob(h.now, jobOf("gang", 1, gang(4, 8)), Progress{}, false)
	o := h.planAfter(0)
	if len(o.Starts) != 4 {
		t.Fatalf("got %d starts, want the whole gang", len(o.Starts))
	}
	for _, s := range o.Starts {
		w, _ := h.Worker(s.Worker)
		first, _ := h.Worker(o.Starts[0].Worker)
		if w.Rack != first.Rack || s.Run != o.Starts[0].Run {
			t.Fatalf("members on racks %s and %s with runs %d and %d", first.Rack, w.Rack, o.Starts[0].Run, s.Run)
		}
	}
}

func TestAGangWithoutCapacityStartsNoMember(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.AddJob(h.now, jobOf("small", 1, single(1, 1)), Progress{}, false)
	h.confirmStarts(h.planAfter(0))
	h.AddJob(h.now, jobOf("gang", 1, gang(4, 8)), Progress{}, false)
	if o := h.planAfter(time.Second); len(o.Starts) != 0 {
		t.Fatalf("got starts %+v, want none", o.Starts)
	}
}

func TestGuaranteedWorkPreemptsAndWaitsForTheVictimsToEnd(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.SetGuarantees(map[string]int{"unions": 16})
	h.AddJob(h.now, jobOf("batch", 2, single(2, 8)), Progress{}, false)
	first := h.planAfter(0)
	h.confirmStarts(first)
	h.AddJob(h.now, jobOf("lookup", 0, gang(2, 8)), Progress{}, false)
	o := h.planAfter(time.Second)
	if len(o.Stops) != 2 || len(o.Starts) != 0 {
		t.Fatalf("got %d stops and %d starts, want two stops before any start", len(o.Stops), len(o.Starts))
	}
	for _, s := range first.Starts {
		h.endRun(s.Worker, s.Task, s.Run, EndedInterrupted)
	}
	if o = h.planAfter(0); len(o.Starts) != 2 {
		t.Fatalf("got %d starts after the ends, want the gang", len(o.Starts))
	}
}

// TestAGangIsStoppedWholeWhenAStartIsUnknown replays a worker that leaves an order unanswered: the other members would
// wait for theirs until they time out, and hold their capacity meanwhile.
func TestAGangIsStoppedWholeWhenAStartIsUnknown(t *testing.T) {
	h := newHarness(t, 1, 3)
	h.AddJob(h.now, jobOf("gang", 0, gang(3, 8)), Progress{}, false)
	o := h.planAfter(0)
	if len(o.Starts) != 3 {
		t.Fatalf("got %d starts, want the whole gang", len(o.Starts))
	}
	for _, s := range o.Starts[1:] {
		h.StartConfirmed(h.now, s.Task, s.Run)
	}
	h.StartOutcomeUnknown(o.Starts[0].Task, o.Starts[0].Run)
	if o = h.planAfter(0); len(o.Stops) != 3 {
		t.Errorf("got %d stops, want the whole gang", len(o.Stops))
	}
}

func TestGuaranteedWorkIsNotPreempted(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.SetGuarantees(map[string]int{"unions": 16})
	h.AddJob(h.now, jobOf("first", 0, gang(2, 8)), Progress{}, false)
	h.confirmStarts(h.planAfter(0))
	other := jobOf("second", 0, gang(1, 8))
	other.Organisation = "researchers"
	h.AddJob(h.now, other, Progress{}, false)
	if o := h.planAfter(time.Second); len(o.Stops)+len(o.Starts) != 0 {
		t.Fatalf("got %+v, want no change to the guaranteed work", o)
	}
}

// A new owner receives the reports of several workers in any order, so a later failed run may come before an
// earlier one.
func TestFailedRunsCountInAnyReportOrder(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.AddJob(h.now, jobOf("lookup", 0, gang(1, 1)), Progress{}, true)
	name := TaskName{Job: "lookup"}
	h.endRun("w0-1", name, 6, EndedFailed)
	h.endRun("w0-0", name, 5, EndedFailed)
	h.endRun("w0-2", name, 7, EndedFailed)
	if o := h.planAfter(time.Second); len(o.Starts) != 0 {
		t.Fatalf("started again after three failed runs: %+v", o.Starts)
	}
	if got := h.Progress("lookup").State; got != Failed {
		t.Fatalf("state %q, want failed", got)
	}
}

func TestAFailedRunThatIsReportedAgainCountsOnce(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.AddJob(h.now, jobOf("lookup", 0, gang(1, 1)), Progress{
		State: Running, Tasks: map[string]TaskProgress{"0.0.0": {FailedRuns: []int64{5, 6}}},
	}, true)
	h.endRun("w0-1", TaskName{Job: "lookup"}, 6, EndedFailed)
	if o := h.planAfter(time.Second); len(o.Starts) != 1 {
		t.Fatalf("got %d starts, want the third attempt", len(o.Starts))
	}
}

func TestAStepWaitsForPrecedingSteps(t *testing.T) {
	h := newHarness(t, 1, 4)
	second := single(1, 1)
	second.After = []int{0}
	h.AddJob(h.now, jobOf("job", 2, single(2, 1), second), Progress{}, false)
	o := h.planAfter(0)
	h.confirmStarts(o)
	if len(o.Starts) != 2 {
		t.Fatalf("got %d starts, want the first step", len(o.Starts))
	}
	h.endRun(o.Starts[0].Worker, o.Starts[0].Task, o.Starts[0].Run, EndedDone)
	if o := h.planAfter(0); len(o.Starts) != 0 {
		t.Fatalf("second step started early: %+v", o.Starts)
	}
}

func TestInheritedJobsWaitForAllReports(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.ExpectReport("gone", h.now.Add(10*time.Second))
	h.AddJob(h.now, jobOf("inherited", 2, single(1, 1)), Progress{}, true)
	h.AddJob(h.now, jobOf("new", 2, single(1, 1)), Progress{}, false)
	o := h.planAfter(time.Second)
	if len(o.Starts) != 1 || o.Starts[0].Task.Job != "new" {
		t.Fatalf("got %+v, want only the new job", o.Starts)
	}
	if o = h.planAfter(10 * time.Second); len(o.Starts) != 1 {
		t.Fatalf("got %+v, want the inherited job once the leases have expired", o.Starts)
	}
}

func TestARunningGangIsAdopted(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.AddJob(h.now, jobOf("inherited", 1, gang(2, 8)), Progress{State: Running}, true)
	for i := range 2 {
		name := TaskName{Job: "inherited", Index: i}
		h.HandleReport(h.now, Report{Worker: fmt.Sprintf("w0-%d", i), RequestedAt: h.now, Running: []RunReport{{Task: name.String(), Run: 9, Percent: 50}}})
	}
	if o := h.planAfter(time.Second); len(o.Starts)+len(o.Stops) != 0 {
		t.Fatalf("got %+v, want the adopted gang to continue", o)
	}
	h.endRun("w0-0", TaskName{Job: "inherited"}, 9, EndedDone)
	if got := h.Progress("inherited").State; got != Succeeded {
		t.Fatalf("state %q, want succeeded by one member's end", got)
	}
}

func TestAnUnansweredStartIsStoppedBeforeTheTaskStartsElsewhere(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.AddJob(h.now, jobOf("job", 2, single(1, 1)), Progress{}, false)
	s := h.planAfter(0).Starts[0]
	h.StartOutcomeUnknown(s.Task, s.Run)
	if o := h.planAfter(0); len(o.Stops) != 1 || len(o.Starts) != 0 {
		t.Fatalf("got %+v, want only a stop", o)
	}
	h.StopConfirmed(h.now, s.Task.String(), s.Run, s.Worker)
	h.now = h.now.Add(time.Millisecond)
	h.HandleReport(h.now, Report{Worker: s.Worker, RequestedAt: h.now})
	if o := h.planAfter(0); len(o.Starts) != 1 || o.Starts[0].Run <= s.Run {
		t.Fatalf("got %+v, want a start with a higher run", o)
	}
}

func TestCancelStopsRuns(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.AddJob(h.now, jobOf("job", 2, single(2, 1)), Progress{}, false)
	h.confirmStarts(h.planAfter(0))
	h.CancelJob("job")
	if o := h.planAfter(0); len(o.Stops) != 2 {
		t.Fatalf("got %d stops, want two", len(o.Stops))
	}
	if got := h.Progress("job").State; got != Cancelled {
		t.Fatalf("state %q, want cancelled", got)
	}
}

// Batches may fill the fleet only up to the reserve, so a burst of urgent gangs starts at once and without
// preemption.
func TestABurstOfUrgentWorkStartsInTheReserve(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.SetGuarantees(map[string]int{"unions": 64})
	for i := range 4 {
		batch := jobOf(fmt.Sprintf("batch-%d", i), 2, single(40, 1))
		h.AddJob(h.now, batch, Progress{}, false)
	}
	h.confirmStarts(h.planAfter(0))
	for i := range 8 {
		h.AddJob(h.now, jobOf(fmt.Sprintf("lookup-%d", i), 0, gang(4, 1)), Progress{}, false)
	}
	o := h.planAfter(10 * time.Millisecond)
	if len(o.Starts) != 32 || len(o.Stops) != 0 {
		t.Fatalf("got %d starts and %d stops, want all lookups started without a stop", len(o.Starts), len(o.Stops))
	}
}

// A gang that needs most of an idle fleet must not wait because of accelerators reserved for urgent work.
func TestTheReserveDoesNotHoldBackWorkWhileTheFleetIsIdle(t *testing.T) {
	h := newHarness(t, 1, 8)
	h.AddJob(h.now, jobOf("large", 1, gang(8, 8)), Progress{}, false)
	if o := h.planAfter(0); len(o.Starts) != 8 {
		t.Fatalf("got %d starts, want the whole gang", len(o.Starts))
	}
}

func TestAStalledRunIsStartedElsewhere(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.AddJob(h.now, jobOf("job", 2, single(1, 1)), Progress{}, false)
	o := h.planAfter(0)
	h.confirmStarts(o)
	s := o.Starts[0]
	for range 4 {
		h.now = h.now.Add(time.Second)
		h.HandleReport(h.now, Report{Worker: s.Worker, RequestedAt: h.now, Running: []RunReport{{Task: s.Task.String(), Run: s.Run, Percent: 10}}})
	}
	if o = h.planAfter(0); len(o.Stops) != 1 {
		t.Fatalf("got %d stops, want the stalled run stopped", len(o.Stops))
	}
	h.endRun(s.Worker, s.Task, s.Run, EndedInterrupted)
	if o = h.planAfter(0); len(o.Starts) != 1 || o.Starts[0].Worker == s.Worker {
		t.Fatalf("got %+v, want a start on the other worker", o.Starts)
	}
}

// A task with few attempts must not spend them on a worker that fails every run.
func TestAFailedTaskIsNotRetriedOnASuspectWorker(t *testing.T) {
	h := newHarness(t, 1, 3)
	h.AddJob(h.now, jobOf("first", 2, single(1, 1)), Progress{}, false)
	first := h.planAfter(0).Starts[0]
	h.endRun(first.Worker, first.Task, first.Run, EndedFailed)
	second := h.planAfter(0).Starts[0]
	if second.Worker == first.Worker {
		t.Fatalf("retried on %s, where it failed", second.Worker)
	}
	h.AddJob(h.now, jobOf("other", 2, single(1, 1)), Progress{State: Running, Tasks: map[string]TaskProgress{"0.0.0": {FailedRuns: []int64{1}}}}, false)
	for _, s := range h.planAfter(0).Starts {
		if s.Worker == first.Worker {
			t.Fatalf("a failed task was started on the suspect worker %s", s.Worker)
		}
	}
}

func TestAJobThatFailsEverywhereDoesNotQuarantineWorkers(t *testing.T) {
	h := newHarness(t, 1, 4)
	for _, id := range []string{"poison", "bane"} {
		j := jobOf(id, 2, single(1, 1))
		j.Policy.MaxAttempts = 9
		h.AddJob(h.now, j, Progress{}, true)
		for i := range 3 {
			h.endRun(fmt.Sprintf("w0-%d", i), TaskName{Job: id}, int64(i+1), EndedFailed)
		}
	}
	for _, w := range h.sortedWorkers {
		if !w.health.usable(h.now) || w.health.suspect(h.now) {
			t.Fatalf("worker %s is suspect or quarantined for jobs that failed on all workers", w.ID)
		}
	}
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	h := newHarness(t, 1, 4)
	j := jobOf("timed", 2, single(1, 1))
	j.Occurrences, j.FirstDue, j.Interval = 2, start.Add(10*time.Second), 5*time.Second
	h.AddJob(h.now, j, Progress{}, false)
	for _, want := range []struct {
		after  time.Duration
		starts int
	}{{9 * time.Second, 0}, {time.Second, 1}, {4 * time.Second, 0}, {time.Second, 1}, {time.Minute, 0}} {
		o := h.planAfter(want.after)
		if len(o.Starts) != want.starts {
			t.Fatalf("at %s: %d starts, want %d", h.now.Sub(start), len(o.Starts), want.starts)
		}
		h.confirmStarts(o)
	}
	for k := range 2 {
		if got := h.Progress("timed").State; got != Running {
			t.Fatalf("state %q before occurrence %d has ended", got, k)
		}
		p := h.jobs["timed"].stageByKey[[2]int{k, 0}].tasks[0].place
		h.endRun(p.worker.ID, p.task.name(), p.run, EndedDone)
	}
	if got := h.Progress("timed").State; got != Succeeded {
		t.Fatalf("state %q, want succeeded", got)
	}
}

func TestLongRunningTasksRestartAfterAnyOutcome(t *testing.T) {
	h := newHarness(t, 1, 4)
	step := single(1, 1)
	step.LongRunning = true
	h.AddJob(h.now, jobOf("long-running", 2, step), Progress{}, false)
	for i, outcome := range []Outcome{EndedDone, EndedFailed, EndedInterrupted, EndedFailed, EndedFailed, EndedFailed} {
		o := h.planAfter(10 * time.Second)
		if len(o.Starts) != 1 {
			t.Fatalf("after %d ends: %d starts, want one", i, len(o.Starts))
		}
		h.confirmStarts(o)
		h.endRun(o.Starts[0].Worker, o.Starts[0].Task, o.Starts[0].Run, outcome)
	}
	if got := h.Progress("long-running").State; got != Running {
		t.Fatalf("state %q, want running", got)
	}
}

func TestAStepRespectsLabelsAndMaxPerWorker(t *testing.T) {
	h := newHarness(t, 2, 2)
	step := single(8, 1)
	step.MaxPerWorker, step.Requires = 2, "r1-1"
	h.AddJob(h.now, jobOf("bound", 2, step), Progress{}, false)
	counts := map[string]int{}
	for _, s := range h.planAfter(0).Starts {
		counts[s.Worker]++
	}
	if len(counts) != 2 || counts["w1-0"] != 2 || counts["w1-1"] != 2 {
		t.Fatalf("got %v, want two on each worker of the rack with the label", counts)
	}
}

func TestDrainingWorkersGetNoNewWork(t *testing.T) {
	h := newHarness(t, 1, 1)
	w, _ := h.Worker("w0-0")
	w.Draining = true
	h.SetWorker(h.now, w)
	h.AddJob(h.now, jobOf("job", 0, single(1, 1)), Progress{}, false)
	if o := h.planAfter(0); len(o.Starts) != 0 {
		t.Fatalf("started on a draining worker: %+v", o.Starts)
	}
}

// A report may stay open as long as the interval at which a stop is repeated. If each repeated stop counted as
// a new confirmation, such a report would always be older than it, and the place would never be released.
func TestARepeatedStopDoesNotInvalidateReports(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.AddJob(h.now, jobOf("job", 2, single(1, 1)), Progress{}, false)
	s := h.planAfter(0).Starts[0]
	h.StartOutcomeUnknown(s.Task, s.Run)
	h.StopConfirmed(h.now, s.Task.String(), s.Run, s.Worker)
	requestedAt := h.now.Add(time.Second)
	h.now = h.now.Add(2 * time.Second)
	h.StopConfirmed(h.now, s.Task.String(), s.Run, s.Worker)
	h.HandleReport(h.now, Report{Worker: s.Worker, RequestedAt: requestedAt})
	if o := h.planAfter(0); len(o.Starts) != 1 {
		t.Fatalf("got %+v, want the task started again", o)
	}
}

// The previous owner's clock was ahead, so it started an occurrence that is not due yet by the clock of the new
// owner.
func TestAnOccurrenceStartedByThePreviousOwnerIsKept(t *testing.T) {
	timed := func() Job {
		j := jobOf("timed", 2, single(1, 1))
		j.Occurrences, j.FirstDue, j.Interval = 2, start.Add(10*time.Second), time.Hour
		return j
	}
	t.Run("its end is recorded", func(t *testing.T) {
		h := newHarness(t, 1, 2)
		h.AddJob(h.now, timed(), Progress{State: Running, Done: map[string]string{"0.0": "01"}}, true)
		if o := h.planAfter(time.Minute); len(o.Starts) != 0 {
			t.Fatalf("started again: %+v", o.Starts)
		}
		if got := h.Progress("timed").Done["0.0"]; got != "01" {
			t.Fatalf("recorded as %q", got)
		}
	})
	t.Run("its end is listed by a worker", func(t *testing.T) {
		h := newHarness(t, 1, 2)
		h.AddJob(h.now, timed(), Progress{State: Running}, true)
		h.endRun("w0-0", TaskName{Job: "timed"}, 7, EndedDone)
		if o := h.planAfter(time.Minute); len(o.Starts) != 0 {
			t.Fatalf("started again: %+v", o.Starts)
		}
	})
}
