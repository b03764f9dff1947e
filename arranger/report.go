package arranger

import (
	"slices"
	"time"
)

// RunReport is a run that a worker lists as running.
type RunReport struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int
}

// EndReport is a run that ended on a worker; Number increases within an incarnation of the worker.
type EndReport struct {
	Number     int64
	Task       string
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// Report lists all runs that a worker has and the ends that are not acknowledged yet, or the first of these.
type Report struct {
	Worker string
	// RequestedAt is when the report was requested; it may not reflect orders that were confirmed later.
	RequestedAt time.Time
	Running     []RunReport
	Ended       []EndReport
	// EndsOmitted means that runs may have ended whose end is not listed, so that nothing is known of a run that is not listed at all.
	EndsOmitted bool
}

// HandleReport updates the state from a worker's report.
func (a *Arranger) HandleReport(now time.Time, r Report) {
	w := a.workers[r.Worker]
	if w == nil {
		return
	}
	a.changed = a.changed || !w.hasReported || !w.reachable
	w.hasReported = true
	w.reachable = true
	a.forgetTrials(w)
	for _, e := range r.Ended {
		if e.Number > w.lastEndNumber {
			w.lastEndNumber = e.Number
			a.handleEnd(now, w, e)
		}
	}
	listed := map[string]int64{}
	clear(w.orphans)
	w.orphanSizeUnknown = false
	for _, run := range r.Running {
		listed[run.Task] = run.Run
		a.handleRunning(now, w, r.RequestedAt, run)
	}
	if r.EndsOmitted {
		a.awaitOmittedEnds(w, len(r.Ended))
		return
	}
	delete(a.awaitedReports, w.ID)
	w.endsOmitted = false
	a.releaseMissing(w, r.RequestedAt, listed)
	crashes := w.earlierCrashes
	w.earlierCrashes = nil
	a.attributeCrashes(now, w, crashes)
}

// awaitOmittedEnds keeps inherited jobs waiting for the ends that a worker has not listed, however long that takes: the worker is alive and keeps
// them.
func (a *Arranger) awaitOmittedEnds(w *worker, listed int) {
	if a.ExpectsReport(w.ID) {
		a.awaitedReports[w.ID] = time.Time{}
	}
	if !w.endsOmitted {
		a.options.Log("ended runs omitted from the report, runs that it does not list remain", "worker", w.ID, "ends", listed, "places", len(w.places))
	}
	w.endsOmitted = true
}

// handleRunning matches a reported run with its place; it adopts or stops a run without one.
func (a *Arranger) handleRunning(now time.Time, w *worker, requestedAt time.Time, r RunReport) {
	if p := w.placeOf(r); p != nil {
		a.recordProgress(now, requestedAt, p, r)
		return
	}
	t := a.findTask(r.Task)
	if t == nil {
		a.stopOrphan(w, r, Resources{}, false)
		return
	}
	p := t.place
	wanted := !t.done && !t.stage.job.state.Final()
	if wanted && p == nil && t.stage.job.inherited && r.Run >= t.lastRun {
		a.adopt(now, w, t, requestedAt, r)
		return
	}
	a.stopOrphan(w, r, t.stage.step.Need, true)
}

// placeOf returns the place of a reported run on the worker, or nil.
func (w *worker) placeOf(r RunReport) *place {
	for _, p := range w.places {
		if p.run == r.Run && p.task.label() == r.Task {
			return p
		}
	}
	return nil
}

// stopOrphan stops a run that belongs to no place and counts its resources as used until it is gone.
func (a *Arranger) stopOrphan(w *worker, r RunReport, need Resources, known bool) {
	a.changed = true
	w.orphans[r.Task] = need
	if !known {
		w.orphanSizeUnknown = true
	}
	a.options.Log("stopping orphaned run", "task", r.Task, "run", r.Run, "worker", w.ID)
	a.orders.Stops = append(a.orders.Stops, StopOrder{Task: r.Task, Run: r.Run, Worker: w.ID, Reason: "orphaned run"})
}

// adopt creates a place for a run that a previous owner started.
func (a *Arranger) adopt(now time.Time, w *worker, t *task, requestedAt time.Time, r RunReport) {
	t.lastRun = r.Run
	p := &place{task: t, worker: w, run: r.Run, state: placeRunning, placedAt: now, confirmedAt: requestedAt.Add(-time.Nanosecond), adopted: true}
	t.place = p
	w.places = append(w.places, p)
	a.changed = true
	a.dirty[t.stage.job.ID] = true
	a.markStarted(t.stage.job)
	a.recordProgress(now, requestedAt, p, r)
	a.options.Log("run adopted", "task", r.Task, "run", r.Run, "worker", w.ID, "percent", r.Percent)
	if t.stage.step.Gang {
		a.checkAdoptedGang(t.stage)
	}
}

// checkAdoptedGang stops the members of an adopted gang that do not belong to its newest run.
func (a *Arranger) checkAdoptedGang(s *stage) {
	var newest int64
	for _, t := range s.tasks {
		if t.place != nil {
			newest = max(newest, t.place.run)
		}
	}
	for _, t := range s.tasks {
		if t.place != nil && t.place.run != newest {
			a.stop(t.place, "member of an older run of its gang")
		}
	}
}

// recordProgress updates a place from the report of its run.
func (a *Arranger) recordProgress(now, requestedAt time.Time, p *place, r RunReport) {
	if p.state == placeStarting {
		p.state = placeRunning
		p.confirmedAt, p.runningSince = now, now
		a.markStarted(p.task.stage.job)
	}
	if r.Checkpoint != "" && r.Checkpoint != p.task.checkpoint {
		a.saveCheckpoint(p.task, r.Checkpoint)
	}
	wasProven := p.proven()
	p.requestedAt, p.fencedOff = requestedAt, false
	a.updateSuspicion(p, wasProven)
	if r.Percent > p.percent || p.progressedAt.IsZero() {
		p.progressedAt = now
		if p.firstProgressAt.IsZero() && r.Percent > 0 {
			p.firstProgressAt, p.firstPercent = now, r.Percent
		}
	}
	p.percent = r.Percent
	p.cold = p.cold || a.isCold(now, p.worker)
	a.observePace(now, p)
}

// saveCheckpoint stores a checkpoint for the task; a checkpoint of one gang member is valid for the whole gang.
func (a *Arranger) saveCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if !t.stage.step.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, other := range t.stage.tasks {
		other.checkpoint = checkpoint
	}
}

// markStarted records that a task of the job has started.
func (a *Arranger) markStarted(j *job) {
	if j.started || j.state.Final() {
		return
	}
	j.started = true
	j.state = Running
	a.dirty[j.ID] = true
}

// releaseMissing releases the places of confirmed runs that the report does not list any more.
func (a *Arranger) releaseMissing(w *worker, requestedAt time.Time, listed map[string]int64) {
	for _, p := range slices.Clone(w.places) {
		if p.state == placeClaimed || p.confirmedAt.IsZero() || !p.confirmedAt.Before(requestedAt) {
			continue
		}
		if run, ok := listed[p.task.label()]; ok && run == p.run {
			continue
		}
		a.releaseAndRequeue(p, "not listed by its worker")
	}
}

// handleEnd processes the reported end of a run.
func (a *Arranger) handleEnd(now time.Time, w *worker, e EndReport) {
	t := a.findTask(e.Task)
	if t == nil {
		a.releaseEnded(w, e)
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	p := t.place
	current := p != nil && p.worker == w && p.run == e.Run
	if t.done {
		a.releaseEnded(w, e)
		return
	}
	a.dirty[t.stage.job.ID] = true
	a.saveCheckpoint(t, e.Checkpoint)
	a.options.Log("run ended", "task", e.Task, "run", e.Run, "worker", w.ID, "how", e.Outcome.String(), "number", e.Number)
	switch e.Outcome {
	case EndedDone:
		w.health.recordSuccess()
		t.stage.job.recordDone(w)
		if current {
			a.observeEndPace(now, p)
		}
		a.complete(now, t, p, current)
	case EndedFailed:
		a.countFailure(now, w, t, e)
		if current {
			a.releaseAndRequeue(p, "run failed")
		}
	case EndedInterrupted:
		if current {
			a.releaseAndRequeue(p, "run interrupted")
		}
	}
}

// releaseEnded releases the place of an ended run whose task is already done or whose job has ended.
func (a *Arranger) releaseEnded(w *worker, e EndReport) {
	for _, p := range slices.Clone(w.places) {
		if p.run == e.Run && p.task.label() == e.Task {
			a.release(p)
		}
	}
	a.options.Log("ignoring end of obsolete run", "task", e.Task, "run", e.Run, "worker", w.ID, "how", e.Outcome.String(), "number", e.Number)
}

// complete marks a task as done, or all tasks if it belongs to a gang.
func (a *Arranger) complete(now time.Time, t *task, p *place, current bool) {
	j := t.stage.job
	if t.stage.step.LongRunning {
		if current {
			a.releaseAndRequeue(p, "long-running task ended")
		}
		return
	}
	if current {
		a.observeEnd(now, p)
		a.release(p)
	}
	tasks := []*task{t}
	if t.stage.step.Gang {
		tasks = t.stage.tasks
	}
	for _, done := range tasks {
		if done.done {
			continue
		}
		done.done = true
		t.stage.unfinished--
		if done.place != nil && !t.stage.step.Gang {
			a.stop(done.place, "task done by another run")
		}
	}
	a.markStarted(j)
	a.changed = true
	a.concludeStep(now, t.stage)
	if t.stage.unfinished == 0 {
		a.markReadyStages(j, now)
		a.finishIfDone(j)
	}
}

// countFailure counts a failed run once and fails the job if the task has used up its attempts.
func (a *Arranger) countFailure(now time.Time, w *worker, t *task, e EndReport) {
	if a.counted(t, e.Run) {
		return
	}
	a.attributeFailure(now, w, t.stage.job)
	if t.stage.step.LongRunning {
		return
	}
	if t.failedOn == nil {
		t.failedOn = map[string]bool{}
	}
	t.failedOn[w.ID] = true
	t.failedRuns = append(t.failedRuns, e.Run)
	if t.failures() >= max(1, t.stage.job.Policy.MaxAttempts) {
		a.endJob(t.stage.job, Failed, "no attempts left")
	}
}

// atFault reports whether failures are attributed to the job rather than to the workers.
func (j *job) atFault() bool {
	return len(j.failedOn) >= jobFaultWorkers && len(j.failedOn) > len(j.doneOn)
}

// attributeFailure attributes a failure to the worker, or to the job if it has failed on enough workers.
func (a *Arranger) attributeFailure(now time.Time, w *worker, j *job) {
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[w.ID] = true
	if j.atFault() {
		if !j.foundAtFault {
			j.foundAtFault = true
			a.options.Log("failures attributed to the job", "job", j.ID, "failedOn", len(j.failedOn), "doneOn", len(j.doneOn))
		}
		for _, other := range a.sortedWorkers {
			other.health.clearFailures(j.ID)
		}
		return
	}
	if w.health.recordFailure(j.ID, now) {
		a.logQuarantine(w, "runs failed", len(w.health.failedJobs))
	}
}

// recordDone records that a task of the job completed on the worker.
func (j *job) recordDone(w *worker) {
	if j.doneOn == nil {
		j.doneOn = map[string]bool{}
	}
	j.doneOn[w.ID] = true
}

// failures returns the number of failed runs of the task or its gang.
func (t *task) failures() int {
	if !t.stage.step.Gang {
		return len(t.failedRuns)
	}
	runs := map[int64]bool{}
	for _, member := range t.stage.tasks {
		for _, run := range member.failedRuns {
			runs[run] = true
		}
	}
	return len(runs)
}

func (a *Arranger) findTask(text string) *task {
	name, err := ParseTaskName(text)
	if err != nil {
		return nil
	}
	j := a.jobs[name.Job]
	if j == nil || j.stageByKey == nil {
		return nil
	}
	if name.Occurrence >= j.created && j.inherited {
		a.createOccurrencesThrough(j, name.Occurrence)
	}
	s := j.stageByKey[[2]int{name.Occurrence, name.Step}]
	if s == nil || name.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[name.Index]
}

// refusalBackoff is the time for which a worker gets no new work after it refused a start.
const refusalBackoff = 300 * time.Millisecond

// StartConfirmed records that the worker accepted the start of a run.
func (a *Arranger) StartConfirmed(now time.Time, name TaskName, run int64) {
	p := a.findPlace(name, run)
	if p == nil {
		return
	}
	if p.state == placeStarting {
		p.state = placeRunning
		p.confirmedAt, p.startedAt, p.runningSince = now, now, now
		p.cold = a.isCold(now, p.worker)
		a.dirty[p.task.stage.job.ID] = true
	}
	p.worker.unanswered = unansweredStarts{}
	a.markStarted(p.task.stage.job)
}

// StartRefused records that a run has not started and never will.
func (a *Arranger) StartRefused(now time.Time, name TaskName, run int64) {
	p := a.findPlace(name, run)
	if p == nil || p.state == placeRunning {
		return
	}
	a.counts.StartsRefused++
	p.task.stage.wait.failedStarts++
	p.worker.blockedUntil = now.Add(refusalBackoff)
	a.releaseAndRequeue(p, "start refused")
}

// IsStarting reports whether the start of the run was ordered and has no outcome yet.
func (a *Arranger) IsStarting(name TaskName, run int64) bool {
	p := a.findPlace(name, run)
	return p != nil && p.state == placeStarting
}

// StartWithdrawn records that the start of a run on the worker was never sent; its job may have ended. The starts of all
// members of a gang are withdrawn together.
func (a *Arranger) StartWithdrawn(name TaskName, run int64, workerID string) {
	w := a.workers[workerID]
	if w == nil {
		return
	}
	label := name.String()
	i := slices.IndexFunc(w.places, func(p *place) bool {
		return p.run == run && (p.state == placeStarting || p.state == placeStopping) && p.task.label() == label
	})
	if i >= 0 {
		w.cold.starts = max(0, w.cold.starts-1)
		a.release(w.places[i])
	}
}

// StartOutcomeUnknown records that a start got no answer; the run is stopped in case it starts later, and so are the
// other members of its gang, which would wait for it in vain.
func (a *Arranger) StartOutcomeUnknown(name TaskName, run int64) {
	if p := a.findPlace(name, run); p != nil && p.state == placeStarting {
		a.counts.StartsUnknown++
		p.task.stage.wait.failedStarts++
		p.worker.unanswered.record(p.placedAt)
		a.stopRunOrGang(p, "start outcome unknown")
	}
}

// StopConfirmed records that the worker accepted a stop, so that the run ends or never starts.
func (a *Arranger) StopConfirmed(now time.Time, task string, run int64, workerID string) {
	w := a.workers[workerID]
	if w == nil {
		return
	}
	for _, p := range w.places {
		// Only the first confirmation counts: if a repeated stop moved the time forward, reports requested
		// since the first one would be ignored.
		if p.run == run && p.state == placeStopping && p.confirmedAt.IsZero() && p.task.label() == task {
			p.confirmedAt = now
		}
	}
}

func (a *Arranger) findPlace(name TaskName, run int64) *place {
	t := a.findTask(name.String())
	if t == nil || t.place == nil || t.place.run != run {
		return nil
	}
	return t.place
}
