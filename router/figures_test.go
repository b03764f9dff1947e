package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// spreadBound is how long an accepted document may take to be in force everywhere.
const spreadBound = 15 * time.Second

// gap sends urgent work every quarter of a second and returns the longest time from a request to its answer.
func gap(f *fleet, length time.Duration) time.Duration {
	results := make(chan time.Duration)
	count := int(length / (250 * time.Millisecond))
	for i := range count {
		go func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			results <- f.urgent(f.entries[len(f.entries)-1], fmt.Sprintf("gap-%d", i))
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
		{"owner dies, table up", false, func(e *entry) { e.cut.Store(true) }},
		{"owner dies, table down", true, func(e *entry) { e.cut.Store(true) }},
		{"owner paused 12 s, table up", false, func(e *entry) {
			e.cut.Store(true)
			time.AfterFunc(12*time.Second, func() { e.cut.Store(false) })
		}},
		{"owner drained, table up", false, func(e *entry) { go e.stop() }},
		{"owner drained, table down", true, func(e *entry) { go e.stop() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 5, 30, func(t *testing.T, f *fleet) {
				e := f.mustOwner()
				f.moveToFront(e)
				f.table().Set(faker.Faults{Down: test.down})
				time.AfterFunc(time.Second, func() { test.act(e) })
				longest := gap(f, 20*time.Second)
				t.Logf("%s: longest urgent answer %s (its task runs 200ms)", test.name, longest)
				if longest > urgentBound {
					t.Errorf("urgent work waited %s, want %s at most", longest, urgentBound)
				}
				f.table().Set(faker.Faults{})
			})
		})
	}
}

// moveToFront makes the entry the first, so that the last one does not own the service.
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
				f.entries[entries-1].cut.Store(true)
				f.putDocument(1, strings.Replace(fleetDocument, `"queued":100,`, `"queued":101,`, 1))
				began := time.Now()
				if slowest := f.spread(2, entries-1); slowest > spreadBound {
					t.Errorf("version 2 took %s to be in force everywhere, want %s at most", slowest, spreadBound)
				}
				t.Logf("%d entries: in force on all that are reachable after %s", entries, time.Since(began))
				f.entries[entries-1].cut.Store(false)
				began = time.Now()
				f.spread(2, entries)
				t.Logf("%d entries: in force on one that was cut off %s after its return", entries, time.Since(began))
			})
		})
	}
}

// spread waits until the first count entries have the version and returns how long that took.
func (f *fleet) spread(version int64, count int) time.Duration {
	began := time.Now()
	for _, e := range f.entries[:count] {
		for {
			if v, err := e.Document().Current(); err == nil && v.Number >= version {
				break
			}
			if time.Since(began) > 2*spreadBound {
				return time.Since(began)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
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

// countPerJob logs the rows written for a job, above what an idle service writes in the same time.
func (f *fleet) countPerJob(t *testing.T, name string, makeWork func(key string) work) {
	t.Helper()
	const jobs = 200
	began := time.Now()
	_, before := f.table().Counts()
	for i := range jobs {
		w := makeWork(fmt.Sprintf("%s-%d", name, i))
		f.accept(f.entries[0], w)
		f.mustSucceed(f.entries[0], w, time.Minute)
	}
	_, after := f.table().Counts()
	renewals := time.Since(began).Seconds()
	perJob := (float64(after-before) - renewals) / jobs
	t.Logf("%s: %.1f rows checked or written for a job", name, perJob)
	if perJob > 12 {
		t.Errorf("%.1f rows for a job, want 12 at most", perJob)
	}
}
