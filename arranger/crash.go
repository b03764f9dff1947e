package arranger

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// A run that was lost with its worker may have crashed it. Suspected are the
// runs that the worker had not reported yet; the others had worked there for a
// while. A suspected task starts only where no other job is under suspicion
// with it, so that a further crash tells which of them is the cause.

const (
	// maxCrashes is the number of workers that may crash under suspected runs of a task before its job fails.
	maxCrashes = 3
	// manyCrashes is the number of crashes from which on a task stays suspected in a loss of many workers.
	manyCrashes = 2
	// promptCrash is how soon after the start of a run its worker has to be lost for the run to stay suspected in a loss of many workers. Most runs
	// that a crash with another cause ends have been there for longer.
	promptCrash = 300 * time.Millisecond
	// commonCauseWindow is the time on both sides of the loss of a worker in which the loss of commonCauseShare of the workers, and at least
	// commonCauseWorkers, by no suspected run means that they have a common cause; losses are remembered for lossMemory.
	commonCauseWindow, lossMemory        = time.Second, 30 * time.Second
	commonCauseWorkers, commonCauseShare = 3, 0.05
	// unstablePeriod is how long after its return a worker counts as unstable, and unstablePenalty is added to its misfit for suspected tasks, in
	// accelerators.
	unstablePeriod, unstablePenalty = 15 * time.Second, 16
	// probation is how long a suspected task must run before others may start beside it.
	probation = 3 * time.Second
	// clearedAfter is how long a run of a suspected task must last for its crashes to be forgotten, so that coincidences do not add up over the life
	// of a job.
	clearedAfter = 10 * time.Second
	// recentStart is the age up to which a reported run is suspected if the worker had no unreported one.
	recentStart = 5 * time.Second
	// silentMemory is how long the loss of a worker that did not answer is remembered, in case it turns out to have crashed.
	silentMemory = time.Minute
	// crashRisk is added to the misfit of a candidate for each accelerator in use that a suspected task puts at risk.
	crashRisk = 2
	// maxLoggedTasks is the number of tasks that a log line names.
	maxLoggedTasks = 8
)

// silentLoss is a worker that was removed without an answer, with the tasks to suspect if it has crashed.
type silentLoss struct {
	trial     Trial
	address   string
	suspects  []suspect
	removedAt time.Time
}

// suspected reports whether a worker has crashed under a run of the task that may be the cause.
func (t *task) suspected() bool { return len(t.crashes) > 0 }

// crashedOn reports whether the worker crashed under a suspected run of the task, in any of its incarnations.
func (t *task) crashedOn(worker string) bool {
	return slices.ContainsFunc(t.crashes, func(crash string) bool { return strings.HasPrefix(crash, worker+"@") })
}

// known reports whether the run is known to have been on the present incarnation of its worker, which has confirmed its start or listed it.
func (p *place) known() bool {
	return p.state != placeClaimed && (!p.startedAt.IsZero() || !p.requestedAt.IsZero())
}

// proven reports whether the run has shown that it does not crash its worker at once.
func (p *place) proven() bool {
	return !p.requestedAt.IsZero() && (!p.task.suspected() || p.requestedAt.Sub(p.placedAt) >= probation)
}

// updateSuspicion applies a report of the run to the suspicion against its task; the run was not proven before if wasProven is false.
func (a *Arranger) updateSuspicion(p *place, wasProven bool) {
	t := p.task
	if !t.suspected() {
		return
	}
	if p.requestedAt.Sub(p.placedAt) >= clearedAfter {
		a.options.Log("task no longer suspected", "task", t.label(), "run", p.run, "worker", p.worker.ID, "crashes", len(t.crashes))
		t.crashes = nil
		t.stage.suspects--
		a.dirty[t.stage.job.ID] = true
		return
	}
	if !wasProven && p.proven() {
		// Others may start beside it, and the next owner need not find out about it.
		a.changed = true
		a.dirty[t.stage.job.ID] = true
	}
}

// hasUnprovenOther reports whether a run or a claim of another job on the worker is not proven.
func (w *worker) hasUnprovenOther(j *job) bool {
	return slices.ContainsFunc(w.places, func(p *place) bool { return p.task.stage.job != j && !p.proven() })
}

// onProbation returns the job of a suspected task on the worker that is not proven, or nil.
func (w *worker) onProbation() *job {
	for _, p := range w.places {
		if p.task.suspected() && !p.proven() {
			return p.task.stage.job
		}
	}
	return nil
}

// mayShare reports whether a place may start beside the ordered runs on its worker without mixing a suspected task with unproven
// runs of other jobs.
func (p *place) mayShare() bool {
	return !slices.ContainsFunc(p.worker.places, func(other *place) bool {
		return other.state != placeClaimed && other.task.stage.job != p.task.stage.job && !other.proven() && (p.task.suspected() || other.task.suspected())
	})
}

// suspect is a task that may have crashed a worker.
type suspect struct {
	task *task
	// prompt means that the worker was lost right after the start.
	prompt bool
}

// pendingCrash is the crash of an incarnation of a worker, with the tasks that may have caused it.
type pendingCrash struct {
	crash    Trial
	suspects []suspect
}

// WorkerReplaced removes a worker at whose address another one responds, so that all runs on it are lost, and suspects the runs that
// may have crashed it.
func (a *Arranger) WorkerReplaced(now time.Time, id, reason string) {
	w := a.workers[id]
	if w == nil {
		return
	}
	crashes := a.crashesOf(now, w)
	a.removeWorker(id, reason)
	a.attributeCrashes(now, w, crashes)
}

// WorkerRestarted replaces a worker by its next incarnation. A start that was sent to the earlier one may be executed by the next one, so the runs
// stay in their places there, and only its first report tells which are lost. The runs that may have crashed the earlier one are suspected then.
// wasSent reports whether the start of a run was sent; nil means that all were.
func (a *Arranger) WorkerRestarted(now time.Time, next Worker, reason string, wasSent func(name TaskName, run int64) bool) {
	w := a.workers[next.ID]
	if w == nil {
		return
	}
	successor := &worker{Worker: next, orphans: map[string]Resources{}, joinedAt: now, cold: coldState{since: now}, earlierCrashes: a.crashesOf(now, w)}
	a.workers[next.ID] = successor
	a.updateZone(successor)
	a.sortedWorkers[slices.Index(a.sortedWorkers, w)] = successor
	a.changed = true
	places := w.places
	w.places = nil
	for _, p := range places {
		p.worker = successor
		successor.places = append(successor.places, p)
		p.confirmedAt, p.startedAt, p.requestedAt, p.fencedOff = now.Add(-time.Nanosecond), time.Time{}, time.Time{}, true
	}
	for _, p := range places {
		switch {
		case p.state == placeClaimed || wasSent != nil && !wasSent(p.task.name(), p.run):
			a.releaseAndRequeue(p, reason)
		case p.state == placeStopping:
			a.orderStop(p)
		}
	}
}

// attributeCrashes attributes the crashes of the worker's earlier incarnations and, if it is lost, its own; the tasks that are found on the worker did
// not cause them.
func (a *Arranger) attributeCrashes(now time.Time, w *worker, crashes []pendingCrash) {
	for _, c := range crashes {
		a.attributeCrash(now, c.crash, slices.DeleteFunc(c.suspects, func(s suspect) bool {
			p := s.task.place
			return p != nil && p.worker == w && slices.Contains(w.places, p)
		}))
	}
}

// crashesOf returns the crash of the worker, beside those of its earlier incarnations that have not been attributed yet.
func (a *Arranger) crashesOf(now time.Time, w *worker) []pendingCrash {
	crash := Trial{Worker: w.ID, Incarnation: w.Incarnation}
	lostAt := now
	if w.reachable {
		a.recordLoss(now, w)
	} else if !w.lostContactAt.IsZero() {
		lostAt = w.lostContactAt
	}
	suspects := w.crashSuspects(lostAt)
	if a.hasCommonCause(lostAt, w.ID) {
		suspects = withoutCoincidences(suspects)
	}
	a.logLostRuns(w, suspects)
	if !w.Leaving && !w.hasReported && w.Incarnation != 0 {
		a.inheritCrash(crash)
	}
	if w.Leaving {
		return w.earlierCrashes
	}
	return append(w.earlierCrashes, pendingCrash{crash, suspects})
}

// crashSuspects returns the tasks whose runs may have crashed the worker: of those known to have been there, the ones that it has not proven, or else
// those that started recently.
func (w *worker) crashSuspects(lostAt time.Time) []suspect {
	var unproven, recent []suspect
	for _, p := range w.places {
		prompt := !p.startedAt.IsZero() && lostAt.Sub(p.startedAt) <= promptCrash
		switch {
		case !p.known():
		case !p.proven():
			unproven = append(unproven, suspect{p.task, prompt})
		case p.requestedAt.Sub(p.placedAt) < recentStart:
			recent = append(recent, suspect{p.task, prompt})
		}
	}
	if len(unproven) > 0 {
		return unproven
	}
	return recent
}

// withoutCoincidences returns the suspects that remain if the worker was lost beside many others: those of a single job that were lost right after
// their start, or under which several workers have crashed before.
func withoutCoincidences(suspects []suspect) []suspect {
	if !ofOneJob(suspects) {
		return nil
	}
	return slices.DeleteFunc(suspects, func(s suspect) bool { return !s.prompt && len(s.task.crashes) < manyCrashes })
}

func ofOneJob(suspects []suspect) bool {
	return !slices.ContainsFunc(suspects, func(s suspect) bool { return s.task.stage.job != suspects[0].task.stage.job })
}

// workerLoss is the loss of contact with a worker on which all runs were proven.
type workerLoss struct {
	worker string
	at     time.Time
}

// recordLoss records that contact with a worker was lost, unless a run that it has not proven may be the cause.
func (a *Arranger) recordLoss(now time.Time, w *worker) {
	a.losses = slices.DeleteFunc(a.losses, func(l workerLoss) bool { return now.Sub(l.at) > lossMemory })
	if !slices.ContainsFunc(w.places, func(p *place) bool { return p.known() && !p.proven() }) {
		a.losses = append(a.losses, workerLoss{w.ID, now})
	}
}

// hasCommonCause reports whether so many other workers were lost at the time that no task is the cause.
func (a *Arranger) hasCommonCause(lostAt time.Time, id string) bool {
	others := map[string]bool{}
	for _, l := range a.losses {
		if l.worker != id && l.at.Sub(lostAt).Abs() <= commonCauseWindow {
			others[l.worker] = true
		}
	}
	return a.areMany(len(others))
}

// areMany reports whether the loss of so many workers at a time has a common cause.
func (a *Arranger) areMany(lost int) bool {
	return lost >= commonCauseWorkers && float64(lost) >= commonCauseShare*float64(len(a.workers))
}

// attributeCrash records the crash of an incarnation of a worker for the suspected tasks, once for each, and fails the jobs of those under which too
// many workers have crashed.
func (a *Arranger) attributeCrash(now time.Time, crash Trial, suspects []suspect) {
	alone := ofOneJob(suspects)
	for _, s := range suspects {
		t := s.task
		j := t.stage.job
		if slices.Contains(t.crashes, crash.String()) || t.done || j.state.Final() {
			continue
		}
		if !t.suspected() {
			t.stage.suspects++
		}
		t.crashes = append(t.crashes, crash.String())
		t.trial = nil
		a.dirty[j.ID] = true
		a.changed = true
		a.options.Log("task suspected of crashing its worker", "task", t.label(), "worker", crash.Worker, "born", crash.Incarnation, "alone", alone,
			"prompt", s.prompt, "crashes", len(t.crashes), "at", now)
		if len(t.crashes) >= maxCrashes {
			a.endJob(j, Failed, fmt.Sprintf("%d workers crashed under task %s", len(t.crashes), t.label()))
		}
	}
}

// RemoveWorker removes a worker on which no run can be alive any more. Whether it has crashed shows when it answers again.
func (a *Arranger) RemoveWorker(now time.Time, id, reason string) {
	w := a.workers[id]
	if w == nil {
		delete(a.awaitedReports, id)
		return
	}
	maps.DeleteFunc(a.silentLosses, func(_ string, l silentLoss) bool { return now.Sub(l.removedAt) > silentMemory })
	var suspects []suspect
	for _, p := range w.places {
		if p.known() && !p.proven() {
			suspects = append(suspects, suspect{task: p.task})
		}
	}
	if len(suspects) > 0 && !w.Leaving {
		a.silentLosses[id] = silentLoss{Trial{id, w.Incarnation}, w.Address, suspects, now}
	}
	a.removeWorker(id, reason)
	a.attributeCrashes(now, w, w.earlierCrashes)
}

// resolveSilentLoss attributes the loss of a worker to a crash if another incarnation of it, or another worker at its address, appears.
func (a *Arranger) resolveSilentLoss(now time.Time, info Worker) {
	for id, loss := range a.silentLosses {
		if id != info.ID && (info.Address == "" || info.Address != loss.address) {
			continue
		}
		delete(a.silentLosses, id)
		sameIncarnation := id == info.ID && (info.Incarnation == loss.trial.Incarnation || info.Incarnation == 0 || loss.trial.Incarnation == 0)
		if !sameIncarnation && now.Sub(loss.removedAt) <= silentMemory {
			a.attributeCrash(now, loss.trial, loss.suspects)
		}
	}
}

// logLostRuns logs the runs that are lost with their worker and the tasks that may have crashed it.
func (a *Arranger) logLostRuns(w *worker, suspects []suspect) {
	var names []string
	for _, s := range suspects[:min(len(suspects), maxLoggedTasks)] {
		names = append(names, s.task.label())
	}
	runs, unreported := 0, 0
	var youngest time.Duration
	for _, p := range w.places {
		switch {
		case p.state == placeClaimed:
			continue
		case p.requestedAt.IsZero():
			unreported++
		default:
			if age := p.requestedAt.Sub(p.placedAt); youngest == 0 || age < youngest {
				youngest = age
			}
		}
		runs++
	}
	if runs == 0 && len(suspects) == 0 {
		return
	}
	a.counts.WorkersRestarted++
	a.options.Log("runs lost with their worker", "worker", w.ID, "born", w.Incarnation, "planned", w.Leaving, "runs", runs, "unreported", unreported,
		"youngestReported", youngest.String(), "suspects", len(suspects), "suspectedTasks", names)
}
