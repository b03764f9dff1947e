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
		a.SetWorker(Worker{ID: fmt.Sprintf("w%03d", i), Service: "tabulator", Rack: rack, Labels: []string{rack}, Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}})
		a.TakeReport(start, Report{Worker: fmt.Sprintf("w%03d", i), Asked: start})
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
		a.Cancel(id)
		a.Forget(id)
		a.TakeOrders()
	}
}

func BenchmarkDecision48Workers(b *testing.B)  { benchmarkDecision(b, 48) }
func BenchmarkDecision350Workers(b *testing.B) { benchmarkDecision(b, 350) }
