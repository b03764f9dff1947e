package estimator

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxRecordedQueues, maxRecordedShapes and maxRecordedSteps bound the recorded state to 48 KB with names of 50 bytes;
	// those observed last are recorded.
	maxRecordedQueues, maxRecordedShapes, maxRecordedSteps = 48, 64, 128
	// recordedQuantiles is the number of quantiles by which a distribution is recorded.
	recordedQuantiles = 7
	// maxRestoredSamples limits the samples that stand for the recorded runs of a step.
	maxRestoredSamples = 8
	// maxValue and maxRecordedWeight are above all values and weights that an Estimator records.
	maxValue, maxRecordedWeight = 1e9, 1e3
)

// ErrBadState means that a recorded state is not valid.
var ErrBadState = errors.New("not a state of learned run times")

// State is what an Estimator has learned, with the times of observations as ages.
type State struct {
	Queues []QueueState `json:"queues,omitempty"`
	Shapes []ShapeState `json:"shapes,omitempty"`
	Steps  []StepState  `json:"steps,omitempty"`
}

// QueueState is the recorded state of a queue.
type QueueState struct {
	Queue          string            `json:"queue"`
	Ratio          DistributionState `json:"ratio"`
	DeclaredError  DistributionState `json:"declaredError"`
	CorrectedError DistributionState `json:"correctedError"`
}

// ShapeState is the recorded state of the steps of one shape in a queue.
type ShapeState struct {
	Queue        string `json:"queue"`
	Gang         bool   `json:"gang,omitempty"`
	Size         int    `json:"size,omitempty"`
	CPU          int    `json:"cpu,omitempty"`
	MemoryMB     int    `json:"memoryMb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`

	Work   DistributionState `json:"work"`
	Error  DistributionState `json:"error"`
	Within DistributionState `json:"within"`
}

// StepState is the recorded state of a step of a job: the number of its ended runs and the median of their work.
type StepState struct {
	Job     string  `json:"job"`
	Number  int     `json:"step,omitempty"`
	Runs    int     `json:"runs"`
	Seconds float64 `json:"seconds"`
	// AgeSeconds is the time since the latest observation.
	AgeSeconds float64 `json:"age,omitempty"`
}

// DistributionState is a recorded distribution: its weight at the latest observation, the age of that, and equidistant
// quantiles.
type DistributionState struct {
	Weight     float64   `json:"n,omitempty"`
	Values     []float64 `json:"v,omitempty"`
	AgeSeconds float64   `json:"age,omitempty"`
}

// State returns what has been learned, of bounded size.
func (e *Estimator) State(now time.Time) State {
	var s State
	queues := latestKeys(e.queues, maxRecordedQueues, func(r *queueRecord) time.Time { return r.ratio.updatedAt }, cmp.Compare[string])
	for _, name := range queues {
		q := e.queues[name]
		s.Queues = append(s.Queues, QueueState{Queue: name, Ratio: q.ratio.state(now), DeclaredError: q.declaredError.state(now), CorrectedError: q.correctedError.state(now)})
	}
	shapes := latestKeys(e.shapes, maxRecordedShapes, func(r *shapeRecord) time.Time { return latest(r.work.updatedAt, r.within.updatedAt) }, compareShapes)
	for _, k := range shapes {
		r := e.shapes[k]
		s.Shapes = append(s.Shapes, ShapeState{
			Queue: k.queue, Gang: k.gang, Size: k.size, CPU: k.cpu, MemoryMB: k.memoryMB, Accelerators: k.accelerators,
			Work: r.work.state(now), Error: r.err.state(now), Within: r.within.state(now),
		})
	}
	steps := latestKeys(e.steps, maxRecordedSteps, func(r *Runs) time.Time { return r.observedAt }, compareSteps)
	for _, k := range steps {
		r := e.steps[k]
		if l := levelOf(r.known(nil)); !l.open && l.seconds > 0 {
			s.Steps = append(s.Steps, StepState{Job: k.job, Number: k.number, Runs: l.count, Seconds: round(l.seconds), AgeSeconds: age(now, r.observedAt)})
		}
	}
	return s
}

func compareShapes(x, y shape) int {
	return cmp.Or(
		cmp.Compare(x.queue, y.queue), cmp.Compare(boolInt(x.gang), boolInt(y.gang)), cmp.Compare(x.size, y.size),
		cmp.Compare(x.cpu, y.cpu), cmp.Compare(x.memoryMB, y.memoryMB), cmp.Compare(x.accelerators, y.accelerators),
	)
}

func compareSteps(x, y stepKey) int {
	return cmp.Or(cmp.Compare(x.job, y.job), cmp.Compare(x.number, y.number))
}

// latestKeys returns the keys of the records with observations, those with the latest first, up to a limit.
func latestKeys[K comparable, R any](records map[K]*R, limit int, updatedAt func(r *R) time.Time, compare func(x, y K) int) []K {
	keys := slices.DeleteFunc(slices.Collect(maps.Keys(records)), func(k K) bool { return updatedAt(records[k]).IsZero() })
	slices.SortFunc(keys, func(x, y K) int {
		return cmp.Or(updatedAt(records[y]).Compare(updatedAt(records[x])), compare(x, y))
	})
	return keys[:min(limit, len(keys))]
}

// state returns the recorded form of the distribution.
func (d *distribution) state(now time.Time) DistributionState {
	if d.sketch == nil {
		return DistributionState{}
	}
	s := DistributionState{Weight: round(d.sketch.GetCount() / countScale), AgeSeconds: age(now, d.updatedAt)}
	for i := range recordedQuantiles {
		s.Values = append(s.Values, round(d.quantile((float64(i)+half)/recordedQuantiles)))
	}
	return s
}

func age(now, at time.Time) float64 { return round(max(0, now.Sub(at).Seconds())) }

// round rounds to four significant digits, so that the record is small.
func round(value float64) float64 {
	const digits = 4
	if value == 0 {
		return 0
	}
	scale := math.Pow(10, digits-math.Ceil(math.Log10(math.Abs(value))))
	return math.Round(value*scale) / scale
}

// Restore replaces what has been learned by a recorded state, before any job is added; it changes nothing if that is not
// valid, and the error is ErrBadState then.
func (e *Estimator) Restore(now time.Time, s State) error {
	if len(s.Queues) > maxRecordedQueues || len(s.Shapes) > maxRecordedShapes || len(s.Steps) > maxRecordedSteps {
		return fmt.Errorf("%w: %d queues, %d shapes and %d steps", ErrBadState, len(s.Queues), len(s.Shapes), len(s.Steps))
	}
	restored := New()
	for _, q := range s.Queues {
		r := &queueRecord{}
		err := errors.Join(r.ratio.restore(now, q.Ratio), r.declaredError.restore(now, q.DeclaredError), r.correctedError.restore(now, q.CorrectedError))
		if err != nil {
			return fmt.Errorf("queue %q: %w", q.Queue, err)
		}
		restored.queues[q.Queue] = r
	}
	for _, k := range s.Shapes {
		r := &shapeRecord{}
		err := errors.Join(r.work.restore(now, k.Work), r.err.restore(now, k.Error), r.within.restore(now, k.Within))
		if err != nil {
			return fmt.Errorf("shape of queue %q: %w", k.Queue, err)
		}
		restored.shapes[shape{queue: k.Queue, gang: k.Gang, size: k.Size, cpu: k.CPU, memoryMB: k.MemoryMB, accelerators: k.Accelerators}] = r
	}
	for _, step := range s.Steps {
		if step.Runs <= 0 || !valid(step.Seconds) || step.Seconds == 0 || !valid(step.AgeSeconds) {
			return fmt.Errorf("%w: step %d of job %q", ErrBadState, step.Number, step.Job)
		}
		r := &Runs{estimator: e, observedAt: now.Add(-seconds(step.AgeSeconds))}
		for range min(step.Runs, maxRestoredSamples) {
			r.samples = append(r.samples, Sample{Work: seconds(step.Seconds)})
		}
		restored.restored[stepKey{step.Job, step.Number}] = r
	}
	restored.changes = e.changes + 1
	*e = *restored
	return nil
}

// valid reports whether a recorded number is in the range of recorded values.
func valid(value float64) bool { return value >= 0 && value <= maxValue }

// restore replaces an empty distribution by a recorded one.
func (d *distribution) restore(now time.Time, s DistributionState) error {
	if s.Weight == 0 {
		return nil
	}
	if !valid(s.Weight) || s.Weight > maxRecordedWeight || len(s.Values) != recordedQuantiles || !valid(s.AgeSeconds) {
		return fmt.Errorf("%w: weight %g of %d quantiles", ErrBadState, s.Weight, len(s.Values))
	}
	for _, value := range s.Values {
		if value == 0 || !valid(value) {
			return fmt.Errorf("%w: quantile %g", ErrBadState, value)
		}
	}
	for _, value := range s.Values {
		d.insert(value, s.Weight/recordedQuantiles)
	}
	d.updatedAt = now.Add(-seconds(s.AgeSeconds))
	return nil
}
