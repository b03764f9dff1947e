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

// Policy is a scheduling policy under test; NextTick returns the time at which it needs the next Ticked event, if any.
type Policy struct {
	Name     string
	Apply    func(now time.Time, event scheduler.Event) []scheduler.Decision
	NextTick func() (time.Time, bool)
}

// Latencies and intervals of the simulated workers; failingRunTime is the time after which an attempt on a failing worker fails.
const (
	startLatency      = 50 * time.Millisecond
	stopLatency       = 500 * time.Millisecond
	checkpointLatency = 3 * time.Second
	failingRunTime    = 2 * time.Second
	sampleEvery       = time.Minute
	checkpointEvery   = 10 * time.Minute
)

// timedEvent is a callback scheduled at a virtual time; sequence orders those of the same time.
type timedEvent struct {
	at       time.Time
	sequence int
	run      func()
}

// eventQueue is a priority queue of events by time.
type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, k int) bool {
	if c := q[i].at.Compare(q[k].at); c != 0 {
		return c < 0
	}
	return q[i].sequence < q[k].sequence
}

func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if event, ok := x.(timedEvent); ok {
		*q = append(*q, event)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// runningAttempt is an attempt on the simulated workers; its work since from is not yet accounted for, and checkpointedAt is the last checkpoint.
type runningAttempt struct {
	attempt        int
	members        []scheduler.Member
	from           time.Time
	checkpointedAt time.Time
}

// jobState is the driver's state of one job; covered means that the guarantees covered it on submission.
type jobState struct {
	arrival
	remaining  time.Duration
	covered    bool
	firstStart time.Time
	current    *runningAttempt
	done       bool
}

// driver is a discrete-event simulation of a fleet under a policy.
type driver struct {
	scenario        Scenario
	policy          Policy
	random          *rand.Rand
	now             time.Time
	eventQueue      eventQueue
	sequence        int
	jobs            map[string]*jobState
	submissionOrder []*jobState
	free            map[string]int
	workerInfo      map[string]scheduler.Worker
	up              map[string]bool
	storeAvailable  bool
	failing         string
	demand          map[string]int
	report          *collector
	nextTickAt      time.Time
}

// Run simulates the scenario with the workload of the seed under the policy and returns the metrics.
func Run(scenario Scenario, policy Policy, seed uint64) Report {
	d := &driver{
		scenario:       scenario,
		policy:         policy,
		random:         rand.New(rand.NewPCG(seed, 99)),
		now:            epoch,
		jobs:           map[string]*jobState{},
		free:           map[string]int{},
		workerInfo:     map[string]scheduler.Worker{},
		up:             map[string]bool{},
		storeAvailable: true,
		demand:         map[string]int{},
		report:         newCollector(scenario),
	}
	for _, w := range scenario.Workers {
		d.workerInfo[w.ID] = w
		d.addWorker(w)
	}
	d.scheduleFaults()
	for _, a := range scenario.arrivals(seed) {
		d.schedule(epoch.Add(a.at), func() { d.submit(a) })
	}
	for at := sampleEvery; at < scenario.Length; at += sampleEvery {
		d.schedule(epoch.Add(at), d.sampleUnusableShare)
	}
	end := epoch.Add(scenario.Length + 12*time.Hour)
	for len(d.eventQueue) > 0 {
		next, ok := heap.Pop(&d.eventQueue).(timedEvent)
		if !ok || next.at.After(end) {
			break
		}
		d.now = next.at
		next.run()
	}
	return d.report.finish(policy.Name, seed, d.submissionOrder)
}

func (d *driver) schedule(at time.Time, run func()) {
	d.sequence++
	heap.Push(&d.eventQueue, timedEvent{at: at, sequence: d.sequence, run: run})
}

func (d *driver) addWorker(w scheduler.Worker) {
	d.up[w.ID] = true
	d.free[w.ID] = w.Accelerators
	d.apply(scheduler.WorkerReported{Worker: w})
}

func (d *driver) scheduleFaults() {
	s := d.scenario
	if s.FailingFor > 0 {
		failing := s.Workers[s.FailingWorker].ID
		d.schedule(epoch.Add(s.FailingFrom), func() { d.failing = failing })
		d.schedule(epoch.Add(s.FailingFrom+s.FailingFor), func() { d.failing = "" })
	}
	if s.LostRack != "" {
		d.schedule(epoch.Add(s.LostAt), d.loseRack)
		d.schedule(epoch.Add(s.LostAt+s.LostFor), d.restoreRack)
	}
	if s.StoreUnavailableFor > 0 {
		d.schedule(epoch.Add(s.StoreUnavailableAt), func() { d.setStoreAvailable(false) })
		d.schedule(epoch.Add(s.StoreUnavailableAt+s.StoreUnavailableFor), func() { d.setStoreAvailable(true) })
	}
	for at := s.CancelEvery; s.CancelEvery > 0 && at < s.Length; at += s.CancelEvery {
		d.schedule(epoch.Add(at), d.cancelWaitingJobs)
	}
}

func (d *driver) setStoreAvailable(up bool) {
	d.storeAvailable = up
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

func (d *driver) restoreRack() {
	for _, w := range d.rackWorkers() {
		w.Incarnation += "+"
		d.addWorker(w)
	}
}

// cancelWaitingJobs cancels a random share of the jobs that wait for a start.
func (d *driver) cancelWaitingJobs() {
	for _, j := range d.submissionOrder {
		if !j.done && j.current == nil && d.random.Float64() < d.scenario.CancelShare {
			j.done = true
			d.report.cancelled++
			d.subtractDemand(j)
			d.apply(scheduler.JobCancelled{ID: j.job.ID})
		}
	}
}

// submit submits a job to the policy; during a store outage, one that is not urgent cannot be recorded and is retried every 30 s.
func (d *driver) submit(a arrival) {
	class, _, _ := d.scenario.Document.Class(a.job.Class)
	if !d.storeAvailable && !class.Urgent() {
		d.schedule(d.now.Add(30*time.Second), func() {
			a.job.Submitted = d.now
			d.submit(a)
		})
		return
	}
	j := &jobState{arrival: a, remaining: a.runTime}
	d.demand[a.job.Organisation] += a.job.Shape.Accelerators
	j.covered = d.covered(j)
	d.jobs[a.job.ID] = j
	d.submissionOrder = append(d.submissionOrder, j)
	d.apply(scheduler.JobSubmitted{Job: a.job})
}

// covered reports whether the job and all unfinished jobs of its organisation together fit into the organisation's guarantees.
func (d *driver) covered(j *jobState) bool {
	if j.job.Shape.Accelerators == 0 {
		return false
	}
	o, _, _ := d.scenario.Document.Organisation(j.job.Organisation)
	workerSize := d.scenario.Document.WorkerSize()
	tracker := packer.NewCapacityTracker(workerSize)
	worker := 0
	for i, g := range o.Guarantees {
		members, perWorker := g.Members(workerSize)
		for n := range g.Count {
			for range members {
				tracker.AddWorker(worker, i*10_000+n, perWorker)
				worker++
			}
		}
	}
	for _, other := range d.submissionOrder {
		if !other.done && other.job.Organisation == j.job.Organisation {
			tracker.AddDemand(other.job.Shape, 1)
		}
	}
	tracker.AddDemand(j.job.Shape, 1)
	return tracker.Packs()
}

func (d *driver) subtractDemand(j *jobState) {
	d.demand[j.job.Organisation] -= j.job.Shape.Accelerators
}

// apply passes an event to the policy, measures its time and heap allocations, executes the decisions and schedules the next tick.
func (d *driver) apply(event scheduler.Event) {
	var before, after runtime.MemStats
	measured := d.report.events%allocationSampleEvery == 0
	if measured {
		runtime.ReadMemStats(&before)
	}
	began := time.Now()
	decisions := d.policy.Apply(d.now, event)
	d.report.recordDecisionTime(time.Since(began))
	if measured {
		runtime.ReadMemStats(&after)
		d.report.recordAllocations(after.Mallocs - before.Mallocs)
	}
	for _, decision := range decisions {
		d.execute(decision)
	}
	if at, ok := d.policy.NextTick(); ok && (d.nextTickAt.Before(d.now) || at.Before(d.nextTickAt) || d.nextTickAt.Equal(d.now)) {
		d.nextTickAt = at
		if at.Before(d.now) {
			d.nextTickAt = d.now
		}
		d.schedule(d.nextTickAt, func() { d.apply(scheduler.Ticked{}) })
	}
}

// execute carries out a decision of the policy on the simulated workers.
func (d *driver) execute(decision scheduler.Decision) {
	switch e := decision.(type) {
	case scheduler.Started:
		d.start(e)
	case scheduler.Stopped:
		d.stop(e)
	case scheduler.Requeued:
		d.releaseWorkers(d.jobs[e.ID])
	case scheduler.Refused:
		d.end(d.jobs[e.ID], scheduler.OutcomeRefused)
	case scheduler.Ended:
		d.end(d.jobs[e.ID], e.Outcome)
	case scheduler.Admitted, scheduler.Throttled, scheduler.WorkerChanged, scheduler.GuaranteeChanged:
	}
}

func (d *driver) start(e scheduler.Started) {
	j := d.jobs[e.Job.ID]
	for _, m := range e.Members {
		d.free[m.Worker] -= len(m.Accelerators)
		if d.free[m.Worker] < 0 || !d.up[m.Worker] {
			d.report.breaches++
		}
	}
	r := &runningAttempt{attempt: e.Attempt, members: e.Members, from: d.now.Add(startLatency)}
	r.checkpointedAt = r.from
	j.current = r
	if j.firstStart.IsZero() {
		j.firstStart = d.now
	}
	d.schedule(r.from, func() {
		if j.current == r {
			d.apply(scheduler.AttemptStarted{ID: j.job.ID, Attempt: r.attempt})
		}
	})
	remaining := j.remaining
	for _, m := range e.Members {
		if m.Worker == d.failing {
			d.schedule(r.from.Add(failingRunTime), func() { d.fail(j, r, m.Worker) })
			return
		}
	}
	d.schedule(r.from.Add(remaining), func() { d.finish(j, r) })
	class, _, _ := d.scenario.Document.Class(j.job.Class)
	if class.Checkpointable {
		d.scheduleCheckpoint(j, r)
	}
}

func (d *driver) scheduleCheckpoint(j *jobState, r *runningAttempt) {
	d.schedule(d.now.Add(checkpointEvery), func() {
		if j.current != r {
			return
		}
		r.checkpointedAt = d.now
		d.apply(scheduler.AttemptCheckpointed{ID: j.job.ID, Attempt: r.attempt})
		d.scheduleCheckpoint(j, r)
	})
}

func (d *driver) finish(j *jobState, r *runningAttempt) {
	if j.current != r {
		return
	}
	d.apply(scheduler.AttemptFinished{ID: j.job.ID, Attempt: r.attempt, Outcome: scheduler.OutcomeSucceeded})
}

func (d *driver) fail(j *jobState, r *runningAttempt, worker string) {
	if j.current == r {
		d.apply(scheduler.AttemptFinished{ID: j.job.ID, Attempt: r.attempt, Outcome: scheduler.OutcomeFailed, Worker: worker})
	}
}

// stop ends an attempt after stopLatency or checkpointLatency. A stop with a checkpoint keeps all progress; one without keeps that up to the last checkpoint, or none if the class is not checkpointable.
func (d *driver) stop(e scheduler.Stopped) {
	j := d.jobs[e.ID]
	r := j.current
	if r == nil {
		return
	}
	latency := stopLatency
	if e.Checkpoint {
		latency = checkpointLatency
	}
	if len(e.Members) < len(r.members) {
		d.recordProgress(j, r, r.checkpointedAt)
	}
	d.schedule(d.now.Add(latency), func() {
		if j.current != r {
			return
		}
		savedUntil := r.checkpointedAt
		class, _, _ := d.scenario.Document.Class(j.job.Class)
		if e.Checkpoint {
			savedUntil = d.now
		} else if !class.Checkpointable {
			savedUntil = r.from
		}
		d.recordProgress(j, r, savedUntil)
		d.apply(scheduler.AttemptStopped{ID: j.job.ID, Attempt: r.attempt, Checkpoint: e.Checkpoint})
	})
}

// recordProgress subtracts the work up to savedUntil from the remaining run time and counts the work after it as wasted.
func (d *driver) recordProgress(j *jobState, r *runningAttempt, savedUntil time.Time) {
	if savedUntil.After(r.from) {
		j.remaining -= min(j.remaining, savedUntil.Sub(r.from))
		r.from = savedUntil
		r.checkpointedAt = savedUntil
	}
	if lost := d.now.Sub(savedUntil); lost > 0 {
		d.report.wastedSeconds += lost.Seconds() * float64(max(1, j.job.Shape.Accelerators))
		r.from = d.now
		r.checkpointedAt = d.now
	}
}

// releaseWorkers frees the accelerators of the job's current attempt.
func (d *driver) releaseWorkers(j *jobState) {
	if j == nil || j.current == nil {
		return
	}
	for _, m := range j.current.members {
		if d.up[m.Worker] {
			d.free[m.Worker] = min(d.workerInfo[m.Worker].Accelerators, d.free[m.Worker]+len(m.Accelerators))
		}
	}
	j.current = nil
}

func (d *driver) end(j *jobState, outcome scheduler.Outcome) {
	d.releaseWorkers(j)
	if !j.done {
		j.done = true
		d.subtractDemand(j)
	}
	d.report.recordEnd(d.now, j, outcome)
}

// sampleUnusableShare records the share of free accelerators that the shapes of guarantees and waiting jobs cannot use, and drops jobs that have ended.
func (d *driver) sampleUnusableShare() {
	demand := map[packer.Shape]int{}
	for _, o := range d.scenario.Document.Organisations {
		for _, g := range o.Guarantees {
			demand[g.Shape] += g.Accelerators * g.Count
		}
	}
	for _, j := range d.submissionOrder {
		if !j.done && j.current == nil && j.job.Shape.Accelerators > 0 && j.job.Shape.Accelerators < 1024 {
			demand[j.job.Shape] += j.job.Shape.Accelerators
		}
	}
	d.report.recordUnusableShare(d.unusableShare(demand))
	d.submissionOrder = slices.DeleteFunc(d.submissionOrder, func(j *jobState) bool {
		if j.done {
			d.report.countRemoved(j)
		}
		return j.done
	})
}

// unusableShare returns the share of free accelerators that cannot be used, averaged over the shapes with the accelerators demanded in each as weights.
func (d *driver) unusableShare(demand map[packer.Shape]int) float64 {
	workerSize := d.scenario.Document.WorkerSize()
	free := 0
	idleWorkers := map[string]int{}
	for id, n := range d.free {
		if !d.up[id] {
			continue
		}
		free += n
		if n == workerSize {
			idleWorkers[d.workerInfo[id].Rack]++
		}
	}
	if free == 0 {
		return 0
	}
	total, unusable := 0.0, 0.0
	for shape, weight := range demand {
		usable := d.usable(shape, workerSize, idleWorkers)
		total += float64(weight)
		unusable += float64(weight) * float64(free-usable) / float64(free)
	}
	if total == 0 {
		return 0
	}
	return unusable / total
}

// usable returns how many free accelerators jobs of the shape could occupy; idleWorkers has the number of idle workers of full size in each rack.
func (d *driver) usable(shape packer.Shape, workerSize int, idleWorkers map[string]int) int {
	usable := 0
	members, perWorker := shape.Members(workerSize)
	if shape.Within == packer.WithinRack {
		for _, n := range idleWorkers {
			usable += n / members * members * perWorker
		}
		return usable
	}
	for id, n := range d.free {
		if d.up[id] && perWorker > 0 {
			usable += n / perWorker * perWorker
		}
	}
	return usable
}
