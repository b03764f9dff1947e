package estimator

import (
	"maps"
	"math"
	"math/bits"
	"time"
)

const (
	// maxSamples is the number of runs of a step that are kept, the latest ones.
	maxSamples = 128
	// maxQueues and maxShapes bound the number of queues and of their shapes; the one without an observation for the
	// longest time gives way.
	maxQueues, maxShapes = 256, 512
	// sizesPerShape is the binary logarithm of the ratio between the numbers of tasks of one shape, so that a queue whose
	// jobs vary in size has few shapes.
	sizesPerShape = 2
)

// Step describes a step of a job.
type Step struct {
	Job    string
	Number int
	Queue  string
	Gang   bool
	Tasks  int
	// CPU is in millicores.
	CPU, MemoryMB, Accelerators int
	// Declared is the declared run time of a task; 0 if there is none.
	Declared time.Duration
}

// shape groups the steps of a queue that are alike.
type shape struct {
	queue                       string
	gang                        bool
	size                        int
	cpu, memoryMB, accelerators int
}

func (s Step) shape() shape {
	return shape{queue: s.Queue, gang: s.Gang, size: bits.Len(uint(max(0, s.Tasks))) / sizesPerShape, cpu: s.CPU, memoryMB: s.MemoryMB, accelerators: s.Accelerators}
}

// queueRecord is what is known of the declared run times of a queue, one observation for each step.
type queueRecord struct {
	// ratio is the ratio of actual to declared work.
	ratio distribution
	// declaredError and correctedError are the factors, 1 or more, by which the declared work and the declared work
	// multiplied by the median ratio were off.
	declaredError, correctedError distribution
}

// shapeRecord is what is known of the steps of one shape.
type shapeRecord struct {
	// work is the work of each step in seconds, err the factor by which the median of the earlier ones was off.
	work, err distribution
	// within is the ratio of the work of each run to that of its step.
	within distribution
}

// stepKey identifies a step of a job in all of its occurrences.
type stepKey struct {
	job    string
	number int
}

// Estimator learns the work of runs; use New.
type Estimator struct {
	queues map[string]*queueRecord
	shapes map[shape]*shapeRecord
	steps  map[stepKey]*Runs
	// restored holds the recorded steps whose jobs have not been added yet.
	restored map[stepKey]*Runs
	changes  uint64
	// forecastErrors and declaredErrors are the factors by which the estimates of placed runs and the declared ones were off.
	forecastErrors, declaredErrors distribution
}

// New returns an Estimator that knows nothing.
func New() *Estimator {
	return &Estimator{queues: map[string]*queueRecord{}, shapes: map[shape]*shapeRecord{}, steps: map[stepKey]*Runs{}, restored: map[stepKey]*Runs{}}
}

// View returns an estimator that knows the same, and whose estimates leave e as it is; it must not observe runs.
func (e *Estimator) View() *Estimator {
	v := *e
	v.steps, v.restored = maps.Clone(e.steps), make(map[stepKey]*Runs, len(e.restored))
	for key, r := range e.restored {
		own := *r
		v.restored[key] = &own
	}
	return &v
}

// Changes returns a number that increases with each observation.
func (e *Estimator) Changes() uint64 { return e.changes }

// Runs are the observed runs of a step of a job in all of its occurrences.
type Runs struct {
	estimator *Estimator
	step      Step
	shape     shape
	samples   []Sample
	// next is the index of the sample that the next one replaces once there are maxSamples.
	next       int
	observedAt time.Time
}

// Runs returns the observed runs of the step.
func (e *Estimator) Runs(s Step) *Runs {
	key := stepKey{s.Job, s.Number}
	if r := e.steps[key]; r != nil {
		return r
	}
	r := e.restored[key]
	if r == nil {
		r = &Runs{estimator: e}
	}
	delete(e.restored, key)
	r.step, r.shape = s, s.shape()
	e.steps[key] = r
	return r
}

// Forget removes the runs of a job that has ended; what they say of its queue remains.
func (e *Estimator) Forget(job string, steps int) {
	for number := range steps {
		delete(e.steps, stepKey{job, number})
		delete(e.restored, stepKey{job, number})
	}
}

// Observe adds a run that has ended; it is censored if the run was not whole. live are the unfinished runs of the step.
func (r *Runs) Observe(now time.Time, s Sample, live []Sample) {
	if s.Work <= 0 {
		return
	}
	if l := levelOf(r.known(live)); !s.Censored && !l.open && l.seconds > 0 {
		r.estimator.shapeOf(r.shape).within.add(now, s.Work.Seconds()/l.seconds, r.weight())
	}
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, s)
	} else {
		r.samples[r.next] = s
		r.next = (r.next + 1) % maxSamples
	}
	r.observedAt = now
	r.estimator.changes++
}

// known returns the ended and the unfinished runs of the step.
func (r *Runs) known(live []Sample) []Sample {
	samples := make([]Sample, 0, len(r.samples)+len(live))
	return append(append(samples, r.samples...), live...)
}

// Conclude adds the work of the step to what is known of its queue, once enough tasks of an occurrence have ended; live are
// its unfinished runs. Later occurrences count less, since they repeat the work of the first.
func (r *Runs) Conclude(now time.Time, occurrence int, live []Sample) {
	l := levelOf(r.known(live))
	if l.open || l.seconds <= 0 {
		return
	}
	e, weight := r.estimator, 1/float64(1+max(0, occurrence))
	s := e.shapeOf(r.shape)
	if s.work.weight(now) > 0 {
		s.err.add(now, factor(l.seconds/s.work.quantile(half)), weight)
	}
	s.work.add(now, l.seconds, weight)
	if declared := r.step.Declared.Seconds(); declared > 0 {
		q := e.queueOf(r.step.Queue)
		ratio := l.seconds / declared
		q.declaredError.add(now, factor(ratio), weight)
		if q.ratio.weight(now) > 0 {
			q.correctedError.add(now, factor(ratio/q.ratio.quantile(half)), weight)
		}
		q.ratio.add(now, ratio, weight)
	}
	e.changes++
}

// factor returns the ratio or its reciprocal, whichever is 1 or more.
func factor(ratio float64) float64 {
	if ratio <= 0 {
		return 1
	}
	return math.Max(ratio, 1/ratio)
}

// shapeOf returns the record of the shape, which it adds if there is none.
func (e *Estimator) shapeOf(key shape) *shapeRecord {
	s := e.shapes[key]
	if s == nil {
		evictOldest(e.shapes, maxShapes, func(r *shapeRecord) time.Time { return latest(r.work.updatedAt, r.within.updatedAt) })
		s = &shapeRecord{}
		e.shapes[key] = s
	}
	return s
}

// queueOf returns the record of the queue, which it adds if there is none.
func (e *Estimator) queueOf(name string) *queueRecord {
	q := e.queues[name]
	if q == nil {
		evictOldest(e.queues, maxQueues, func(r *queueRecord) time.Time { return r.ratio.updatedAt })
		q = &queueRecord{}
		e.queues[name] = q
	}
	return q
}

// evictOldest makes room for another record in a map of limited size.
func evictOldest[K comparable, R any](records map[K]*R, limit int, updatedAt func(r *R) time.Time) {
	if len(records) < limit {
		return
	}
	var oldest K
	var since time.Time
	found := false
	for key, r := range records {
		if at := updatedAt(r); !found || at.Before(since) {
			oldest, since, found = key, at, true
		}
	}
	delete(records, oldest)
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// ObserveForecast records how far the estimate by which a run was placed, and the declared one, were off; estimates of 0 are
// left out.
func (r *Runs) ObserveForecast(now time.Time, estimated, actual time.Duration) {
	r.estimator.forecastErrors.add(now, factorOff(estimated, actual), r.weight())
	r.estimator.declaredErrors.add(now, factorOff(r.step.Declared, actual), r.weight())
}

// weight returns the weight of one run, so that a step counts once however many tasks it has.
func (r *Runs) weight() float64 {
	if r.step.Gang {
		return 1
	}
	return 1 / float64(max(1, r.step.Tasks))
}

// factorOff returns the factor, 1 or more, by which the estimate is off, or 0 if there is none.
func factorOff(estimate, actual time.Duration) float64 {
	if estimate <= 0 || actual <= 0 {
		return 0
	}
	return factor(actual.Seconds() / estimate.Seconds())
}

// ForecastErrors returns the typical factors by which the estimates of placed runs and the declared ones are off; 0 if unknown.
func (e *Estimator) ForecastErrors() (estimated, declared float64) {
	return e.forecastErrors.quantile(errorQuantile), e.declaredErrors.quantile(errorQuantile)
}
