package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// propagationBound is the maximum time until every reachable entry uses an accepted document.
const propagationBound = 15 * time.Second

// maxUrgentLatency submits urgent work every 250 ms and returns the maximum latency.
func maxUrgentLatency(f *fleet, length time.Duration) time.Duration {
	results := make(chan time.Duration)
	count := int(length / (250 * time.Millisecond))
	for i := range count {
		go func() {
			var latency time.Duration
			// A job without an answer ends the goroutine, and the test would wait for its result for ever.
			defer func() { results <- latency }()
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			latency = f.urgentLatency(f.entries[len(f.entries)-1], fmt.Sprintf("gap-%d", i))
		}()
	}
	longest := time.Duration(0)
	for range count {
		longest = max(longest, <-results)
	}
	return longest
}

func TestFiguresOfUrgentAnswers(t *testing.T) {
	for _, test := range []struct {
		name string
		down bool
		act  func(e *entry)
	}{
		{"owner dies, table up", false, func(e *entry) { e.isolated.Store(true) }},
		{"owner dies, table down", true, func(e *entry) { e.isolated.Store(true) }},
		{"owner paused 12 s, table up", false, func(e *entry) {
			e.isolated.Store(true)
			time.AfterFunc(12*time.Second, func() { e.isolated.Store(false) })
		}},
		{"owner drained, table up", false, func(e *entry) { go e.stop() }},
		{"owner drained, table down", true, func(e *entry) { go e.stop() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 5, 30, func(t *testing.T, f *fleet) {
				e := f.mustOwner()
				f.moveToFront(e)
				f.table().SetFaults(faker.Faults{Down: test.down})
				time.AfterFunc(time.Second, func() { test.act(e) })
				longest := maxUrgentLatency(f, 20*time.Second)
				t.Logf("%s: longest urgent answer %s (its task runs 200ms)", test.name, longest)
				if longest > urgentBound {
					t.Errorf("urgent work took %s, want at most %s", longest, urgentBound)
				}
				f.table().SetFaults(faker.Faults{})
			})
		})
	}
}

// moveToFront swaps the entry with the first, so that the last entry does not own the service.
func (f *fleet) moveToFront(e *entry) {
	for i, other := range f.entries {
		if other == e {
			f.entries[0], f.entries[i] = f.entries[i], f.entries[0]
		}
	}
}

func TestFiguresOfDocumentSpread(t *testing.T) {
	for _, entries := range []int{3, 9, 30} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			withFleet(t, entries, 31, func(t *testing.T, f *fleet) {
				f.entries[entries-1].isolated.Store(true)
				f.putDocument(1, strings.Replace(fleetDocument, `"queued":100,`, `"queued":101,`, 1))
				start := time.Now()
				if slowest := f.waitForVersion(2, entries-1); slowest > propagationBound {
					t.Errorf("version 2 took %s to reach all entries, want at most %s", slowest, propagationBound)
				}
				t.Logf("%d entries: all reachable entries updated after %s", entries, time.Since(start))
				f.entries[entries-1].isolated.Store(false)
				start = time.Now()
				f.waitForVersion(2, entries)
				t.Logf("%d entries: isolated entry updated %s after its reconnection", entries, time.Since(start))
			})
		})
	}
}

// waitForVersion waits until the first count entries have the version and returns the elapsed time.
func (f *fleet) waitForVersion(version int64, count int) time.Duration {
	start := time.Now()
	for _, e := range f.entries[:count] {
		for {
			if v, err := e.Document().Current(); err == nil && v.Number >= version {
				break
			}
			if time.Since(start) > 2*propagationBound {
				return time.Since(start)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

func TestFiguresOfTableUse(t *testing.T) {
	for _, entries := range []int{3, 9, 30} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			withFleet(t, entries, 32, func(t *testing.T, f *fleet) {
				const idle = 100
				reads, writes := f.table().Counts()
				time.Sleep(idle * time.Second)
				idleReads, idleWrites := f.table().Counts()
				t.Logf("%d entries idle: %.2f rows read and %.2f written a second", entries, float64(idleReads-reads)/idle, float64(idleWrites-writes)/idle)
				f.countPerJob(t, "idempotent", lookup)
				f.countPerJob(t, "not idempotent", func(key string) work { return preview(key, 100*time.Millisecond) })
			})
		})
	}
}

// countPerJob logs the rows checked or written for each job, without the lease renewals of an idle service (one row a second).
func (f *fleet) countPerJob(t *testing.T, name string, makeWork func(key string) work) {
	t.Helper()
	const jobs = 200
	start := time.Now()
	_, before := f.table().Counts()
	for i := range jobs {
		w := makeWork(fmt.Sprintf("%s-%d", name, i))
		f.mustAccept(f.entries[0], w)
		f.mustSucceed(f.entries[0], w, time.Minute)
	}
	_, after := f.table().Counts()
	renewals := time.Since(start).Seconds()
	perJob := (float64(after-before) - renewals) / jobs
	t.Logf("%s: %.1f rows checked or written for a job", name, perJob)
	if perJob > 12 {
		t.Errorf("%.1f rows for a job, want at most 12", perJob)
	}
}
