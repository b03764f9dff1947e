package arranger

import (
	"math"
	"slices"
	"time"
)

// Workers differ in speed, and a gang is as slow as its slowest member. The
// members of a gang have equal work, so their progress shows how fast their
// workers are relative to each other, however far off the estimate is. The
// comparisons of overlapping gangs give a rating of all workers. Urgent work
// goes to the fastest workers and other work to the slowest ones, so that gangs
// run on workers of similar speed and the fast ones stay free for urgent work.

const (
	// paceWindow is the minimum time between the two reports from which the pace of a run is computed.
	paceWindow = 800 * time.Millisecond
	// minPaceGain is the progress in percent below which its rounding to whole percent distorts the pace.
	minPaceGain = 5
	// maxRatedGangs is the number of gangs whose observations are kept; ratingPeriod is for how long.
	maxRatedGangs = 1024
	ratingPeriod  = 60 * time.Second
	// ratingInterval is the minimum time between two updates of the ratings.
	ratingInterval = 100 * time.Millisecond
	// ratingPrior is the weight, in observations, of the assumption that a worker has average speed.
	ratingPrior = 0.3
	// outlierRatio is the ratio of a pace to the expected one below which the worker is slow only temporarily,
	// so that the pace does not count for its rating.
	outlierRatio = 0.45
	// ratingStep is the ratio between successive ratings; smaller differences are within the error.
	ratingStep = 1.1
	// speedPenalty, in accelerators, weighs a tenth in speed like four racks: on a small fleet speed decides, and on a
	// large one a search for a fast worker ends after some tens of racks.
	speedPenalty = 40 * rackPenalty
)

// pace is the speed at which a run progresses, in percent per second; 0 if unknown.
type pace struct {
	since   time.Time
	percent int
	current float64
}

// record updates the pace from the run's reported progress and reports whether there is a new value.
func (p *pace) record(now time.Time, percent int) bool {
	if p.since.IsZero() || percent < p.percent {
		p.since, p.percent = now, percent
		return false
	}
	elapsed := now.Sub(p.since)
	if elapsed < paceWindow || percent-p.percent < minPaceGain || percent >= wholePercent {
		return false
	}
	p.current = float64(percent-p.percent) / elapsed.Seconds()
	p.since, p.percent = now, percent
	return true
}

// gangRun identifies a run of a gang.
type gangRun struct {
	job              string
	occurrence, step int
	run              int64
}

// gangObservation holds the latest paces of the members of a gang's run.
type gangObservation struct {
	gangRun

	observedAt time.Time
	members    []memberPace
}

// memberPace is the natural logarithm of the pace of a gang's members on a worker.
type memberPace struct {
	worker  *worker
	logPace float64
}

// speedRatings rates the speed of workers relative to their average.
type speedRatings struct {
	// observations are in the order in which the runs were first observed.
	observations []*gangObservation
	changed      bool
	updatedAt    time.Time
	// normalized and rated are buffers of update.
	normalized []float64
	rated      []*worker
}

// observe records the pace of a member of a gang.
func (s *speedRatings) observe(now time.Time, p *place) {
	s.changed = true
	o := s.observationOf(gangRun{job: p.task.stage.job.ID, occurrence: p.task.stage.occurrence, step: p.task.stage.stepNumber, run: p.run})
	o.observedAt = now
	logPace := math.Log(p.pace.current)
	for i := range o.members {
		if o.members[i].worker == p.worker {
			o.members[i].logPace = logPace
			return
		}
	}
	o.members = append(o.members, memberPace{worker: p.worker, logPace: logPace})
}

// observationOf returns the observation of the run, which it adds if there is none.
func (s *speedRatings) observationOf(run gangRun) *gangObservation {
	for _, o := range slices.Backward(s.observations) {
		if o.gangRun == run {
			return o
		}
	}
	o := &gangObservation{gangRun: run}
	s.observations = append(s.observations, o)
	return o
}

// update moves the ratings towards the least-squares solution of all observations.
func (s *speedRatings) update(now time.Time) {
	if !s.changed || now.Sub(s.updatedAt) < ratingInterval {
		return
	}
	s.changed = false
	s.updatedAt = now
	s.observations = slices.Delete(s.observations, 0, max(0, len(s.observations)-maxRatedGangs))
	s.observations = slices.DeleteFunc(s.observations, func(o *gangObservation) bool { return now.Sub(o.observedAt) >= ratingPeriod })
	s.rated = s.rated[:0]
	for _, o := range s.observations {
		if len(o.members) > 1 {
			s.addResiduals(o)
		}
	}
	for _, w := range s.rated {
		w.logSpeed = w.speedSum / (float64(w.speedCount) + ratingPrior)
		w.speedRated = true
		w.speedSum, w.speedCount = 0, 0
	}
}

// addResiduals adds the speeds that the observation implies to the sums of its workers.
func (s *speedRatings) addResiduals(o *gangObservation) {
	s.normalized = s.normalized[:0]
	for _, m := range o.members {
		s.normalized = append(s.normalized, m.logPace-m.worker.logSpeed)
	}
	slices.Sort(s.normalized)
	// The median is the pace on an average worker; a temporarily slow worker does not move it.
	count := len(s.normalized)
	average := (s.normalized[(count-1)/2] + s.normalized[count/2]) / 2
	for _, m := range o.members {
		if m.logPace-average-m.worker.logSpeed < math.Log(outlierRatio) {
			continue
		}
		if m.worker.speedCount == 0 {
			s.rated = append(s.rated, m.worker)
		}
		m.worker.speedSum += m.logPace - average
		m.worker.speedCount++
	}
}

// observePace updates the pace of a run from its progress and, for gangs, the rating of its worker.
func (a *Arranger) observePace(now time.Time, p *place) {
	if p.state == placeRunning && p.pace.record(now, p.percent) && p.task.stage.step.Gang {
		a.speeds.observe(now, p)
	}
}

// speed returns the rated speed of the worker relative to the average, in steps of ratingStep. One that has not been
// rated counts as a step faster than the average, so that urgent gangs try it.
func (w *worker) speed() float64 {
	if !w.speedRated {
		return ratingStep
	}
	return math.Pow(ratingStep, float64(w.speedSteps()))
}

// speedSteps returns the number of rating steps by which the worker is faster than the average.
func (w *worker) speedSteps() int { return int(math.Round(w.logSpeed / math.Log(ratingStep))) }

// Speeds returns the rated speeds of the workers, by ID, in steps above the average; those of average speed are left
// out.
func (a *Arranger) Speeds() map[string]int {
	speeds := map[string]int{}
	for id, w := range a.workers {
		if steps := w.speedSteps(); w.speedRated && steps != 0 {
			speeds[id] = steps
		}
	}
	return speeds
}

// RestoreSpeed sets the speed that a previous owner has rated the worker at, in steps above the average.
func (a *Arranger) RestoreSpeed(id string, steps int) {
	if w := a.workers[id]; w != nil && !w.speedRated {
		w.logSpeed = float64(steps) * math.Log(ratingStep)
		w.speedRated = true
	}
}

// speedMisfit returns how badly the speed of the candidate suits the unit, in accelerators.
func (ps *pass) speedMisfit(u unit, cand *candidate) float64 {
	if u.rank <= rankUrgent {
		return speedPenalty * (ps.maxSpeed/cand.speed - 1)
	}
	return speedPenalty * (cand.speed/ps.minSpeed - 1)
}
