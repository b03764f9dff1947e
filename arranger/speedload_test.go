package arranger

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// unevenLoad is a stream of work on a fleet: urgent gangs, large gangs and wide steps of single tasks whose work differs.
type unevenLoad struct {
	*speedFleet

	random *rand.Rand
	// meanWork maps jobs to the mean work of their tasks.
	meanWork map[string]time.Duration
	// noise is the standard deviation of the logarithm of the work of single tasks, tail the share of tasks that take
	// seven times as long.
	noise, tail float64
	added       int
}

func newUnevenLoad(t *testing.T, racks, perRack int, speeds ...float64) *unevenLoad {
	t.Helper()
	l := &unevenLoad{
		speedFleet: newSpeedFleet(t, racks, perRack, speeds...), random: rand.New(rand.NewPCG(5, 6)), //nolint:gosec // Tests need repeatable numbers.
		meanWork: map[string]time.Duration{}, noise: 0.25, tail: 0.03,
	}
	l.workOf = l.drawWork
	return l
}

func (l *unevenLoad) drawWork(s StartOrder) time.Duration {
	work := l.meanWork[s.Task.Job].Seconds()
	if !s.Gang {
		work *= math.Exp(l.noise * l.random.NormFloat64())
		if l.random.Float64() < l.tail {
			work *= 7
		}
	}
	return time.Duration(work * float64(time.Second))
}

func (l *unevenLoad) add(queue string, priority int, step Step, least, most float64) {
	l.added++
	j := jobOf(fmt.Sprintf("%s-%d", queue, l.added), priority, step)
	j.Queue, j.Accepted = queue, l.now
	l.meanWork[j.ID] = time.Duration((least + (most-least)*l.random.Float64()) * float64(time.Second))
	l.AddJob(l.now, j, Progress{}, false)
}

// second adds the jobs of a second and lets the fleet run for it; it returns the starts.
func (l *unevenLoad) second(urgent, large, wide int) []StartOrder {
	for range urgent {
		l.add("urgent", 0, gang(5, 2), 2, 2.5)
	}
	for range large {
		l.add("large", 1, gang(13, 2), 6, 11)
	}
	for range wide {
		l.add("wide", 2, single(39, 1), 6, 8)
	}
	o := l.planAfter(time.Second - time.Duration(len(l.sortedWorkers))*time.Millisecond)
	l.start(o)
	l.report()
	return o.Starts
}

// learn lets the fleet run under the load for some seconds.
func (l *unevenLoad) learn(seconds int) {
	l.t.Helper()
	for range seconds {
		l.second(2, 1, 3)
	}
}

// isRight reports whether the worker is rated nearer to its own speed than to the next one of 0.6, 1 and 1.6.
func (l *unevenLoad) isRight(id string) bool {
	ratio := l.workers[id].speed() / l.speeds[id]
	return ratio < misratedRatio && ratio > 1/misratedRatio
}

// misratedRatio is the ratio of a rating to the speed from which the rating is nearer to another one of 0.6, 1 and 1.6.
var misratedRatio = math.Sqrt(1.6)

// TestSingleRunsRateTheFleet replays the load from the beginning of a day. On gangs alone, half of the workers are still
// taken for average after 35 s, and urgent gangs run on them.
func TestSingleRunsRateTheFleet(t *testing.T) {
	const (
		learningSeconds = 35
		// Four of five gangs of five members have to find workers that are rated right.
		mostMisrated = 0.05
	)
	for _, noise := range []float64{0.15, 0.3} {
		t.Run(fmt.Sprint(noise), func(t *testing.T) {
			l := newUnevenLoad(t, 9, 39, 0.6, 1, 1.6)
			l.noise = noise
			l.learn(learningSeconds)
			wrong := 0
			for _, w := range l.sortedWorkers {
				if !l.isRight(w.ID) {
					wrong++
				}
			}
			if float64(wrong) > mostMisrated*float64(len(l.sortedWorkers)) {
				t.Errorf("%d of %d workers are misrated after %d s", wrong, len(l.sortedWorkers), learningSeconds)
			}
			gangs, slow := 0, 0
			for range 15 {
				slowest := map[string]float64{}
				for _, s := range l.second(2, 1, 3) {
					if j := l.jobs[s.Task.Job]; j.urgent() {
						slowest[j.ID] = min(cmp.Or(slowest[j.ID], 1.6), l.speeds[s.Worker])
					}
				}
				for _, speed := range slowest {
					gangs++
					if speed < 1.6 {
						slow++
					}
				}
			}
			if gangs == 0 || 20*slow > gangs {
				t.Errorf("%d of %d urgent gangs have members on workers that are not fast", slow, gangs)
			}
		})
	}
}

// TestAlikeWorkersCountAsEqual guards against placement by the noise of ratings.
func TestAlikeWorkersCountAsEqual(t *testing.T) {
	l := newUnevenLoad(t, 9, 39, 1)
	l.noise = 0.3
	for second := range 60 {
		l.second(2, 1, 3)
		if r := l.newPass(l.now, nil).speeds["tabulator"]; !r.isEven() {
			t.Fatalf("speeds from %.2f to %.2f after %d s", r.low, r.high, second)
		}
	}
	for id, rating := range l.Speeds() {
		if rating.Steps != 0 && rating.Steps*rating.Steps > 1 {
			t.Errorf("%s is rated %d steps from the average", id, rating.Steps)
		}
	}
}

// TestAChangeOfSpeedShowsWithinAFewRuns guards against ratings that keep to what was observed before a worker changed,
// or take the new pace for outliers.
func TestAChangeOfSpeedShowsWithinAFewRuns(t *testing.T) {
	const (
		every   = 10
		fewRuns = 8
	)
	checked, wrong := 0, 0
	for seed := range uint64(3) {
		l := newUnevenLoad(t, 9, 39, 0.6, 1, 1.6)
		l.random = rand.New(rand.NewPCG(seed, 6)) //nolint:gosec // Tests need repeatable numbers.
		l.learn(40)
		changedAt := l.now
		var changed []*worker
		for i := 0; i < len(l.sortedWorkers); i += every {
			w := l.sortedWorkers[i]
			changed = append(changed, w)
			l.speeds[w.ID] = map[float64]float64{0.6: 1.6, 1: 0.6, 1.6: 0.6}[l.speeds[w.ID]]
		}
		l.learn(20)
		for _, w := range changed {
			runs := 0
			for _, o := range w.rating.observations {
				if o.observedAt.After(changedAt) {
					runs++
				}
			}
			if runs < fewRuns {
				continue
			}
			checked++
			if !l.isRight(w.ID) {
				wrong++
				t.Logf("seed %d: %s of speed %.1f is rated %.2f after %d runs", seed, w.ID, l.speeds[w.ID], w.speed(), runs)
			}
		}
		if l.Counts().SpeedChanges == 0 {
			t.Error("no change of speed counted")
		}
	}
	if checked == 0 || 10*wrong > checked {
		t.Errorf("%d of %d changed workers are misrated", wrong, checked)
	}
}

// TestRunTimesRateWorkersWithoutProgress guards against a fleet that stays unrated, since its tasks report no progress.
func TestRunTimesRateWorkersWithoutProgress(t *testing.T) {
	l := newUnevenLoad(t, 3, 12, 0.6, 1, 1.6)
	l.hidesProgress = true
	for range 60 {
		l.second(0, 0, 1)
	}
	wrong := 0
	for _, w := range l.sortedWorkers {
		if !l.isRight(w.ID) {
			wrong++
		}
	}
	if 10*wrong > len(l.sortedWorkers) {
		t.Errorf("%d of %d workers are misrated", wrong, len(l.sortedWorkers))
	}
}

// TestAMomentOfSlownessKeepsTheRating guards against ratings by what lasts for two seconds only.
func TestAMomentOfSlownessKeepsTheRating(t *testing.T) {
	l := newUnevenLoad(t, 9, 39, 0.6, 1, 1.6)
	l.learn(40)
	rated := map[string]float64{}
	for i := 0; i < len(l.sortedWorkers); i += 10 {
		w := l.sortedWorkers[i]
		if l.isRight(w.ID) {
			rated[w.ID] = l.speeds[w.ID]
			l.speeds[w.ID] /= 8
		}
	}
	l.learn(2)
	for id, speed := range rated {
		l.speeds[id] = speed
	}
	l.learn(3)
	wrong := 0
	for id := range rated {
		if !l.isRight(id) {
			wrong++
		}
	}
	if 10*wrong > len(rated) {
		t.Errorf("%d of %d workers are misrated after a moment of slowness", wrong, len(rated))
	}
}

// TestAReplacedWorkerIsUnrated guards against the rating of the machine that a worker had before.
func TestAReplacedWorkerIsUnrated(t *testing.T) {
	l := newUnevenLoad(t, 9, 39, 0.6, 1, 1.6)
	l.learn(35)
	w := l.sortedWorkers[0]
	if !w.rating.rated() || w.speed() >= 1 {
		t.Fatalf("%s is rated %.2f, want less than the average", w.ID, w.speed())
	}
	info := w.Worker
	info.Incarnation++
	l.runs[w.ID] = nil
	l.SetWorker(l.now, info)
	if _, rated := l.Speeds()[w.ID]; rated || l.workers[w.ID].speed() != 1 {
		t.Errorf("the next incarnation is rated %.2f", l.workers[w.ID].speed())
	}
	l.learn(15)
	if r := l.workers[w.ID].rating; !r.rated() || l.workers[w.ID].speed() >= 1 {
		t.Errorf("the next incarnation is rated %.2f, error %.2f, after 15 s", l.workers[w.ID].speed(), r.err)
	}
}
