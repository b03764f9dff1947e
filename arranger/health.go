package arranger

import "time"

const (
	// suspectJobs is the number of different jobs that must fail on a worker in a row before it is left out.
	suspectJobs = 2
	// suspectRuns is the number of runs, of whatever job, that must fail there in a row; one that fails at once is free again at once, and would take task after task of a wide job.
	suspectRuns = 3
	// firstRest and maxRest bound the time for which a worker that fails everything is left out.
	firstRest = 4 * time.Second
	maxRest   = 60 * time.Second
	// suspectMemory is how long a failure makes a worker suspect without another one.
	suspectMemory = 6 * time.Second
	// jobFaultWorkers is the number of workers on which a job must fail, and on more than its tasks succeed on, before the job and not the workers is blamed.
	jobFaultWorkers = 3
	// stallLimit is how long a run may stand still before it is started elsewhere; workers report about once a second.
	stallLimit = 2500 * time.Millisecond
	// stallLoss is the most work that is thrown away to leave a worker on which a run stands still, since it may go on there.
	stallLoss = 3 * time.Second
)

// health is what the runs on a worker tell about it.
type health struct {
	// failedJobs counts the runs that failed in a row, by job.
	failedJobs map[string]int
	failedAt   time.Time
	restUntil  time.Time
	rest       time.Duration
}

func (h *health) usable(now time.Time) bool { return !now.Before(h.restUntil) }

// succeed clears the worker of suspicion.
func (h *health) succeed() {
	clear(h.failedJobs)
	h.rest = 0
}

// fail counts a failure and reports whether the worker is left out from now on.
func (h *health) fail(job string, now time.Time) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[string]int{}
	}
	h.failedJobs[job]++
	h.failedAt = now
	if !h.failing() {
		return false
	}
	h.leaveOut(now)
	return true
}

// failing reports whether so much has failed in a row that the worker is at fault.
func (h *health) failing() bool {
	runs := 0
	for _, count := range h.failedJobs {
		runs += count
	}
	return len(h.failedJobs) >= suspectJobs || runs >= suspectRuns
}

// suspectFor reports whether a run of the job failed here lately and nothing has succeeded since.
func (h *health) suspectFor(job string, now time.Time) bool {
	return h.failedJobs[job] > 0 && h.suspect(now)
}

// suspect reports whether something failed here lately and nothing has succeeded since.
func (h *health) suspect(now time.Time) bool {
	return len(h.failedJobs) > 0 && now.Sub(h.failedAt) < suspectMemory
}

// absolve takes back the blame for a job that fails everywhere.
func (h *health) absolve(job string) {
	if h.failedJobs[job] == 0 {
		return
	}
	delete(h.failedJobs, job)
	if !h.failing() {
		h.restUntil = time.Time{}
	}
}

// leaveOut gives the worker no new work for a time that doubles with each repetition.
func (h *health) leaveOut(now time.Time) {
	h.rest = min(max(firstRest, 2*h.rest), maxRest)
	h.restUntil = now.Add(h.rest)
}
