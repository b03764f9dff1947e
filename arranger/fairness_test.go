package arranger

import (
	"fmt"
	"testing"
	"time"
)

// addOrganisationJob adds a job of one task that takes a whole worker for 8 s.
func (h *harness) addOrganisationJob(organisation string, number int) {
	h.t.Helper()
	j := jobOf(fmt.Sprintf("%s-%d", organisation, number), 2, single(1, 8))
	j.Organisation, j.Accepted = organisation, h.now
	h.AddJob(h.now, j, Progress{}, false)
}

// nextEnds ends all runs and returns the organisations of the jobs that start next.
func (h *harness) nextEnds() map[string]int {
	h.t.Helper()
	for _, w := range h.sortedWorkers {
		for _, p := range w.places {
			h.endRun(w.ID, p.task.name(), p.run, EndedDone)
		}
	}
	return h.organisationsOf(h.planAfter(8 * time.Second))
}

// organisationsOf confirms the starts and returns their number by organisation.
func (h *harness) organisationsOf(o Orders) map[string]int {
	counts := map[string]int{}
	for _, s := range o.Starts {
		counts[h.jobs[s.Task.Job].Organisation]++
	}
	h.confirmStarts(o)
	return counts
}

// A burst of one large organisation, accepted first, held up nine small ones until it was worked off.
func TestABurstOfOneOrganisationDoesNotStarveOthers(t *testing.T) {
	const workers, small, burst = 20, 9, 60
	h := newHarness(t, 1, workers)
	for i := range burst {
		h.addOrganisationJob("large", i)
	}
	// What is kept free for urgent work stays free.
	if got := h.organisationsOf(h.planAfter(0)); got["large"] < workers/2 {
		t.Fatalf("the burst does not fill the fleet: %v", got)
	}
	h.now = h.now.Add(time.Second)
	for i := range small {
		h.addOrganisationJob(fmt.Sprintf("small-%d", i), 0)
	}
	got := h.organisationsOf(h.planAfter(0))
	if h.Waits().Deferred == 0 {
		t.Error("no deferred work is shown to operators")
	}
	for organisation, n := range h.nextEnds() {
		got[organisation] += n
	}
	for i := range small {
		if organisation := fmt.Sprintf("small-%d", i); got[organisation] != 1 {
			t.Errorf("%s: %d starts when the first runs have ended, want its job: %v", organisation, got[organisation], got)
		}
	}
	if got["large"] == 0 {
		t.Errorf("the large organisation got nothing of what the small ones leave: %v", got)
	}
}

func TestUnitsAreDeferredInCoarseSteps(t *testing.T) {
	for _, test := range []struct {
		used int
		want int
	}{{0, 0}, {100, 0}, {149, 0}, {150, 1}, {299, 1}, {300, 2}, {599, 2}, {600, 3}, {10_000, 3}} {
		if got := fairnessSteps(test.used, 100); got != test.want {
			t.Errorf("%d accelerators of a share of 100: %d steps, want %d", test.used, got, test.want)
		}
	}
	if got := fairnessSteps(100, 0); got != 0 {
		t.Errorf("without accelerators: %d steps, want none", got)
	}
}

func TestOnlyLargeDifferencesPrecedeTheLatestStart(t *testing.T) {
	for _, test := range []struct {
		name       string
		guaranteed map[string]int
		// jobs are the numbers of jobs that run or wait, by organisation, of which 16 would fill the fleet.
		jobs map[string]int
		// after is how much later than that of "early" the job of "later" is accepted.
		after time.Duration
		first string
		// runTime is what has been learned of the run time; 0 if nothing has.
		runTime time.Duration
	}{
		{"equal use", nil, map[string]int{"early": 7, "later": 7}, 2 * time.Second, "early", 0},
		{"comparable use", nil, map[string]int{"early": 9, "later": 5}, 2 * time.Second, "early", 0},
		{"much more use", nil, map[string]int{"early": 13, "later": 1}, 2 * time.Second, "later", 0},
		{"much more use within a guarantee", map[string]int{"early": 128}, map[string]int{"early": 13, "later": 1}, 2 * time.Second, "early", 0},
		// A unit is deferred, but precedes what is accepted long after it.
		{"much more use, waits for long", nil, map[string]int{"early": 13, "later": 1}, 14 * time.Second, "early", 0},
		// The period from acceptance to deadline is that of the true run time.
		{"much more use, declared run time", nil, map[string]int{"early": 13, "later": 1}, 3800 * time.Millisecond, "later", 0},
		{"much more use, learned run time", nil, map[string]int{"early": 13, "later": 1}, 3800 * time.Millisecond, "early", 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 16)
			h.SetGuarantees(test.guaranteed)
			if test.runTime > 0 {
				h.learnQueue("q", single(1, 8).Estimate, test.runTime)
			}
			for _, organisation := range []string{"early", "later"} {
				for i := range test.jobs[organisation] {
					h.addOrganisationJob(organisation, i)
				}
			}
			h.confirmStarts(h.planAfter(time.Second))
			h.addOrganisationJob("early", 100)
			h.now = h.now.Add(test.after)
			h.addOrganisationJob("later", 100)
			for _, u := range h.units(h.now, h.ranks()) {
				if u.stage.job.ID == "early-100" || u.stage.job.ID == "later-100" {
					if got := u.stage.job.Organisation; got != test.first {
						t.Errorf("the unit of %s precedes the other one", got)
					}
					break
				}
			}
		})
	}
}
