package arranger

import (
	"slices"
	"time"

	"github.com/snipelift/snipelift/estimator"
)

// placeState is the state of a placement.
type placeState uint8

const (
	// placeClaimed holds capacity for a task until the runs that it preempts have ended.
	placeClaimed placeState = iota
	// placeStarting means that a start was ordered and its outcome is not known yet.
	placeStarting
	placeRunning
	// placeStopping means that a stop was ordered; the run uses its capacity until the worker reports the end.
	placeStopping
)

// place is the placement of a task on a worker: a run, or capacity claimed for one.
type place struct {
	task   *task
	worker *worker
	run    int64
	state  placeState
	// placedAt is when the capacity was claimed, the start was ordered or an adopted run was found.
	placedAt time.Time
	// confirmedAt is when the worker confirmed the latest order; reports requested earlier may not reflect it.
	confirmedAt time.Time
	// startedAt is when the worker confirmed the start; zero for an adopted run.
	startedAt time.Time
	// runningSince is when the start was confirmed or a report first listed the run, zero for an adopted run. resumed means
	// that the run continues from a checkpoint.
	runningSince time.Time
	resumed      bool
	// cold means that the worker was cold when the start was confirmed or at a report of the run since, so that its run time tells
	// neither the work nor the speed.
	cold bool
	// estimate is the estimated work at the placement; nil if unknown.
	estimate *estimator.Estimate
	// awaitUntil is when the run is stopped if capacity that it uses is still claimed then; zero if no claim waits for it.
	awaitUntil time.Time
	// awaits are the runs for whose end the claim waits, and those of the other members of its gang.
	awaits  []*place
	percent int
	// progressedAt is when the percentage last rose; firstProgressAt is when it first was above zero, at
	// firstPercent.
	progressedAt    time.Time
	firstProgressAt time.Time
	firstPercent    int
	// requestedAt is when the latest report that lists the run was requested.
	requestedAt time.Time
	// stopOrderedAt is when the latest stop was ordered, stoppingSince when the first one was.
	stopOrderedAt, stoppingSince time.Time
	pace                         pace
	// observation is the observed pace of the run; nil if there is none.
	observation *paceObservation
	// adopted means that a previous owner started the run.
	adopted bool
	// fencedOff means that the run was started on an earlier incarnation of the worker, so that it exists only if the present one lists it.
	fencedOff bool
	reason    string
}

type task struct {
	stage       *stage
	cachedLabel string
	index       int
	done        bool
	// awaited means that a claim of the task has waited for a run since its latest start.
	awaited bool
	place   *place
	// lastRun is the highest run number used so far.
	lastRun int64
	// failedRuns are the numbers of the failed runs; failures may be reported out of order and more than once.
	failedRuns []int64
	checkpoint string
	// failedOn is the set of workers on which the task failed.
	failedOn map[string]bool
	// crashes are the incarnations of workers, as WORKER@INCARNATION, that crashed under suspected runs of the task.
	crashes []string
	// trial is a confirmed run of the task by a previous owner of which it is not known whether it crashed the worker.
	trial *Trial
}

func (t *task) name() TaskName {
	return TaskName{Job: t.stage.job.ID, Occurrence: t.stage.occurrence, Step: t.stage.stepNumber, Index: t.index}
}

// label returns the text form of the task's name, which is cached.
func (t *task) label() string {
	if t.cachedLabel == "" {
		t.cachedLabel = t.name().String()
	}
	return t.cachedLabel
}

// stage is one step of one occurrence of a job.
type stage struct {
	job        *job
	occurrence int
	stepNumber int
	step       Step
	tasks      []*task
	unfinished int
	// ready is when the preceding steps completed; zero before that.
	ready time.Time
	// noRoomSince is when a pass first found no room for the stage since its last placement; zero if none did.
	noRoomSince time.Time
	// advice is the state of requests to the advice service; nil before the first request.
	advice *advice
	wait   stageWait
	// suspects is the number of tasks suspected of crashing their workers.
	suspects int
}

type job struct {
	Job
	state  State
	stages []*stage
	// stageByKey maps an occurrence and a step number to the stage.
	stageByKey map[[2]int]*stage
	// deadline is when the job should have completed by its declared run times; criticalPath is the declared duration of
	// its critical path.
	deadline     time.Time
	criticalPath time.Duration
	// estimates is what was learned of its run times; nil before the first use.
	estimates *jobEstimates
	// created is the number of occurrences whose stages have been created.
	created int
	started bool
	// inherited means that a previous owner may have started tasks of the job, on inheritedWorkers if it recorded them.
	inherited        bool
	inheritedWorkers []string
	// workersUnknown means that the record does not tell its workers.
	workersUnknown bool
	// held means that no further tasks are placed.
	held     bool
	sequence int
	// failedOn and doneOn are the workers on which tasks of the job have failed and have completed.
	failedOn, doneOn map[string]bool
	// foundAtFault means that the job's failures have been attributed to the job and logged.
	foundAtFault bool
}

func (j *job) urgent() bool { return j.Policy.Priority == 0 }

// accelerators returns the largest number of accelerators that a step of the job requests.
func (j *job) accelerators() int {
	most := 0
	for _, s := range j.Steps {
		most = max(most, s.Count*s.Need.Accelerators)
	}
	return most
}

type worker struct {
	Worker
	// places are in the order of their placement.
	places []*place
	// hasReported means that the worker has reported under the present owner's fence.
	hasReported bool
	// evacuated means that no task may start in the worker's availability zone.
	evacuated bool
	cold      coldState
	// joinedAt is when this incarnation became known, lostContactAt when a report last failed to arrive after one that did.
	joinedAt, lostContactAt time.Time
	// reachable means that the latest report arrived in time.
	reachable bool
	// orphans maps runs that belong to no known placement to the resources that they use.
	orphans map[string]Resources
	// orphanSizeUnknown means that the resources of some orphan are unknown, so the worker counts as full.
	orphanSizeUnknown bool
	// endsOmitted means that the latest report may have omitted ended runs.
	endsOmitted bool
	// lastEndNumber is the number of the last end that was processed.
	lastEndNumber int64
	// blockedUntil is when the worker may get new work again after it refused a start.
	blockedUntil time.Time
	// unanswered is the record of starts that got no answer.
	unanswered unansweredStarts
	health     health
	// earlierCrashes are the crashes of earlier incarnations, which are attributed once this one has reported.
	earlierCrashes []pendingCrash
	// rating is the state of its rated speed.
	rating speedRating
	// candidate is the worker's state in the latest planning pass; nil if it took no part.
	candidate *candidate
}

func (w *worker) remove(p *place) {
	w.places = slices.DeleteFunc(w.places, func(other *place) bool { return other == p })
}

// occupied returns what all places use or have claimed, including runs that are being stopped.
func (w *worker) occupied() Resources {
	var sum Resources
	for _, p := range w.places {
		sum = sum.Add(p.task.stage.step.Need)
	}
	for _, r := range w.orphans {
		sum = sum.Add(r)
	}
	return sum
}

// inUse returns what all ordered runs use, without claims.
func (w *worker) inUse() Resources {
	var sum Resources
	for _, p := range w.places {
		if p.state != placeClaimed {
			sum = sum.Add(p.task.stage.step.Need)
		}
	}
	for _, r := range w.orphans {
		sum = sum.Add(r)
	}
	return sum
}

// free returns the capacity that is neither in use nor claimed.
func (w *worker) free() Resources { return w.Capacity.Sub(w.occupied()) }

// freeAfterStops returns the capacity that will be free once the runs being stopped have ended.
func (w *worker) freeAfterStops() Resources {
	sum := w.Capacity
	for _, p := range w.places {
		if p.state != placeStopping {
			sum = sum.Sub(p.task.stage.step.Need)
		}
	}
	for _, r := range w.orphans {
		sum = sum.Sub(r)
	}
	return sum
}

// schedulable reports whether the worker may be given new work.
func (w *worker) schedulable(now time.Time) bool {
	return w.hasReported && w.reachable && !w.Draining && !w.evacuated && !w.orphanSizeUnknown && !now.Before(w.blockedUntil) && w.health.usable(now)
}
