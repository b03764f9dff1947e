package arranger

import (
	"testing"
	"time"
)

// playFailing starts a wide job and reports each run as failed on the bad workers and as done elsewhere; it returns the starts of the next plan.
func playFailing(t *testing.T, b *bench, bad map[string]bool) []StartOrder {
	t.Helper()
	j := jobOf("batch", 0, single(100, 1))
	j.Policy.MaxAttempts = 9
	b.AddJob(b.now, j, Progress{}, false)
	first := b.pass(time.Second)
	b.confirm(first)
	for _, o := range first.Starts {
		how := EndedDone
		if bad[o.Worker] {
			how = EndedFailed
		}
		b.end(o.Worker, o.Task, o.Run, how)
	}
	return b.pass(10 * time.Millisecond).Starts
}

// A worker that fails at once what it starts is free again at once.
func TestAWorkerThatFailsAWideJobGetsNoMoreOfIt(t *testing.T) {
	b := newBench(t, 1, 5)
	bad := map[string]bool{"w0-1": true}
	starts := playFailing(t, b, bad)
	if len(starts) == 0 {
		t.Fatal("nothing starts on the sound workers")
	}
	for _, o := range starts {
		if bad[o.Worker] {
			t.Fatalf("%s started on the worker that fails everything", o.Task)
		}
	}
}

func TestWorkersThatFailAreBlamedWhenTheJobSucceedsElsewhere(t *testing.T) {
	b := newBench(t, 2, 5)
	bad := map[string]bool{"w0-1": true, "w0-3": true, "w1-1": true}
	playFailing(t, b, bad)
	for _, w := range b.sortedWorkers {
		if got := !w.health.usable(b.now); got != bad[w.ID] {
			t.Errorf("worker %s left out: %t, want %t", w.ID, got, bad[w.ID])
		}
	}
}
