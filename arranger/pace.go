package arranger

import (
	"math"
	"slices"
	"time"
)

const (
	// paceWindow is the minimum time between the two reports from which the pace of a run is computed.
	paceWindow = 800 * time.Millisecond
	// minPaceGain is the progress in percent below which its rounding to whole percent distorts the pace.
	minPaceGain = 5
	// roundingError is the standard deviation, in percent, of the difference of two rounded percentages.
	roundingError = 0.41
	// reportJitter is the typical difference between the delays of two reports.
	reportJitter = 50 * time.Millisecond
	// endDelay is the typical error of a run time that is measured up to the report of the end; workers report about
	// once a second.
	endDelay = 300 * time.Millisecond
	// maxObservations is the number of runs of a worker that count for its rating.
	maxObservations = 24
	// fadeTime and fadeRuns are the time before the latest observation of the worker and the number of later runs in which
	// the weight of an observation halves; it fades no faster than by either. A busy worker has several runs in a moment,
	// and one with few runs keeps those.
	fadeTime = 10 * time.Second
	fadeRuns = 4
	// ratingPeriod is how long the observations of an idle worker are kept; its rating stays as a memory.
	ratingPeriod = 5 * time.Minute
)

// pace is the speed at which a run progresses, in percent per second; 0 if unknown.
type pace struct {
	since   time.Time
	percent int
	current float64
	// logError is the standard error of its natural logarithm.
	logError float64
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
	gain := float64(percent - p.percent)
	p.current = gain / elapsed.Seconds()
	p.logError = math.Hypot(roundingError/gain, reportJitter.Seconds()/elapsed.Seconds())
	p.since, p.percent = now, percent
	return true
}

// paceGroupKey identifies runs of equal or similar work: the tasks of a step, or the members of one run of a gang.
type paceGroupKey struct {
	job              string
	occurrence, step int
	// run is zero for single tasks.
	run int64
}

// paceGroup holds the observed paces of runs of equal or similar work.
type paceGroup struct {
	key     paceGroupKey
	service string
	shape   *paceShape
	members []*groupMember
	// centre is the natural logarithm of the pace of the group's work on a worker of average speed.
	centre float64
	// past is what the pastRuns that are not kept have said of the centre. Without it, the long runs that outlast their
	// siblings would determine the centre.
	past     estimate
	pastRuns int
}

// groupMember holds the observations of the runs of a group on one worker.
type groupMember struct {
	group  *paceGroup
	worker *worker
	runs   []*paceObservation
	// speed is what the group says of the worker's speed, others what the other members and the shape say of the group's
	// centre.
	speed, others estimate
	// logPace is the mean of the runs that count, variance its error without that of the ratings; work is what it says
	// of the group's centre. They are buffers of paceGroup.exchange.
	logPace, variance float64
	work              estimate
}

// paceObservation is the observed pace of a run.
type paceObservation struct {
	member     *groupMember
	observedAt time.Time
	// logPace is the natural logarithm of the pace in percent per second, variance the squared error of its
	// measurement.
	logPace, variance float64
	// weight is that of its age.
	weight float64
}

// paceShapeKey identifies the steps of a queue that have the same shape.
type paceShapeKey struct {
	service, queue string

	gang  bool
	count int
	need  Resources
}

// estimate is a value with its precision, the reciprocal of the variance; the precision is 0 if nothing is known.
type estimate struct{ value, precision float64 }

// observe records the pace of a run, in percent per second, with the standard error of its logarithm.
func (s *speedRatings) observe(now time.Time, p *place, percentPerSecond, logError float64) {
	s.changed = true
	if p.observation == nil || p.observation.member == nil {
		p.observation = &paceObservation{}
		s.add(p)
	}
	p.worker.rating.observedAt, p.observation.observedAt = now, now
	p.observation.logPace, p.observation.variance = math.Log(percentPerSecond), logError*logError
}

// add adds the run's observation to its group and its worker.
func (s *speedRatings) add(p *place) {
	st := p.task.stage
	key := paceGroupKey{job: st.job.ID, occurrence: st.occurrence, step: st.stepNumber}
	if st.step.Gang {
		key.run = p.run
	}
	g := s.groupByKey[key]
	if g == nil {
		if s.groupByKey == nil {
			s.groupByKey = map[paceGroupKey]*paceGroup{}
		}
		g = &paceGroup{key: key, service: p.worker.Service, shape: s.shapeOf(st)}
		s.groupByKey[key] = g
		s.groups = append(s.groups, g)
	}
	i := slices.IndexFunc(g.members, func(m *groupMember) bool { return m.worker == p.worker })
	if i < 0 {
		i = len(g.members)
		g.members = append(g.members, &groupMember{group: g, worker: p.worker})
	}
	m := g.members[i]
	m.runs = append(m.runs, p.observation)
	p.observation.member = m
	r := &p.worker.rating
	r.observations = append(r.observations, p.observation)
	if len(r.observations) > maxObservations {
		r.discard(1)
	}
}

// shapeOf returns the shape of the stage's step, which it adds if there is none.
func (s *speedRatings) shapeOf(st *stage) *paceShape {
	key := paceShapeKey{service: st.job.Policy.Service, queue: st.job.Queue, gang: st.step.Gang, count: st.step.Count, need: st.step.Need}
	shape := s.shapes[key]
	if shape == nil {
		if s.shapes == nil {
			s.shapes = map[paceShapeKey]*paceShape{}
		}
		shape = newPaceShape(key.gang, key.count)
		s.shapes[key] = shape
	}
	return shape
}

// discard removes the worker's oldest observations from their groups.
func (r *speedRating) discard(count int) {
	for _, o := range r.observations[:count] {
		m := o.member
		m.group.retire(o)
		o.member = nil
		m.runs = slices.DeleteFunc(m.runs, func(other *paceObservation) bool { return other == o })
		if len(m.runs) == 0 {
			m.group.members = slices.DeleteFunc(m.group.members, func(other *groupMember) bool { return other == m })
		}
	}
	r.observations = slices.Delete(r.observations, 0, count)
}

// retire adds the observation to the past of its group unless it is an outlier.
func (g *paceGroup) retire(o *paceObservation) {
	r := &o.member.worker.rating
	value := o.logPace - r.logSpeed
	if math.Abs(value-g.centre) > -math.Log(outlierRatio) {
		return
	}
	precision := 1 / (o.variance + g.shape.noise + r.err*r.err)
	g.past.value = (g.past.precision*g.past.value + precision*value) / (g.past.precision + precision)
	g.past.precision += precision
	g.pastRuns++
}

// expire removes the observations that are too old, and the groups and shapes without observations.
func (s *speedRatings) expire(now time.Time) {
	for _, g := range s.groups {
		for _, m := range slices.Clone(g.members) {
			m.worker.rating.expire(now)
		}
	}
	used := map[*paceShape]bool{}
	s.groups = slices.DeleteFunc(s.groups, func(g *paceGroup) bool {
		if len(g.members) == 0 {
			delete(s.groupByKey, g.key)
			return true
		}
		used[g.shape] = true
		return false
	})
	for key, shape := range s.shapes {
		if !used[shape] {
			delete(s.shapes, key)
		}
	}
}

// expire removes the worker's observations that do not count any more.
func (r *speedRating) expire(now time.Time) {
	if now.Sub(r.observedAt) >= ratingPeriod {
		r.remember(r.logSpeed, r.err)
		r.discard(len(r.observations))
	}
}

// weigh sets the weights of the worker's observations.
func (r *speedRating) weigh() {
	for i, o := range r.observations {
		age := r.observedAt.Sub(o.observedAt).Seconds() / fadeTime.Seconds()
		later := float64(len(r.observations)-1-i) / fadeRuns
		o.weight = math.Exp2(-min(age, later))
	}
}

// observePace records the pace of a run from its progress.
func (a *Arranger) observePace(now time.Time, p *place) {
	if a.isCold(now, p.worker) {
		// The next pace begins with the first report after that.
		p.pace.since = time.Time{}
		return
	}
	if p.state == placeRunning && p.pace.record(now, p.percent) && p.showsSpeed() {
		a.speeds.observe(now, p, p.pace.current*a.remoteSlowdown(p), p.pace.logError)
	}
}

// observeEndPace records the pace of a run that ended before its progress gave one. The end of a gang's member tells the
// pace of the slowest one, and a run that went on from a checkpoint is not a whole one.
func (a *Arranger) observeEndPace(now time.Time, p *place) {
	step := p.task.stage.step
	if p.observation != nil || p.startedAt.IsZero() || p.cold || p.state != placeRunning || step.Gang || step.Checkpoints || !p.showsSpeed() {
		return
	}
	elapsed := now.Sub(p.startedAt)
	if elapsed < paceWindow {
		return
	}
	a.speeds.observe(now, p, wholePercent/elapsed.Seconds()*a.remoteSlowdown(p), endDelay.Seconds()/elapsed.Seconds())
}

// showsSpeed reports whether the pace of the run tells the speed of its worker: that of long-running tasks has no
// meaning, and that of best-effort tasks depends on the other ones.
func (p *place) showsSpeed() bool {
	return !p.task.stage.step.LongRunning && !p.task.stage.step.BestEffort
}

// remoteSlowdown returns the factor by which the run takes longer than on its data rack.
func (a *Arranger) remoteSlowdown(p *place) float64 {
	if rack := p.task.stage.step.DataRack; rack != "" && rack != p.worker.Rack {
		return a.options.RemoteFactor
	}
	return 1
}
