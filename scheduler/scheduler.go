package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/packer"
)

// Options configures a scheduler; the zero value is usable.
type Options struct {
	// Random returns numbers in [0, 1) for the jitter of retries; nil means a generator with a fixed seed.
	Random func() float64
	// MaxWaiting is the greatest number of queued jobs; zero means the default.
	MaxWaiting int
	// Checked makes Apply check all invariants after every event and panic if one is broken.
	Checked bool
}

const (
	defaultMaxWaiting = 50_000
	defaultSeed       = 1
)

func (o Options) withDefaults() Options {
	if o.MaxWaiting == 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(defaultSeed, defaultSeed)).Float64
	}
	return o
}

// Scheduler holds the scheduling state of one service; it is not safe for concurrent use.
type Scheduler struct {
	options  Options
	document documenter.Document
	// workerSize is the number of accelerators of the largest worker.
	workerSize int
	now        time.Time
	jobs       map[string]*job
	queue      queue
	workers    map[string]*worker
	workerList []*worker
	// racks holds the index of each rack; byRack and idleWorkers hold the workers and the number of idle workers by that index.
	racks       map[string]int
	byRack      [][]*worker
	idleWorkers []int
	cells       map[string][]*cell
	// brokenCells counts the cells of each guarantee that do not fit the usable workers.
	brokenCells map[guaranteeKey]int
	// tracker holds the supply of unbound accelerators and the demand of the cells that are not bound.
	tracker *packer.CapacityTracker
	// claims holds the jobs in phaseClaiming, oldest claim first.
	claims      []*job
	timers      timers
	reservation *reservation
	runTimes    runTimeEstimator
	budgets     map[string]*retryBudget
	// fullPass requests another attempt to place all queued jobs; otherwise only those of changedGroups are tried.
	fullPass         bool
	storeUnavailable bool
	changedGroups    map[groupKey]bool
	sequence         int
	decisions        []Decision
}

// New returns a scheduler for the document without workers or jobs.
func New(document documenter.Document, options Options) *Scheduler {
	s := &Scheduler{
		options:       options.withDefaults(),
		jobs:          map[string]*job{},
		workers:       map[string]*worker{},
		racks:         map[string]int{},
		brokenCells:   map[guaranteeKey]int{},
		runTimes:      runTimeEstimator{},
		budgets:       map[string]*retryBudget{},
		changedGroups: map[groupKey]bool{},
	}
	s.setDocument(document)
	s.decisions = nil
	return s
}

// Document returns the document in force.
func (s *Scheduler) Document() documenter.Document { return s.document }

// Apply handles one event at the given time and returns the resulting decisions in order.
func (s *Scheduler) Apply(now time.Time, event Event) []Decision {
	s.now = now
	s.decisions = nil
	s.handle(event)
	s.fireTimers()
	s.schedule()
	if s.options.Checked {
		s.assertInvariants(event)
	}
	return s.decisions
}

func (s *Scheduler) handle(event Event) {
	switch e := event.(type) {
	case JobSubmitted:
		s.submit(e)
	case JobAdopted:
		s.adoptRunning(e)
	case JobCancelled:
		s.cancel(e.ID)
	case AttemptStarted:
		s.confirmStart(e)
	case AttemptRefused:
		s.requeueRefused(e)
	case AttemptCheckpointed:
		s.saveCheckpoint(e)
	case AttemptStopped:
		s.finishStop(e)
	case AttemptFinished:
		s.finish(e)
	case WorkerReported:
		s.updateWorker(e)
	case WorkerSilent:
		s.markSilent(e.ID)
	case WorkerLost:
		s.removeWorker(e.ID)
	case UsageReported:
		s.checkMemoryUsage(e)
	case DocumentChanged:
		s.setDocument(e.Document)
	case StoreChanged:
		s.storeUnavailable = e.Unavailable
		s.fullPass = true
	case Ticked:
	}
}

func (s *Scheduler) emit(d Decision) { s.decisions = append(s.decisions, d) }

// attempt returns the job if the given attempt is its current one and has members, or nil.
func (s *Scheduler) attempt(id string, attempt int) *job {
	j := s.jobs[id]
	if j == nil || j.attempt != attempt || len(j.members) == 0 {
		return nil
	}
	return j
}

func (s *Scheduler) setDocument(d documenter.Document) {
	s.document = d
	s.workerSize = d.WorkerSize()
	s.queue.resize(len(d.Classes))
	for _, j := range s.jobs {
		s.reclassify(j)
	}
	s.rebind()
	s.fullPass = true
}

// reclassify applies the current document's rules for the job's class; a job whose class was removed keeps its old rules and comes last.
func (s *Scheduler) reclassify(j *job) {
	waiting := s.queue.remove(j)
	class, rank, ok := s.document.Class(j.Class)
	if ok {
		j.class = class
		j.rank = rank
	} else {
		j.rank = len(s.document.Classes) - 1
	}
	if waiting {
		s.queue.add(j)
	}
}

func (s *Scheduler) cancel(id string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	reason := Reason{Rule: RuleCancelled}
	switch j.phase {
	case phaseWaiting, phaseClaiming:
		s.end(j, OutcomeCancelled, ranBefore(j), reason)
	case phaseStarting, phaseRunning:
		s.stop(j, reason, false)
	case phaseStopping:
		j.stop = reason
	}
}

// ranBefore reports whether an earlier attempt of the waiting job started.
func ranBefore(j *job) Ran {
	switch {
	case j.attempt > 0:
		return DidRun
	case j.mayHaveRun:
		return RanUnknown
	default:
		return NotRun
	}
}

// end removes the job and reports its outcome.
func (s *Scheduler) end(j *job, outcome Outcome, ran Ran, reason Reason) {
	s.queue.remove(j)
	s.dropClaim(j)
	s.release(j)
	if s.reservation != nil && s.reservation.job == j {
		s.reservation = nil
	}
	delete(s.jobs, j.ID)
	s.fullPass = true
	s.emit(Ended{ID: j.ID, Outcome: outcome, Ran: ran, Reason: reason})
}

// requeue makes the job wait again, after the delay if there is one; its place in the queue still follows from its submit time.
func (s *Scheduler) requeue(j *job, delay time.Duration, reason Reason) {
	s.release(j)
	j.phase = phaseWaiting
	j.allocation = allocationNone
	j.throttled = false
	j.reason = reason
	s.fullPass = true
	s.emit(Requeued{ID: j.ID, Moves: j.moves, Reason: reason})
	if delay <= 0 {
		s.enqueue(j)
		return
	}
	j.notBefore = s.now.Add(delay)
	s.timers.set(j.notBefore, j.ID, timerRetry)
}

func (s *Scheduler) enqueue(j *job) {
	j.notBefore = time.Time{}
	s.queue.add(j)
	s.changedGroups[keyOf(j)] = true
}

// stop requests the end of an attempt; its accelerators stay occupied until the stop is confirmed.
func (s *Scheduler) stop(j *job, reason Reason, checkpoint bool) {
	j.phase = phaseStopping
	j.stop = reason
	for _, m := range j.members {
		m.worker.vacating += m.count
	}
	s.emit(Stopped{ID: j.ID, Attempt: j.attempt, Members: j.memberList(), Checkpoint: checkpoint, Reason: reason})
}

// release frees everything that the job occupies.
func (s *Scheduler) release(j *job) {
	for _, m := range j.members {
		s.vacate(j, m)
	}
	s.releaseAllocation(j)
	j.members = nil
}

func (s *Scheduler) vacate(j *job, m member) {
	if m.worker.jobs[j.ID] != j {
		return
	}
	delete(m.worker.jobs, j.ID)
	s.changeOccupied(m.worker, m.worker.occupied&^m.mask)
	if j.phase == phaseStopping {
		m.worker.vacating -= m.count
	}
	s.fullPass = true
}

// changeOccupied sets the mask of the worker's occupied units and updates the rack's number of idle workers.
func (s *Scheduler) changeOccupied(w *worker, mask uint64) {
	if w.occupied == 0 && mask != 0 {
		s.idleWorkers[w.rack]--
	}
	if w.occupied != 0 && mask == 0 {
		s.idleWorkers[w.rack]++
	}
	w.occupied = mask
}
