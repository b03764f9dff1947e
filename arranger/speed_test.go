package arranger

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// speedFleet simulates workers of different speeds; the members of a gang progress at the pace of their own worker,
// and a gang ends with its slowest member.
type speedFleet struct {
	*harness

	speeds map[string]float64
	runs   map[string][]*simulatedRun
	// workOf returns the duration of a task on a worker of speed 1.
	workOf func(s StartOrder) time.Duration
	// hidesProgress means that reports contain no progress.
	hidesProgress bool
}

// simulatedRun is a run on a simulated worker.
type simulatedRun struct {
	order StartOrder
	// progressedAt is when done, the part of the work that is done, was last updated.
	progressedAt time.Time
	done         time.Duration
	// work is the duration of the task on a worker of speed 1.
	work time.Duration
}

func newSpeedFleet(t *testing.T, racks, perRack int, speeds ...float64) *speedFleet {
	t.Helper()
	f := &speedFleet{harness: newHarness(t, racks, perRack), speeds: map[string]float64{}, runs: map[string][]*simulatedRun{}}
	for i, w := range f.sortedWorkers {
		f.speeds[w.ID] = speeds[i%len(speeds)]
	}
	return f
}

// start confirms the started runs and simulates them.
func (f *speedFleet) start(o Orders) {
	f.confirmStarts(o)
	for _, s := range o.Starts {
		f.runs[s.Worker] = append(f.runs[s.Worker], &simulatedRun{order: s, progressedAt: f.now, work: f.workOf(s)})
	}
}

// percent advances the run to the present time and returns its progress.
func (f *speedFleet) percent(worker string, r *simulatedRun) int {
	r.done += time.Duration(float64(f.now.Sub(r.progressedAt)) * f.speeds[worker])
	r.progressedAt = f.now
	return min(wholePercent, int(wholePercent*r.done/r.work))
}

// report lets all workers report; it ends single tasks and gangs whose members have all completed.
func (f *speedFleet) report() {
	incomplete := map[string]bool{}
	for id, runs := range f.runs {
		for _, r := range runs {
			if f.percent(id, r) < wholePercent {
				incomplete[r.order.Task.Job] = true
			}
		}
	}
	for _, w := range f.sortedWorkers {
		f.now = f.now.Add(time.Millisecond)
		report := Report{Worker: w.ID, RequestedAt: f.now}
		var kept []*simulatedRun
		for _, r := range f.runs[w.ID] {
			percent := f.percent(w.ID, r)
			if percent < wholePercent || r.order.Gang && incomplete[r.order.Task.Job] {
				if f.hidesProgress {
					percent = 0
				}
				report.Running = append(report.Running, RunReport{Task: r.order.Task.String(), Run: r.order.Run, Percent: percent})
				kept = append(kept, r)
				continue
			}
			f.endNumbers[w.ID]++
			report.Ended = append(report.Ended, EndReport{Number: f.endNumbers[w.ID], Task: r.order.Task.String(), Run: r.order.Run, Outcome: EndedDone})
		}
		f.runs[w.ID] = kept
		f.HandleReport(f.now, report)
	}
}

// TestUrgentGangsRunOnTheFastestWorkers replays a steady load of urgent gangs beside bulk work on workers of three
// speeds. A gang is as slow as its slowest member, so that placement regardless of speed makes most gangs slow.
func TestUrgentGangsRunOnTheFastestWorkers(t *testing.T) {
	const (
		slowest, fastest = 0.8, 1.25
		seconds          = 80
		gangInterval     = 4
		learningSeconds  = 40
	)
	f := newSpeedFleet(t, 4, 6, slowest, 1, fastest)
	f.workOf = func(s StartOrder) time.Duration {
		if s.Gang {
			return 2500 * time.Millisecond
		}
		return 8 * time.Second
	}
	fast, all := 0, 0
	for second := range seconds {
		if second%gangInterval == 0 {
			urgent := jobOf(fmt.Sprintf("urgent-%d", second), 0, gang(3, 4))
			urgent.Accepted = f.now
			f.AddJob(f.now, urgent, Progress{}, false)
		}
		for i := range 3 {
			bulk := jobOf(fmt.Sprintf("bulk-%d-%d", second, i), 2, single(1, 2))
			bulk.Accepted = f.now
			f.AddJob(f.now, bulk, Progress{}, false)
		}
		o := f.planAfter(time.Second)
		f.start(o)
		for _, s := range o.Starts {
			if second >= learningSeconds && s.Gang {
				all++
				if f.speeds[s.Worker] == fastest {
					fast++
				}
			}
		}
		f.report()
	}
	if all < 3*(seconds-learningSeconds)/gangInterval {
		t.Fatalf("%d members of urgent gangs started, want all", all)
	}
	// The two fast workers of a rack have room for the gang, and one runs at a time.
	if 10*fast < 9*all {
		t.Errorf("%d of %d members of urgent gangs ran on the fastest workers, want nine tenths", fast, all)
	}
}

// TestRatingsFollowFromOverlappingGangs checks that gangs of few workers each rate the whole fleet on one scale.
func TestRatingsFollowFromOverlappingGangs(t *testing.T) {
	speeds := []float64{0.6, 0.8, 1, 1.25, 1.6, 0.8, 1, 1.25}
	random := rand.New(rand.NewPCG(3, 4)) //nolint:gosec // Tests need repeatable numbers.
	workers := make([]*worker, len(speeds))
	for i := range workers {
		workers[i] = &worker{}
	}
	var s speedRatings
	now := start
	for run := range int64(80) {
		now = now.Add(200 * time.Millisecond)
		stage := &stage{job: &job{Job: Job{ID: "gang"}}, step: Step{Gang: true}}
		basePace := 5 + 40*random.Float64()
		for _, i := range random.Perm(len(workers))[:3] {
			paceOfMember := basePace * speeds[i]
			if run%20 == 7 && i == 0 {
				// A worker that is slow for a moment keeps its rating.
				paceOfMember /= 8
			}
			s.observe(now, &place{task: &task{stage: stage}, worker: workers[i], run: run}, paceOfMember, 0)
		}
		s.update(now, workers)
	}
	for i, w := range workers {
		ratio := math.Exp(w.rating.logSpeed-workers[2].rating.logSpeed) / speeds[i]
		if ratio < 1/ratingStep || ratio > ratingStep {
			t.Errorf("worker of speed %.2f is rated %.2f relative to one of speed 1", speeds[i], ratio*speeds[i])
		}
	}
}

// A worker with a run now and then would lose its rating between them if observations faded by time alone.
func TestAWorkerWithFewRunsKeepsItsRating(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8)) //nolint:gosec // Tests need repeatable numbers.
	speeds := []float64{0.6, 0.6, 0.6, 0.6, 1, 1, 1, 1, 1.6, 1.6, 1.6, 1.6}
	workers := make([]*worker, len(speeds))
	for i := range workers {
		workers[i] = &worker{}
	}
	var s speedRatings
	now := start
	for round := range 12 {
		now = now.Add(20 * time.Second)
		st := &stage{job: &job{Job: Job{ID: fmt.Sprint(round)}}, step: single(len(speeds), 1)}
		for i, w := range workers {
			s.observe(now, &place{task: &task{stage: st}, worker: w}, 12*speeds[i]*math.Exp(0.2*random.NormFloat64()), 0)
		}
		s.update(now, workers)
	}
	for i, w := range workers {
		if ratio := w.speed() / speeds[i]; !w.rating.rated() || ratio > misratedRatio || ratio < 1/misratedRatio {
			t.Errorf("worker of speed %.1f is rated %.2f, error %.2f", speeds[i], w.speed(), w.rating.err)
		}
	}
}

func TestAMomentWithoutProgressGivesNoPace(t *testing.T) {
	var p pace
	for i, tt := range []struct {
		after   time.Duration
		percent int
		want    bool
	}{
		{0, 10, false},
		{500 * time.Millisecond, 40, false},
		{900 * time.Millisecond, 12, false},
		{2 * time.Second, 30, true},
		{4 * time.Second, 100, false},
	} {
		if got := p.record(start.Add(tt.after), tt.percent); got != tt.want {
			t.Errorf("report %d: got %t, want %t", i, got, tt.want)
		}
	}
	if want := 10.0; p.current != want {
		t.Errorf("got a pace of %.1f percent per second, want %.1f", p.current, want)
	}
}
