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

// playScheduled hands in a job that runs many times and, beside it, single jobs at a low rate. Each of these needs
// one accelerator for a fifth of a second.
func playScheduled(folder string) (int, error) {
	w, err := newWorld(folder, 4, 3, oneKind)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return notRun, err
	}
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
	const span, pause = 60 * time.Second, 2500 * time.Millisecond
	for i := 0; time.Since(begun) < span; i++ {
		id := fmt.Sprintf("%016x", 0x1000+i)
		a := w.call(w.entries[i%len(w.entries)], http.MethodPost, "/run/"+id, jobBody(need{Millis: 200, CPU: 1000, MemMB: 256, GPU: 1}, 1, 1, ""))
		ends, runs := w.fleet.listed()
		w.record.line("POST /run/%s -> %s; the workers list %d ends that are not acknowledged and %d runs", id, a, ends, runs)
		if a.status == http.StatusOK {
			single = append(single, id)
		}
		time.Sleep(pause)
	}
	time.Sleep(14 * time.Second)
	return w.judgeStanding(single)
}

// judgeStanding reports the rule LOST as broken if a job that was accepted stands still for watched, with nothing running on workers that are
// almost free.
func (w *world) judgeStanding(single []string) (int, error) {
	standing := map[string]int{}
	queues := map[string]string{scheduledID: "batch"}
	for _, id := range single {
		queues[id] = "run"
	}
	const looks = 10
	for look := range looks {
		ends, runs := w.fleet.listed()
		if look == 0 || runs > 0 {
			w.record.line("the workers list %d ends that are not acknowledged and %d runs", ends, runs)
		}
		for id, queue := range queues {
			state := w.state(w.entries[look%len(w.entries)], queue, id)
			if state != "succeeded" && runs == 0 {
				standing[id]++
			}
			if look == 0 {
				w.record.line("GET /%s/%s -> %s", queue, id, state)
			}
		}
		time.Sleep(watched / (looks - 2))
	}
	count := 0
	for _, seen := range standing {
		if seen == looks {
			count++
		}
	}
	w.fleet.mu.Lock()
	w.record.line("%d starts, %d ends as done, %d of them acknowledged", w.fleet.starts, w.fleet.dones, len(w.fleet.acked))
	w.fleet.mu.Unlock()
	if count > 0 {
		w.record.line("LOST is broken: %d of %d accepted jobs have stood still for over %s, %d workers run nothing", count, len(queues), watched, len(w.fleet.workers))
		return broken, nil
	}
	w.record.line("held: all %d accepted jobs have succeeded or run", len(queues))
	return held, nil
}
