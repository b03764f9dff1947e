package arranger

import (
	"math"
	"time"

	"github.com/snipelift/snipelift/estimator"
)

// Declared run times are off by a typical factor of up to 1.9 in some queues, and
// callers measure lateness by the true ones. The run times are therefore learned
// (package estimator), from the runs that end and from the progress of those
// that do not, and the learned values are used where they are better than the
// declared ones. An unfinished run is the best source for its own end and, after
// a second or two, for its siblings.

// Each use of learned run times has a switch of its own.
const (
	// learnsOrder uses them for the order of waiting work and for its latest start.
	learnsOrder = true
	// learnsForecasts uses them for the expected end in start orders.
	learnsForecasts = true
	// learnsPreemption weighs what remains of a run before it is preempted, and waits for runs that end soon.
	learnsPreemption = true
	// learnsLeaving uses them to tell whether a run ends before its worker leaves.
	learnsLeaving = true
)

const (
	// estimateInterval is the time for which the estimates of a job are kept, waitingEstimateInterval that for a job of which
	// nothing has started, so that thousands of them cost little; a plan may be made every few milliseconds.
	estimateInterval, waitingEstimateInterval = 250 * time.Millisecond, time.Second
	// minProjectionPercent is the progress in percent from which a run counts as a sample by its projected end; below
	// it, the rounding to whole percent distorts the projection by more than the runs of a step differ.
	minProjectionPercent = 10
	// maxLiveSamples limits the unfinished runs of a step that are looked at.
	maxLiveSamples = 128
	// slowdownWeight is the weight of the latest start in the typical slowdown; it follows a change of the free workers
	// within some tens of starts.
	slowdownWeight = 0.1
	// paceError is the share of the remaining time by which a run ends later than its pace promises in one of ten cases,
	// beside the rounding of its progress.
	paceError = 0.05
)

// typicalSlowdowns are the natural logarithms of the typical slowdown of recent starts. Work that is not urgent goes to the
// slowest workers, so that it takes longer than on average ones.
type typicalSlowdowns struct{ urgent, other float64 }

// of returns the logarithm for jobs like the given one.
func (t *typicalSlowdowns) of(j *job) *float64 {
	if j.urgent() {
		return &t.urgent
	}
	return &t.other
}

// record adds the slowdown of a start.
func (t *typicalSlowdowns) record(j *job, slowdown float64) {
	typical := t.of(j)
	*typical += slowdownWeight * (math.Log(slowdown) - *typical)
}

// jobEstimates caches what was learned of the run times of a job.
type jobEstimates struct {
	at time.Time
	// steps are the estimates by step number, criticalPath is the duration of the critical path by them.
	steps        []stepEstimate
	criticalPath time.Duration
}

// stepEstimate is the estimated work of a step, with its observed runs.
type stepEstimate struct {
	// Estimate is replaced by each update, and never changed.
	*estimator.Estimate

	runs *estimator.Runs
	// live are the unfinished runs as of the latest update.
	live []estimator.Sample
}

// declared returns the declared run time of a step.
func (j *job) declared(step int) time.Duration { return j.Steps[step].Estimate }

// estimatesOf returns the estimates of the job, which are updated once per interval.
func (a *Arranger) estimatesOf(now time.Time, j *job) *jobEstimates {
	e := j.estimates
	if e == nil {
		e = &jobEstimates{steps: make([]stepEstimate, len(j.Steps))}
		for i, s := range j.Steps {
			e.steps[i].runs = a.runTimes.Runs(estimator.Step{
				Job: j.ID, Number: i, Queue: j.Queue, Gang: s.Gang, Tasks: s.Count,
				CPU: s.Need.CPU, MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators, Declared: s.Estimate,
			})
		}
		j.estimates = e
	}
	interval := waitingEstimateInterval
	if j.started {
		interval = estimateInterval
	}
	if !e.at.IsZero() && now.Sub(e.at) < interval {
		return e
	}
	e.at = now
	if j.started {
		a.collectLive(now, j, e)
	}
	for i := range e.steps {
		s := &e.steps[i]
		if j.Steps[i].LongRunning {
			s.Estimate = &estimator.Estimate{Median: j.Steps[i].Estimate, High: j.Steps[i].Estimate, Source: estimator.SourceDeclared}
			continue
		}
		estimate := s.runs.Estimate(now, s.live)
		s.Estimate = &estimate
	}
	e.criticalPath = criticalPathOf(j.Steps, func(i int) time.Duration { return e.steps[i].Median })
	return e
}

// collectLive collects the unfinished runs of all steps of the job.
func (a *Arranger) collectLive(now time.Time, j *job, e *jobEstimates) {
	for i := range e.steps {
		e.steps[i].live = e.steps[i].live[:0]
	}
	for _, s := range j.stages {
		live := &e.steps[s.stepNumber].live
		if s.unfinished == 0 || s.ready.IsZero() || s.step.LongRunning {
			continue
		}
		if s.step.Gang {
			if sample, ok := a.gangSample(now, s); ok && len(*live) < maxLiveSamples {
				*live = append(*live, sample)
			}
			continue
		}
		for _, t := range s.tasks {
			if len(*live) == maxLiveSamples {
				break
			}
			if t.place == nil || t.done {
				continue
			}
			if runTime, censored, ok := t.place.projectedRunTime(now); ok {
				*live = append(*live, estimator.Sample{Work: a.workOf(t.place, runTime), Censored: censored})
			}
		}
	}
}

// projectedRunTime returns the whole run time of an unfinished run by its progress, or its run time so far if that does not
// tell yet (censored); ok is false if neither is known.
func (p *place) projectedRunTime(now time.Time) (runTime time.Duration, censored, ok bool) {
	if p.state != placeRunning || p.resumed || p.cold {
		return 0, false, false
	}
	if p.runningSince.IsZero() {
		// When an adopted run started is not known, but its pace is. It may continue from a checkpoint, though.
		if gained := p.percent - p.firstPercent; p.firstProgressAt.IsZero() || gained < minProjectionPercent || p.task.checkpoint != "" {
			return 0, false, false
		}
		return p.progressedAt.Sub(p.firstProgressAt) * wholePercent / time.Duration(p.percent-p.firstPercent), false, true
	}
	switch {
	case p.percent >= minProjectionPercent:
		return p.progressedAt.Sub(p.runningSince) * wholePercent / time.Duration(p.percent), false, true
	case p.firstProgressAt.IsZero():
		return now.Sub(p.runningSince), true, true
	default:
		// The time without progress may be a pause of the worker.
		return p.progressedAt.Sub(p.runningSince), true, true
	}
}

// gangSample returns the unfinished run of a gang as one sample: it ends with its slowest member.
func (a *Arranger) gangSample(now time.Time, s *stage) (estimator.Sample, bool) {
	var longest time.Duration
	open := false
	for _, t := range s.tasks {
		if t.place == nil {
			return estimator.Sample{}, false
		}
		runTime, censored, ok := t.place.projectedRunTime(now)
		if !ok {
			return estimator.Sample{}, false
		}
		longest, open = max(longest, runTime), open || censored
	}
	return estimator.Sample{Work: a.workOf(s.tasks[0].place, longest), Censored: open}, true
}

// slowdown returns the factor by which a run takes longer than on a worker of average speed that is where its data and its
// gang are; a gang is as slow as its slowest member.
func (a *Arranger) slowdown(p *place) float64 {
	s := p.task.stage
	if !s.step.Gang {
		return a.slowdownOn(s.step, p.worker, false)
	}
	spread, slowest := false, 0.0
	if s.step.SameRack {
		for _, t := range s.tasks {
			spread = spread || t.place != nil && t.place.worker.Rack != p.worker.Rack
		}
	}
	for _, t := range s.tasks {
		if t.place != nil {
			slowest = max(slowest, a.slowdownOn(s.step, t.place.worker, spread))
		}
	}
	return slowest
}

func (a *Arranger) slowdownOn(step Step, w *worker, spread bool) float64 {
	if spread || step.DataRack != "" && step.DataRack != w.Rack {
		return a.options.RemoteFactor / w.speed()
	}
	return 1 / w.speed()
}

// workOf converts the run time of a run, or of its gang, to work.
func (a *Arranger) workOf(p *place, runTime time.Duration) time.Duration {
	return time.Duration(float64(runTime) / a.slowdown(p))
}

// plannedTime returns the run time of a step by which work is ordered, on the workers that such work gets at present.
func (a *Arranger) plannedTime(now time.Time, j *job, step int) time.Duration {
	if !learnsOrder {
		return j.declared(step)
	}
	median := a.estimatesOf(now, j).steps[step].Median
	if j.Steps[step].LongRunning {
		return median
	}
	return scale(median, math.Exp(*a.slowdowns.of(j)))
}

// allowedTime returns the time from the acceptance of the job to its deadline, which follows the true duration of its critical
// path.
func (a *Arranger) allowedTime(now time.Time, j *job) time.Duration {
	allowed := j.deadline.Sub(j.Accepted)
	if !learnsOrder {
		return allowed
	}
	return allowed + time.Duration(j.Policy.Stretch*float64(a.estimatesOf(now, j).criticalPath-j.criticalPath))
}

// forecastOf returns the estimated work of a run that starts now, and its slowdown.
func (a *Arranger) forecastOf(now time.Time, p *place) (*estimator.Estimate, float64) {
	s := p.task.stage
	if s.step.LongRunning {
		return nil, 0
	}
	slowdown := a.slowdown(p)
	a.slowdowns.record(s.job, slowdown)
	if !learnsForecasts {
		return nil, 0
	}
	return a.estimatesOf(now, s.job).steps[s.stepNumber].Estimate, slowdown
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// runEnd is when a run ends: the median, and the quantile 0.9.
type runEnd struct{ expected, high time.Time }

// endByPace extrapolates the end of the run from its own progress, or returns false before it has made enough.
func (p *place) endByPace() (runEnd, bool) {
	gained := p.percent - p.firstPercent
	if p.firstProgressAt.IsZero() || gained < minPaceProgress {
		return runEnd{}, false
	}
	pace := p.progressedAt.Sub(p.firstProgressAt) / time.Duration(gained)
	left := pace * time.Duration(wholePercent-p.percent)
	return runEnd{expected: p.progressedAt.Add(left), high: p.progressedAt.Add(scale(left, 1+paceError+1/float64(gained)) + pace)}, true
}

// promisedEnd returns when the run ends, with its gang, by its progress or, before that tells, by what was learned of its step;
// both may have passed.
func (a *Arranger) promisedEnd(now time.Time, p *place) runEnd {
	s := p.task.stage
	end, known := p.endByPace()
	if s.step.Gang {
		for _, t := range s.tasks {
			if t.place == nil || t.place == p {
				continue
			}
			other, ok := t.place.endByPace()
			known = known && ok
			end = runEnd{expected: latest(end.expected, other.expected), high: latest(end.high, other.high)}
		}
	}
	if !known {
		e := a.estimatesOf(now, s.job).steps[s.stepNumber].Estimate
		since, slowdown := p.runningSince, a.slowdown(p)
		if since.IsZero() {
			since = p.placedAt
		}
		end = runEnd{expected: since.Add(scale(e.Median, slowdown)), high: since.Add(scale(e.High, slowdown))}
		if e.Source == estimator.SourceNone {
			// Nothing promises an end within the time of a stop.
			end.expected = earliest(since, now.Add(-a.options.StopTime))
			end.high = end.expected
		}
	}
	return end
}

// forecastEnd returns when the run ends, with its gang, if it has not ended yet.
func (a *Arranger) forecastEnd(now time.Time, p *place) runEnd {
	end := a.promisedEnd(now, p)
	switch {
	case end.high.Before(now):
		// A run that is overdue has stalled or is one of the long ones; it may take as long again.
		overdue := now.Sub(end.expected)
		return runEnd{expected: now.Add(overdue), high: now.Add(2 * overdue)}
	case end.expected.Before(now):
		return runEnd{expected: end.high, high: end.high}
	default:
		return end
	}
}

func earliest(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// observeEnd records the run time of a completed run, for a gang that of its first member to be reported.
func (a *Arranger) observeEnd(now time.Time, p *place) {
	s := p.task.stage
	since, whole := p.runningSince, p.whole()
	if s.step.Gang {
		for _, t := range s.tasks {
			whole = whole && t.place != nil && t.place.whole()
			if t.place != nil {
				// The members wait for each other.
				since = latest(since, t.place.runningSince)
			}
		}
	}
	if !whole || s.step.LongRunning {
		return
	}
	e := &a.estimatesOf(now, s.job).steps[s.stepNumber]
	work := a.workOf(p, now.Sub(since))
	if p.estimate != nil {
		e.runs.ObserveForecast(now, p.estimate.Median, work)
	}
	e.runs.Observe(now, estimator.Sample{Work: work}, e.live)
}

// whole reports whether the time of the run since its start tells the work of its task.
func (p *place) whole() bool { return !p.resumed && !p.cold && !p.runningSince.IsZero() }

// observeInterruption records how long a run has taken that was stopped or failed before its end.
func (a *Arranger) observeInterruption(p *place) {
	s := p.task.stage
	if s.step.Gang || s.step.LongRunning || !p.whole() || p.firstProgressAt.IsZero() {
		return
	}
	// After its latest progress it may have been paused.
	work := a.workOf(p, p.progressedAt.Sub(p.runningSince))
	e := &a.estimatesOf(p.progressedAt, s.job).steps[s.stepNumber]
	e.runs.Observe(p.progressedAt, estimator.Sample{Work: work, Censored: true}, e.live)
}

// concludeStep records the work of a step for its queue once it is known: when a gang or half of the tasks have completed.
func (a *Arranger) concludeStep(now time.Time, s *stage) {
	if s.step.LongRunning || s.step.Gang && s.unfinished > 0 || !s.step.Gang && s.unfinished != len(s.tasks)/2 {
		return
	}
	e := &a.estimatesOf(now, s.job).steps[s.stepNumber]
	e.runs.Conclude(now, s.occurrence, e.live)
}

// RunTimes returns what was learned of the run times of tasks.
func (a *Arranger) RunTimes() *estimator.Estimator { return a.runTimes }
