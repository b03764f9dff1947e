package measurer

import (
	"container/heap"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
)

// Policy is a scheduler under test; Alarm returns when it next wants a Ticked event.
type Policy struct {
	Name     string
	Apply    func(now time.Time, event scheduler.Event) []scheduler.Decision
	NextTick func() (time.Time, bool)
}

const (
	startLatency      = 50 * time.Millisecond
	stopLatency       = 500 * time.Millisecond
	checkpointLatency = 3 * time.Second
	badRunTime        = 2 * time.Second
	sampleEvery       = time.Minute
	checkpointEvery   = 10 * time.Minute
)

// happening is something that the driver has planned.
type happening struct {
	at       time.Time
	sequence int
	run      func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, k int) bool {
	if c := a[i].at.Compare(a[k].at); c != 0 {
		return c < 0
	}
	return a[i].sequence < a[k].sequence
}

func (a agenda) Swap(i, k int) { a[i], a[k] = a[k], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) {
	if h, ok := x.(happening); ok {
		*a = append(*a, h)
	}
}

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// running is an attempt on the driver's fake workers.
type running struct {
	attempt int
	members []scheduler.Member
	from    time.Time
	saved   time.Time
}

// life is what the driver knows of one job.
type life struct {
	arrival
	left    time.Duration
	covered bool
	first   time.Time
	current *running
	done    bool
}

type driver struct {
	scenario Scenario
	policy   Policy
	random   *rand.Rand
	now      time.Time
	agenda   agenda
	sequence int
	lives    map[string]*life
	order    []*life
	free     map[string]int
	info     map[string]scheduler.Worker
	up       map[string]bool
	storeUp  bool
	bad      string
	demand   map[string]int
	report   *collector
	alarmAt  time.Time
}

// Run plays the scenario's workload of the seed against the policy.
func Run(scenario Scenario, policy Policy, seed uint64) Report {
	d := &driver{
		scenario: scenario,
		policy:   policy,
		random:   rand.New(rand.NewPCG(seed, 99)),
		now:      epoch,
		lives:    map[string]*life{},
		free:     map[string]int{},
		info:     map[string]scheduler.Worker{},
		up:       map[string]bool{},
		storeUp:  true,
		demand:   map[string]int{},
		report:   newCollector(scenario),
	}
	for _, w := range scenario.Workers {
		d.info[w.ID] = w
		d.join(w)
	}
	d.planFaults()
	for _, a := range scenario.arrivals(seed) {
		d.plan(epoch.Add(a.at), func() { d.arrive(a) })
	}
	for at := sampleEvery; at < scenario.Length; at += sampleEvery {
		d.plan(epoch.Add(at), d.sample)
	}
	end := epoch.Add(scenario.Length + 12*time.Hour)
	for len(d.agenda) > 0 {
		next, ok := heap.Pop(&d.agenda).(happening)
		if !ok || next.at.After(end) {
			break
		}
		d.now = next.at
		next.run()
	}
	return d.report.finish(policy.Name, seed, d.order)
}

func (d *driver) plan(at time.Time, run func()) {
	d.sequence++
	heap.Push(&d.agenda, happening{at: at, sequence: d.sequence, run: run})
}

func (d *driver) join(w scheduler.Worker) {
	d.up[w.ID] = true
	d.free[w.ID] = w.Accelerators
	d.apply(scheduler.WorkerReported{Worker: w})
}

func (d *driver) planFaults() {
	s := d.scenario
	if s.FailingFor > 0 {
		bad := s.Workers[s.FailingWorker].ID
		d.plan(epoch.Add(s.FailingFrom), func() { d.bad = bad })
		d.plan(epoch.Add(s.FailingFrom+s.FailingFor), func() { d.bad = "" })
	}
	if s.LostRack != "" {
		d.plan(epoch.Add(s.LostAt), d.loseRack)
		d.plan(epoch.Add(s.LostAt+s.LostFor), d.returnRack)
	}
	if s.StoreUnavailableFor > 0 {
		d.plan(epoch.Add(s.StoreUnavailableAt), func() { d.setStore(false) })
		d.plan(epoch.Add(s.StoreUnavailableAt+s.StoreUnavailableFor), func() { d.setStore(true) })
	}
	for at := s.CancelEvery; s.CancelEvery > 0 && at < s.Length; at += s.CancelEvery {
		d.plan(epoch.Add(at), d.cancelWave)
	}
}

func (d *driver) setStore(up bool) {
	d.storeUp = up
	d.apply(scheduler.StoreChanged{Unavailable: !up})
}

func (d *driver) rackWorkers() []scheduler.Worker {
	var list []scheduler.Worker
	for _, w := range d.scenario.Workers {
		if w.Rack == d.scenario.LostRack {
			list = append(list, w)
		}
	}
	return list
}

func (d *driver) loseRack() {
	for _, w := range d.rackWorkers() {
		d.up[w.ID] = false
		d.apply(scheduler.WorkerLost{ID: w.ID})
	}
}

func (d *driver) returnRack() {
	for _, w := range d.rackWorkers() {
		w.Incarnation += "+"
		d.join(w)
	}
}

func (d *driver) cancelWave() {
	for _, l := range d.order {
		if !l.done && l.current == nil && d.random.Float64() < d.scenario.CancelShare {
			l.done = true
			d.report.cancelled++
			d.settleDemand(l)
			d.apply(scheduler.JobCancelled{ID: l.job.ID})
		}
	}
}

// arrive submits a job; what cannot be recorded is tried again after the outage.
func (d *driver) arrive(a arrival) {
	class, _, _ := d.scenario.Document.Class(a.job.Class)
	if !d.storeUp && !class.Urgent() {
		d.plan(d.now.Add(30*time.Second), func() {
			a.job.Submitted = d.now
			d.arrive(a)
		})
		return
	}
	l := &life{arrival: a, left: a.work}
	d.demand[a.job.Organisation] += a.job.Shape.Accelerators
	l.covered = d.covered(l)
	d.lives[a.job.ID] = l
	d.order = append(d.order, l)
	d.apply(scheduler.JobSubmitted{Job: a.job})
}

// covered reports whether everything that the organisation asks for at the moment fits into its guarantees.
func (d *driver) covered(l *life) bool {
	if l.job.Shape.Accelerators == 0 {
		return false
	}
	o, _, _ := d.scenario.Document.Organisation(l.job.Organisation)
	unit := d.scenario.Document.WorkerSize()
	ledger := packer.NewCapacityTracker(unit)
	worker := 0
	for i, g := range o.Guarantees {
		members, each := g.Members(unit)
		for n := range g.Count {
			for range members {
				ledger.AddWorker(worker, i*10_000+n, each)
				worker++
			}
		}
	}
	for _, other := range d.order {
		if !other.done && other.job.Organisation == l.job.Organisation {
			ledger.AddDemand(other.job.Shape, 1)
		}
	}
	ledger.AddDemand(l.job.Shape, 1)
	return ledger.Packs()
}

func (d *driver) settleDemand(l *life) {
	d.demand[l.job.Organisation] -= l.job.Shape.Accelerators
}

// apply gives an event to the policy, measures what that costs, and carries out the decisions.
func (d *driver) apply(event scheduler.Event) {
	var before, after runtime.MemStats
	measured := d.report.events%allocationSample == 0
	if measured {
		runtime.ReadMemStats(&before)
	}
	began := time.Now()
	decisions := d.policy.Apply(d.now, event)
	d.report.cost(time.Since(began))
	if measured {
		runtime.ReadMemStats(&after)
		d.report.allocations(after.Mallocs - before.Mallocs)
	}
	for _, decision := range decisions {
		d.take(decision)
	}
	if at, ok := d.policy.NextTick(); ok && (d.alarmAt.Before(d.now) || at.Before(d.alarmAt) || d.alarmAt.Equal(d.now)) {
		d.alarmAt = at
		if at.Before(d.now) {
			d.alarmAt = d.now
		}
		d.plan(d.alarmAt, func() { d.apply(scheduler.Ticked{}) })
	}
}

func (d *driver) take(decision scheduler.Decision) {
	switch e := decision.(type) {
	case scheduler.Started:
		d.start(e)
	case scheduler.Stopped:
		d.stop(e)
	case scheduler.Requeued:
		d.vacate(d.lives[e.ID])
	case scheduler.Refused:
		d.end(d.lives[e.ID], scheduler.OutcomeRefused)
	case scheduler.Ended:
		d.end(d.lives[e.ID], e.Outcome)
	case scheduler.Admitted, scheduler.Throttled, scheduler.WorkerChanged, scheduler.GuaranteeChanged:
	}
}

func (d *driver) start(e scheduler.Started) {
	l := d.lives[e.Job.ID]
	for _, m := range e.Members {
		d.free[m.Worker] -= len(m.Accelerators)
		if d.free[m.Worker] < 0 || !d.up[m.Worker] {
			d.report.breaches++
		}
	}
	r := &running{attempt: e.Attempt, members: e.Members, from: d.now.Add(startLatency)}
	r.saved = r.from
	l.current = r
	if l.first.IsZero() {
		l.first = d.now
	}
	d.plan(r.from, func() {
		if l.current == r {
			d.apply(scheduler.AttemptStarted{ID: l.job.ID, Attempt: r.attempt})
		}
	})
	left := l.left
	for _, m := range e.Members {
		if m.Worker == d.bad {
			d.plan(r.from.Add(badRunTime), func() { d.fail(l, r, m.Worker) })
			return
		}
	}
	d.plan(r.from.Add(left), func() { d.finish(l, r) })
	class, _, _ := d.scenario.Document.Class(l.job.Class)
	if class.Checkpointable {
		d.planCheckpoint(l, r)
	}
}

func (d *driver) planCheckpoint(l *life, r *running) {
	d.plan(d.now.Add(checkpointEvery), func() {
		if l.current != r {
			return
		}
		r.saved = d.now
		d.apply(scheduler.AttemptCheckpointed{ID: l.job.ID, Attempt: r.attempt})
		d.planCheckpoint(l, r)
	})
}

func (d *driver) finish(l *life, r *running) {
	if l.current != r {
		return
	}
	d.apply(scheduler.AttemptFinished{ID: l.job.ID, Attempt: r.attempt, Outcome: scheduler.OutcomeSucceeded})
}

func (d *driver) fail(l *life, r *running, worker string) {
	if l.current == r {
		d.apply(scheduler.AttemptFinished{ID: l.job.ID, Attempt: r.attempt, Outcome: scheduler.OutcomeFailed, Worker: worker})
	}
}

// stop ends an attempt after a while; a checkpoint keeps all progress, without one what was saved before is kept.
func (d *driver) stop(e scheduler.Stopped) {
	l := d.lives[e.ID]
	r := l.current
	if r == nil {
		return
	}
	latency := stopLatency
	if e.Checkpoint {
		latency = checkpointLatency
	}
	if len(e.Members) < len(r.members) {
		d.loseProgress(l, r, r.saved)
	}
	d.plan(d.now.Add(latency), func() {
		if l.current != r {
			return
		}
		kept := r.saved
		class, _, _ := d.scenario.Document.Class(l.job.Class)
		if e.Checkpoint {
			kept = d.now
		} else if !class.Checkpointable {
			kept = r.from
		}
		d.loseProgress(l, r, kept)
		d.apply(scheduler.AttemptStopped{ID: l.job.ID, Attempt: r.attempt, Checkpoint: e.Checkpoint})
	})
}

// loseProgress accounts for the work that an attempt did after the time up to which it is kept.
func (d *driver) loseProgress(l *life, r *running, kept time.Time) {
	if kept.After(r.from) {
		l.left -= min(l.left, kept.Sub(r.from))
		r.from = kept
		r.saved = kept
	}
	if lost := d.now.Sub(kept); lost > 0 {
		d.report.wasted += lost.Seconds() * float64(max(1, l.job.Shape.Accelerators))
		r.from = d.now
		r.saved = d.now
	}
}

func (d *driver) vacate(l *life) {
	if l == nil || l.current == nil {
		return
	}
	for _, m := range l.current.members {
		if d.up[m.Worker] {
			d.free[m.Worker] = min(d.info[m.Worker].Accelerators, d.free[m.Worker]+len(m.Accelerators))
		}
	}
	l.current = nil
}

func (d *driver) end(l *life, outcome scheduler.Outcome) {
	d.vacate(l)
	if !l.done {
		l.done = true
		d.settleDemand(l)
	}
	d.report.ended(d.now, l, outcome)
}

// sample measures how much of what is free cannot be used by any shape that is guaranteed or waits.
func (d *driver) sample() {
	demand := map[packer.Shape]int{}
	for _, o := range d.scenario.Document.Organisations {
		for _, g := range o.Guarantees {
			demand[g.Shape] += g.Accelerators * g.Count
		}
	}
	for _, l := range d.order {
		if !l.done && l.current == nil && l.job.Shape.Accelerators > 0 && l.job.Shape.Accelerators < 1024 {
			demand[l.job.Shape] += l.job.Shape.Accelerators
		}
	}
	d.report.fragmentation(d.unusableShare(demand))
	d.order = slices.DeleteFunc(d.order, func(l *life) bool {
		if l.done {
			d.report.keep(l)
		}
		return l.done
	})
}

// unusableShare weighs each shape by the accelerators that are asked for in it.
func (d *driver) unusableShare(demand map[packer.Shape]int) float64 {
	unit := d.scenario.Document.WorkerSize()
	free := 0
	wholes := map[string]int{}
	for id, n := range d.free {
		if !d.up[id] {
			continue
		}
		free += n
		if n == unit {
			wholes[d.info[id].Rack]++
		}
	}
	if free == 0 {
		return 0
	}
	total, unusable := 0.0, 0.0
	for shape, weight := range demand {
		usable := d.usable(shape, unit, wholes)
		total += float64(weight)
		unusable += float64(weight) * float64(free-usable) / float64(free)
	}
	if total == 0 {
		return 0
	}
	return unusable / total
}

// usable returns how many free accelerators copies of the shape could cover.
func (d *driver) usable(shape packer.Shape, unit int, wholes map[string]int) int {
	usable := 0
	members, each := shape.Members(unit)
	if shape.Within == packer.WithinRack {
		for _, n := range wholes {
			usable += n / members * members * each
		}
		return usable
	}
	for id, n := range d.free {
		if d.up[id] && each > 0 {
			usable += n / each * each
		}
	}
	return usable
}
