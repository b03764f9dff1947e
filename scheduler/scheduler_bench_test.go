package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/snipelift/snipelift/documenter"
)

const benchSlots = 31

// benchScheduler returns a scheduler whose workers are half with 8 accelerators, half with 31 slots and no accelerators; every slot is in use.
func benchScheduler(b *testing.B, workers int) (*Scheduler, time.Time) {
	b.Helper()
	d := testDocument()
	d.Workers = []documenter.WorkerGroup{
		{Zone: "a", Racks: workers / 16, WorkersPerRack: 8, Accelerators: 8},
		{Zone: "a", Racks: workers / 16, WorkersPerRack: 8},
	}
	for i := range d.Classes {
		d.Classes[i].Limits = documenter.Limits{Queued: 100_000, RunSeconds: 86400}
	}
	s := New(d, Options{})
	now := testStart
	for i := range workers {
		w := Worker{ID: fmt.Sprintf("worker-%03d", i), Zone: "a", Rack: fmt.Sprintf("rack-%02d", i/8), Accelerators: 8, Slots: 8, MemoryMB: 64 << 10}
		if i >= workers/2 {
			w.Accelerators, w.Slots = 0, benchSlots
		}
		s.Apply(now, WorkerReported{Worker: w})
	}
	for i := range workers / 2 * benchSlots {
		startTask(s, now, fmt.Sprintf("task-%05d", i), 0)
	}
	return s, now
}

func startTask(s *Scheduler, now time.Time, id string, accelerators int) {
	s.Apply(now, JobSubmitted{Job: Job{ID: id, Organisation: "researchers", Class: "imputation", Shape: workerShape(accelerators), Submitted: now}})
	s.Apply(now, AttemptStarted{ID: id, Attempt: 1})
}

// BenchmarkDecision ends one task and starts the next on a fleet whose slots are all in use; docs/CAPACITY.md uses how its time grows with the number of workers.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{48, 96, 192, 480} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, now := benchScheduler(b, workers)
			running := workers / 2 * benchSlots
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(time.Second)
				s.Apply(now, AttemptFinished{ID: fmt.Sprintf("task-%05d", i), Attempt: 1, Outcome: OutcomeSucceeded})
				startTask(s, now, fmt.Sprintf("task-%05d", running+i), 0)
				i++
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(3*b.N), "ns/decision")
		})
	}
}

// BenchmarkGuaranteedGang runs a guaranteed gang that reclaims two workers from lent jobs.
func BenchmarkGuaranteedGang(b *testing.B) {
	for _, workers := range []int{48, 96, 192, 480} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, now := benchScheduler(b, workers)
			for i := range workers / 2 {
				startTask(s, now, fmt.Sprintf("lent-%05d", i), 8)
			}
			events := 0
			i := 0
			for b.Loop() {
				id := fmt.Sprintf("gang-%05d", i)
				i++
				now = now.Add(time.Second)
				events += runGang(s, now, id)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/decision")
		})
	}
}

func runGang(s *Scheduler, now time.Time, id string) int {
	events := 0
	queue := []Event{JobSubmitted{Job: Job{ID: id, Organisation: "unions", Class: "weighting", Shape: rackShape(16), Submitted: now}}}
	for len(queue) > 0 {
		event := queue[0]
		queue = queue[1:]
		events++
		for _, d := range s.Apply(now, event) {
			switch d := d.(type) {
			case Stopped:
				queue = append(queue, AttemptStopped{ID: d.ID, Attempt: d.Attempt})
			case Started:
				queue = append(queue, AttemptStarted{ID: d.Job.ID, Attempt: d.Attempt})
				if d.Job.ID == id {
					queue = append(queue, AttemptFinished{ID: id, Attempt: d.Attempt, Outcome: OutcomeSucceeded})
				}
			}
		}
	}
	return events
}

// BenchmarkState reports the scheduler's heap use for each running task.
func BenchmarkState(b *testing.B) {
	for _, workers := range []int{48, 480} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s, _ := benchScheduler(b, workers)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(s.jobs)), "B/job")
				runtime.KeepAlive(s)
			}
		})
	}
}
