package main

import "time"

const (
	// afterRun, calmBefore and standstill are the bounds of the rule LOST for a task that lasts.
	afterRun, calmBefore, standstill = 6 * time.Second, 4 * time.Second, 3 * time.Second
	// lookInterval is the time between two looks at the workers.
	lookInterval = 50 * time.Millisecond
)

// watchedTasks are tasks that last; there is no disruption from calm on.
type watchedTasks struct {
	world *world
	tasks []string
	need  need
	calm  time.Time
}

// judge watches the tasks and reports the rule LOST as broken if one has not run for standstill, from afterRun after its last run on and after
// calmBefore without a disruption, while it would have fitted twice.
func (t watchedTasks) judge(span time.Duration) (int, error) {
	w := t.world
	since, longest, least := map[string]time.Time{}, map[string]time.Duration{}, map[string]int{}
	begun := time.Now()
	for ; time.Since(begun) < span; time.Sleep(lookInterval) {
		now := time.Now()
		for _, task := range t.tasks {
			w.fleet.mu.Lock()
			runs, places, lastRun := w.fleet.runningOn(task) != nil, w.fleet.places(t.need), w.fleet.leftAt[task]
			w.fleet.mu.Unlock()
			if runs || places < 2 || now.Sub(lastRun) < afterRun || now.Sub(t.calm) < calmBefore {
				delete(since, task)
				continue
			}
			if since[task].IsZero() {
				since[task], least[task] = now, places
			}
			least[task] = min(least[task], places)
			before := longest[task]
			longest[task] = max(before, now.Sub(since[task]))
			if before < standstill && longest[task] >= standstill {
				w.record.line("%s has not run for %.1f s, it would fit %d times; GET /run/%s -> %s",
					task, now.Sub(lastRun).Seconds(), places, task[:16], w.state(w.entries[0], "run", task[:16]))
			}
		}
	}
	code := held
	for _, task := range t.tasks {
		if longest[task] >= standstill {
			code = broken
			w.record.line("LOST is broken: %s, which lasts, has not run for %.1f s of calm, from %s after its last run on; there was room for it %d times or more all the while",
				task, longest[task].Seconds(), afterRun, least[task])
		}
	}
	if code == held {
		w.record.line("held: no task that lasts stood still for %s while there was room for it", standstill)
	}
	return code, nil
}
