package arranger

import (
	"fmt"
	"testing"
	"time"
)

// report says that all that runs on the workers is at the given percentage.
func (b *bench) report(percent int) {
	b.now = b.now.Add(10 * time.Millisecond)
	for _, w := range b.sortedWorkers {
		r := Report{Worker: w.ID, RequestedAt: b.now}
		for _, p := range w.places {
			if p.state != placeClaimed {
				r.Running = append(r.Running, RunReport{Task: p.task.label(), Run: p.run, Percent: percent})
			}
		}
		b.HandleReport(b.now, r)
	}
}

func TestAStepThatMustStayAvailableLosesNoMoreThanItMayMiss(t *testing.T) {
	for _, mayMiss := range []int{0, 1, 2} {
		for _, perWorker := range []int{1, 2} {
			t.Run(fmt.Sprintf("may miss %d, %d on each worker", mayMiss, perWorker), func(t *testing.T) {
				const workers, accelerators = 4, 8
				b := newBench(t, 1, workers)
				lasting := single(workers*perWorker, accelerators/perWorker)
				lasting.LongRunning, lasting.MaxUnavailable = true, mayMiss
				b.SetGuarantees(map[string]int{"unions": workers * accelerators})
				j := jobOf("lasting", 0, lasting)
				j.Organisation = "others"
				b.AddJob(b.now, j, Progress{}, false)
				o := b.pass(0)
				b.confirm(o)
				if len(o.Starts) != workers*perWorker {
					t.Fatalf("%d starts, want all", len(o.Starts))
				}
				b.report(wholePercent)
				for i := range workers {
					b.AddJob(b.now, jobOf(fmt.Sprintf("urgent-%d", i), 0, single(1, accelerators)), Progress{}, false)
				}
				stops := len(b.pass(0).Stops)
				switch {
				case mayMiss == 0 && stops == 0:
					t.Error("no stop, though nothing bounds them")
				case mayMiss > 0 && stops > mayMiss:
					t.Errorf("%d stops, want at most %d", stops, mayMiss)
				case perWorker == 1 && mayMiss > 0 && stops != mayMiss:
					t.Errorf("%d stops, want %d", stops, mayMiss)
				}
			})
		}
	}
}

func TestTasksThatServeAndTasksThatFillDoNotShareAWorker(t *testing.T) {
	for _, order := range [][]string{{"serves", "fills"}, {"fills", "serves"}} {
		t.Run(order[0]+" first", func(t *testing.T) {
			b := newBench(t, 1, 4)
			serves, fills := single(2, 1), single(2, 1)
			serves.LatencySensitive, serves.LongRunning, serves.MaxPerWorker = true, true, 1
			fills.BestEffort = true
			steps := map[string]Step{"serves": serves, "fills": fills}
			on := map[string]map[string]bool{"serves": {}, "fills": {}}
			for _, name := range order {
				b.AddJob(b.now, jobOf(name, 1, steps[name]), Progress{}, false)
				o := b.pass(0)
				b.confirm(o)
				for _, s := range o.Starts {
					on[s.Task.Job][s.Worker] = true
				}
			}
			if len(on["serves"]) != 2 || len(on["fills"]) == 0 {
				t.Fatalf("started on %v, want both", on)
			}
			for id := range on["fills"] {
				if on["serves"][id] {
					t.Errorf("both run on %s", id)
				}
			}
		})
	}
}
