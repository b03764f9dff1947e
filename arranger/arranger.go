package arranger

import (
	"time"

	"github.com/snipelift/snipelift/estimator"
)

// Options configure an Arranger; the zero value is usable.
type Options struct {
	// RunBase is an upper bound of the run numbers that previous owners have used; new runs get higher numbers.
	RunBase int64
	// WorkersRecorded means that previous owners recorded the workers of a job before they sent its starts there, so
	// that an inherited job waits for the reports of these only.
	WorkersRecorded bool
	// StopTime is the maximum time that a worker takes to stop a task.
	StopTime time.Duration
	// RemoteFactor is the factor by which a task runs longer outside its data rack.
	RemoteFactor float64
	// ColdOverage and ColdSlack bound the starts on a cold worker, together with the rate of its service; a ColdOverage below 1 counts as 1.
	ColdOverage float64
	ColdSlack   int
	// Log is called to log a state change or a decision; nil disables logging.
	Log func(message string, details ...any)
}

// Arranger schedules the jobs of a service on its workers.
type Arranger struct {
	options       Options
	jobs          map[string]*job
	active        []*job
	workers       map[string]*worker
	sortedWorkers []*worker
	guaranteed    map[string]int
	orders        Orders
	dirty         map[string]bool
	// awaitedReports maps workers on which a previous owner may have started tasks to the time when the last
	// lease there has expired, or to the zero time if they have reported and omitted ended runs.
	awaitedReports map[string]time.Time
	// silentLosses holds workers that were removed without an answer, trials the tasks with confirmed runs of a previous owner on a worker, both by
	// the ID of the worker.
	silentLosses map[string]silentLoss
	trials       map[string][]*task
	// losses are the recent losses of contact with workers.
	losses []workerLoss
	// inheritedCrashes holds the workers that have restarted before they reported to this owner.
	inheritedCrashes map[string]Trial
	// hasUnknownWorkers means that a job was added whose record does not tell its workers.
	hasUnknownWorkers bool
	claims            [][]*place
	// urgentUsage records the recent use of accelerators by urgent work.
	urgentUsage usageHistory
	// runTimes is what was learned of the run times of tasks.
	runTimes  *estimator.Estimator
	slowdowns typicalSlowdowns
	// speeds rates the speed of the workers.
	speeds speedRatings
	// quarantineLimited is the set of services of which more workers failed than quarantine may exclude.
	quarantineLimited map[string]bool
	// evacuation are the evacuated zones, unknownZones those of them without a worker.
	evacuation   Evacuation
	unknownZones map[string]bool
	// startsHeld means that no task is started, since the evacuated zones are not known.
	startsHeld bool
	// coldStarts describes the services whose workers are slow after their start.
	coldStarts map[string]ColdStart
	// changed is set when an event since the last planning pass may allow new placements.
	changed  bool
	sequence int
	// waits describes the stages that wait, as of the latest search for them.
	waits   Waits
	waitLog waitLog
	// fairness describes the units that the latest pass deferred.
	fairness fairness
	// onSkip is called for each unit that a pass does not search for; it may be nil.
	onSkip func(ps *pass, u unit)
	// counts are those of the events since the arranger was created.
	counts Counts
}

// New returns an Arranger without jobs and workers.
func New(options Options) *Arranger {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	options.RemoteFactor = max(1, options.RemoteFactor)
	options.ColdOverage = max(1, options.ColdOverage)
	a := &Arranger{
		options:        options,
		jobs:           map[string]*job{},
		workers:        map[string]*worker{},
		guaranteed:     map[string]int{},
		dirty:          map[string]bool{},
		awaitedReports: map[string]time.Time{},
		silentLosses:   map[string]silentLoss{},
		trials:         map[string][]*task{},
		runTimes:       estimator.New(),

		inheritedCrashes: map[string]Trial{},
	}
	a.speeds.onChange = a.recordSpeedChange
	return a
}

// SetGuarantees sets the number of accelerators guaranteed to the urgent jobs of each organisation.
func (a *Arranger) SetGuarantees(guaranteed map[string]int) { a.guaranteed = guaranteed }

// SetPolicies replaces the policies of active jobs by queue; jobs of queues that are not listed keep theirs.
func (a *Arranger) SetPolicies(policies map[string]Policy) {
	for _, j := range a.active {
		if p, ok := policies[j.Queue]; ok {
			j.Policy = p
		}
	}
}

// AddJob adds an accepted job with its recorded progress; inherited means that a previous owner may have
// started tasks of it.
func (a *Arranger) AddJob(now time.Time, spec Job, progress Progress, inherited bool) {
	if a.jobs[spec.ID] != nil {
		return
	}
	a.sequence++
	j := &job{Job: spec, state: Queued, stageByKey: map[[2]int]*stage{}, inherited: inherited, sequence: a.sequence}
	a.jobs[j.ID] = j
	if progress.State.Final() {
		j.state = progress.State
		j.Steps = nil
		return
	}
	if inherited {
		j.inheritedWorkers = progress.Workers
		j.workersUnknown = progress.WorkersUnknown || !a.options.WorkersRecorded
		if j.workersUnknown {
			a.dirty[j.ID] = true
			a.hasUnknownWorkers = true
		}
	}
	j.criticalPath = criticalPathOf(j.Steps, j.declared)
	j.deadline = j.Accepted.Add(time.Duration(j.Policy.Stretch*float64(j.criticalPath)) + j.Policy.Objective)
	a.active = append(a.active, j)
	a.changed = true
	a.createDueOccurrences(j, now)
	a.createOccurrencesThrough(j, progress.lastOccurrence(newTaskNumbers(j.Steps)))
	a.restore(j, progress)
	a.markReadyStages(j, now)
	a.finishIfDone(j)
}

// criticalPathOf returns the duration of the critical path through the steps, given that of each.
func criticalPathOf(steps []Step, duration func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += duration(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// createDueOccurrences creates the stages of all occurrences that are due at now.
func (a *Arranger) createDueOccurrences(j *job, now time.Time) {
	for j.created < max(1, j.Occurrences) {
		if j.Occurrences > 0 && now.Before(j.FirstDue.Add(time.Duration(j.created)*j.Interval)) {
			return
		}
		j.createNextOccurrence()
	}
}

// createOccurrencesThrough creates the stages of all occurrences up to the given one, even if they are not due
// yet: a previous owner may have started them by a clock that was ahead.
func (a *Arranger) createOccurrencesThrough(j *job, occurrence int) {
	for j.created <= occurrence && j.created < max(1, j.Occurrences) {
		j.createNextOccurrence()
	}
}

// createNextOccurrence creates the stages of the next occurrence.
func (j *job) createNextOccurrence() {
	for stepNumber, step := range j.Steps {
		s := &stage{job: j, occurrence: j.created, stepNumber: stepNumber, step: step, unfinished: step.Count}
		for i := range step.Count {
			s.tasks = append(s.tasks, &task{stage: s, index: i})
		}
		j.stages = append(j.stages, s)
		j.stageByKey[[2]int{j.created, stepNumber}] = s
	}
	j.created++
}

// markReadyStages sets the ready time of the stages whose preceding steps have completed.
func (a *Arranger) markReadyStages(j *job, now time.Time) {
	for _, s := range j.stages {
		if !s.ready.IsZero() {
			continue
		}
		ready := true
		for _, before := range s.step.After {
			ready = ready && j.stageByKey[[2]int{s.occurrence, before}].unfinished == 0
		}
		if ready {
			s.ready = now
		}
	}
}

// finishIfDone ends a job as succeeded once all of its tasks are done.
func (a *Arranger) finishIfDone(j *job) {
	if j.state.Final() || j.created < max(1, j.Occurrences) {
		return
	}
	for _, s := range j.stages {
		if s.unfinished > 0 || s.step.LongRunning {
			return
		}
	}
	a.endJob(j, Succeeded, "all tasks done")
}

// endJob sets the final state of a job and stops its remaining runs.
func (a *Arranger) endJob(j *job, state State, reason string) {
	if j.state.Final() {
		return
	}
	j.state = state
	a.changed = true
	a.dirty[j.ID] = true
	a.options.Log("job ended", "job", j.ID, "queue", j.Queue, "state", state, "reason", reason)
	for _, s := range j.stages {
		for _, t := range s.tasks {
			if t.place != nil && (state != Succeeded || !t.done) {
				a.stop(t.place, reason)
			}
		}
	}
	a.runTimes.Forget(j.ID, len(j.Steps))
	j.estimates = nil
	j.stages = nil
	j.stageByKey = nil
	j.Steps = nil
	j.Payload = ""
	for i, other := range a.active {
		if other == j {
			a.active = append(a.active[:i], a.active[i+1:]...)
			break
		}
	}
}

// CancelJob cancels a job at its caller's request; it has no effect on a job that has ended.
func (a *Arranger) CancelJob(id string) {
	if j := a.jobs[id]; j != nil {
		a.endJob(j, Cancelled, "cancelled by its caller")
	}
}

// RemoveJob deletes a job that has ended.
func (a *Arranger) RemoveJob(id string) {
	if j := a.jobs[id]; j != nil && j.state.Final() {
		delete(a.jobs, id)
	}
}

// HasJob reports whether the job is known.
func (a *Arranger) HasJob(id string) bool { return a.jobs[id] != nil }

// TakeOrders returns and clears the orders decided since the last call.
func (a *Arranger) TakeOrders() Orders {
	o := a.orders
	a.orders = Orders{}
	return o
}

// TakeDirtyJobs returns and clears the IDs of the jobs whose progress has changed since the last call.
func (a *Arranger) TakeDirtyJobs() []string {
	ids := make([]string, 0, len(a.dirty))
	for id := range a.dirty {
		ids = append(ids, id)
	}
	clear(a.dirty)
	return ids
}

// NeedsPlan reports whether an event since the last call of Plan may allow new placements.
func (a *Arranger) NeedsPlan() bool { return a.changed }

// PendingJobs returns the number of jobs in each queue that are due and have not started a task.
func (a *Arranger) PendingJobs() map[string]int {
	counts := map[string]int{}
	for _, j := range a.active {
		if !j.started && j.created > 0 {
			counts[j.Queue]++
		}
	}
	return counts
}
