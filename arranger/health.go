package arranger

import "time"

const (
	// quarantineJobs is the number of different jobs that must fail in a row on a worker before it is
	// quarantined.
	quarantineJobs = 2
	// quarantineRuns is the number of runs of any jobs that must fail in a row. Without it, a worker that fails
	// runs at once, and so is free again at once, would take task after task of a wide job.
	quarantineRuns = 3
	// minQuarantine and maxQuarantine bound the time for which a worker is quarantined.
	minQuarantine = 4 * time.Second
	maxQuarantine = 60 * time.Second
	// suspicionPeriod is how long a single failure makes a worker suspect.
	suspicionPeriod = 6 * time.Second
	// jobFaultWorkers is the number of workers on which a job must fail, and which must exceed the number of
	// workers on which its tasks succeed, before failures are attributed to the job.
	jobFaultWorkers = 3
	// stallTimeout is how long a run may make no progress before it is started elsewhere; workers report about
	// once a second.
	stallTimeout = 2500 * time.Millisecond
	// stallPercents is the number of percents in whose expected time a run must make progress, if that is longer
	// than stallTimeout.
	stallPercents = 3
	// maxStallLoss is the most work that is discarded to move a stalled run, since it may still make progress
	// where it is.
	maxStallLoss = 3 * time.Second
)

// health tracks the failures of runs on a worker.
type health struct {
	// failedJobs counts the consecutive failed runs by job.
	failedJobs                      map[string]int
	failedAt                        time.Time
	quarantinedAt, quarantinedUntil time.Time
	quarantineTime                  time.Duration
	// readmitted means that the worker may be used before the end of its quarantine, as too many are in quarantine.
	readmitted bool
	// endUnlogged means that the end of the latest quarantine has not been logged.
	endUnlogged bool
}

// usable reports whether the worker is not in quarantine or has been readmitted.
func (h *health) usable(now time.Time) bool { return !h.inQuarantine(now) || h.readmitted }

// inQuarantine reports whether the time of the latest quarantine has not passed.
func (h *health) inQuarantine(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// recordSuccess clears the worker's failures.
func (h *health) recordSuccess() {
	clear(h.failedJobs)
	h.quarantineTime = 0
}

// recordFailure counts a failed run and reports whether it begins a quarantine of the worker.
func (h *health) recordFailure(job string, now time.Time) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[string]int{}
	}
	h.failedJobs[job]++
	h.failedAt = now
	if !h.failing() || !h.usable(now) {
		return false
	}
	h.quarantine(now)
	return true
}

// failing reports whether enough runs have failed in a row to quarantine the worker.
func (h *health) failing() bool {
	runs := 0
	for _, count := range h.failedJobs {
		runs += count
	}
	return len(h.failedJobs) >= quarantineJobs || runs >= quarantineRuns
}

// suspectFor reports whether a run of the job failed recently on the worker and no run has succeeded since.
func (h *health) suspectFor(job string, now time.Time) bool {
	return h.failedJobs[job] > 0 && h.suspect(now)
}

// suspect reports whether a run failed recently on the worker and none has succeeded since.
func (h *health) suspect(now time.Time) bool {
	return len(h.failedJobs) > 0 && now.Sub(h.failedAt) < suspicionPeriod
}

// clearFailures discards the failures of a job that fails on all workers.
func (h *health) clearFailures(job string) {
	if h.failedJobs[job] == 0 {
		return
	}
	delete(h.failedJobs, job)
	if !h.failing() {
		h.quarantinedUntil = time.Time{}
	}
}

// quarantine keeps new work from the worker for a time that doubles with each repetition. It has no effect on a
// worker in quarantine, since runs that were started before may fail or stall after the first one. One that has been
// readmitted is excluded again for the same time.
func (h *health) quarantine(now time.Time) {
	if !h.usable(now) {
		return
	}
	next := 2 * h.quarantineTime
	if h.inQuarantine(now) {
		next = h.quarantineTime
	}
	h.quarantineTime = min(max(minQuarantine, next), maxQuarantine)
	h.quarantinedAt, h.quarantinedUntil = now, now.Add(h.quarantineTime)
	h.readmitted = false
	h.endUnlogged = true
}

// logQuarantine logs and counts a quarantine; jobs is the number of jobs that caused it.
func (a *Arranger) logQuarantine(w *worker, cause string, jobs int) {
	a.counts.Quarantines++
	a.options.Log("worker quarantined", "worker", w.ID, "rest", w.health.quarantineTime.String(), "cause", cause, "jobs", jobs)
}

// logEndedQuarantines logs the workers whose quarantine has ended.
func (a *Arranger) logEndedQuarantines(now time.Time) {
	for _, w := range a.sortedWorkers {
		if w.health.endUnlogged && w.health.usable(now) {
			w.health.endUnlogged = false
			a.options.Log("quarantine ended", "worker", w.ID, "rested", w.health.quarantineTime.String())
		}
	}
}
