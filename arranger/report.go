package arranger

import (
	"slices"
	"time"
)

// RunReport is a run that a worker says it has.
type RunReport struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int
}

// EndReport is a run that ended on a worker; Number rises in each life of the worker.
type EndReport struct {
	Number     int64
	Task       string
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// Report is all that a worker says of its runs.
type Report struct {
	Worker string
	// RequestedAt is when the question was sent; orders confirmed later may not show in the answer.
	RequestedAt time.Time
	Running     []RunReport
	Ended       []EndReport
}

// HandleReport takes in a worker's report and what follows from it.
func (a *Arranger) HandleReport(now time.Time, r Report) {
	w := a.workers[r.Worker]
	if w == nil {
		return
	}
	a.changed = a.changed || !w.hasReported || !w.reachable
	w.hasReported = true
	w.reachable = true
	delete(a.awaitedReports, w.ID)
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
	a.releaseMissing(w, r.RequestedAt, listed)
}

// handleRunning matches a run on a worker with the place that it belongs to.
func (a *Arranger) handleRunning(now time.Time, w *worker, asked time.Time, r RunReport) {
	if p := w.placeOf(r); p != nil {
		a.recordProgress(now, p, r)
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
		a.adopt(now, w, t, asked, r)
		return
	}
	a.stopOrphan(w, r, t.stage.step.Need, true)
}

// placeOf returns the place of a run on the worker, or nil.
func (w *worker) placeOf(r RunReport) *place {
	for _, p := range w.places {
		if p.run == r.Run && p.task.label() == r.Task {
			return p
		}
	}
	return nil
}

// stopOrphan stops a run that nothing accounts for.
func (a *Arranger) stopOrphan(w *worker, r RunReport, need Resources, known bool) {
	a.changed = true
	w.orphans[r.Task] = need
	if !known {
		w.orphanSizeUnknown = true
	}
	a.options.Log("run is not accounted for, stopping it", "task", r.Task, "run", r.Run, "worker", w.ID)
	a.orders.Stops = append(a.orders.Stops, StopOrder{Task: r.Task, Run: r.Run, Worker: w.ID, Reason: "not accounted for"})
}

// adopt takes over a run that an earlier owner started.
func (a *Arranger) adopt(now time.Time, w *worker, t *task, asked time.Time, r RunReport) {
	t.lastRun = r.Run
	p := &place{task: t, worker: w, run: r.Run, state: placeRunning, placedAt: now, confirmedAt: asked.Add(-time.Nanosecond), adopted: true}
	t.place = p
	w.places = append(w.places, p)
	a.changed = true
	a.markStarted(t.stage.job)
	a.recordProgress(now, p, r)
	a.options.Log("run taken over", "task", r.Task, "run", r.Run, "worker", w.ID, "percent", r.Percent)
	if t.stage.step.Gang {
		a.checkAdoptedGang(t.stage)
	}
}

// checkAdoptedGang stops a gang whose members do not all belong to one run.
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

// recordProgress notes the progress of a run.
func (a *Arranger) recordProgress(now time.Time, p *place, r RunReport) {
	if p.state == placeStarting {
		p.state = placeRunning
		p.confirmedAt = now
		a.markStarted(p.task.stage.job)
	}
	if r.Checkpoint != "" && r.Checkpoint != p.task.checkpoint {
		a.saveCheckpoint(p.task, r.Checkpoint)
		p.checkpointedAt = now
	}
	p.reportedAt = now
	if r.Percent > p.percent || p.progressedAt.IsZero() {
		p.progressedAt = now
		if p.firstProgressAt.IsZero() && r.Percent > 0 {
			p.firstProgressAt, p.firstPercent = now, r.Percent
		}
	}
	p.percent = r.Percent
}

// saveCheckpoint keeps a checkpoint; that of any member is valid for its whole gang.
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

// markStarted notes that a task of the job has started.
func (a *Arranger) markStarted(j *job) {
	if j.started || j.state.Final() {
		return
	}
	j.started = true
	j.state = Running
	a.dirty[j.ID] = true
}

// releaseMissing vacates the places that the worker would have listed if they still ran.
func (a *Arranger) releaseMissing(w *worker, asked time.Time, listed map[string]int64) {
	for _, p := range slices.Clone(w.places) {
		if p.state == placeClaimed || p.confirmedAt.IsZero() || !p.confirmedAt.Before(asked) {
			continue
		}
		if run, ok := listed[p.task.label()]; ok && run == p.run {
			continue
		}
		a.releaseAndRequeue(p, "no longer on its worker")
	}
}

// handleEnd takes in the end of a run.
func (a *Arranger) handleEnd(now time.Time, w *worker, e EndReport) {
	t := a.findTask(e.Task)
	if t == nil {
		a.releaseEnded(w, e)
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	p := t.place
	mine := p != nil && p.worker == w && p.run == e.Run
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
		a.complete(now, t, p, mine)
	case EndedFailed:
		a.countFailure(now, w, t, e)
		if mine {
			a.releaseAndRequeue(p, "run failed")
		}
	case EndedInterrupted:
		if mine {
			a.releaseAndRequeue(p, "run ended before it was done")
		}
	}
}

// releaseEnded gives back the room of a run whose task is done or whose job has ended.
func (a *Arranger) releaseEnded(w *worker, e EndReport) {
	for _, p := range slices.Clone(w.places) {
		if p.run == e.Run && p.task.label() == e.Task {
			a.release(p)
		}
	}
	a.options.Log("run ended that no longer counts", "task", e.Task, "run", e.Run, "worker", w.ID, "how", e.Outcome.String(), "number", e.Number)
}

// complete marks a task as done, or all tasks of a gang.
func (a *Arranger) complete(now time.Time, t *task, p *place, mine bool) {
	j := t.stage.job
	if t.stage.step.LongRunning {
		if mine {
			a.releaseAndRequeue(p, "lasting task ended")
		}
		return
	}
	if mine {
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
			a.stop(done.place, "done elsewhere")
		}
	}
	a.markStarted(j)
	a.changed = true
	if t.stage.unfinished == 0 {
		a.markReadyStages(j, now)
		a.finishIfDone(j)
	}
}

// countFailure counts a failed run once, and fails the job when the task has used up its attempts.
func (a *Arranger) countFailure(now time.Time, w *worker, t *task, e EndReport) {
	if slices.Contains(t.failedRuns, e.Run) {
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
		a.endJob(t.stage.job, Failed, "attempts used up")
	}
}

// atFault reports whether the job rather than the workers makes its runs fail.
func (j *job) atFault() bool {
	return len(j.failedOn) >= jobFaultWorkers && len(j.failedOn) > len(j.doneOn)
}

// attributeFailure holds a failure against the worker, or against the job once that has failed on several workers.
func (a *Arranger) attributeFailure(now time.Time, w *worker, j *job) {
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[w.ID] = true
	if j.atFault() {
		if !j.foundAtFault {
			j.foundAtFault = true
			a.options.Log("job and not its workers is at fault", "job", j.ID, "failedOn", len(j.failedOn), "doneOn", len(j.doneOn))
		}
		for _, other := range a.sortedWorkers {
			other.health.clearFailures(j.ID)
		}
		return
	}
	if w.health.recordFailure(j.ID, now) {
		a.options.Log("worker left out", "worker", w.ID, "rest", w.health.quarantineTime.String(), "jobs", len(w.health.failedJobs))
	}
}

// recordDone notes that a task of the job was done on the worker.
func (j *job) recordDone(w *worker) {
	if j.doneOn == nil {
		j.doneOn = map[string]bool{}
	}
	j.doneOn[w.ID] = true
}

// failures returns how many runs of the task, or of its gang, have failed.
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

// refusalBackoff keeps new work from a worker that has turned an order away.
const refusalBackoff = 300 * time.Millisecond

// StartConfirmed tells that the worker has the run.
func (a *Arranger) StartConfirmed(now time.Time, name TaskName, run int64) {
	p := a.findPlace(name, run)
	if p == nil {
		return
	}
	if p.state == placeStarting {
		p.state = placeRunning
		p.confirmedAt = now
	}
	a.markStarted(p.task.stage.job)
}

// StartRefused tells that the run surely did not start and never will.
func (a *Arranger) StartRefused(now time.Time, name TaskName, run int64) {
	p := a.findPlace(name, run)
	if p == nil || p.state == placeRunning {
		return
	}
	p.worker.blockedUntil = now.Add(refusalBackoff)
	a.releaseAndRequeue(p, "start refused")
}

// StartOutcomeUnknown tells that no answer came; the run is stopped so that it cannot begin later.
func (a *Arranger) StartOutcomeUnknown(name TaskName, run int64) {
	if p := a.findPlace(name, run); p != nil && p.state == placeStarting {
		a.stop(p, "start not answered")
	}
}

// StopConfirmed tells that the worker has taken a stop, so that the run ends or never begins.
func (a *Arranger) StopConfirmed(now time.Time, task string, run int64, workerID string) {
	w := a.workers[workerID]
	if w == nil {
		return
	}
	for _, p := range w.places {
		// A stop that is ordered again must not outdate the reports that were asked for since the first.
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
