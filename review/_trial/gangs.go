package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// spreadID is a gang that wants each of its tasks on another worker.
	spreadID = "4095000000000001"
	// gangWorkers is the number of workers and of the tasks of each gang, otherGangs that of the gangs that may share workers.
	gangWorkers, otherGangs = 16, 3
	// linger is how long a worker that drains is there.
	linger = 4 * time.Second
	// finish is finish_s of the settings.
	finish = 14 * time.Second
)

// playGangs lets a worker leave, then hands in a gang with a task for each of the workers that were there, and gangs that still fit.
func playGangs(folder string, trouble bool) (int, error) {
	w, err := newWorld(folder, trouble, gangWorkers, 3, oneKind)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return notRun, err
	}
	if w.trouble {
		w.fleet.workers[5].leave(linger)
	}
	time.Sleep(linger + 2*time.Second)
	other := need{Millis: 20000, CPU: 2000, MemMB: 1000, GPU: 1, Gang: gangWorkers}
	spread := other
	spread.PerServer = 1
	a := w.call(w.entries[0], http.MethodPost, "/run/"+spreadID, jobBody(spread, 1, gangWorkers, ""))
	w.record.line("POST /run/%s, a gang of %d tasks, one on each worker at most -> %s", spreadID, gangWorkers, a)
	if a.status != http.StatusOK {
		return notRun, fmt.Errorf("job not accepted: %s", a)
	}
	time.Sleep(time.Second)
	var ids []string
	for i := range otherGangs {
		id := fmt.Sprintf("90a0%012x", i)
		a := w.call(w.entries[i%len(w.entries)], http.MethodPost, "/run/"+id, jobBody(other, 1, gangWorkers, ""))
		w.record.line("POST /run/%s, a gang of %d tasks -> %s", id, gangWorkers, a)
		if a.status == http.StatusOK {
			ids = append(ids, id)
		}
	}
	time.Sleep(finish)
	return w.judgeGangs(ids, other)
}

// judgeGangs reports the rule LOST as broken if none of a job's tasks runs for standstill although there is room for all of them twice over and under
// half of the capacity is in use.
func (w *world) judgeGangs(ids []string, n need) (int, error) {
	waits := slices.Clone(ids)
	least := 1 << 20
	for begun := time.Now(); time.Since(begun) < standstill; time.Sleep(lookInterval) {
		w.fleet.mu.Lock()
		places, used := w.fleet.places(n), 0
		for _, worker := range w.fleet.workers {
			used += worker.used().GPU
		}
		waits = slices.DeleteFunc(waits, func(id string) bool {
			task := id + ".0.0.0"
			return w.fleet.runningOn(task) != nil || !w.fleet.doneAt[task].IsZero()
		})
		w.fleet.mu.Unlock()
		least = min(least, places)
		if places < 2*n.Gang || 2*used >= len(w.fleet.workers)*capacity.GPU {
			waits = nil
		}
	}
	for i, id := range ids {
		w.record.line("GET /run/%s -> %s", id, w.state(w.entries[i%len(w.entries)], "run", id))
	}
	w.record.line("GET /run/%s -> %s", spreadID, w.state(w.entries[0], "run", spreadID))
	if len(waits) > 0 {
		w.record.line("LOST is broken: %s after the end of the traffic none of the %d tasks of %v has run for %s, with room for %d of them", finish, n.Gang, waits, standstill, least)
		return broken, nil
	}
	w.record.line("held: each gang has run or runs")
	return held, nil
}
