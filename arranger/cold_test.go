package arranger

import (
	"slices"
	"testing"
	"time"
)

const (
	coldTime = 20 * time.Second
	// coldRate, coldSlack and coldOverage allow a cold worker 2 starts and 3 more each second.
	coldRate    = 2
	coldSlack   = 2
	coldOverage = 1.5
)

// newColdHarness returns a harness whose service limits the starts on cold workers if wanted.
func newColdHarness(t *testing.T, limited bool, zones, perZone int) *harness {
	t.Helper()
	h := newZonedHarness(t, zones, perZone)
	h.options.ColdOverage, h.options.ColdSlack = coldOverage, coldSlack
	cold := ColdStart{Duration: coldTime}
	if limited {
		cold.StartRate = coldRate
	}
	h.SetColdStarts(map[string]ColdStart{"tabulator": cold})
	return h
}

// startsPerSecond plans ten times a second, with more short tasks than the workers can run, and returns the number of starts in zone-0 up to the end of each second.
func (h *harness) startsPerSecond(seconds int) []int {
	h.t.Helper()
	starts, counts := 0, make([]int, 0, seconds)
	for range seconds {
		for range 10 {
			o := h.planAfter(100*time.Millisecond - time.Millisecond)
			for _, s := range o.Starts {
				if s.Zone == "zone-0" {
					starts++
				}
				h.StartConfirmed(h.now, s.Task, s.Run)
			}
			at := h.now
			for _, s := range o.Starts {
				h.endRun(s.Worker, s.Task, s.Run, EndedDone)
			}
			h.now = at.Add(time.Millisecond)
		}
		counts = append(counts, starts)
	}
	return counts
}

// A returned zone took a third of all work at once, on cold workers.
func TestTheLoadOfAReturnedZoneIncreasesGradually(t *testing.T) {
	for _, test := range []struct {
		name    string
		limited bool
		want    func(second int) int
	}{
		{"limited", true, func(second int) int { return coldSlack + second*3 }},
		{"without a limit", false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newColdHarness(t, test.limited, 2, 1)
			h.AddJob(h.now, jobOf("j", 2, single(2000, 1)), Progress{}, false)
			h.evacuate(nil, "zone-0")
			h.planAfter(time.Second)
			h.evacuate([]string{"zone-0"})
			for i, got := range h.startsPerSecond(5) {
				if test.limited && got > test.want(i+1) {
					t.Errorf("%d starts on the cold worker %d s after the return, at most %d are allowed", got, i+1, test.want(i+1))
				}
				if test.limited && got < test.want(i+1)-4 || !test.limited && got < 60*(i+1) {
					t.Errorf("only %d starts on the worker %d s after the return", got, i+1)
				}
			}
			h.now = h.now.Add(coldTime)
			before := h.workers["w0-0"].cold.starts
			h.startsPerSecond(1)
			if got := h.workers["w0-0"].cold.starts - before; got < 60 {
				t.Errorf("only %d starts in a second on a warm worker", got)
			}
		})
	}
}

// The next owner does not know how many tasks its predecessor has started on a cold worker, which must not get the slack again.
func TestStartsOnAColdWorkerAreLimitedAcrossOwners(t *testing.T) {
	for _, test := range []struct {
		name      string
		inherited bool
		want      int
	}{{"new worker", false, coldSlack}, {"known to the previous owner", true, 0}} {
		t.Run(test.name, func(t *testing.T) {
			h := newColdHarness(t, true, 1, 0)
			h.SetWorker(h.now, Worker{ID: "w", Incarnation: 1, Service: "tabulator", Capacity: Resources{CPU: 64000, MemoryMB: 65536, Accelerators: 8}, ColdUntil: h.now.Add(coldTime)})
			if test.inherited {
				h.ExpectReport("w", h.now.Add(time.Second))
			}
			h.HandleReport(h.now, Report{Worker: "w", RequestedAt: h.now})
			h.AddJob(h.now, jobOf("j", 2, single(8, 1)), Progress{}, false)
			if o := h.planAfter(0); len(o.Starts) != test.want {
				t.Errorf("%d starts, want %d", len(o.Starts), test.want)
			}
			if o := h.planAfter(time.Second); len(o.Starts) != 3 {
				t.Errorf("%d starts after a second, want 3 more", len(o.Starts))
			}
		})
	}
}

// Urgent gangs ran on workers that had just started while warm ones were free.
func TestUrgentGangsPreferWarmWorkers(t *testing.T) {
	for _, cold := range []string{"zone-0", "zone-1", "zone-2"} {
		h := newColdHarness(t, false, 3, 2)
		for _, w := range h.sortedWorkers {
			if w.Zone == cold {
				info := w.Worker
				info.ColdUntil = h.now.Add(coldTime)
				h.SetWorker(h.now, info)
			}
		}
		h.AddJob(h.now, jobOf("a", 0, gang(2, 8)), Progress{}, false)
		h.AddJob(h.now, jobOf("b", 0, gang(2, 8)), Progress{}, false)
		o := h.planAfter(0)
		if zones := h.zonesOf(o); len(o.Starts) != 4 || slices.Contains(zones, cold) {
			t.Errorf("%d starts in %v, want them outside %s", len(o.Starts), zones, cold)
		}
	}
}

// A worker that had run for long and is cold again must not be blocked by the starts before.
func TestStartsBeforeAWorkerIsColdDoNotCount(t *testing.T) {
	h := newColdHarness(t, true, 1, 1)
	h.AddJob(h.now, jobOf("j", 2, single(2000, 1)), Progress{}, false)
	h.startsPerSecond(2)
	info, _ := h.Worker("w0-0")
	info.ColdUntil = h.now.Add(coldTime)
	h.SetWorker(h.now, info)
	if got := h.startsPerSecond(2); got[1] < coldSlack || got[1] > coldSlack+2*3 {
		t.Errorf("%v starts by second on the cold worker", got)
	}
}

// Work that waits for cold workers was reported as waiting for no reason.
func TestTheWaitForColdWorkersHasAReason(t *testing.T) {
	h := newColdHarness(t, true, 1, 1)
	info, _ := h.Worker("w0-0")
	info.ColdUntil = h.now.Add(coldTime)
	h.SetWorker(h.now, info)
	h.AddJob(h.now, jobOf("j", 2, Step{Count: 6, Need: Resources{Accelerators: 1}, Estimate: time.Second, Gang: true}), Progress{}, false)
	if o := h.planAfter(time.Second); len(o.Starts) != 0 {
		t.Fatalf("%d starts, want none before 6 are allowed", len(o.Starts))
	}
	ps := h.newPass(h.now, h.ranks())
	if reason, details := ps.explainCapacity(unit{stage: h.active[0].stages[0], rank: rankUrgent + 2}); reason != waitCold {
		t.Errorf("reason %q, details %v", reason, details)
	}
	if o := h.planAfter(time.Second); len(o.Starts) != 6 {
		t.Errorf("%d starts, want the gang", len(o.Starts))
	}
}
