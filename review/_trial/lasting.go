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
)

// playLasting hands in a job with a task that lasts and then much batch work of a lower priority. The worker of the lasting task crashes while the
// batch work waits, and is back soon.
func playLasting(folder string, trouble bool) (int, error) {
	w, err := newWorld(folder, trouble, 8, 3, oneKind)
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
	return watchedTasks{world: w, tasks: []string{task}, need: lasting, calm: calm}.judge(40 * time.Second)
}
