package arranger

import (
	"fmt"
	"testing"
	"time"
)

// learnQueue runs single tasks of a queue, one after the other, whose declared run time is off.
func (h *harness) learnQueue(queue string, declared, actual time.Duration) {
	h.t.Helper()
	for i := range 8 {
		j := jobOf(fmt.Sprintf("%s-%d", queue, i), 2, single(1, 1))
		j.Queue, j.Steps[0].Estimate, j.Accepted = queue, declared, h.now
		h.AddJob(h.now, j, Progress{}, false)
		o := h.planAfter(time.Millisecond)
		h.confirmStarts(o)
		h.now = h.now.Add(actual)
		h.endRun(o.Starts[0].Worker, o.Starts[0].Task, o.Starts[0].Run, EndedDone)
	}
}

// TestTheOrderOfWaitingWorkFollowsTrueRunTimes replays two queues, one of which declares 1.9 times its true run times: its
// job has to start first, but by its declared run time it would come last, and would be late.
func TestTheOrderOfWaitingWorkFollowsTrueRunTimes(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.learnQueue("exact", 6*time.Second, 6*time.Second)
	h.learnQueue("wrong", 7600*time.Millisecond, 4*time.Second)
	for _, queue := range []string{"exact", "wrong"} {
		j := jobOf(queue, 2, single(1, 8))
		j.Queue, j.Accepted, j.Steps[0].Estimate = queue, h.now, 6*time.Second
		if queue == "wrong" {
			j.Steps[0].Estimate = 7600 * time.Millisecond
		}
		h.AddJob(h.now, j, Progress{}, false)
	}
	o := h.planAfter(time.Millisecond)
	if len(o.Starts) != 1 || o.Starts[0].Task.Job != "wrong" {
		t.Fatalf("got starts %+v, want one of the job with the earlier latest start", o.Starts)
	}
}

// TestRunningSiblingsPredictTheRunTime replays a wide step of which some runs are under way on workers of three speeds; one of
// them takes seven times as long. Their progress tells the work of the others although nothing has ended and the declared run
// time is wrong.
func TestRunningSiblingsPredictTheRunTime(t *testing.T) {
	const work = 6 * time.Second
	speeds := []float64{0.6209, 1, 1.6105}
	h := newHarness(t, 1, 3)
	for i, steps := range []int{-5, 0, 5} {
		h.RestoreSpeed(fmt.Sprintf("w0-%d", i), Rating{Steps: steps, Error: 0.1})
	}
	step := single(39, 1)
	step.Estimate = 19 * work / 10
	step.DataRack = "r1-1"
	h.AddJob(h.now, jobOf("wide", 2, step), Progress{}, false)
	o := h.planAfter(time.Millisecond)
	h.confirmStarts(o)
	began := h.now
	reports := map[string]Report{}
	for i, s := range o.Starts {
		var worker int
		if _, err := fmt.Sscanf(s.Worker, "w0-%d", &worker); err != nil {
			t.Fatal(err)
		}
		runTime := work.Seconds() * 3 / speeds[worker]
		if i == 0 {
			runTime *= 7
		}
		r := reports[s.Worker]
		if i == len(o.Starts)-1 {
			r.Ended = []EndReport{{Number: 1, Task: s.Task.String(), Run: s.Run, Outcome: EndedInterrupted}}
			reports[s.Worker] = r
			continue
		}
		r.Running = append(r.Running, RunReport{Task: s.Task.String(), Run: s.Run, Percent: int(100 * 5 / runTime)})
		reports[s.Worker] = r
	}
	h.now = began.Add(5 * time.Second)
	for _, w := range h.sortedWorkers {
		r := reports[w.ID]
		r.Worker, r.RequestedAt = w.ID, h.now
		h.HandleReport(h.now, r)
	}
	starts := h.planAfter(time.Second).Starts
	if len(starts) != 1 {
		t.Fatalf("got %d starts, want one", len(starts))
	}
	if e := starts[0].Estimate; e.Source != "siblings" || e.Median < 9*work/10 || e.Median > 11*work/10 {
		t.Errorf("got %+v, want about %v by the siblings", *e, work)
	}
}

// TestAGangCountsOnceByItsSlowestMember guards against gangs whose work is taken from a fast member, or counts once for each
// member, or includes the delay by several racks.
func TestAGangCountsOnceByItsSlowestMember(t *testing.T) {
	h := newHarness(t, 2, 1)
	h.RestoreSpeed("w0-0", Rating{Steps: 5, Error: 0.1})
	h.RestoreSpeed("w1-0", Rating{Steps: -5, Error: 0.1})
	for i := range 6 {
		j := jobOf(fmt.Sprintf("gang-%d", i), 1, gang(2, 8))
		j.Accepted, j.Steps[0].Estimate = h.now, 0
		h.AddJob(h.now, j, Progress{}, false)
		o := h.planAfter(time.Millisecond)
		if len(o.Starts) != 2 {
			t.Fatalf("got %d starts, want two on both racks", len(o.Starts))
		}
		e := o.Starts[0].Estimate
		if i > 0 && (e.Samples < 1 || e.Samples > i || e.Median < 1800*time.Millisecond || e.Median > 2200*time.Millisecond) {
			t.Errorf("got %+v after %d gangs, want 2 s by each", *e, i)
		}
		h.confirmStarts(o)
		// The work of 2 s takes three times as long over two racks, on a worker of speed 0.62.
		h.now = h.now.Add(9660 * time.Millisecond)
		for _, s := range o.Starts {
			h.endRun(s.Worker, s.Task, s.Run, EndedDone)
		}
	}
}

// TestARunThatEndsBeforeItsWorkerLeavesIsNotStopped guards against work that is thrown away since its declared run time is
// too long.
func TestARunThatEndsBeforeItsWorkerLeavesIsNotStopped(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.learnQueue("q", 8*time.Second, 1500*time.Millisecond)
	h.AddJob(h.now, jobOf("job", 2, single(1, 1)), Progress{}, false)
	o := h.planAfter(time.Millisecond)
	h.confirmStarts(o)
	leaving, _ := h.Worker(o.Starts[0].Worker)
	leaving.Draining, leaving.LeavesAt = true, h.now.Add(2*time.Second)
	h.SetWorker(h.now, leaving)
	if stops := h.planAfter(1300 * time.Millisecond).Stops; len(stops) != 0 {
		t.Errorf("got stops %+v of a run that ends in time", stops)
	}
}

// TestTheLatestStartAllowsForSlowWorkers replays work on a fleet whose free workers are slow: by its run time on average ones, it
// would be started too late, while the time that its caller allows follows the average ones.
func TestTheLatestStartAllowsForSlowWorkers(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.RestoreSpeed("w0-0", Rating{Steps: -5, Error: 0.1})
	// The speeds of a service average to one.
	h.RestoreSpeed("w0-1", Rating{Steps: 5, Error: 0.1})
	fast, _ := h.Worker("w0-1")
	fast.Draining = true
	h.SetWorker(h.now, fast)
	for range 3 {
		h.learnQueue("q", 4*time.Second, 6440*time.Millisecond)
		h.now = h.now.Add(time.Second)
		for i := range 8 {
			h.RemoveJob(fmt.Sprintf("q-%d", i))
		}
	}
	j := jobOf("job", 2, single(1, 8))
	j.Accepted, j.Steps[0].Estimate = h.now, 4*time.Second
	h.AddJob(h.now, j, Progress{}, false)
	u := h.unitOf(h.now, h.jobs["job"].stages[0], rankUrgent+2)
	// Three times 4 s and 1 s are allowed, of which the run takes 6.4 s.
	if left := u.latestStart.Sub(h.now); left < 6*time.Second || left > 7200*time.Millisecond {
		t.Errorf("the latest start is in %v, want about 6.6 s", left)
	}
}

// TestAdoptedRunsCountByTheirPace replays a change of owner without recorded run times: when the runs that go on started is not
// known, but their progress tells their work.
func TestAdoptedRunsCountByTheirPace(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.RestoreSpeed("w0-0", Rating{Error: 0.1})
	step := single(10, 1)
	step.Estimate = 19 * time.Second
	h.AddJob(h.now, jobOf("job", 2, step), Progress{Workers: []string{"w0-0"}}, true)
	for _, percent := range []int{20, 40} {
		h.now = h.now.Add(2 * time.Second)
		r := Report{Worker: "w0-0", RequestedAt: h.now}
		for i := range 3 {
			r.Running = append(r.Running, RunReport{Task: fmt.Sprintf("job.0.0.%d", i), Run: 1, Percent: percent})
		}
		h.HandleReport(h.now, r)
	}
	o := h.planAfter(time.Second)
	if len(o.Starts) == 0 || o.Starts[0].Estimate.Median < 9*time.Second || o.Starts[0].Estimate.Median > 12*time.Second {
		t.Errorf("got starts %+v, want some with about 10 s by the adopted runs, not the declared 19 s", o.Starts)
	}
}
