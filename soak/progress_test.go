package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

const (
	// finishTime is the time after the end of the traffic from which every job must make progress while there is room.
	finishTime = 14 * time.Second
	// maxStanding is the longest time for which a job may have nothing running although it could.
	maxStanding    = 3 * time.Second
	sampleInterval = 200 * time.Millisecond
	reportInterval = 5 * time.Second
)

// progressWatch looks at the workers for jobs that have nothing running while twice the room that they need is free
// and less than half of the fleet is in use.
type progressWatch struct {
	sample func() (faker.Usage, []faker.StandingJob)
	// ended reports whether an entry shows the job as ended; an end that was recorded can be lost on its worker.
	ended func(id string) bool
	// storeTime returns the time that one direct read of the store takes.
	storeTime func() time.Duration
	logf      func(format string, arguments ...any)
	// violatef receives each violation.
	violatef func(format string, arguments ...any)
	started  time.Time

	mu        sync.Mutex
	endOfLoad time.Time
	since     map[string]time.Time
	last      map[string]string
	// asked are the jobs for which ended was called since they have nothing running, endedJobs those that had ended.
	asked, endedJobs map[string]bool
	asking           sync.WaitGroup
}

func newProgressWatch(t *testing.T, sample func() (faker.Usage, []faker.StandingJob), ended func(string) bool) *progressWatch {
	return &progressWatch{
		sample: sample, ended: ended, logf: t.Logf, violatef: t.Errorf, started: time.Now(),
		since: map[string]time.Time{}, last: map[string]string{}, asked: map[string]bool{}, endedJobs: map[string]bool{},
	}
}

// run samples until stop is closed.
func (w *progressWatch) run(stop <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	var reported time.Time
	var gap, storeTime time.Duration
	last := time.Now()
	for {
		select {
		case <-stop:
			w.asking.Wait()
			w.observe(time.Now(), faker.Usage{}, nil)
			return
		case now := <-ticker.C:
			gap, last = max(gap, time.Since(last)), time.Now()
			storeTime = max(storeTime, w.storeTime())
			usage, standing := w.sample()
			w.observe(now, usage, standing)
			if now.Sub(reported) >= reportInterval {
				reported = now
				w.logf("%s: %d of %d accelerators in use, %d jobs have nothing running, %d of them with room; "+
					"longest since the last line: %s between samples, %s for a read of the store",
					stamp(now), usage.Used, usage.Total, len(standing), w.standing(),
					gap.Round(time.Millisecond), storeTime.Round(time.Millisecond))
				gap, storeTime = 0, 0
			}
		}
	}
}

func (w *progressWatch) standing() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.since)
}

// end sets the end of the traffic, which is the end of all faults as well.
func (w *progressWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endOfLoad = time.Now()
}

// observe applies a sample of the fleet.
func (w *progressWatch) observe(now time.Time, usage faker.Usage, standing []faker.StandingJob) {
	w.mu.Lock()
	defer w.mu.Unlock()
	stands := map[string]bool{}
	for _, job := range standing {
		if w.endedJobs[job.ID] || !couldRun(usage, job) {
			continue
		}
		stands[job.ID] = true
		if w.since[job.ID].IsZero() {
			w.since[job.ID] = now
		}
		if now.Sub(w.since[job.ID]) >= maxStanding/2 && !w.asked[job.ID] {
			w.asked[job.ID] = true
			w.asking.Go(func() { w.ask(job.ID) })
		}
		w.last[job.ID] = fmt.Sprintf("%d tasks of %d accelerators, gang of %d, %d starts, %d failed runs; "+
			"%d of %d accelerators in use, room for %d tasks",
			job.Count, job.Accelerators, job.Gang, job.Starts, job.Failures,
			usage.Used, usage.Total, roomFor(job.TaskJob, usage))
	}
	for id, since := range w.since {
		if !stands[id] {
			w.report(id, since, now)
			delete(w.since, id)
			delete(w.asked, id)
		}
	}
}

// ask takes the job out of the watch if an entry shows it as ended.
func (w *progressWatch) ask(id string) {
	if !w.ended(id) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endedJobs[id] = true
	delete(w.since, id)
}

// report logs a job that had nothing running for too long; after the end of the traffic it is an error.
func (w *progressWatch) report(id string, since, now time.Time) {
	if now.Sub(since) < maxStanding {
		return
	}
	text := fmt.Sprintf("job %s had nothing running from %s to %s (%.1f s to %.1f s), although it could run (%s)", id,
		stamp(since), stamp(now), since.Sub(w.started).Seconds(), now.Sub(w.started).Seconds(), w.last[id])
	if !w.endOfLoad.IsZero() && now.Sub(later(since, w.endOfLoad.Add(finishTime))) >= maxStanding {
		w.violatef("%s", text)
		return
	}
	w.logf("during the traffic: %s", text)
}

// stamp formats a time like those in the logs of the entries, without the date.
func stamp(t time.Time) string { return t.UTC().Format("15:04:05.000") }

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// couldRun reports whether twice the room that the job needs to begin is free and less than half of the fleet is in use.
func couldRun(usage faker.Usage, job faker.StandingJob) bool {
	const twice = 2
	return job.Failures < maxAttempts && twice*usage.Used < usage.Total &&
		roomFor(job.TaskJob, usage) >= twice*max(1, job.Gang)
}

func TestStandingJobIsReportedOnlyWithRoomAndTime(t *testing.T) {
	job := faker.StandingJob{ID: "x", TaskJob: faker.TaskJob{Gang: 3, Accelerators: 4}}
	idle := faker.Usage{Total: 64, Used: 8, Free: map[int]int{4: 6}}
	for _, c := range []struct {
		name  string
		usage faker.Usage
		after time.Duration
		span  time.Duration
		ended bool
		want  int
	}{
		{"idle fleet", idle, finishTime, maxStanding, false, 1},
		{"shown as ended", idle, finishTime, maxStanding, true, 0},
		{"too short", idle, finishTime, maxStanding - time.Second, false, 0},
		{"begins before the finish time", idle, finishTime - time.Second, maxStanding, false, 0},
		{"little room", faker.Usage{Total: 64, Used: 8, Free: map[int]int{4: 5}}, finishTime, maxStanding, false, 0},
		{"half in use", faker.Usage{Total: 64, Used: 32, Free: map[int]int{4: 6}}, finishTime, maxStanding, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			violations := 0
			w := newProgressWatch(t, nil, func(string) bool { return c.ended })
			w.endOfLoad, w.violatef = start, func(string, ...any) { violations++ }
			for at := time.Duration(0); at < c.span; at += sampleInterval {
				w.observe(start.Add(c.after+at), c.usage, []faker.StandingJob{job})
				w.asking.Wait()
			}
			w.observe(start.Add(c.after+c.span), c.usage, nil)
			if violations != c.want {
				t.Errorf("%d violations, want %d", violations, c.want)
			}
		})
	}
}

// roomFor returns how many tasks of the job fit.
func roomFor(job faker.TaskJob, usage faker.Usage) int {
	if job.MaxPerWorker == 0 {
		return usage.Free[job.Accelerators]
	}
	return min(usage.Free[job.Accelerators], job.MaxPerWorker*usage.Workers[job.Accelerators])
}
