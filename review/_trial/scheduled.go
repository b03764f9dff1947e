package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// scheduledID is the job with many occurrences.
	scheduledID = "5c0e7a21d94b36f8"
	// parts is the number of its steps, interval the time between two of its occurrences.
	parts, interval = 24, 110 * time.Millisecond
	// occurrences and fewOccurrences are their numbers with and without the disruption.
	occurrences, fewOccurrences = 400, 40
	// watched is how long a job has to stand still, with most of the workers' room free, for the rule to be broken.
	watched = 3 * time.Second
)

// singleTask is a task of the other jobs.
var singleTask = need{Millis: 200, CPU: 1000, MemMB: 256}

// playScheduled hands in a job that runs many times and, beside it, one other job every two seconds, of a hundred tasks of a fifth of a second.
func playScheduled(folder string, trouble bool) (int, error) {
	w, err := newWorld(folder, trouble, 4, 3, oneKind)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return notRun, err
	}
	// Its runs are counted and not recorded one by one.
	w.fleet.quiet = scheduledID
	times := fewOccurrences
	if w.trouble {
		times = occurrences
	}
	first := time.Now().Add(time.Second).UnixMilli()
	body := jobBody(need{Millis: 50, CPU: 100, MemMB: 16}, parts, 1, fmt.Sprintf(`,"times":%d,"firstMs":%d,"intervalMs":%d`, times, first, interval.Milliseconds()))
	a := w.call(w.entries[0], http.MethodPost, "/batch/"+scheduledID, body)
	w.record.line("POST /batch/%s, %d steps, %d times, each %s -> %s", scheduledID, parts, times, interval, a)
	if a.status != http.StatusOK {
		return notRun, fmt.Errorf("job not accepted: %s", a)
	}
	var single []string
	begun := time.Now()
	const span, pause, width = 72 * time.Second, 2 * time.Second, 100
	for i := 0; time.Since(begun) < span; i++ {
		id := fmt.Sprintf("%016x", 0x1000+i)
		a := w.call(w.entries[i%len(w.entries)], http.MethodPost, "/run/"+id, jobBody(singleTask, 1, width, ""))
		ends, runs := w.fleet.listed()
		starts, dones := w.fleet.counts()
		w.record.line("POST /run/%s, %d tasks -> %s; %d starts and %d ends as done so far, the workers list %d ends that are not acknowledged and %d runs", id, width, a, starts, dones, ends, runs)
		if a.status == http.StatusOK {
			single = append(single, id)
		}
		time.Sleep(pause)
	}
	time.Sleep(14 * time.Second)
	return w.judgeStanding(single)
}

// judgeStanding reports the rule LOST as broken if none of the tasks of a job that is not shown as ended has run for watched, with room for the largest
// of these tasks twice over and under half of the capacity in use.
func (w *world) judgeStanding(single []string) (int, error) {
	queues := map[string]string{scheduledID: "batch"}
	for _, id := range single {
		queues[id] = "run"
	}
	ends, runs := w.fleet.listed()
	w.record.line("the workers list %d ends that are not acknowledged and %d runs", ends, runs)
	hasRun := map[string]bool{}
	room := true
	for begun := time.Now(); time.Since(begun) < watched+lookInterval; time.Sleep(lookInterval) {
		w.fleet.mu.Lock()
		used := 0
		for _, worker := range w.fleet.workers {
			used += worker.used().CPU
			for task := range worker.runs {
				hasRun[task[:len(scheduledID)]] = true
			}
		}
		room = room && w.fleet.places(singleTask) >= 2 && 2*used < len(w.fleet.workers)*capacity.CPU
		w.fleet.mu.Unlock()
	}
	var standing []string
	for id, queue := range queues {
		state := w.state(w.entries[0], queue, id)
		w.record.line("GET /%s/%s -> %s; it ran in the last %s: %t", queue, id, state, watched, hasRun[id])
		if !hasRun[id] && (state == "queued" || state == "running") {
			standing = append(standing, id)
		}
	}
	starts, dones := w.fleet.counts()
	w.record.line("%d starts, %d ends as done, %d of them acknowledged", starts, dones, len(w.fleet.acked))
	if room && len(standing) > 0 {
		w.record.line("LOST is broken: %d of %d accepted jobs have had nothing running for %s, with room twice over and under half of it in use: %v", len(standing), len(queues), watched, standing)
		return broken, nil
	}
	w.record.line("held: none of the %d accepted jobs stood still", len(queues))
	return held, nil
}
