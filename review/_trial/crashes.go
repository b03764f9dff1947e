package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// pool is the number of workers of the kind that the job requires, of poolFleet in all.
	pool, poolFleet = 3, 20
	// crashCount is the number of crashes, one every crashGap.
	crashCount, crashGap = 12, 3600 * time.Millisecond
)

// oneKind is the kind of all workers.
func oneKind(int) string { return "a" }

// playCrashes hands in a job with a task that lasts and needs a kind of worker of which there are a few. These crash in turn, one at a time, and
// each is back before the next one crashes.
func playCrashes(folder string) (int, error) {
	w, err := newWorld(folder, poolFleet, 3, func(i int) string {
		if i < pool {
			return "b"
		}
		return "a"
	})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return notRun, err
	}
	body := jobBody(need{Millis: 1000, CPU: 4000, MemMB: 256, GPU: 1, Lasting: true, Requires: "b"}, 1, 1, "")
	a := w.call(w.entries[0], http.MethodPost, "/run/"+lastingID, body)
	w.record.line("POST /run/%s, a task that lasts -> %s", lastingID, a)
	if a.status != http.StatusOK {
		return notRun, fmt.Errorf("job not accepted: %s", a)
	}
	time.Sleep(12 * time.Second)
	for i := range crashCount {
		if w.trouble {
			w.fleet.workers[i%pool].crash(crashAway)
		}
		time.Sleep(crashGap)
		w.record.line("GET /run/%s -> %s", lastingID, w.state(w.entries[i%len(w.entries)], "run", lastingID))
	}
	time.Sleep(10 * time.Second)
	state := w.state(w.entries[0], "run", lastingID)
	w.fleet.mu.Lock()
	runs := w.fleet.runningOn(lastingID+".0.0.0") != nil
	w.fleet.mu.Unlock()
	w.record.line("GET /run/%s -> %s; its task runs: %t", lastingID, state, runs)
	if state == "failed" || state == "cancelled" {
		w.record.line("LOST is broken: the job is shown as %s; no run of it has ended as failed", state)
		return broken, nil
	}
	w.record.line("held: the job is not shown as failed")
	return held, nil
}
