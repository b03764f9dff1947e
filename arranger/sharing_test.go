package arranger

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// reportAll reports all runs on all workers at the given percentage.
func (h *harness) reportAll(percent int) {
	h.now = h.now.Add(10 * time.Millisecond)
	for _, w := range h.sortedWorkers {
		r := Report{Worker: w.ID, RequestedAt: h.now}
		for _, p := range w.places {
			if p.state != placeClaimed {
				r.Running = append(r.Running, RunReport{Task: p.task.label(), Run: p.run, Percent: percent})
			}
		}
		h.HandleReport(h.now, r)
	}
}

func TestPreemptionRespectsMaxUnavailable(t *testing.T) {
	for _, maxUnavailable := range []int{0, 1, 2} {
		for _, perWorker := range []int{1, 2} {
			t.Run(fmt.Sprintf("max unavailable %d, %d per worker", maxUnavailable, perWorker), func(t *testing.T) {
				const workers, accelerators = 4, 8
				h := newHarness(t, 1, workers)
				longRunning := single(workers*perWorker, accelerators/perWorker)
				longRunning.LongRunning, longRunning.MaxUnavailable = true, maxUnavailable
				h.SetGuarantees(map[string]int{"unions": workers * accelerators})
				j := jobOf("long-running", 0, longRunning)
				j.Organisation = "others"
				h.AddJob(h.now, j, Progress{}, false)
				o := h.planAfter(0)
				h.confirmStarts(o)
				if len(o.Starts) != workers*perWorker {
					t.Fatalf("%d starts, want all", len(o.Starts))
				}
				h.reportAll(wholePercent)
				for i := range workers {
					h.AddJob(h.now, jobOf(fmt.Sprintf("urgent-%d", i), 0, single(1, accelerators)), Progress{}, false)
				}
				stops := len(h.planAfter(0).Stops)
				switch {
				case maxUnavailable == 0 && stops == 0:
					t.Error("no stop, although there is no limit")
				case maxUnavailable > 0 && stops > maxUnavailable:
					t.Errorf("%d stops, want at most %d", stops, maxUnavailable)
				case perWorker == 1 && maxUnavailable > 0 && stops != maxUnavailable:
					t.Errorf("%d stops, want %d", stops, maxUnavailable)
				}
			})
		}
	}
}

// The victims of the second task of a gang were those chosen before the first one had been placed, so that both could be of a step of which only one
// task may be unavailable.
func TestAGangRespectsMaxUnavailableAcrossWorkers(t *testing.T) {
	const workers, accelerators, members = 8, 8, 2
	for _, test := range []struct {
		maxUnavailable, jobs, stops int
	}{{1, 2, 2}, {2, 2, 2}, {1, 1, 0}} {
		t.Run(fmt.Sprintf("%d of a step, %d steps", test.maxUnavailable, test.jobs), func(t *testing.T) {
			h := newHarness(t, 1, workers)
			h.SetGuarantees(map[string]int{"unions": members * accelerators})
			for i := range test.jobs {
				step := single(workers/test.jobs, accelerators)
				step.LongRunning, step.MaxUnavailable = true, test.maxUnavailable
				j := jobOf(fmt.Sprintf("long-running-%d", i), 0, step)
				j.Organisation = "others"
				h.AddJob(h.now, j, Progress{}, false)
			}
			h.confirmStarts(h.planAfter(0))
			h.reportAll(wholePercent)
			h.AddJob(h.now, jobOf("urgent", 0, gang(members, accelerators)), Progress{}, false)
			stops := map[string]int{}
			o := h.planAfter(0)
			for _, stop := range o.Stops {
				job, _, _ := strings.Cut(stop.Task, ".")
				if stops[job]++; stops[job] > test.maxUnavailable {
					t.Errorf("%d tasks of %s are stopped, %d may be unavailable", stops[job], job, test.maxUnavailable)
				}
			}
			if len(o.Stops) != test.stops {
				t.Errorf("%d stops, want %d", len(o.Stops), test.stops)
			}
		})
	}
}

func TestLatencySensitiveAndBestEffortTasksDoNotShareAWorker(t *testing.T) {
	for _, order := range [][]string{{"latency-sensitive", "best-effort"}, {"best-effort", "latency-sensitive"}} {
		t.Run(order[0]+" first", func(t *testing.T) {
			h := newHarness(t, 1, 4)
			latencySensitive, bestEffort := single(2, 1), single(2, 1)
			latencySensitive.LatencySensitive, latencySensitive.LongRunning, latencySensitive.MaxPerWorker = true, true, 1
			bestEffort.BestEffort = true
			steps := map[string]Step{"latency-sensitive": latencySensitive, "best-effort": bestEffort}
			on := map[string]map[string]bool{"latency-sensitive": {}, "best-effort": {}}
			for _, name := range order {
				h.AddJob(h.now, jobOf(name, 1, steps[name]), Progress{}, false)
				o := h.planAfter(0)
				h.confirmStarts(o)
				for _, s := range o.Starts {
					on[s.Task.Job][s.Worker] = true
				}
			}
			if len(on["latency-sensitive"]) != 2 || len(on["best-effort"]) == 0 {
				t.Fatalf("started on %v, want both kinds of tasks", on)
			}
			for id := range on["best-effort"] {
				if on["latency-sensitive"][id] {
					t.Errorf("both kinds of tasks run on %s", id)
				}
			}
		})
	}
}
