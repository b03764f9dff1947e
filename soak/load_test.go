package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// outcome is what a client knows about the job that it submitted.
type outcome int

const (
	refused outcome = iota
	unknown
	accepted
)

// minCrashes is the number of workers that a task has to crash before its job may be given up.
const minCrashes = 2

const (
	// maxCancels is the number of attempts to cancel a job, cancelPause the time between two.
	maxCancels  = 40
	cancelPause = 250 * time.Millisecond
)

// maxAsked is the number of entries that are asked for the state of a job.
const maxAsked = 3

// submission is a job that was submitted to a queue.
type submission struct {
	prefix    string
	outcome   outcome
	cancelled bool
	// acknowledged means that the cancellation was acknowledged.
	acknowledged bool
	// crashes means that the tasks crash their workers, scheduled that they are due one after the other.
	crashes, scheduled bool
}

// randomJob returns a job for the size of the fleet and the number of its tasks.
func (s *soak) randomJob() (faker.TaskJob, int, bool) {
	if !s.large() {
		job := faker.TaskJob{Duration: time.Duration(200+s.random.IntN(3000)) * time.Millisecond}
		job.Accelerators = []int{1, 2, 4, 8}[s.random.IntN(4)]
		count := 1 + s.random.IntN(4)
		if s.chance(2) {
			job.Gang = count
		}
		if s.chance(12) {
			job.CrashAfter = 10 * time.Millisecond
		}
		return job, count, false
	}
	job := faker.TaskJob{Duration: time.Duration(1000+s.random.IntN(6000)) * time.Millisecond, Accelerators: 1}
	if s.chance(8) {
		job.FailRuns = 1 + s.random.IntN(2)
	}
	if s.chance(3) {
		return job, 20 + s.random.IntN(61), false
	}
	job.Accelerators = 4 << s.random.IntN(2)
	job.Gang = min(7+s.random.IntN(54), s.total()/4/job.Accelerators)
	sameRack := !s.chance(4)
	if sameRack {
		job.RemoteFactor = remoteFactor
	}
	return job, job.Gang, sameRack
}

// constrain lets some jobs of a small fleet run many times, and some limit their tasks on one worker; it returns the fields of the job and of its step for that.
func (s *soak) constrain(job *faker.TaskJob, count int) (jobFields, stepFields string) {
	if s.large() {
		return "", ""
	}
	switch s.random.IntN(8) {
	case 0:
		times := 20 + s.random.IntN(100)
		*job = faker.TaskJob{Duration: time.Duration(20+s.random.IntN(200)) * time.Millisecond, Accelerators: 1, Count: count * times}
		return fmt.Sprintf(`,"times":%d,"firstMs":%d,"intervalMs":%d`, times, time.Now().UnixMilli(), 50+s.random.IntN(100)), ""
	case 1, 2:
		job.MaxPerWorker = 1 + s.random.IntN(2)
		return "", fmt.Sprintf(`,"maxPerServer":%d`, job.MaxPerWorker)
	default:
		return "", ""
	}
}

// submit submits a new job with random settings; on a large fleet the response is awaited in the background.
func (s *soak) submit() {
	s.next++
	id := fmt.Sprintf("%016x", s.next)
	job, count, sameRack := s.randomJob()
	job.Count = count
	jobFields, stepFields := s.constrain(&job, count)
	s.work += time.Duration(count*job.Accelerators) * job.Duration
	s.fleet.SetJob(id, job)
	prefix := fmt.Sprintf("/l%d/", s.random.IntN(queues))
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"memMb":1000,"gpu":%d,"estimateMs":%d,"gang":%t,"sameRack":%t%s}]%s}`,
		count, job.Accelerators, job.Duration.Milliseconds(), job.Gang > 0, sameRack, stepFields, jobFields)
	entries := []*entry{s.randomEntry(), s.randomEntry(), s.randomEntry()}
	cancelAfter := time.Duration(0)
	if s.large() && s.chance(20) {
		cancelAfter = time.Duration(1+s.random.IntN(3000)) * time.Millisecond
	}
	sent := submission{prefix: prefix, outcome: unknown, crashes: job.CrashAfter > 0, scheduled: jobFields != ""}
	s.record(id, sent)
	cancelUnknown := s.chance(2)
	send := func() {
		sent.outcome = post(entries, prefix+id, body)
		s.record(id, sent)
		if cancelAfter > 0 {
			time.Sleep(cancelAfter)
			s.cancel(id, entries[0])
		} else if sent.outcome == unknown && cancelUnknown {
			s.clients.Go(func() { s.cancelUntilAcknowledged(id) })
		}
	}
	if s.large() {
		s.clients.Go(send)
		return
	}
	send()
}

// cancel cancels the job, whose end is not checked from then on, and reports whether that was acknowledged.
func (s *soak) cancel(id string, e *entry) bool {
	s.mu.Lock()
	sent := s.submitted[id]
	sent.cancelled = true
	s.submitted[id] = sent
	s.mu.Unlock()
	status, _ := e.call(http.MethodDelete, sent.prefix+id, "")
	if status != http.StatusOK && status != http.StatusGone {
		return false
	}
	sent.acknowledged = true
	s.record(id, sent)
	return true
}

// cancelUntilAcknowledged cancels the job at one entry after the other.
func (s *soak) cancelUntilAcknowledged(id string) {
	for attempt := range maxCancels {
		if s.cancel(id, s.entries[attempt%len(s.entries)]) {
			return
		}
		time.Sleep(cancelPause)
	}
}

// acknowledgedStarts returns the numbers of starts of the jobs whose cancellation was acknowledged.
func (s *soak) acknowledgedStarts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := map[string]int{}
	for id, sent := range s.submitted {
		if sent.acknowledged {
			starts[id] = s.fleet.Starts(id)
		}
	}
	return starts
}

func (s *soak) record(id string, sent submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submitted[id] = sent
}

// owed returns the accepted jobs that were not cancelled, whose tasks crash no workers and are all due.
func (s *soak) owed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, sent := range s.submitted {
		if sent.outcome == accepted && !sent.cancelled && !sent.crashes && !sent.scheduled {
			ids = append(ids, id)
		}
	}
	return ids
}

// post sends the job to the entries in turn until one responds that it is accepted, as a client with retries does.
func post(entries []*entry, path, body string) outcome {
	known := refused
	for _, e := range entries {
		switch status, _ := e.call(http.MethodPost, path, body); status {
		case http.StatusOK:
			return accepted
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			known = unknown
		}
	}
	return known
}

// mustSucceed waits until an entry reports that the job has succeeded, or failed after as many failed runs as are allowed.
func (s *soak) mustSucceed(id string) {
	s.t.Helper()
	s.mu.Lock()
	path := s.submitted[id].prefix + id
	s.mu.Unlock()
	var body string
	for until := time.Now().Add(completionTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		_, body = s.randomEntry().call(http.MethodGet, path, "")
		if strings.Contains(body, "succeeded") || strings.Contains(body, "failed") && (s.fleet.Failures(id) >= maxAttempts || s.fleet.Crashes(id) >= minCrashes) {
			return
		}
	}
	s.t.Errorf("job %s shows %q %s after the last fault", id, body, completionTimeout)
}

// showsEnded reports whether an entry shows the job as ended.
func (s *soak) showsEnded(id string) bool {
	s.mu.Lock()
	path := s.submitted[id].prefix + id
	s.mu.Unlock()
	for _, e := range s.entries[:min(len(s.entries), maxAsked)] {
		if status, body := e.call(http.MethodGet, path, ""); status == http.StatusOK {
			return strings.Contains(body, "succeeded") || strings.Contains(body, "failed")
		}
	}
	return false
}
