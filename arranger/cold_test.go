package arranger

import (
	"slices"
	"testing"
	"time"
)

const (
	coldTime = 20 * time.Second
	// With coldRate, coldSlack and coldOverage a cold worker gets 2 starts, and 3 more each second.
	coldRate, coldSlack, coldOverage = 2, 2, 1.5
)

// newColdHarness returns a harness whose service limits the starts on cold workers to the rate; 0 means no limit.
func newColdHarness(t *testing.T, rate float64, zones, perZone int) *harness {
	t.Helper()
	h := newZonedHarness(t, zones, perZone)
	h.options.ColdOverage, h.options.ColdSlack = coldOverage, coldSlack
	h.SetColdStarts(map[string]ColdStart{"tabulator": {Duration: coldTime, StartRate: rate}})
	return h
}

// cool makes the workers of a zone cold from now on.
func (h *harness) cool(zone string) {
	for _, w := range h.sortedWorkers {
		if w.Zone == zone {
			info := w.Worker
			info.ColdUntil = h.now.Add(coldTime)
			h.SetWorker(h.now, info)
		}
	}
}

// small returns a step of tasks of which thousands fit on one worker.
func small(count int) Step { return Step{Count: count, Need: Resources{CPU: 1}, Estimate: time.Minute} }

// A returned zone, or a worker that is cold again, took a third of all work at once, or none for the starts before it was cold.
func TestTheLoadOfAColdWorkerIncreasesGradually(t *testing.T) {
	for _, test := range []struct {
		name  string
		rate  float64
		begin func(h *harness)
	}{
		{"zone returned", coldRate, func(h *harness) { h.evacuate([]string{"zone-0"}) }},
		{"cold again", coldRate, func(h *harness) { h.cool("zone-0") }},
		{"without a limit", 0, func(h *harness) { h.evacuate([]string{"zone-0"}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newColdHarness(t, test.rate, 1, 1)
			h.AddJob(h.now, jobOf("before", 2, small(50)), Progress{}, false)
			h.confirmStarts(h.planAfter(time.Second))
			test.begin(h)
			h.AddJob(h.now, jobOf("after", 2, small(100)), Progress{}, false)
			wants := []int{coldSlack, 3, 3, 3, 100 - coldSlack - 9}
			if test.rate == 0 {
				wants = []int{100, 0}
			}
			for i, want := range wants {
				if i == 4 {
					h.now = h.now.Add(coldTime)
				}
				o := h.planAfter(time.Duration(min(i, 1)) * time.Second)
				if h.confirmStarts(o); len(o.Starts) != want {
					t.Errorf("plan %d: %d starts, want %d", i, len(o.Starts), want)
				}
			}
		})
	}
}

// The next owner does not know how many tasks its predecessor has started on a cold worker, which must not get the slack again.
func TestStartsOnAColdWorkerAreLimitedAcrossOwners(t *testing.T) {
	for _, test := range []struct {
		inherited bool
		want      int
	}{{false, coldSlack}, {true, 0}} {
		h := newColdHarness(t, coldRate, 1, 1)
		h.cool("zone-0")
		if test.inherited {
			h.ExpectReport("w0-0", h.now.Add(time.Second))
			h.HandleReport(h.now, Report{Worker: "w0-0", RequestedAt: h.now})
		}
		h.AddJob(h.now, jobOf("j", 2, single(8, 1)), Progress{}, false)
		if o := h.planAfter(0); len(o.Starts) != test.want {
			t.Errorf("inherited %t: %d starts, want %d", test.inherited, len(o.Starts), test.want)
		}
		ps := h.newPass(h.now, h.ranks())
		if reason, details := ps.explainCapacity(unit{stage: h.active[0].stages[0], rank: rankUrgent + 2}); reason != waitCold {
			t.Errorf("reason %q, details %v", reason, details)
		}
		if o := h.planAfter(time.Second); len(o.Starts) != 3 {
			t.Errorf("inherited %t: %d starts after a second, want 3 more", test.inherited, len(o.Starts))
		}
	}
}

// Urgent gangs ran on workers that had just started while warm ones were free.
func TestUrgentGangsPreferWarmWorkers(t *testing.T) {
	for _, cold := range []string{"zone-0", "zone-1", "zone-2"} {
		h := newColdHarness(t, 0, 3, 2)
		h.cool(cold)
		h.AddJob(h.now, jobOf("a", 0, gang(2, 8)), Progress{}, false)
		h.AddJob(h.now, jobOf("b", 0, gang(2, 8)), Progress{}, false)
		if o := h.planAfter(0); len(o.Starts) != 4 || slices.Contains(zonesOf(o), cold) {
			t.Errorf("%d starts in %v, want them outside %s", len(o.Starts), zonesOf(o), cold)
		}
	}
}

// Runs on workers that were cold taught the owner run times and speeds of which warm workers have nothing.
func TestRunsOnColdWorkersTeachNothing(t *testing.T) {
	for _, test := range []struct {
		name     string
		gang     bool
		progress bool
		warm     bool
	}{
		{"single", false, false, false},
		{"single, warm", false, false, true},
		{"single with progress", false, true, false},
		{"single with progress, warm", false, true, true},
		{"gang", true, false, false},
		{"gang, warm", true, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newColdHarness(t, 0, 1, 2)
			if !test.warm {
				h.cool("zone-0")
			}
			step := single(2, 8)
			step.Gang = test.gang
			h.AddJob(h.now, jobOf("j", 2, step), Progress{}, false)
			o := h.planAfter(time.Second)
			h.confirmStarts(o)
			for percent := 20; test.progress && percent < 100; percent += 20 {
				h.now = h.now.Add(time.Second)
				h.reportAll(percent)
			}
			// When the run ends the worker is warm.
			h.now = h.now.Add(coldTime)
			first := o.Starts[0]
			h.endRun(first.Worker, first.Task, first.Run, EndedDone)
			if learned := h.RunTimes().Changes() > 0; learned != test.warm {
				t.Errorf("run time learned: %t", learned)
			}
			if rated := len(h.workers[first.Worker].rating.observations) > 0; rated != (test.warm && !test.gang) {
				t.Errorf("speed observed: %t", rated)
			}
		})
	}
}
