package arranger

import "time"

const (
	// quarantineJobs is the number of different jobs that must fail on a worker in a row before it is left out.
	quarantineJobs = 2
	// quarantineRuns is the number of runs, of whatever job, that must fail there in a row; one that fails at once is free again at once, and would take task after task of a wide job.
	quarantineRuns = 3
	// minQuarantine and maxRest bound the time for which a worker that fails everything is left out.
	minQuarantine = 4 * time.Second
	maxQuarantine = 60 * time.Second
	// suspicionPeriod is how long a failure makes a worker suspect without another one.
	suspicionPeriod = 6 * time.Second
	// jobFaultWorkers is the number of workers on which a job must fail, and on more than its tasks succeed on, before the job and not the workers is blamed.
	jobFaultWorkers = 3
	// stallTimeout is how long a run may stand still before it is started elsewhere; workers report about once a second.
	stallTimeout = 2500 * time.Millisecond
	// maxStallLoss is the most work that is thrown away to leave a worker on which a run stands still, since it may go on there.
	maxStallLoss = 3 * time.Second
)

// health is what the runs on a worker tell about it.
type health struct {
	// failedJobs counts the runs that failed in a row, by job.
	failedJobs       map[string]int
	failedAt         time.Time
	quarantinedUntil time.Time
	quarantineTime   time.Duration
}

func (h *health) usable(now time.Time) bool { return !now.Before(h.quarantinedUntil) }

// recordSuccess clears the worker of suspicion.
func (h *health) recordSuccess() {
	clear(h.failedJobs)
	h.quarantineTime = 0
}

// recordFailure counts a failure and reports whether the worker is left out from now on.
func (h *health) recordFailure(job string, now time.Time) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[string]int{}
	}
	h.failedJobs[job]++
	h.failedAt = now
	if !h.failing() {
		return false
	}
	h.quarantine(now)
	return true
}

// failing reports whether so much has failed in a row that the worker is at fault.
func (h *health) failing() bool {
	runs := 0
	for _, count := range h.failedJobs {
		runs += count
	}
	return len(h.failedJobs) >= quarantineJobs || runs >= quarantineRuns
}

// suspectFor reports whether a run of the job failed here lately and nothing has succeeded since.
func (h *health) suspectFor(job string, now time.Time) bool {
	return h.failedJobs[job] > 0 && h.suspect(now)
}

// suspect reports whether something failed here lately and nothing has succeeded since.
func (h *health) suspect(now time.Time) bool {
	return len(h.failedJobs) > 0 && now.Sub(h.failedAt) < suspicionPeriod
}

// clearFailures takes back the blame for a job that fails everywhere.
func (h *health) clearFailures(job string) {
	if h.failedJobs[job] == 0 {
		return
	}
	delete(h.failedJobs, job)
	if !h.failing() {
		h.quarantinedUntil = time.Time{}
	}
}

// quarantine gives the worker no new work for a time that doubles with each repetition.
func (h *health) quarantine(now time.Time) {
	h.quarantineTime = min(max(minQuarantine, 2*h.quarantineTime), maxQuarantine)
	h.quarantinedUntil = now.Add(h.quarantineTime)
}
