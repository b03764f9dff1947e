package arranger

import (
	"errors"
	"fmt"
	"slices"
)

// ErrInvariant means that the state of the arranger is inconsistent.
var ErrInvariant = errors.New("invariant broken")

// Check returns ErrInvariant if a worker is overcommitted, a worker of an evacuated zone is claimed, the places of
// tasks and workers disagree, a task runs before its step is ready, or a gang has runs of different numbers.
func (a *Arranger) Check() error {
	for _, w := range a.sortedWorkers {
		if err := w.check(); err != nil {
			return err
		}
	}
	for _, j := range a.active {
		for _, s := range j.stages {
			if err := s.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *worker) check() error {
	inUse := Resources{}
	for _, p := range w.places {
		if p.worker != w {
			return fmt.Errorf("%w: place of %s is listed by another worker", ErrInvariant, p.task.name())
		}
		if p.state == placeClaimed && w.evacuated {
			return fmt.Errorf("%w: %s claims worker %s of the evacuated zone %s", ErrInvariant, p.task.name(), w.ID, w.Zone)
		}
		if p.state != placeClaimed {
			inUse = inUse.Add(p.task.stage.step.Need)
		}
	}
	if w.hasReported && len(w.places) > 0 && !w.adopted() && !w.Capacity.Covers(inUse) {
		return fmt.Errorf("%w: worker %s is overcommitted: capacity %+v, in use %+v", ErrInvariant, w.ID, w.Capacity, inUse)
	}
	return nil
}

// adopted reports whether the worker has adopted runs. The worker itself admitted them, so they are not checked
// against its capacity.
func (w *worker) adopted() bool {
	for _, p := range w.places {
		if p.adopted {
			return true
		}
	}
	return false
}

func (s *stage) check() error {
	unfinished := 0
	var run int64
	for _, t := range s.tasks {
		if !t.done {
			unfinished++
		}
		p := t.place
		if p == nil {
			continue
		}
		if !slices.Contains(p.worker.places, p) {
			return fmt.Errorf("%w: place of %s is not listed by its worker", ErrInvariant, t.name())
		}
		if s.ready.IsZero() && p.state != placeStopping {
			return fmt.Errorf("%w: %s runs before its step is ready", ErrInvariant, t.name())
		}
		if !s.step.Gang || p.state != placeStarting && p.state != placeRunning || t.done {
			continue
		}
		if run != 0 && run != p.run {
			return fmt.Errorf("%w: gang of %s has runs with numbers %d and %d", ErrInvariant, t.name(), run, p.run)
		}
		run = p.run
	}
	if unfinished != s.unfinished {
		return fmt.Errorf("%w: step %d of %s has %d unfinished tasks, but counts %d", ErrInvariant, s.stepNumber, s.job.ID, unfinished, s.unfinished)
	}
	return nil
}
