package arranger

import (
	"fmt"
	"slices"
	"time"
)

// The crashes under a task outlive the owner. They are part of the progress of
// its job, and so is a start of a suspected task until it is proven, so that
// the next owner can tell whether it crashed the worker.

// Trial is a start of a suspected task on an incarnation of a worker.
type Trial struct {
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born"`
}

func (r Trial) String() string { return fmt.Sprintf("%s@%d", r.Worker, r.Incarnation) }

// restoreCrashes applies the recorded crashes of a task, and expects to learn what became of a recorded trial.
func (a *Arranger) restoreCrashes(t *task, recorded TaskProgress) {
	if len(recorded.Crashes) > 0 {
		t.crashes = slices.Clone(recorded.Crashes)
		t.stage.suspects++
	}
	if recorded.Trial == nil || t.done {
		return
	}
	trial := *recorded.Trial
	t.trial = &trial
	a.trials[trial.Worker] = append(a.trials[trial.Worker], t)
}

// settleRestored settles the recorded trials of a job on workers that have restarted since.
func (a *Arranger) settleRestored(now time.Time, j *job) {
	for _, s := range j.stages {
		for _, t := range s.tasks {
			if t.trial == nil {
				continue
			}
			if w := a.workers[t.trial.Worker]; w != nil {
				a.resolveTrials(now, w)
			}
			if j.state.Final() {
				return
			}
		}
	}
}

// resolveTrials settles the trials of a previous owner on a worker that has another incarnation now.
func (a *Arranger) resolveTrials(now time.Time, w *worker) {
	for _, t := range a.trials[w.ID] {
		if t.trial != nil && w.Incarnation != 0 && t.trial.Incarnation != 0 && t.trial.Incarnation != w.Incarnation {
			a.attributeCrash(now, *t.trial, []suspect{{t, true}})
		}
	}
}

// forgetTrials drops the trials of a previous owner on a worker that has reported what runs there.
func (a *Arranger) forgetTrials(id string) {
	for _, t := range a.trials[id] {
		t.trial = nil
	}
	delete(a.trials, id)
}

// trialToRecord returns the start of a suspected task whose outcome the next owner has to find out, or nil.
func (t *task) trialToRecord() *Trial {
	if p := t.place; p != nil && t.suspected() && p.state != placeClaimed && !p.proven() {
		return &Trial{Worker: p.worker.ID, Incarnation: p.worker.Incarnation}
	}
	return t.trial
}

// inheritCrash notes for the jobs of a previous owner that a worker has crashed on which they may have had runs.
func (a *Arranger) inheritCrash(crash Trial) {
	a.inheritedCrashes[crash.Worker] = crash
	for _, j := range a.active {
		if j.inherited && slices.Contains(j.inheritedWorkers, crash.Worker) {
			j.inheritedCrashes = append(j.inheritedCrashes, crash)
		}
	}
}

// attributeInheritedCrashes suspects the tasks of inherited jobs that are found on no worker, once all workers have reported on
// which they may be, of the crashes that the previous owner had not recorded.
func (a *Arranger) attributeInheritedCrashes(now time.Time) {
	if len(a.inheritedCrashes) == 0 {
		return
	}
	manyLost := a.areMany(len(a.inheritedCrashes))
	for _, j := range slices.Clone(a.active) {
		if len(j.inheritedCrashes) == 0 || a.awaitsReport(j) {
			continue
		}
		var suspects []suspect
		for _, s := range j.stages {
			for _, t := range s.tasks {
				if !s.ready.IsZero() && !t.done && t.place == nil && (!manyLost || len(t.crashes) >= manyCrashes) {
					suspects = append(suspects, suspect{task: t})
				}
			}
		}
		// A task had one run at most, so that it can have crashed only one of the workers.
		crash := j.inheritedCrashes[0]
		j.inheritedCrashes = nil
		a.attributeCrash(now, crash, suspects)
	}
}
