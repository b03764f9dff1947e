package faker

import (
	"maps"
	"time"
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

// Usage is the use of a fleet's accelerators, not counting silent workers.
type Usage struct {
	Total, Used int
	// Free maps a number of accelerators to the number of tasks with so many that fit.
	Free map[int]int
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
	usage := Usage{Free: map[int]int{}}
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
		if w.silent {
			continue
		}
		used := w.acceleratorsInUse()
		usage.Total += w.accelerators
		usage.Used += used
		for n := 1; n <= w.accelerators-used; n++ {
			usage.Free[n] += (w.accelerators - used) / n
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
func (f *TaskFleet) Failures(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	failures := 0
	for task, count := range f.failed {
		if jobOfTask(task) == job {
			failures = max(failures, count)
		}
	}
	return failures
}
