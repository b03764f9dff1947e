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
		{"would not end, and may still be left alone", 8 * time.Second, false, 0, time.Second, false},
		{"keeps a checkpoint, and may still go on", 8 * time.Second, true, 0, time.Second, false},
		{"would not end, and time is up", 8 * time.Second, false, 0, 1300 * time.Millisecond, true},
		{"keeps a checkpoint, and time is up", 8 * time.Second, true, 0, 1300 * time.Millisecond, true},
		{"ends before", 1500 * time.Millisecond, true, 0, 1300 * time.Millisecond, false},
		{"nearly done by its pace, whatever the estimate says", 8 * time.Second, true, 90, 1300 * time.Millisecond, false},
		{"slow by its pace, whatever the estimate says", time.Second, true, 6, 1300 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, 1, 2)
			step := single(1, 1)
			step.Estimate, step.Checkpoints = test.estimate, test.checkpoints
			b.AddJob(b.now, jobOf("job", 2, step), Progress{}, false)
			starts := b.pass(time.Second)
			b.confirm(starts)
			o := starts.Starts[0]
			if test.percent > 0 {
				b.showProgress(o, 1)
				b.now = b.now.Add(time.Second)
				b.showProgress(o, test.percent)
			}
			leaving, _ := b.Worker(o.Worker)
			leaving.Draining, leaving.LeavesAt = true, b.now.Add(left)
			b.SetWorker(leaving)
			got := len(b.pass(test.after).Stops) > 0
			if got != test.want {
				t.Errorf("stopped: %t, want %t", got, test.want)
			}
		})
	}
}

func TestAGangMovesWholeFromAWorkerThatLeaves(t *testing.T) {
	b := newBench(t, 2, 2)
	step := gang(2, 8)
	step.Checkpoints = true
	b.AddJob(b.now, jobOf("job", 1, step), Progress{}, false)
	starts := b.pass(time.Second)
	b.confirm(starts)
	leaving, _ := b.Worker(starts.Starts[0].Worker)
	leaving.Draining, leaving.LeavesAt = true, b.now.Add(800*time.Millisecond)
	b.SetWorker(leaving)
	if stops := b.pass(100 * time.Millisecond).Stops; len(stops) != 2 {
		t.Fatalf("%d stops, want the gang's two", len(stops))
	}
	for _, o := range starts.Starts {
		b.end(o.Worker, o.Task, o.Run, EndedInterrupted)
	}
	again := b.pass(100 * time.Millisecond).Starts
	if len(again) != 2 || again[0].Worker == leaving.ID || again[1].Worker == leaving.ID {
		t.Errorf("got %+v, want both members elsewhere", again)
	}
}

// showProgress reports the percentage of a run.
func (b *bench) showProgress(o StartOrder, percent int) {
	b.HandleReport(b.now, Report{
		Worker: o.Worker, RequestedAt: b.now.Add(time.Nanosecond),
		Running: []RunReport{{Task: o.Task.String(), Run: o.Run, Percent: percent}},
	})
}
