package estimator

import (
	"math"
	"time"
)

const (
	// minWeight is the weight of observations from which a learned source is compared with the declared estimate.
	minWeight = 3
	// advantage is the share of the error of the declared estimate below which the error of a learned source has to be,
	// so that good estimates stay in use although their error is only known roughly.
	advantage = 0.9
	// goodError is the observed error, a factor of 1.3, up to which a declared estimate stays in use whatever was learned:
	// the runs of one step differ as much.
	goodError = 0.25
	// assumedError is the error of a declared estimate of which nothing has been observed: a factor of 1.5.
	assumedError = 0.4
	// assumedSpread is the spread of the runs of a step if nothing has been observed.
	assumedSpread = 0.25
	// minError is the least error that a source counts with; reports of progress and ends are delayed by some percent of
	// a short run.
	minError = 0.05
	// medianInefficiency is the variance of the median of normally distributed values relative to that of their mean.
	medianInefficiency = math.Pi / 2
	half               = 0.5
	// errorQuantile is the quantile of the observed errors that counts as the error; for a normal distribution it is one
	// standard deviation.
	errorQuantile = 0.68
	// highQuantile is the quantile given by Estimate.High, highDeviations its distance from the median of a normal
	// distribution in standard deviations.
	highQuantile, highDeviations = 0.9, 1.28
	// lowSpread and highSpread are the quantiles one standard deviation from the median of a normal distribution.
	lowSpread, highSpread = 0.16, 0.84
)

// Source tells what an estimate is derived from.
type Source string

// The sources of an estimate, from the least to the most specific.
const (
	// SourceNone means that nothing is known, not even a declared estimate.
	SourceNone Source = "none"
	// SourceDeclared is the declared estimate as it is.
	SourceDeclared Source = "declared"
	// SourceCorrected is the declared estimate multiplied by the ratio of actual to declared work in the queue.
	SourceCorrected Source = "corrected"
	// SourceShape is the work of the earlier steps of the same shape in the queue.
	SourceShape Source = "shape"
	// SourceSiblings is the work of the other runs of the step, finished or not.
	SourceSiblings Source = "siblings"
)

// Estimate is the estimated work of a task.
type Estimate struct {
	// Median and High are the quantiles 0.5 and 0.9 of the work; 0 if nothing is known.
	Median, High time.Duration
	Source       Source
	// Samples is the number of runs or, unless these are siblings, of steps that the estimate is derived from.
	Samples int
	// Age is the time since the latest of them was observed.
	Age time.Duration
}

// prediction is the expected natural logarithm of the work in seconds, with the standard deviation of its error.
type prediction struct {
	value, err float64
	source     Source
	samples    int
	observedAt time.Time
}

// Estimate returns the estimated work of another run of the step; live are its unfinished runs.
func (r *Runs) Estimate(now time.Time, live []Sample) Estimate {
	base, known := r.base(now)
	spread, highRatio := r.spread(now)
	if len(r.samples)+len(live) > 0 {
		base, known = r.withSiblings(now, base, known, spread, live)
	}
	if !known {
		return Estimate{Source: SourceNone}
	}
	e := Estimate{Median: seconds(math.Exp(base.value)), Source: base.source, Samples: base.samples}
	if base.source == SourceDeclared {
		// The logarithm and its inverse may change the last digits.
		e.Median = r.step.Declared
	}
	e.High = seconds(e.Median.Seconds() * math.Exp(math.Hypot(highDeviations*base.err, math.Log(highRatio))))
	if !base.observedAt.IsZero() {
		e.Age = max(0, now.Sub(base.observedAt))
	}
	return e
}

// seconds converts to a duration, limited to a year.
func seconds(s float64) time.Duration {
	const year = 365 * 24 * time.Hour
	return time.Duration(min(s, year.Seconds()) * float64(time.Second))
}

// base returns the prediction without regard to the other runs of the step, or false if there is none.
func (r *Runs) base(now time.Time) (prediction, bool) {
	declared, hasDeclared := r.declared(now)
	learned, hasLearned := r.learned(now, !hasDeclared)
	if !hasDeclared || hasLearned && declared.err > goodError && learned.err < advantage*declared.err {
		return learned, hasLearned
	}
	return declared, true
}

// declared returns the declared estimate, or false if there is none.
func (r *Runs) declared(now time.Time) (prediction, bool) {
	if r.step.Declared <= 0 {
		return prediction{}, false
	}
	p := prediction{value: math.Log(r.step.Declared.Seconds()), err: assumedError, source: SourceDeclared}
	if q := r.estimator.queues[r.step.Queue]; q != nil {
		if weight := q.declaredError.weight(now); weight >= minWeight {
			p.err, p.samples, p.observedAt = errorOf(&q.declaredError, weight), int(math.Round(weight)), q.ratio.updatedAt
		}
	}
	return p, true
}

// errorOf returns the standard deviation of the errors whose factors are given; few observations give a larger one.
func errorOf(factors *distribution, weight float64) float64 {
	return max(minError, math.Log(max(1, factors.quantile(errorQuantile)))) * (1 + 1/(2*weight))
}

// learned returns the prediction by the queue, or false if there is none. If nothing is declared, any observation of the shape
// is better than nothing.
func (r *Runs) learned(now time.Time, alone bool) (prediction, bool) {
	byShape, hasShape := r.byShape(now, alone)
	corrected, hasCorrected := r.corrected(now)
	switch {
	case !hasCorrected:
		return byShape, hasShape
	case !hasShape:
		return corrected, true
	}
	best, other := byShape, corrected
	if corrected.err < byShape.err {
		best, other = corrected, byShape
	}
	// Both are unbiased, so that their mean, weighted by precision, is better than either. Its error is that of the better one
	// at least, since both may err for the same reason.
	p, q := 1/(best.err*best.err), 1/(other.err*other.err)
	best.value = (p*best.value + q*other.value) / (p + q)
	return best, true
}

// byShape returns the median work of earlier steps of the shape, or false if there are too few of them.
func (r *Runs) byShape(now time.Time, alone bool) (prediction, bool) {
	s := r.estimator.shapes[r.shape]
	if s == nil {
		return prediction{}, false
	}
	weight, errWeight := s.work.weight(now), s.err.weight(now)
	if weight <= 0 || !alone && errWeight < minWeight-1 {
		return prediction{}, false
	}
	p := prediction{value: math.Log(s.work.quantile(half)), err: assumedError, source: SourceShape, samples: max(1, int(math.Round(weight))), observedAt: s.work.updatedAt}
	if errWeight >= minWeight-1 {
		p.err = errorOf(&s.err, errWeight)
	}
	return p, true
}

// corrected returns the declared estimate corrected by the ratio observed in the queue, or false if there is too little to
// derive that from.
func (r *Runs) corrected(now time.Time) (prediction, bool) {
	q := r.estimator.queues[r.step.Queue]
	if q == nil || r.step.Declared <= 0 {
		return prediction{}, false
	}
	weight := q.correctedError.weight(now)
	if weight < minWeight-1 {
		return prediction{}, false
	}
	return prediction{
		value: math.Log(r.step.Declared.Seconds() * q.ratio.quantile(half)), err: errorOf(&q.correctedError, weight), source: SourceCorrected,
		samples: int(math.Round(q.ratio.weight(now))), observedAt: q.ratio.updatedAt,
	}, true
}

// spread returns the standard deviation of the logarithm of the work of the runs of a step, and the ratio of their high
// quantile to their median.
func (r *Runs) spread(now time.Time) (spread, highRatio float64) {
	s := r.estimator.shapes[r.shape]
	if s == nil || s.within.weight(now) < minWeight {
		return assumedSpread, math.Exp(highDeviations * assumedSpread)
	}
	low, high := s.within.quantile(lowSpread), s.within.quantile(highSpread)
	return max(minError, math.Log(high/low)/2), max(1, s.within.quantile(highQuantile))
}

// withSiblings returns the prediction by the other runs of the step. With few of them, the base contributes as well; a declared
// estimate that is known to be at least as good stays as it is.
func (r *Runs) withSiblings(now time.Time, base prediction, known bool, spread float64, live []Sample) (prediction, bool) {
	l := levelOf(r.known(live))
	if l.seconds <= 0 {
		return base, known
	}
	siblings := prediction{value: math.Log(l.seconds), err: assumedError, source: SourceSiblings, samples: l.count, observedAt: r.observedAt}
	if len(live) > 0 {
		siblings.observedAt = now
	}
	if l.open {
		// Only a lower bound is known.
		if known && base.value >= siblings.value {
			return base, true
		}
		siblings.samples = len(r.samples) + len(live)
		return siblings, true
	}
	siblings.err = max(minError, spread*math.Sqrt(medianInefficiency/float64(l.count)))
	if !known {
		return siblings, true
	}
	if base.source == SourceDeclared && (base.err <= goodError || siblings.err >= advantage*base.err) {
		return base, true
	}
	p, q := 1/(siblings.err*siblings.err), 1/(base.err*base.err)
	mixed := siblings
	if q > p {
		mixed = base
	}
	mixed.value = (p*siblings.value + q*base.value) / (p + q)
	mixed.err = 1 / math.Sqrt(p+q)
	return mixed, true
}
