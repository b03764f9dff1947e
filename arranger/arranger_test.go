package arranger

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bench is an arranger with workers that the test plays.
type bench struct {
	*Arranger

	t   *testing.T
	now time.Time
	// numbers counts the ends that each worker has listed.
	numbers map[string]int64
}

func newBench(t *testing.T, racks, perRack int) *bench {
	t.Helper()
	b := &bench{Arranger: New(Options{StopTime: 400 * time.Millisecond, RemoteFactor: 3}), t: t, now: start, numbers: map[string]int64{}}
	for r := range racks {
		for i := range perRack {
			b.addWorker(fmt.Sprintf("w%d-%d", r, i), fmt.Sprintf("r1-%d", r))
		}
	}
	return b
}

func (b *bench) addWorker(id, rack string) {
	b.SetWorker(Worker{
		ID: id, Incarnation: 1, Service: "tabulator", Rack: rack, Labels: []string{"a", rack},
		Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8},
	})
	b.HandleReport(b.now, Report{Worker: id, RequestedAt: b.now})
}

func (b *bench) pass(d time.Duration) Orders {
	b.t.Helper()
	b.now = b.now.Add(d)
	b.Plan(b.now)
	if err := b.Check(); err != nil {
		b.t.Fatal(err)
	}
	return b.TakeOrders()
}

// confirm answers all starts.
func (b *bench) confirm(o Orders) {
	for _, s := range o.Starts {
		b.StartConfirmed(b.now, s.Task, s.Run)
	}
}

// end reports the end of a run; what else the worker was given runs on.
func (b *bench) end(worker string, task TaskName, run int64, how Outcome) {
	b.numbers[worker]++
	b.now = b.now.Add(time.Millisecond)
	r := Report{Worker: worker, RequestedAt: b.now, Ended: []EndReport{{
		Number: b.numbers[worker], Task: task.String(), Run: run, Outcome: how,
	}}}
	for _, p := range b.workers[worker].places {
		if p.state != placeClaimed && p.task.name() != task {
			r.Running = append(r.Running, RunReport{Task: p.task.name().String(), Run: p.run})
		}
	}
	b.HandleReport(b.now, r)
}

func jobOf(id string, priority int, steps ...Step) Job {
	return Job{
		ID: id, Queue: "q", Organisation: "unions", Steps: steps, Accepted: start,
		Policy: Policy{Service: "tabulator", Priority: priority, MaxAttempts: 3, Stretch: 3, Objective: time.Second},
	}
}

func gang(count, accelerators int) Step {
	return Step{Count: count, Need: Resources{CPU: 4000, MemoryMB: 8000, Accelerators: accelerators}, Estimate: 2 * time.Second, Gang: true, SameRack: true}
}

func single(count, accelerators int) Step {
	return Step{Count: count, Need: Resources{CPU: 3000, MemoryMB: 8000, Accelerators: accelerators}, Estimate: 8 * time.Second}
}

func TestAGangStartsWholeInOneRack(t *testing.T) {
	b := newBench(t, 2, 4)
	b.AddJob(b.now, jobOf("small", 2, single(1, 8)), Progress{}, false)
	b.confirm(b.pass(0))
	b.AddJob(b.now, jobOf("gang", 1, gang(4, 8)), Progress{}, false)
	o := b.pass(0)
	if len(o.Starts) != 4 {
		t.Fatalf("got %d starts, want the whole gang", len(o.Starts))
	}
	for _, s := range o.Starts {
		w, _ := b.Worker(s.Worker)
		first, _ := b.Worker(o.Starts[0].Worker)
		if w.Rack != first.Rack || s.Run != o.Starts[0].Run {
			t.Fatalf("members on racks %s and %s with runs %d and %d", first.Rack, w.Rack, o.Starts[0].Run, s.Run)
		}
	}
}

func TestAGangThatFitsNowhereWaitsWhole(t *testing.T) {
	b := newBench(t, 1, 4)
	b.AddJob(b.now, jobOf("small", 1, single(1, 1)), Progress{}, false)
	b.confirm(b.pass(0))
	b.AddJob(b.now, jobOf("gang", 1, gang(4, 8)), Progress{}, false)
	if o := b.pass(time.Second); len(o.Starts) != 0 {
		t.Fatalf("got starts %+v, want none", o.Starts)
	}
}

func TestGuaranteedWorkDisplacesLaterWorkAndWaitsForItsEnd(t *testing.T) {
	b := newBench(t, 1, 2)
	b.SetGuarantees(map[string]int{"unions": 16})
	b.AddJob(b.now, jobOf("batch", 2, single(2, 8)), Progress{}, false)
	first := b.pass(0)
	b.confirm(first)
	b.AddJob(b.now, jobOf("lookup", 0, gang(2, 8)), Progress{}, false)
	o := b.pass(time.Second)
	if len(o.Stops) != 2 || len(o.Starts) != 0 {
		t.Fatalf("got %d stops and %d starts, want two stops first", len(o.Stops), len(o.Starts))
	}
	for _, s := range first.Starts {
		b.end(s.Worker, s.Task, s.Run, EndedInterrupted)
	}
	if o = b.pass(0); len(o.Starts) != 2 {
		t.Fatalf("got %d starts after the ends, want the gang", len(o.Starts))
	}
}

func TestGuaranteedWorkIsNotDisplaced(t *testing.T) {
	b := newBench(t, 1, 2)
	b.SetGuarantees(map[string]int{"unions": 16})
	b.AddJob(b.now, jobOf("first", 0, gang(2, 8)), Progress{}, false)
	b.confirm(b.pass(0))
	other := jobOf("second", 0, gang(1, 8))
	other.Organisation = "researchers"
	b.AddJob(b.now, other, Progress{}, false)
	if o := b.pass(time.Second); len(o.Stops)+len(o.Starts) != 0 {
		t.Fatalf("got %+v, want the guarantee untouched", o)
	}
}

// A new owner hears of failed runs from several workers, the later run first.
func TestFailedRunsCountInWhicheverOrderTheyAreReported(t *testing.T) {
	b := newBench(t, 1, 4)
	b.AddJob(b.now, jobOf("lookup", 0, gang(1, 1)), Progress{}, true)
	name := TaskName{Job: "lookup"}
	b.end("w0-1", name, 6, EndedFailed)
	b.end("w0-0", name, 5, EndedFailed)
	b.end("w0-2", name, 7, EndedFailed)
	if o := b.pass(time.Second); len(o.Starts) != 0 {
		t.Fatalf("started again after three failed runs: %+v", o.Starts)
	}
	if got := b.Progress("lookup").State; got != Failed {
		t.Fatalf("state %q, want failed", got)
	}
}

func TestAFailedRunThatIsReportedAgainCountsOnce(t *testing.T) {
	b := newBench(t, 1, 4)
	b.AddJob(b.now, jobOf("lookup", 0, gang(1, 1)), Progress{
		State: Running, Tasks: map[string]TaskProgress{"0.0.0": {FailedRuns: []int64{5, 6}}},
	}, true)
	b.end("w0-1", TaskName{Job: "lookup"}, 6, EndedFailed)
	if o := b.pass(time.Second); len(o.Starts) != 1 {
		t.Fatalf("got %d starts, want the third attempt", len(o.Starts))
	}
}

func TestAStepWaitsForTheStepsBeforeIt(t *testing.T) {
	b := newBench(t, 1, 4)
	second := single(1, 1)
	second.After = []int{0}
	b.AddJob(b.now, jobOf("job", 2, single(2, 1), second), Progress{}, false)
	o := b.pass(0)
	b.confirm(o)
	if len(o.Starts) != 2 {
		t.Fatalf("got %d starts, want the first step", len(o.Starts))
	}
	b.end(o.Starts[0].Worker, o.Starts[0].Task, o.Starts[0].Run, EndedDone)
	if o := b.pass(0); len(o.Starts) != 0 {
		t.Fatalf("second step started early: %+v", o.Starts)
	}
}

func TestAnEarlierOwnersTasksWaitForAllReports(t *testing.T) {
	b := newBench(t, 1, 2)
	b.ExpectReport("gone", b.now.Add(10*time.Second))
	b.AddJob(b.now, jobOf("early", 2, single(1, 1)), Progress{}, true)
	b.AddJob(b.now, jobOf("new", 2, single(1, 1)), Progress{}, false)
	o := b.pass(time.Second)
	if len(o.Starts) != 1 || o.Starts[0].Task.Job != "new" {
		t.Fatalf("got %+v, want only the new job", o.Starts)
	}
	if o = b.pass(10 * time.Second); len(o.Starts) != 1 {
		t.Fatalf("got %+v, want the early job once the leases have lapsed", o.Starts)
	}
}

func TestARunningGangIsTakenOver(t *testing.T) {
	b := newBench(t, 1, 2)
	b.AddJob(b.now, jobOf("early", 1, gang(2, 8)), Progress{State: Running}, true)
	for i := range 2 {
		name := TaskName{Job: "early", Index: i}
		b.HandleReport(b.now, Report{Worker: fmt.Sprintf("w0-%d", i), RequestedAt: b.now, Running: []RunReport{{Task: name.String(), Run: 9, Percent: 50}}})
	}
	if o := b.pass(time.Second); len(o.Starts)+len(o.Stops) != 0 {
		t.Fatalf("got %+v, want the gang left alone", o)
	}
	b.end("w0-0", TaskName{Job: "early"}, 9, EndedDone)
	if got := b.Progress("early").State; got != Succeeded {
		t.Fatalf("state %q, want succeeded by one member's end", got)
	}
}

func TestAnUnansweredStartIsStoppedBeforeTheTaskStartsElsewhere(t *testing.T) {
	b := newBench(t, 1, 2)
	b.AddJob(b.now, jobOf("job", 2, single(1, 1)), Progress{}, false)
	s := b.pass(0).Starts[0]
	b.StartOutcomeUnknown(s.Task, s.Run)
	if o := b.pass(0); len(o.Stops) != 1 || len(o.Starts) != 0 {
		t.Fatalf("got %+v, want a stop alone", o)
	}
	b.StopConfirmed(b.now, s.Task.String(), s.Run, s.Worker)
	b.now = b.now.Add(time.Millisecond)
	b.HandleReport(b.now, Report{Worker: s.Worker, RequestedAt: b.now})
	if o := b.pass(0); len(o.Starts) != 1 || o.Starts[0].Run <= s.Run {
		t.Fatalf("got %+v, want a start with a higher run", o)
	}
}

func TestCancelStopsWhatRuns(t *testing.T) {
	b := newBench(t, 1, 2)
	b.AddJob(b.now, jobOf("job", 2, single(2, 1)), Progress{}, false)
	b.confirm(b.pass(0))
	b.CancelJob("job")
	if o := b.pass(0); len(o.Stops) != 2 {
		t.Fatalf("got %d stops, want two", len(o.Stops))
	}
	if got := b.Progress("job").State; got != Cancelled {
		t.Fatalf("state %q, want cancelled", got)
	}
}

// A burst of urgent lookups into a fleet that batches would fill: the lookups start at once, without a stop.
func TestABurstOfUrgentWorkFindsRoomInAFullFleet(t *testing.T) {
	b := newBench(t, 2, 8)
	b.SetGuarantees(map[string]int{"unions": 64})
	for i := range 4 {
		batch := jobOf(fmt.Sprintf("batch-%d", i), 2, single(40, 1))
		b.AddJob(b.now, batch, Progress{}, false)
	}
	b.confirm(b.pass(0))
	for i := range 8 {
		b.AddJob(b.now, jobOf(fmt.Sprintf("lookup-%d", i), 0, gang(4, 1)), Progress{}, false)
	}
	o := b.pass(10 * time.Millisecond)
	if len(o.Starts) != 32 || len(o.Stops) != 0 {
		t.Fatalf("got %d starts and %d stops, want all lookups started without a stop", len(o.Starts), len(o.Stops))
	}
}

// Work that needs most of an idle fleet is not kept waiting for urgent work that may never come.
func TestTheReserveDoesNotHoldBackWorkWhileTheFleetIsIdle(t *testing.T) {
	b := newBench(t, 1, 8)
	b.AddJob(b.now, jobOf("large", 1, gang(8, 8)), Progress{}, false)
	if o := b.pass(0); len(o.Starts) != 8 {
		t.Fatalf("got %d starts, want the whole gang", len(o.Starts))
	}
}

func TestARunThatStandsStillIsStartedElsewhere(t *testing.T) {
	b := newBench(t, 1, 2)
	b.AddJob(b.now, jobOf("job", 2, single(1, 1)), Progress{}, false)
	o := b.pass(0)
	b.confirm(o)
	s := o.Starts[0]
	for range 4 {
		b.now = b.now.Add(time.Second)
		b.HandleReport(b.now, Report{Worker: s.Worker, RequestedAt: b.now, Running: []RunReport{{Task: s.Task.String(), Run: s.Run, Percent: 10}}})
	}
	if o = b.pass(0); len(o.Stops) != 1 {
		t.Fatalf("got %d stops, want the run left", len(o.Stops))
	}
	b.end(s.Worker, s.Task, s.Run, EndedInterrupted)
	if o = b.pass(0); len(o.Starts) != 1 || o.Starts[0].Worker == s.Worker {
		t.Fatalf("got %+v, want a start on the other worker", o.Starts)
	}
}

// A worker fails all that it starts; a task with few attempts must not spend them there.
func TestATaskThatFailedIsNotRetriedWhereAnotherFailed(t *testing.T) {
	b := newBench(t, 1, 3)
	b.AddJob(b.now, jobOf("first", 2, single(1, 1)), Progress{}, false)
	first := b.pass(0).Starts[0]
	b.end(first.Worker, first.Task, first.Run, EndedFailed)
	second := b.pass(0).Starts[0]
	if second.Worker == first.Worker {
		t.Fatalf("retried on %s, where it had failed", second.Worker)
	}
	b.AddJob(b.now, jobOf("other", 2, single(1, 1)), Progress{State: Running, Tasks: map[string]TaskProgress{"0.0.0": {FailedRuns: []int64{1}}}}, false)
	for _, s := range b.pass(0).Starts {
		if s.Worker == first.Worker {
			t.Fatalf("a task that had failed was started on the suspect worker %s", s.Worker)
		}
	}
}

func TestAJobThatFailsEverywhereDoesNotTakeWorkersOutOfUse(t *testing.T) {
	b := newBench(t, 1, 4)
	for _, id := range []string{"poison", "bane"} {
		j := jobOf(id, 2, single(1, 1))
		j.Policy.MaxAttempts = 9
		b.AddJob(b.now, j, Progress{}, true)
		for i := range 3 {
			b.end(fmt.Sprintf("w0-%d", i), TaskName{Job: id}, int64(i+1), EndedFailed)
		}
	}
	for _, w := range b.sortedWorkers {
		if !w.health.usable(b.now) || w.health.suspect(b.now) {
			t.Fatalf("worker %s is blamed for jobs that failed on all workers", w.ID)
		}
	}
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	b := newBench(t, 1, 4)
	j := jobOf("timed", 2, single(1, 1))
	j.Occurrences, j.FirstDue, j.Interval = 2, start.Add(10*time.Second), 5*time.Second
	b.AddJob(b.now, j, Progress{}, false)
	for _, want := range []struct {
		after  time.Duration
		starts int
	}{{9 * time.Second, 0}, {time.Second, 1}, {4 * time.Second, 0}, {time.Second, 1}, {time.Minute, 0}} {
		o := b.pass(want.after)
		if len(o.Starts) != want.starts {
			t.Fatalf("at %s: %d starts, want %d", b.now.Sub(start), len(o.Starts), want.starts)
		}
		b.confirm(o)
	}
	for k := range 2 {
		if got := b.Progress("timed").State; got != Running {
			t.Fatalf("state %q before occurrence %d has ended", got, k)
		}
		p := b.jobs["timed"].stageByKey[[2]int{k, 0}].tasks[0].place
		b.end(p.worker.ID, p.task.name(), p.run, EndedDone)
	}
	if got := b.Progress("timed").State; got != Succeeded {
		t.Fatalf("state %q, want succeeded", got)
	}
}

func TestTasksThatLastAreStartedAgainHoweverTheyEnd(t *testing.T) {
	b := newBench(t, 1, 4)
	step := single(1, 1)
	step.LongRunning = true
	b.AddJob(b.now, jobOf("lasting", 2, step), Progress{}, false)
	for i, how := range []Outcome{EndedDone, EndedFailed, EndedInterrupted, EndedFailed, EndedFailed, EndedFailed} {
		o := b.pass(10 * time.Second)
		if len(o.Starts) != 1 {
			t.Fatalf("after %d ends: %d starts, want one", i, len(o.Starts))
		}
		b.confirm(o)
		b.end(o.Starts[0].Worker, o.Starts[0].Task, o.Starts[0].Run, how)
	}
	if got := b.Progress("lasting").State; got != Running {
		t.Fatalf("state %q, want running", got)
	}
}

func TestAStepKeepsToLabelsAndToItsBoundOnAWorker(t *testing.T) {
	b := newBench(t, 2, 2)
	step := single(8, 1)
	step.MaxPerWorker, step.Requires = 2, "r1-1"
	b.AddJob(b.now, jobOf("bound", 2, step), Progress{}, false)
	counts := map[string]int{}
	for _, s := range b.pass(0).Starts {
		counts[s.Worker]++
	}
	if len(counts) != 2 || counts["w1-0"] != 2 || counts["w1-1"] != 2 {
		t.Fatalf("got %v, want two on each worker of the rack with the label", counts)
	}
}

func TestDrainingWorkersGetNoNewWork(t *testing.T) {
	b := newBench(t, 1, 1)
	w, _ := b.Worker("w0-0")
	w.Draining = true
	b.SetWorker(w)
	b.AddJob(b.now, jobOf("job", 0, single(1, 1)), Progress{}, false)
	if o := b.pass(0); len(o.Starts) != 0 {
		t.Fatalf("started on a draining worker: %+v", o.Starts)
	}
}

// Reports that wait for ends take as long as the time after which a stop is ordered again.
func TestAStopThatIsOrderedAgainDoesNotOutdateReports(t *testing.T) {
	b := newBench(t, 1, 1)
	b.AddJob(b.now, jobOf("job", 2, single(1, 1)), Progress{}, false)
	s := b.pass(0).Starts[0]
	b.StartOutcomeUnknown(s.Task, s.Run)
	b.StopConfirmed(b.now, s.Task.String(), s.Run, s.Worker)
	asked := b.now.Add(time.Second)
	b.now = b.now.Add(2 * time.Second)
	b.StopConfirmed(b.now, s.Task.String(), s.Run, s.Worker)
	b.HandleReport(b.now, Report{Worker: s.Worker, RequestedAt: asked})
	if o := b.pass(0); len(o.Starts) != 1 {
		t.Fatalf("got %+v, want the task started again", o)
	}
}

// The earlier owner's clock was ahead: it has begun an occurrence that is not due here yet.
func TestAnOccurrenceBegunByAnEarlierOwnerIsKept(t *testing.T) {
	timed := func() Job {
		j := jobOf("timed", 2, single(1, 1))
		j.Occurrences, j.FirstDue, j.Interval = 2, start.Add(10*time.Second), time.Hour
		return j
	}
	t.Run("its end is recorded", func(t *testing.T) {
		b := newBench(t, 1, 2)
		b.AddJob(b.now, timed(), Progress{State: Running, Done: map[string]string{"0.0": "01"}}, true)
		if o := b.pass(time.Minute); len(o.Starts) != 0 {
			t.Fatalf("started again: %+v", o.Starts)
		}
		if got := b.Progress("timed").Done["0.0"]; got != "01" {
			t.Fatalf("recorded anew as %q", got)
		}
	})
	t.Run("its end is listed by a worker", func(t *testing.T) {
		b := newBench(t, 1, 2)
		b.AddJob(b.now, timed(), Progress{State: Running}, true)
		b.end("w0-0", TaskName{Job: "timed"}, 7, EndedDone)
		if o := b.pass(time.Minute); len(o.Starts) != 0 {
			t.Fatalf("started again: %+v", o.Starts)
		}
	})
}
