package arranger

import (
	"math"
	"slices"
	"time"
)

// Workers differ in speed, and a gang is as slow as its slowest member. A fleet of hundreds of workers, bursts of
// urgent gangs and thousands of single tasks of uneven work: the pace of each run, compared with that of its
// siblings, tells how fast its worker is relative to others, however far off the estimate is. Members of a gang have
// equal work; single tasks of a step differ in work, and some take several times as long. The model is
//
//	log pace = log speed of the worker - log work of the group + noise of the run
//
// with the groups' work distributed around that of their shape. Workers and groups exchange Gaussian messages until
// they agree (belief propagation), which also gives the error of each rating.

const (
	// ratingInterval is the minimum time between two updates of the ratings.
	ratingInterval = 500 * time.Millisecond
	// ratingSweeps is the number of exchanges between workers and groups in an update.
	ratingSweeps = 2
	// ratingStep is the ratio between successive ratings; smaller differences are within the error.
	ratingStep = 1.1
	// stepChange is the difference in steps from the published rating at which another one is published; half a step
	// lets the published ratings alternate.
	stepChange = 0.75
	// maxRatingError is the standard error of the logarithm of a speed from which a worker counts as unrated.
	maxRatingError = 0.2
	// significance is the number of standard errors by which a worker has to differ from the average, initialSignificance
	// while it is not known whether the service's workers differ at all: among hundreds of alike ones, some differ by
	// three.
	significance        = 2
	initialSignificance = 4
	// outlierRatio is the ratio of a pace to the expected one below which the run is a long one or the worker is slow
	// only temporarily, so that the pace does not count for its rating.
	outlierRatio = 0.45
	// defaultSpread and minSpread are the standard deviation of the logarithms of the speeds of a service's workers
	// while it is not known, and at least; minSpreadWorkers is the number of rated workers from which it is known.
	defaultSpread    = 0.35
	minSpread        = 0.05
	minSpreadWorkers = 8
	// memoryDrift is the error that a rating gains while there are no observations, and at a change of owner.
	memoryDrift = 0.1
	// memoryRuns is the number of observed runs from which the memory of earlier ratings does not count any more.
	memoryRuns = maxObservations / 2
	// changeRuns is the number of latest runs that are compared with the earlier ones to find a change of speed.
	changeRuns = 8
	// changePeriod is how long the latest runs have to differ, since a worker may be slow for a moment.
	changePeriod = 3 * time.Second
	// changeSignificance is the number of standard errors by which they have to differ.
	changeSignificance = 3
	// leastShare is the share of a sum from which a difference is no rounding error.
	leastShare = 1e-9
	// minChange is the ratio by which the speeds have to differ; a smaller change shows as observations are replaced.
	minChange = 1.25
)

// Rating is the rated speed of a worker.
type Rating struct {
	// Steps is the number of rating steps of 1.1 above the average speed.
	Steps int
	// Error is the standard error of the natural logarithm of the speed.
	Error float64
}

// speedRating is the state of the rating of a worker.
type speedRating struct {
	// logSpeed is the natural logarithm of the speed relative to the average, err its standard error; 0 if there
	// were no observations.
	logSpeed, err float64
	// steps is the published rating.
	steps int
	// memory is the rating from observations that are not kept.
	memory estimate
	// observations are in the order in which the runs were first observed.
	observations []*paceObservation
	// observedAt is when the latest run was observed.
	observedAt time.Time
	// differsSince is when the latest runs began to differ from the earlier ones; zero if they do not.
	differsSince time.Time
	// precision and weighted are the sums of the precisions and of the weighted values of all that is known.
	precision, weighted float64
	// update is the number of the latest update that the worker took part in.
	update int
}

// rated reports whether the speed of the worker is known well enough to rely on.
func (r *speedRating) rated() bool { return r.err > 0 && r.err <= maxRatingError }

// remember keeps a rating whose observations are gone.
func (r *speedRating) remember(logSpeed, err float64) {
	if err > 0 {
		r.memory = estimate{value: logSpeed, precision: 1 / (err*err + memoryDrift*memoryDrift)}
	}
}

// speedRatings rates the speed of workers relative to their average.
type speedRatings struct {
	// groups are in the order in which their runs were first observed.
	groups     []*paceGroup
	groupByKey map[paceGroupKey]*paceGroup
	shapes     map[paceShapeKey]*paceShape
	// spreads holds the variance of the logarithms of the speeds by service.
	spreads   map[string]float64
	changed   bool
	updatedAt time.Time
	updates   int
	// onChange is called for each worker whose rating begins anew, with the steps that it was rated at; it may be nil.
	onChange func(w *worker, steps int)
	// workers and buffer are buffers of update.
	workers []*worker
	buffer  []float64
}

// update moves the ratings of the fleet towards those that explain all observations best.
func (s *speedRatings) update(now time.Time, fleet []*worker) {
	if !s.changed || now.Sub(s.updatedAt) < ratingInterval {
		return
	}
	s.changed = false
	s.updatedAt = now
	s.updates++
	s.expire(now)
	s.collectWorkers()
	for range ratingSweeps {
		for _, g := range s.groups {
			s.exchange(g)
		}
		for _, w := range s.workers {
			w.rating.solve()
		}
	}
	s.updateShapes()
	for _, w := range s.workers {
		if s.detectChange(now, &w.rating) && s.onChange != nil {
			s.onChange(w, w.rating.steps)
		}
	}
	for _, average := range s.averages(fleet) {
		s.shift(fleet, average.service, -average.mean)
		s.publish(fleet, average.service)
		s.updateSpread(average)
	}
}

// collectWorkers lists the workers with observations and sums up what is known of each.
func (s *speedRatings) collectWorkers() {
	s.workers = s.workers[:0]
	for _, g := range s.groups {
		for _, m := range g.members {
			r := &m.worker.rating
			if r.update != s.updates {
				r.update = s.updates
				r.precision, r.weighted = 1/s.spreadOf(m.worker.Service), 0
				if len(r.observations) >= memoryRuns {
					r.memory = estimate{}
				}
				if r.memory.precision > 0 {
					r.precision += r.memory.precision
					r.weighted += r.memory.precision * r.memory.value
				}
				r.weigh()
				s.workers = append(s.workers, m.worker)
			}
			r.precision += m.speed.precision
			r.weighted += m.speed.precision * m.speed.value
		}
	}
	for _, w := range s.workers {
		w.rating.solve()
	}
}

// solve computes the rating from the sums.
func (r *speedRating) solve() {
	r.logSpeed = r.weighted / r.precision
	r.err = 1 / math.Sqrt(r.precision)
}

// exchange updates the work of the group from the ratings of its workers, and what it says of each worker from all the
// others.
func (s *speedRatings) exchange(g *paceGroup) {
	s.updateCentre(g)
	work := g.shape.work()
	var sum estimate
	sum.precision = work.precision + g.past.precision
	sum.value = work.precision*work.value + g.past.precision*g.past.value
	for _, m := range g.members {
		m.average(g.centre)
		m.work = estimate{}
		if m.variance == 0 {
			continue
		}
		r := &m.worker.rating
		// What the group itself has said of the worker does not count for the group.
		precision := r.precision - m.speed.precision
		speed := (r.weighted - m.speed.precision*m.speed.value) / precision
		m.work = estimate{value: m.logPace - speed, precision: 1 / (m.variance + 1/precision)}
		sum.precision += m.work.precision
		sum.value += m.work.precision * m.work.value
	}
	for _, m := range g.members {
		var speed estimate
		m.others = sum.without(m.work)
		if m.variance > 0 && m.others.precision > 0 {
			speed = estimate{value: m.logPace - m.others.value, precision: 1 / (m.variance + 1/m.others.precision)}
		}
		r := &m.worker.rating
		r.precision += speed.precision - m.speed.precision
		r.weighted += speed.precision*speed.value - m.speed.precision*m.speed.value
		m.speed = speed
	}
}

// without returns the estimate from all parts of the sum, whose value is weighted, but the given one.
func (sum estimate) without(part estimate) estimate {
	precision := sum.precision - part.precision
	// The subtraction leaves a rounding error if there is no other part.
	if precision <= sum.precision*leastShare {
		return estimate{}
	}
	return estimate{value: (sum.value - part.precision*part.value) / precision, precision: precision}
}

// updateCentre sets the centre of the group to the median of its runs, which long ones do not move.
func (s *speedRatings) updateCentre(g *paceGroup) {
	s.buffer = s.buffer[:0]
	for _, m := range g.members {
		for _, o := range m.runs {
			s.buffer = append(s.buffer, o.logPace-m.worker.rating.logSpeed)
		}
	}
	for range g.pastRuns {
		s.buffer = append(s.buffer, g.past.value)
	}
	g.centre = median(s.buffer)
}

// average sets the mean pace of the member's runs without outliers, and its variance; the latter is 0 if none counts.
func (m *groupMember) average(centre float64) {
	r := &m.worker.rating
	// A worker whose speed is hardly known may be slow or fast itself.
	threshold := r.err - math.Log(outlierRatio)
	m.logPace, m.variance = 0, 0
	precision := 0.0
	for _, o := range m.runs {
		if math.Abs(o.logPace-centre-r.logSpeed) > threshold {
			continue
		}
		own := o.weight / (o.variance + m.group.shape.noise)
		precision += own
		m.logPace += own * o.logPace
	}
	if precision > 0 {
		m.logPace /= precision
		m.variance = 1 / precision
	}
}

// median sorts the values and returns their median; 0 if there are none.
func median(values []float64) float64 {
	count := len(values)
	if count == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(count-1)/2] + values[count/2]) / 2 //nolint:mnd // The mean of the two in the middle.
}

// detectChange discards the earlier observations of a worker whose latest runs differ from them, and reports whether it
// did.
func (s *speedRatings) detectChange(now time.Time, r *speedRating) bool {
	earlier := len(r.observations) - changeRuns
	if earlier < changeRuns/2 || !s.differs(r, earlier) {
		r.differsSince = time.Time{}
		return false
	}
	if r.differsSince.IsZero() {
		r.differsSince = now
	}
	if now.Sub(r.differsSince) < changePeriod {
		return false
	}
	// The median of the latest runs shows a change once half of them follow it.
	r.discard(len(r.observations) - changeRuns/2)
	r.memory, r.differsSince = estimate{}, time.Time{}
	// The remaining runs were compared with the rating that is given up.
	r.logSpeed, r.err = 0, defaultSpread
	s.changed = true
	return true
}

// differs reports whether the worker's runs from the given one on differ from the earlier ones by more than the error.
func (s *speedRatings) differs(r *speedRating, from int) bool {
	earlier, earlierVariance := s.impliedSpeed(r.observations[:from])
	latest, latestVariance := s.impliedSpeed(r.observations[from:])
	return math.Abs(latest-earlier) > max(changeSignificance*math.Sqrt(earlierVariance+latestVariance), math.Log(minChange))
}

// impliedSpeed returns the mean speed that the observations imply by the work of the worker's siblings, without long
// runs, and its variance, which is infinite if there are no siblings. Long runs are told by their distance from the
// median: few as they are, they are a fifth of those that run at a time.
func (s *speedRatings) impliedSpeed(observations []*paceObservation) (mean, variance float64) {
	s.buffer = s.buffer[:0]
	for _, o := range observations {
		if o.member.others.precision > 0 {
			s.buffer = append(s.buffer, o.logPace-o.member.others.value)
		}
	}
	middle := median(s.buffer)
	count, groups := 0.0, 0.0
	var noise, groupNoise float64
	for i, o := range observations {
		implied := o.logPace - o.member.others.value
		if o.member.others.precision == 0 || math.Abs(implied-middle) > -math.Log(outlierRatio) {
			continue
		}
		count++
		mean += implied
		noise += o.variance + o.member.group.shape.noise
		if i == 0 || observations[i-1].member != o.member {
			groups++
			groupNoise += 1 / o.member.others.precision
		}
	}
	if count == 0 || groups == 0 {
		return 0, math.Inf(1)
	}
	return mean / count, noise/(count*count) + groupNoise/(groups*groups)
}

// speed returns the rated speed of the worker relative to the average, in steps of ratingStep; 1 if it is not rated.
func (w *worker) speed() float64 {
	if !w.rating.rated() {
		return 1
	}
	return math.Pow(ratingStep, float64(w.rating.steps))
}

// Speeds returns the ratings of the rated workers, by ID.
func (a *Arranger) Speeds() map[string]Rating {
	speeds := map[string]Rating{}
	for id, w := range a.workers {
		if w.rating.rated() {
			speeds[id] = Rating{Steps: w.rating.steps, Error: w.rating.err}
		}
	}
	return speeds
}

// RestoreSpeed sets the rating by a previous owner of a worker that has not been rated yet.
func (a *Arranger) RestoreSpeed(id string, rating Rating) {
	w := a.workers[id]
	if w == nil || w.rating.rated() {
		return
	}
	r := &w.rating
	r.logSpeed, r.err, r.steps = float64(rating.Steps)*math.Log(ratingStep), rating.Error, rating.Steps
	r.remember(r.logSpeed, r.err)
}

// recordSpeedChange logs and counts a worker whose rating begins anew.
func (a *Arranger) recordSpeedChange(w *worker, steps int) {
	a.counts.SpeedChanges++
	a.options.Log("worker changed its speed", "worker", w.ID, "rated", math.Pow(ratingStep, float64(steps)), "runs", len(w.rating.observations))
}
