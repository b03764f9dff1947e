package arranger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// randomSequences and randomSteps limit the random sequences of events in CI; a seed always gives the same one.
	randomSequences = 60
	randomSteps     = 400
)

func TestRandomEventsKeepTheInvariantsAndEndAllJobs(t *testing.T) {
	testRandomEvents(t, func(seed uint64) *randomTest {
		return &randomTest{harness: newHarness(t, 2, 4), random: rand.New(rand.NewPCG(seed, 7))} //nolint:gosec // Tests need repeatable numbers.
	})
}

// Evacuations release claims in the middle of preemptions and gangs, and cold workers end some searches for room.
func TestRandomEventsAndEvacuationsKeepTheInvariantsAndEndAllJobs(t *testing.T) {
	testRandomEvents(t, func(seed uint64) *randomTest {
		return &randomTest{harness: newColdHarness(t, coldRate, 2, 4), random: rand.New(rand.NewPCG(seed, 8)), evacuates: true} //nolint:gosec // As above.
	})
}

func testRandomEvents(t *testing.T, newTest func(seed uint64) *randomTest) {
	t.Helper()
	for seed := range uint64(randomSequences) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := newTest(seed)
			r.t = t
			r.SetGuarantees(map[string]int{"unions": 16})
			for range randomSteps {
				r.step()
			}
			r.evacuate(nil)
			r.drain()
		})
	}
}

// randomTest applies a random sequence of events to an arranger.
type randomTest struct {
	*harness

	random *rand.Rand
	jobs   []string
	// evacuates means that zones are evacuated and return.
	evacuates bool
}

func (r *randomTest) step() {
	if r.evacuates && r.random.IntN(10) == 0 {
		zones := []string{"zone-0", "zone-1"}[:r.random.IntN(3)]
		r.evacuate([]string{"zone-0", "zone-1"}[len(zones):], zones...)
	}
	switch n := r.random.IntN(20); {
	case n < 3:
		r.submit()
	case n < 4 && len(r.jobs) > 0:
		r.CancelJob(r.jobs[r.random.IntN(len(r.jobs))])
	case n < 5:
		w := r.sortedWorkers[r.random.IntN(len(r.sortedWorkers))]
		r.SetReachable(r.now, w.ID, r.random.IntN(2) == 0)
	case n < 6:
		r.restartWorker()
	default:
		r.endRuns(r.random.IntN(12) == 0)
	}
	r.carryOut(r.planAfter(time.Duration(r.random.IntN(300)) * time.Millisecond))
}

func (r *randomTest) submit() {
	id := fmt.Sprintf("job-%d", len(r.jobs))
	first := single(1+r.random.IntN(6), r.random.IntN(4))
	if r.random.IntN(2) == 0 {
		first = gang(1+r.random.IntN(4), []int{1, 2, 4, 8}[r.random.IntN(4)])
	}
	first.Checkpoints = r.random.IntN(2) == 0
	second := single(1+r.random.IntN(3), 1)
	second.After = []int{0}
	j := jobOf(id, r.random.IntN(3), first, second)
	j.Accepted = r.now
	j.Policy.MaxAttempts = 1000
	r.AddJob(r.now, j, Progress{}, false)
	r.jobs = append(r.jobs, id)
}

// carryOut answers orders at random: most starts are confirmed, some refused, some have an unknown outcome and
// some never get an answer.
func (r *randomTest) carryOut(o Orders) {
	for _, s := range o.Starts {
		switch r.random.IntN(12) {
		case 0:
			r.StartRefused(r.now, s.Task, s.Run)
		case 1:
			r.StartOutcomeUnknown(s.Task, s.Run)
		case 2:
		default:
			r.StartConfirmed(r.now, s.Task, s.Run)
		}
	}
	for _, s := range append(o.Stops, r.TakeOrders().Stops...) {
		r.StopConfirmed(r.now, s.Task, s.Run, s.Worker)
	}
}

func (r *randomTest) restartWorker() {
	w := r.sortedWorkers[r.random.IntN(len(r.sortedWorkers))].Worker
	w.Incarnation++
	r.SetWorker(start, w)
	r.endNumbers[w.ID] = 0
	r.now = r.now.Add(time.Millisecond)
	r.HandleReport(r.now, Report{Worker: w.ID, RequestedAt: r.now})
}

// endRuns reports the end of one run on each worker; runs that are being stopped end as interrupted.
func (r *randomTest) endRuns(failing bool) {
	for _, w := range r.sortedWorkers {
		for _, pl := range w.places {
			if pl.state != placeRunning && pl.state != placeStopping {
				continue
			}
			outcome := EndedDone
			if failing {
				outcome = EndedFailed
			}
			if pl.state == placeStopping {
				outcome = EndedInterrupted
			}
			r.endRun(w.ID, pl.task.name(), pl.run, outcome)
			break
		}
	}
}

// drain continues without faults and checks that all jobs end.
func (r *randomTest) drain() {
	const rounds = 2000
	for range rounds {
		for _, w := range r.sortedWorkers {
			r.SetReachable(r.now, w.ID, true)
		}
		o := r.planAfter(time.Second)
		r.confirmStarts(o)
		for _, s := range o.Stops {
			r.StopConfirmed(r.now, s.Task, s.Run, s.Worker)
		}
		r.endRuns(false)
		if len(r.active) == 0 {
			return
		}
	}
	r.t.Fatalf("%d jobs have not ended, the first %s", len(r.active), r.active[0].ID)
}
