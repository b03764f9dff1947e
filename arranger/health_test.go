package arranger

import (
	"testing"
	"time"
)

// runFailingJob starts a wide job whose runs fail on the bad workers and complete on the others; it returns the
// starts of the next planning pass.
func runFailingJob(t *testing.T, h *harness, bad map[string]bool) []StartOrder {
	t.Helper()
	j := jobOf("batch", 0, single(100, 1))
	j.Policy.MaxAttempts = 9
	h.AddJob(h.now, j, Progress{}, false)
	first := h.planAfter(time.Second)
	h.confirmStarts(first)
	for _, o := range first.Starts {
		outcome := EndedDone
		if bad[o.Worker] {
			outcome = EndedFailed
		}
		h.endRun(o.Worker, o.Task, o.Run, outcome)
	}
	return h.planAfter(10 * time.Millisecond).Starts
}

// A worker that fails its runs at once is free again at once, so that it would get task after task of a wide job.
func TestAWorkerThatFailsAWideJobGetsNoMoreOfIt(t *testing.T) {
	h := newHarness(t, 1, 5)
	bad := map[string]bool{"w0-1": true}
	starts := runFailingJob(t, h, bad)
	if len(starts) == 0 {
		t.Fatal("no starts on the healthy workers")
	}
	for _, o := range starts {
		if bad[o.Worker] {
			t.Fatalf("%s started on the worker that fails everything", o.Task)
		}
	}
}

func TestWorkersThatFailAreBlamedWhenTheJobSucceedsElsewhere(t *testing.T) {
	h := newHarness(t, 2, 5)
	bad := map[string]bool{"w0-1": true, "w0-3": true, "w1-1": true}
	runFailingJob(t, h, bad)
	for _, w := range h.sortedWorkers {
		if got := !w.health.usable(h.now); got != bad[w.ID] {
			t.Errorf("worker %s quarantined: %t, want %t", w.ID, got, bad[w.ID])
		}
	}
}

// Only a quarantine that begins after the end of the one before may be longer.
func TestQuarantineDoublesOncePerEpisode(t *testing.T) {
	for _, test := range []struct {
		name     string
		failures []time.Duration
		success  time.Duration
		want     time.Duration
		until    time.Duration
	}{
		{"one failure", []time.Duration{0}, -1, 4 * time.Second, 4 * time.Second},
		{"failures at once", []time.Duration{0, 0, 0, 0}, -1, 4 * time.Second, 4 * time.Second},
		{"failures during the quarantine", []time.Duration{0, 1, 2, 3}, -1, 4 * time.Second, 4 * time.Second},
		{"failure at the end", []time.Duration{0, 4}, -1, 8 * time.Second, 12 * time.Second},
		{"three episodes", []time.Duration{0, 1, 5, 6, 13, 14}, -1, 16 * time.Second, 29 * time.Second},
		{"failure after a success", []time.Duration{0, 5}, 4, 4 * time.Second, 9 * time.Second},
		{"longest quarantine", []time.Duration{0, 100, 200, 300, 400, 500}, -1, 60 * time.Second, 560 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			var h health
			for _, failure := range test.failures {
				if test.success >= 0 && failure > test.success {
					h.recordSuccess()
				}
				h.quarantine(start.Add(failure * time.Second))
			}
			if got := h.quarantinedUntil.Sub(start); h.quarantineTime != test.want || got != test.until {
				t.Errorf("quarantined for %s until %s, want %s until %s", h.quarantineTime, got, test.want, test.until)
			}
		})
	}
}
