package arranger

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// What an owner knows of the runs on a worker outlives it: the progress of a
// job names the runs that a worker has confirmed and not reported yet. If the
// next owner finds another incarnation there, these runs, and no others, are
// known to have been there when it crashed.

// Trial is a run that is known to be on an incarnation of a worker, but not yet to leave it unharmed.
type Trial struct {
	Worker      string
	Incarnation int64
}

func (r Trial) String() string { return fmt.Sprintf("%s@%d", r.Worker, r.Incarnation) }

// errBadTrial means that a text names no incarnation of a worker.
var errBadTrial = errors.New("not an incarnation of a worker")

// parseTrial parses the text form of a trial.
func parseTrial(text string) (Trial, error) {
	i := strings.LastIndexByte(text, '@')
	incarnation, err := strconv.ParseInt(text[i+1:], 10, 64)
	if i <= 0 || err != nil {
		return Trial{}, fmt.Errorf("%w: %q", errBadTrial, text)
	}
	return Trial{Worker: text[:i], Incarnation: incarnation}, nil
}

// restoreTrials expects to learn what became of the confirmed runs of a job.
func (a *Arranger) restoreTrials(j *job, confirmed map[string][]string) {
	if len(confirmed) == 0 {
		return
	}
	tasks := map[string]*task{}
	for _, s := range j.stages {
		for _, t := range s.tasks {
			tasks[t.key()] = t
		}
	}
	for _, text := range slices.Sorted(maps.Keys(confirmed)) {
		trial, err := parseTrial(text)
		if err != nil {
			a.options.Log("confirmed runs unreadable", "job", j.ID, "error", err.Error())
			continue
		}
		for _, key := range confirmed[text] {
			if t := tasks[key]; t != nil && !t.done {
				t.trial = &trial
				a.trials[trial.Worker] = append(a.trials[trial.Worker], t)
			}
		}
	}
}

// forgetTrials drops the trials of a previous owner on an incarnation of a worker that has reported what runs there.
func (a *Arranger) forgetTrials(w *worker) {
	a.keepTrials(w.ID, func(t *task) bool {
		if t.trial != nil && (t.trial.Incarnation == w.Incarnation || t.trial.Incarnation == 0 || w.Incarnation == 0) {
			t.trial = nil
		}
		return t.trial != nil
	})
}

// keepTrials keeps those trials on a worker for which the condition holds.
func (a *Arranger) keepTrials(id string, condition func(t *task) bool) {
	kept := slices.DeleteFunc(a.trials[id], func(t *task) bool { return !condition(t) })
	if a.trials[id] = kept; len(kept) == 0 {
		delete(a.trials, id)
	}
}

// trialToRecord returns a run of the task of which the next owner has to know if its worker crashes, or nil.
func (t *task) trialToRecord() *Trial {
	if p := t.place; p != nil && p.known() && !p.proven() {
		return &Trial{Worker: p.worker.ID, Incarnation: p.worker.Incarnation}
	}
	return t.trial
}

// inheritCrash notes that a worker has crashed that had not reported to this owner.
func (a *Arranger) inheritCrash(crash Trial) { a.inheritedCrashes[crash.Worker] = crash }

// hasCrashed reports whether the incarnation of the worker is known to have ended.
func (a *Arranger) hasCrashed(r Trial) bool {
	if a.inheritedCrashes[r.Worker] == r {
		return true
	}
	w := a.workers[r.Worker]
	return w != nil && w.Incarnation != 0 && r.Incarnation != 0 && w.Incarnation != r.Incarnation
}

// attributeInheritedCrashes suspects the tasks whose runs were confirmed by a worker that has crashed since, once all workers have reported on
// which runs of their jobs may be. The crashes of many workers have another cause.
func (a *Arranger) attributeInheritedCrashes(now time.Time) {
	if len(a.trials) == 0 {
		return
	}
	lost := map[string]bool{}
	for id := range a.inheritedCrashes {
		lost[id] = true
	}
	for id, tasks := range a.trials {
		lost[id] = lost[id] || slices.ContainsFunc(tasks, func(t *task) bool { return t.trial != nil && a.hasCrashed(*t.trial) })
	}
	maps.DeleteFunc(lost, func(_ string, is bool) bool { return !is })
	manyLost := a.areMany(len(lost))
	for _, id := range slices.Sorted(maps.Keys(lost)) {
		suspects := map[Trial][]suspect{}
		a.keepTrials(id, func(t *task) bool {
			switch {
			case t.trial == nil || t.stage.job.state.Final():
				return false
			case !a.hasCrashed(*t.trial) || a.awaitsReport(t.stage.job):
				return true
			case t.place == nil && !t.done && (!manyLost || len(t.crashes) >= manyCrashes):
				suspects[*t.trial] = append(suspects[*t.trial], suspect{task: t})
			}
			t.trial = nil
			return false
		})
		for _, crash := range slices.SortedFunc(maps.Keys(suspects), func(x, y Trial) int { return cmp.Compare(x.Incarnation, y.Incarnation) }) {
			a.attributeCrash(now, crash, suspects[crash])
		}
	}
}
