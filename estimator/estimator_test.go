package estimator

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// load draws jobs like those of a fleet under hard load: the runs of a step vary by 20%, 3% of them take seven times as long.
type load struct {
	*Estimator

	random *rand.Rand
	now    time.Time
	jobs   int
	// mean is the mean work of the queue in seconds, vary and off the standard deviations of the logarithms of the work of jobs
	// and of the error of their declared run times, bias a common factor of that error.
	mean, vary, off, bias float64
}

func newLoad(mean, vary, off, bias float64) *load {
	return &load{Estimator: New(), random: rand.New(rand.NewPCG(1, 2)), now: start, mean: mean, vary: vary, off: off, bias: bias}
}

// job returns a step of tasks and the work of its typical run.
func (l *load) job(tasks int) (Step, float64) {
	l.jobs++
	work := l.mean * math.Exp(l.vary*l.random.NormFloat64())
	declared := work * l.bias * math.Exp(l.off*l.random.NormFloat64())
	return Step{Job: string(rune('a' + l.jobs)), Queue: "q", Tasks: tasks, Accelerators: 1, Declared: seconds(declared)}, work
}

// run returns the work of a run.
func (l *load) run(work float64) float64 {
	const spread, longShare, longFactor = 0.2, 0.03, 7
	work *= math.Exp(spread * l.random.NormFloat64())
	if l.random.Float64() < longShare {
		work *= longFactor
	}
	return work
}

// finish lets all runs of a step end, the shortest first, the others being censored meanwhile.
func (l *load) finish(s Step, work float64) {
	r := l.Runs(s)
	left := make([]float64, s.Tasks)
	for i := range left {
		left[i] = l.run(work)
	}
	for concluded := s.Tasks / 2; len(left) > 0; {
		shortest := 0
		for i := range left {
			if left[i] < left[shortest] {
				shortest = i
			}
		}
		ended := left[shortest]
		left = append(left[:shortest], left[shortest+1:]...)
		var live []Sample
		for range left {
			live = append(live, Sample{Work: seconds(ended), Censored: true})
		}
		r.Observe(l.now, Sample{Work: seconds(ended)}, live)
		if len(left) == concluded {
			r.Conclude(l.now, 0, live)
		}
	}
	l.now = l.now.Add(time.Second)
}

// error returns the median factor by which the estimates and the declared run times of further jobs are off.
func (l *load) error(jobs int) (estimated, declared float64, sources map[Source]int) {
	var estimates, declarations distribution
	sources = map[Source]int{}
	for range jobs {
		s, work := l.job(12)
		e := l.Runs(s).Estimate(l.now, nil)
		sources[e.Source]++
		estimates.add(l.now, factor(e.Median.Seconds()/work), 1)
		declarations.add(l.now, factor(s.Declared.Seconds()/work), 1)
		l.finish(s, work)
	}
	return estimates.quantile(errorQuantile), declarations.quantile(errorQuantile), sources
}

// TestLearnedEstimatesAreUsedOnlyWhereTheyAreBetter guards against estimates that are worse than the declared ones, and
// against a service with good ones that behaves differently from before.
func TestLearnedEstimatesAreUsedOnlyWhereTheyAreBetter(t *testing.T) {
	for _, tt := range []struct {
		name            string
		vary, off, bias float64
		// most is the largest permitted ratio of the error of the estimates to that of the declared ones.
		most       float64
		asDeclared bool
	}{
		{"estimates off by a typical factor of 1.9", 0.35, math.Log(1.9), 1, 0.85, false},
		{"estimates too low by a common factor of 1.9", 0.35, 0.1, 1 / 1.9, 0.75, false},
		{"good estimates", 0.4, 0.1, 1, 1.02, true},
		{"exact estimates", 0.4, 0, 1, 1.02, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := newLoad(7, tt.vary, tt.off, tt.bias)
			l.error(8)
			estimated, declared, sources := l.error(40)
			if math.Log(estimated) > tt.most*math.Log(declared)+0.01 {
				t.Errorf("estimates are off by a factor of %.2f, declared ones by %.2f", estimated, declared)
			}
			if tt.asDeclared && sources[SourceDeclared] < 38 {
				t.Errorf("got sources %v, want nearly all declared", sources)
			}
		})
	}
}

// TestLongRunsDoNotBiasTheMedian replays the beginning of a wide step: the runs that have ended are the shortest ones.
func TestLongRunsDoNotBiasTheMedian(t *testing.T) {
	l := newLoad(7, 0, 0, 1)
	s, work := l.job(39)
	s.Declared = 0
	r := l.Runs(s)
	var live []Sample
	for range s.Tasks {
		if w := l.run(work); w < 0.95*work {
			r.Observe(l.now, Sample{Work: seconds(w)}, nil)
		} else {
			live = append(live, Sample{Work: seconds(0.95 * work), Censored: true})
		}
	}
	e := r.Estimate(l.now, live)
	if got := e.Median.Seconds() / work; got < 0.9 || got > 1.1 {
		t.Errorf("the median of a step with %d runs of %d ended is %.2f of the true one, want 0.9 to 1.1", s.Tasks-len(live), s.Tasks, got)
	}
	for range live {
		r.Observe(l.now, Sample{Work: seconds(7 * work)}, nil)
	}
	if e = r.Estimate(l.now, nil); e.Source != SourceSiblings || e.High < e.Median {
		t.Errorf("got %+v, want an estimate by siblings with a high quantile", e)
	}
}

// TestAChangedQueueIsRelearned guards against a past that outweighs what a queue does now.
func TestAChangedQueueIsRelearned(t *testing.T) {
	l := newLoad(4, 0.1, 0, 1)
	l.bias = 3
	l.error(60)
	l.mean = 12
	l.bias = 1
	l.error(20)
	if estimated, _, _ := l.error(10); estimated > 1.25 {
		t.Errorf("20 jobs after a change, estimates are off by a factor of %.2f, want 1.25 at most", estimated)
	}
}

// TestFewObservations covers estimates of zero and the first jobs of a queue.
func TestFewObservations(t *testing.T) {
	l := newLoad(7, 0.1, 0, 1)
	s, work := l.job(12)
	if e := l.Runs(s).Estimate(l.now, nil); e.Median != s.Declared || e.Source != SourceDeclared {
		t.Errorf("got %+v without any run, want the declared estimate %v", e, s.Declared)
	}
	s, _ = l.job(12)
	s.Declared = 0
	if e := l.Runs(s).Estimate(l.now, nil); e.Median != 0 || e.Source != SourceNone {
		t.Errorf("got %+v without a run and an estimate, want nothing", e)
	}
	l.finish(s, work)
	s, _ = l.job(12)
	s.Declared = 0
	if e := l.Runs(s).Estimate(l.now, nil); e.Source != SourceShape || factor(e.Median.Seconds()/work) > 1.3 {
		t.Errorf("got %+v after one job, want about %.1f s by the shape", e, work)
	}
	live := []Sample{{Work: seconds(3 * work), Censored: true}, {Work: seconds(3 * work), Censored: true}}
	if e := l.Runs(s).Estimate(l.now, live); e.Median.Seconds() < 2.9*work {
		t.Errorf("got %+v while all runs have taken three times as long, want that at least", e)
	}
}

// TestTheStateIsRestored guards against learning anew at each change of owner, and against a state that cannot be read.
func TestTheStateIsRestored(t *testing.T) {
	l := newLoad(7, 0.2, math.Log(1.9), 1)
	l.error(30)
	s, work := l.job(12)
	l.finish(s, work)
	state := l.State(l.now)
	next := New()
	if err := next.Restore(l.now, state); err != nil {
		t.Fatal(err)
	}
	other, _ := l.job(12)
	for _, step := range []Step{s, other} {
		want, got := l.Runs(step).Estimate(l.now, nil), next.Runs(step).Estimate(l.now, nil)
		if factor(got.Median.Seconds()/want.Median.Seconds()) > 1.1 || got.Source != want.Source {
			t.Errorf("got %+v from the restored state, want about %+v", got, want)
		}
	}
	state.Shapes[0].Work.Values[0] = -1
	if err := next.Restore(l.now, state); !errors.Is(err, ErrBadState) {
		t.Errorf("got error %v for a negative quantile, want ErrBadState", err)
	}
}
