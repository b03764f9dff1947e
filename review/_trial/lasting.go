package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// lastingID is the job whose task lasts.
	lastingID = "1a57000000000001"
	// crashAway is how long a crashed worker is away.
	crashAway = 3 * time.Second
	// afterRun, calmBefore and standstill are the bounds of the rule LOST for a task that lasts.
	afterRun, calmBefore, standstill = 6 * time.Second, 4 * time.Second, 3 * time.Second
)

// playLasting hands in a job with a task that lasts and then much batch work of a lower priority. The worker of the lasting task crashes while the
// batch work waits, and is back soon.
func playLasting(folder string) (int, error) {
	w, err := newWorld(folder, 8, 3, oneKind)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return notRun, err
	}
	lasting := need{Millis: 1000, CPU: 1000, MemMB: 256, GPU: 1, Lasting: true}
	a := w.call(w.entries[0], http.MethodPost, "/run/"+lastingID, jobBody(lasting, 1, 1, ""))
	w.record.line("POST /run/%s, a task that lasts -> %s", lastingID, a)
	if a.status != http.StatusOK {
		return notRun, fmt.Errorf("job not accepted: %s", a)
	}
	time.Sleep(3 * time.Second)
	w.fleet.mu.Lock()
	w.fleet.quiet = "ba7c"
	w.fleet.mu.Unlock()
	const jobs, width = 60, 8
	for i := range jobs {
		id := fmt.Sprintf("ba7c%012x", i)
		a := w.call(w.entries[i%len(w.entries)], http.MethodPost, "/batch/"+id, jobBody(need{Millis: 6000, CPU: 2800, MemMB: 7400, GPU: 1}, 1, width, ""))
		if a.status != http.StatusOK {
			w.record.line("POST /batch/%s -> %s", id, a)
		}
	}
	w.record.line("%d batch jobs of %d tasks handed in, each task 6 s on one accelerator", jobs, width)
	time.Sleep(18 * time.Second)

	task := lastingID + ".0.0.0"
	w.fleet.mu.Lock()
	victim := w.fleet.runningOn(task)
	w.fleet.mu.Unlock()
	if victim == nil {
		return notRun, fmt.Errorf("the lasting task does not run")
	}
	w.record.line("the lasting task runs on %s", victim.id)
	calm := time.Now()
	if w.trouble {
		victim.crash(crashAway)
		calm = calm.Add(crashAway)
	}
	lastRun, since := time.Now(), time.Time{}
	var longest time.Duration
	const watch, step = 40 * time.Second, 50 * time.Millisecond
	minPlaces := 0
	for begun := time.Now(); time.Since(begun) < watch; time.Sleep(step) {
		now := time.Now()
		w.fleet.mu.Lock()
		runs, places := w.fleet.runningOn(task) != nil, w.fleet.places(lasting)
		w.fleet.mu.Unlock()
		if runs {
			lastRun = now
		}
		if runs || places < 2 || now.Sub(lastRun) < afterRun || now.Sub(calm) < calmBefore {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since, minPlaces = now, places
		}
		minPlaces = min(minPlaces, places)
		if d := now.Sub(since); d > longest {
			if longest < standstill && d >= standstill {
				w.record.line("the lasting task has not run for %.1f s; it would fit %d times; GET /run/%s -> %s", now.Sub(lastRun).Seconds(), places, lastingID, w.state(w.entries[0], "run", lastingID))
			}
			longest = d
		}
	}
	if longest >= standstill {
		w.record.line("LOST is broken: a task that lasts has not run for %.1f s of calm, from %s after its last run on; there was room for it %d times or more all the while", longest.Seconds(), afterRun, minPlaces)
		return broken, nil
	}
	w.record.line("held: the longest time without the lasting task while there was room is %.1f s", longest.Seconds())
	return held, nil
}
