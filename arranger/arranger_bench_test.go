package arranger

import (
	"fmt"
	"testing"
	"time"
)

// loaded returns an arranger with a full fleet and waiting tasks.
func loaded(b *testing.B, workers, waiting int) *Arranger {
	b.Helper()
	a := New(Options{StopTime: 400 * time.Millisecond})
	for i := range workers {
		rack := fmt.Sprintf("r1-%d", i/8)
		a.SetWorker(start, Worker{ID: fmt.Sprintf("w%03d", i), Service: "tabulator", Rack: rack, Labels: []string{rack}, Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}})
		a.HandleReport(start, Report{Worker: fmt.Sprintf("w%03d", i), RequestedAt: start})
	}
	for i := range (workers*8 + waiting) / 20 {
		a.AddJob(start, jobOf(fmt.Sprintf("batch-%d", i), 2, single(20, 1)), Progress{}, false)
	}
	a.Plan(start)
	for _, s := range a.TakeOrders().Starts {
		a.StartConfirmed(start, s.Task, s.Run)
	}
	return a
}

func benchmarkDecision(b *testing.B, workers int) {
	const waiting = 10_000
	a := loaded(b, workers, waiting)
	now := start
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		id := fmt.Sprintf("lookup-%d", i)
		a.AddJob(now, jobOf(id, 0, gang(3, 1)), Progress{}, false)
		a.Plan(now)
		a.CancelJob(id)
		a.RemoveJob(id)
		a.TakeOrders()
	}
}

func BenchmarkDecision48Workers(b *testing.B)   { benchmarkDecision(b, 48) }
func BenchmarkDecision350Workers(b *testing.B)  { benchmarkDecision(b, 350) }
func BenchmarkDecision1100Workers(b *testing.B) { benchmarkDecision(b, 1100) }

// mixedLoad adds jobs like those of the large deployment: gangs within a rack, urgent gangs and wide batches.
func mixedLoad(a *Arranger, now time.Time, tasks int) {
	for i := 0; tasks > 0; i++ {
		id := fmt.Sprintf("mixed-%d", i)
		step := single(78, 1)
		priority := 2
		switch i % 6 {
		case 0:
			step, priority = gang(32, 1<<(i/6%4)), 1
			step.SameRack = i/6%2 == 0
		case 1, 2, 3, 4:
			step, priority = gang(8, 1<<(i%4)), 0
			step.SameRack = i%3 != 0
		}
		step.Estimate = 8 * time.Second
		j := jobOf(id, priority, step)
		j.Accepted = now
		a.AddJob(now, j, Progress{}, false)
		tasks -= step.Count
	}
}

// benchmarkMixedPlan measures a planning pass with 20,000 waiting tasks and a full fleet of which some workers are in
// quarantine.
func benchmarkMixedPlan(b *testing.B, quarantined int) {
	b.Helper()
	const workers, waiting = 1100, 20_000
	a := loaded(b, workers, 0)
	for _, w := range a.sortedWorkers[:quarantined] {
		w.health.quarantinedUntil = start.Add(time.Hour)
	}
	now := start
	mixedLoad(a, now, waiting)
	a.Plan(now)
	a.TakeOrders()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		a.Plan(now)
		a.TakeOrders()
	}
}

func BenchmarkMixedPlan1100Workers(b *testing.B)                 { benchmarkMixedPlan(b, 0) }
func BenchmarkMixedPlan1100WorkersHalfInQuarantine(b *testing.B) { benchmarkMixedPlan(b, 550) }

// BenchmarkLogWaits1100Workers measures a search for waiting stages among 20,000 waiting tasks, with its lines; the
// searches are waitCheckInterval apart.
func BenchmarkLogWaits1100Workers(b *testing.B) {
	const workers, waiting = 1100, 20_000
	a := loaded(b, workers, 0)
	now := start
	mixedLoad(a, now, waiting)
	ranks := a.ranks()
	ps := a.newPass(now, ranks)
	for _, u := range a.units(now, ranks) {
		ps.place(u)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(waitCheckInterval)
		a.logWaits(now, ranks, ps)
	}
}

// benchmarkFill measures the first planning pass of a new owner with an empty fleet and 8,000 waiting tasks; the
// speeds, in steps above the average, are assigned to the workers in turn.
func benchmarkFill(b *testing.B, speeds ...int) {
	b.Helper()
	const workers, waiting = 1100, 8000
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		a := loaded(b, workers, -workers*8)
		for i := range workers {
			a.RestoreSpeed(fmt.Sprintf("w%03d", i), Rating{Steps: speeds[i%len(speeds)], Error: 0.05})
		}
		mixedLoad(a, start, waiting)
		b.StartTimer()
		a.Plan(start)
	}
}

func BenchmarkFill1100Workers(b *testing.B)              { benchmarkFill(b, 0) }
func BenchmarkFill1100WorkersOfThreeSpeeds(b *testing.B) { benchmarkFill(b, -2, 0, 2) }

// BenchmarkRatings1100Workers measures an update of the ratings with as many observations as are kept.
func BenchmarkRatings1100Workers(b *testing.B) {
	const workers, siblings = 1100, 39
	var s speedRatings
	all := make([]*worker, workers)
	for i := range all {
		all[i] = &worker{}
	}
	for i := range workers * maxObservations {
		st := &stage{job: &job{Job: Job{ID: fmt.Sprintf("wide-%d", i/siblings), Queue: "q"}}, step: single(siblings, 1)}
		s.observe(start, &place{task: &task{stage: st}, worker: all[i*7%workers]}, float64(10+i%siblings), 0.05)
	}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(ratingInterval)
		s.changed = true
		s.update(now, all)
	}
}
