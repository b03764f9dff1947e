package director_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// scheduledBody returns a job with steps of one short task each that runs many times from now on.
func scheduledBody(steps, occurrences int, interval time.Duration) string {
	step := `{"count":1,"cpu":100,"memMb":16,"gpu":1,"estimateMs":50}`
	return fmt.Sprintf(`{"spec":"x","steps":[%s],"times":%d,"firstMs":%d,"intervalMs":%d}`,
		strings.TrimSuffix(strings.Repeat(step+",", steps), ","), occurrences, time.Now().UnixMilli(), interval.Milliseconds())
}

func (s *service) submitScheduled(id string, steps, occurrences int, interval time.Duration) {
	s.t.Helper()
	s.fleet.SetJob(id, faker.TaskJob{Duration: 50 * time.Millisecond, Accelerators: 1})
	if status, body := s.call(s.entries[0], "key", http.MethodPost, "/l/"+id, scheduledBody(steps, occurrences, interval)); status != http.StatusOK {
		s.t.Fatalf("submit %s: %d %s", id, status, body)
	}
}

// review/6: the progress row of a job that runs many times outgrew its limit, and no end of any job was acknowledged any more.
func TestAJobThatRunsManyTimesStopsNoAcknowledgements(t *testing.T) {
	const (
		steps, occurrences = 24, 250
		interval           = 100 * time.Millisecond
		width              = 100
	)
	for _, takeovers := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d takeovers", takeovers), func(t *testing.T) {
			runService(t, 3, 4, func(s *service) {
				s.submitScheduled(jobA, steps, occurrences, interval)
				others := 0
				for began := time.Now(); time.Since(began) < (occurrences+20)*interval; others++ {
					id := fmt.Sprintf("%016x", others)
					s.submit(s.entries[others%3], id, faker.TaskJob{Duration: 100 * time.Millisecond}, width)
					time.Sleep(2 * time.Second)
					if takeovers > 0 && others%4 == 3 {
						takeovers--
						first := s.owner()
						s.board.Isolate(first.name, true)
						time.Sleep(3 * time.Second)
						s.board.Isolate(first.name, false)
						time.Sleep(time.Second)
					}
				}
				for i := range others {
					s.await(s.entries[1], fmt.Sprintf("%016x", i), "succeeded", 14*time.Second)
				}
				s.await(s.entries[1], jobA, "succeeded", 14*time.Second)
				if got := s.fleet.Starts(jobA); got != steps*occurrences {
					t.Errorf("%d starts, want %d tasks once each", got, steps*occurrences)
				}
				time.Sleep(3 * time.Second)
				for i, w := range s.workers {
					if ends := w.UnacknowledgedEnds(); ends > 0 {
						t.Errorf("worker %d keeps %d ends that were not acknowledged", i, ends)
					}
				}
			})
		})
	}
}

// An owner of an earlier version takes the tasks of a job for not done if they are recorded by number.
func TestProgressIsRecordedByNameWhileAnEntryVMCannotReadNumbers(t *testing.T) {
	const steps, occurrences, interval = 50, 120, 100 * time.Millisecond
	runService(t, 2, 4, func(s *service) {
		earlier := registrar.EntryRow("earlier")
		describe := func(forms int) {
			s.store.PutRow(earlier.Table, earlier.Partition, earlier.Key, registrar.Encode(registrar.Entry{SeenMillis: time.Now().UnixMilli(), ProgressForms: forms}))
		}
		recorded := func() registrar.Progress {
			p, err := registrar.Decode[registrar.Progress](platform.Row{Value: s.store.Rows(registrar.ProgressTable, registrar.OwnerPartition)[jobA]})
			if err != nil {
				t.Fatal(err)
			}
			return p
		}
		describe(0)
		s.submitScheduled(jobA, steps, occurrences, interval)
		s.submit(s.entries[0], jobB, faker.TaskJob{Duration: 5 * time.Second}, 1)
		for range 15 {
			time.Sleep(time.Second)
			describe(0)
			if p := recorded(); p.DoneTasks != "" || p.Counts != "" {
				t.Fatal("progress recorded by number")
			}
		}
		held := s.fleet.Starts(jobA)
		if time.Sleep(5 * time.Second); s.fleet.Starts(jobA) != held || held == steps*occurrences {
			t.Errorf("%d starts, then %d of %d, want the job held before its row is full", held, s.fleet.Starts(jobA), steps*occurrences)
		}
		s.await(s.entries[0], jobB, "succeeded", time.Second)
		describe(registrar.ProgressForms)
		s.await(s.entries[0], jobA, "succeeded", 30*time.Second)
		if got := s.fleet.Starts(jobA); got != steps*occurrences {
			t.Errorf("%d starts, want %d tasks once each", got, steps*occurrences)
		}
	})
}

// The store rejects the row of one job: that job ends as failed, and the others go on.
func TestARejectedRowCostsItsJobOnly(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		s.store.SetFaults(faker.RowFaults{MaxValue: 1000})
		s.submitScheduled(jobA, 1, 400, 50*time.Millisecond)
		for i := range 10 {
			id := fmt.Sprintf("%016x", i)
			s.submit(s.entries[i%2], id, faker.TaskJob{Duration: 100 * time.Millisecond}, 150)
			time.Sleep(2 * time.Second)
		}
		for i := range 10 {
			s.await(s.entries[0], fmt.Sprintf("%016x", i), "succeeded", 4*time.Second)
		}
		s.await(s.entries[0], jobA, "failed", time.Second)
		for i, w := range s.workers {
			if ends := w.UnacknowledgedEnds(); ends > 0 {
				t.Errorf("worker %d keeps %d ends that were not acknowledged", i, ends)
			}
		}
	})
}
