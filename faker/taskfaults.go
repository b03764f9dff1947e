package faker

import (
	"maps"
	"time"
)

const (
	// crashedTime is how long a crashed worker is away.
	crashedTime = 3 * time.Second
	// crashBudget is the number of workers that a task may crash before its starts are counted, and extraStarts the number of these that violates an invariant.
	crashBudget, extraStarts = 3, 3
)

// SetFailing sets whether all runs on the worker fail shortly after they begin to work.
func (w *TaskWorker) SetFailing(failing bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.endDueRuns()
	w.failing = failing
	w.notify()
}

// SetStalled sets whether the runs on the worker make no progress.
func (w *TaskWorker) SetStalled(stalled bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.endDueRuns()
	switch {
	case stalled && w.stalledAt.IsZero():
		w.stalledAt = time.Now()
	case !stalled && !w.stalledAt.IsZero():
		for _, run := range w.runs {
			if !run.workingSince.IsZero() {
				run.workingSince = time.Now().Add(-w.worked(run))
			}
		}
		w.stalledAt = time.Time{}
	}
	w.notify()
}

// Usage is the use of a fleet's accelerators, not counting silent workers and those of evacuated zones.
type Usage struct {
	Total, Used int
	// Free maps a number of accelerators to the number of tasks with so many that fit.
	Free map[int]int
	// Workers maps it to the number of workers on which at least one such task fits.
	Workers map[int]int
}

// StandingJob is a job none of whose unfinished tasks runs.
type StandingJob struct {
	ID string
	TaskJob

	// Starts is the number of starts of its tasks so far.
	Starts int
	// Failures is the highest number of failed runs of one of its tasks.
	Failures int
}

// Standing returns the use of the fleet and those of the jobs that have unfinished tasks of which none runs.
func (f *TaskFleet) Standing(jobs []string) (Usage, []StandingJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	usage := Usage{Free: map[int]int{}, Workers: map[int]int{}}
	busy, listed, done := map[string]bool{}, map[string]bool{}, maps.Clone(f.doneTasks)
	for _, w := range f.workers {
		w.endDueRuns()
		for _, e := range w.endedRuns {
			if e.outcome == "done" && !e.leaseExpired && !f.done[e.name] && !listed[e.name] {
				listed[e.name] = true
				done[jobOfTask(e.name)]++
			}
		}
		for _, run := range w.runs {
			busy[run.job] = true
		}
		if _, evacuated := w.fleet.evacuated[w.zone]; w.silent || evacuated {
			continue
		}
		used := w.acceleratorsInUse()
		usage.Total += w.accelerators
		usage.Used += used
		for n := 1; n <= w.accelerators-used; n++ {
			usage.Free[n] += (w.accelerators - used) / n
			usage.Workers[n]++
		}
	}
	failures := map[string]int{}
	for task, count := range f.failed {
		failures[jobOfTask(task)] = max(failures[jobOfTask(task)], count)
	}
	var standing []StandingJob
	for _, id := range jobs {
		job := f.jobs[id]
		finished := done[id] >= job.Count || job.Gang > 0 && done[id] > 0
		if !busy[id] && !finished {
			standing = append(standing, StandingJob{ID: id, TaskJob: job, Starts: f.starts[id], Failures: failures[id]})
		}
	}
	return usage, standing
}

// Failures returns the highest number of failed runs of one task of the job.
func (f *TaskFleet) Failures(job string) int { return f.mostOfATask(job, f.failed) }

// Crashes returns the highest number of workers that one task of the job has crashed.
func (f *TaskFleet) Crashes(job string) int { return f.mostOfATask(job, f.crashes) }

// MostEnds returns the highest number of ended runs that wait on a worker to be acknowledged.
func (f *TaskFleet) MostEnds() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, w := range f.workers {
		w.endDueRuns()
		most = max(most, len(w.endedRuns))
	}
	return most
}

// LostUnder returns the highest number of incarnations of workers that ended while they ran the same task of the job.
func (f *TaskFleet) LostUnder(job string) int { return f.mostOfATask(job, f.lostUnder) }

// mostOfATask returns the highest count of a task of the job.
func (f *TaskFleet) mostOfATask(job string, counts map[string]int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for task, count := range counts {
		if jobOfTask(task) == job {
			most = max(most, count)
		}
	}
	return most
}

// Crash ends the worker; a new incarnation is back after crashedTime.
func (w *TaskWorker) Crash() {
	w.restart(true)
	time.AfterFunc(crashedTime, func() {
		w.Restart()
		if w.fleet.OnReturn != nil {
			w.fleet.OnReturn(w)
		}
	})
}

// crashBy crashes the worker if the run is still there.
func (w *TaskWorker) crashBy(run *taskRun) {
	w.fleet.mu.Lock()
	there := w.runs[run.name] == run
	if there {
		for _, other := range w.runs {
			// Tasks that start together would each have crashed the worker.
			if w.fleet.jobs[other.job].CrashAfter > 0 {
				w.fleet.crashes[other.name]++
			}
		}
	}
	w.fleet.mu.Unlock()
	if there {
		w.Crash()
	}
}

// SetSilent sets whether the worker leaves all requests unanswered; its running tasks continue.
func (w *TaskWorker) SetSilent(silent bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silent = silent
}

// SetSilentAfterPolls makes the worker respond again, and leave all requests unanswered once it has responded to so many polls.
func (w *TaskWorker) SetSilentAfterPolls(count int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silent, w.pollsUntilSilent = false, count
}

// LoseStartReplies makes the worker execute the next count start requests without a response.
func (w *TaskWorker) LoseStartReplies(count int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.lostReplies = count
}

// DelayPolls makes the worker leave the next count polls unanswered and execute them after the delay, in the incarnation that it has then.
func (w *TaskWorker) DelayPolls(count int, delay time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.delayedPolls, w.pollDelay = count, delay
}

// DelayStarts makes the worker leave the next count start requests unanswered and execute them after the delay, in the incarnation that it has then.
func (w *TaskWorker) DelayStarts(count int, delay time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.delayedStarts, w.startDelay = count, delay
}
