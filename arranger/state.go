package arranger

import (
	"slices"
	"time"
)

// placeState is how far a placement has come.
type placeState uint8

const (
	// placeClaimed keeps room for a task that waits until others have left.
	placeClaimed placeState = iota
	// placeStarting means that the order is on its way or its outcome is unknown.
	placeStarting
	placeRunning
	// placeStopping means that a stop was ordered; the room is taken until the end is reported.
	placeStopping
)

// place is a run of a task on a worker, or the room kept for one.
type place struct {
	task   *task
	worker *worker
	run    int64
	state  placeState
	// placedAt is when the place was claimed, ordered or found running.
	placedAt time.Time
	// confirmedAt is when the worker answered the latest order; reports asked for earlier say nothing about it.
	confirmedAt time.Time
	percent     int
	// progressedAt is when the percentage last rose, worked when it was first above zero, then at firstPercent.
	progressedAt    time.Time
	firstProgressAt time.Time
	firstPercent    int
	// reportedAt is when the run was last listed.
	reportedAt time.Time
	// checkpointedAt is when the latest checkpoint was seen.
	checkpointedAt time.Time
	// stopOrderedAt is when the latest stop was ordered.
	stopOrderedAt time.Time
	// adopted marks a run that an earlier owner started.
	adopted bool
	reason  string
}

type task struct {
	stage       *stage
	cachedLabel string
	index       int
	done        bool
	place       *place
	// lastRun is the highest run number used so far.
	lastRun int64
	// failedRuns are the runs that count as failed; reports of them may come in any order, and again.
	failedRuns []int64
	checkpoint string
	// failedOn are the workers on which the task failed.
	failedOn map[string]bool
}

func (t *task) name() TaskName {
	return TaskName{Job: t.stage.job.ID, Occurrence: t.stage.occurrence, Step: t.stage.stepNumber, Index: t.index}
}

// label returns the text form of the task's name, which is built once.
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
	// ready is when the stage's tasks could first start; zero while earlier steps are not done.
	ready time.Time
	// advice is what the advice service said; nil where it was not asked.
	advice *advice
}

type job struct {
	Job
	state  State
	stages []*stage
	// stageByKey finds a stage by its occurrence and step.
	stageByKey map[[2]int]*stage
	// deadline is when the job is to be done, chain the estimated time of its longest chain of steps.
	deadline     time.Time
	criticalPath time.Duration
	// created is the number of occurrences that have stages.
	created int
	started bool
	// inherited marks a job that an earlier owner may have started tasks of.
	inherited bool
	sequence  int
	// failedOn and doneOn are the workers on which a task of the job has failed and was done.
	failedOn, doneOn map[string]bool
	// foundAtFault tells that the job was found to be at fault.
	foundAtFault bool
}

func (j *job) urgent() bool { return j.Policy.Priority == 0 }

// accelerators returns the most that a step of the job needs at once.
func (j *job) accelerators() int {
	most := 0
	for _, s := range j.Steps {
		most = max(most, s.Count*s.Need.Accelerators)
	}
	return most
}

type worker struct {
	Worker
	// places are in the order in which they were taken.
	places []*place
	// hasReported tells that the worker has answered under the present owner's fence.
	hasReported bool
	// reachable tells that the latest report arrived in time.
	reachable bool
	// orphans are runs that no job accounts for, with the room they take; full if that is unknown.
	orphans           map[string]Resources
	orphanSizeUnknown bool
	// lastEndNumber is the number of the last end that was taken in.
	lastEndNumber int64
	// blockedUntil keeps new work away for a while after a refusal.
	blockedUntil time.Time
	health       health
	// candidate is the worker's room in the latest plan; nil if it took no part.
	candidate *candidate
}

// remove drops a place.
func (w *worker) remove(p *place) {
	w.places = slices.DeleteFunc(w.places, func(other *place) bool { return other == p })
}

// occupied returns what all places take, with those that are being vacated.
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

// inUse returns what all runs take that were ordered, without claims.
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

// free returns what is neither occupied nor claimed.
func (w *worker) free() Resources { return w.Capacity.Sub(w.occupied()) }

// freeAfterStops returns what will be free once all that is being stopped has left.
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
	return w.hasReported && w.reachable && !w.Draining && !w.orphanSizeUnknown && !now.Before(w.blockedUntil) && w.health.usable(now)
}
