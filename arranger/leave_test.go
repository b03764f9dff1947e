package arranger

import (
	"testing"
	"time"
)

func TestRunsMoveInTimeFromAWorkerThatLeaves(t *testing.T) {
	const left = 2 * time.Second
	for _, test := range []struct {
		name        string
		estimate    time.Duration
		checkpoints bool
		percent     int
		after       time.Duration
		want        bool
	}{
		{"will not complete, but may still run", 8 * time.Second, false, 0, time.Second, false},
		{"has checkpoints, and may still run", 8 * time.Second, true, 0, time.Second, false},
		{"will not complete, at the last moment", 8 * time.Second, false, 0, 1300 * time.Millisecond, true},
		{"has checkpoints, at the last moment", 8 * time.Second, true, 0, 1300 * time.Millisecond, true},
		{"completes in time by its estimate", 1500 * time.Millisecond, true, 0, 1300 * time.Millisecond, false},
		{"completes in time by its pace, against its estimate", 8 * time.Second, true, 90, 1300 * time.Millisecond, false},
		{"will not complete by its pace, against its estimate", time.Second, true, 6, 1300 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 2)
			step := single(1, 1)
			step.Estimate, step.Checkpoints = test.estimate, test.checkpoints
			h.AddJob(h.now, jobOf("job", 2, step), Progress{}, false)
			starts := h.planAfter(time.Second)
			h.confirmStarts(starts)
			o := starts.Starts[0]
			if test.percent > 0 {
				h.reportProgress(o, 1)
				h.now = h.now.Add(time.Second)
				h.reportProgress(o, test.percent)
			}
			leaving, _ := h.Worker(o.Worker)
			leaving.Draining, leaving.LeavesAt = true, h.now.Add(left)
			h.SetWorker(h.now, leaving)
			got := len(h.planAfter(test.after).Stops) > 0
			if got != test.want {
				t.Errorf("stopped: %t, want %t", got, test.want)
			}
		})
	}
}

func TestAGangMovesWholeFromAWorkerThatLeaves(t *testing.T) {
	h := newHarness(t, 2, 2)
	step := gang(2, 8)
	step.Checkpoints = true
	h.AddJob(h.now, jobOf("job", 1, step), Progress{}, false)
	starts := h.planAfter(time.Second)
	h.confirmStarts(starts)
	leaving, _ := h.Worker(starts.Starts[0].Worker)
	leaving.Draining, leaving.LeavesAt = true, h.now.Add(800*time.Millisecond)
	h.SetWorker(h.now, leaving)
	if stops := h.planAfter(100 * time.Millisecond).Stops; len(stops) != 2 {
		t.Fatalf("%d stops, want the gang's two", len(stops))
	}
	for _, o := range starts.Starts {
		h.endRun(o.Worker, o.Task, o.Run, EndedInterrupted)
	}
	again := h.planAfter(100 * time.Millisecond).Starts
	if len(again) != 2 || again[0].Worker == leaving.ID || again[1].Worker == leaving.ID {
		t.Errorf("got %+v, want both members elsewhere", again)
	}
}

// reportProgress reports the percentage of a run.
func (h *harness) reportProgress(o StartOrder, percent int) {
	h.HandleReport(h.now, Report{
		Worker: o.Worker, RequestedAt: h.now.Add(time.Nanosecond),
		Running: []RunReport{{Task: o.Task.String(), Run: o.Run, Percent: percent}},
	})
}
