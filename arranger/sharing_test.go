package arranger

import (
	"fmt"
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
	for _, mayMiss := range []int{0, 1, 2} {
		for _, perWorker := range []int{1, 2} {
			t.Run(fmt.Sprintf("max unavailable %d, %d per worker", mayMiss, perWorker), func(t *testing.T) {
				const workers, accelerators = 4, 8
				h := newHarness(t, 1, workers)
				lasting := single(workers*perWorker, accelerators/perWorker)
				lasting.LongRunning, lasting.MaxUnavailable = true, mayMiss
				h.SetGuarantees(map[string]int{"unions": workers * accelerators})
				j := jobOf("lasting", 0, lasting)
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
				case mayMiss == 0 && stops == 0:
					t.Error("no stop, although there is no limit")
				case mayMiss > 0 && stops > mayMiss:
					t.Errorf("%d stops, want at most %d", stops, mayMiss)
				case perWorker == 1 && mayMiss > 0 && stops != mayMiss:
					t.Errorf("%d stops, want %d", stops, mayMiss)
				}
			})
		}
	}
}

func TestLatencySensitiveAndBestEffortTasksDoNotShareAWorker(t *testing.T) {
	for _, order := range [][]string{{"serves", "fills"}, {"fills", "serves"}} {
		t.Run(order[0]+" first", func(t *testing.T) {
			h := newHarness(t, 1, 4)
			serves, fills := single(2, 1), single(2, 1)
			serves.LatencySensitive, serves.LongRunning, serves.MaxPerWorker = true, true, 1
			fills.BestEffort = true
			steps := map[string]Step{"serves": serves, "fills": fills}
			on := map[string]map[string]bool{"serves": {}, "fills": {}}
			for _, name := range order {
				h.AddJob(h.now, jobOf(name, 1, steps[name]), Progress{}, false)
				o := h.planAfter(0)
				h.confirmStarts(o)
				for _, s := range o.Starts {
					on[s.Task.Job][s.Worker] = true
				}
			}
			if len(on["serves"]) != 2 || len(on["fills"]) == 0 {
				t.Fatalf("started on %v, want both kinds of tasks", on)
			}
			for id := range on["fills"] {
				if on["serves"][id] {
					t.Errorf("both kinds of tasks run on %s", id)
				}
			}
		})
	}
}
