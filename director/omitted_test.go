package director_test

import (
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// While the store was away no end could be acknowledged, workers listed the first 500 only, and the runs that ended after those ran again.
func TestEndsBeyondThoseThatAWorkerListsCount(t *testing.T) {
	for _, test := range []struct {
		name string
		// takeover means that the owner is lost at the end of the outage, so that the next one finds the ends.
		takeover bool
	}{{"one owner", false}, {"next owner", true}} {
		t.Run(test.name, func(t *testing.T) {
			runService(t, 2, 2, func(s *service) {
				const tasks = 4000
				first := s.owner()
				s.submit(first, jobA, faker.TaskJob{Duration: 100 * time.Millisecond}, tasks)
				s.await(first, jobA, "running", time.Second)
				time.Sleep(500 * time.Millisecond)
				s.store.SetFaults(faker.RowFaults{Silent: true})
				time.Sleep(5 * time.Second)
				if got := s.fleet.MostEnds(); got <= 500 {
					t.Fatalf("%d ended runs wait on a worker, want more than it lists", got)
				}
				if test.takeover {
					s.board.Isolate(first.name, true)
				}
				s.store.SetFaults(faker.RowFaults{})
				s.await(s.other(first), jobA, "succeeded", 30*time.Second)
				if got := s.fleet.Starts(jobA); got != tasks {
					t.Errorf("%d starts, want each of the %d tasks once", got, tasks)
				}
				s.board.Isolate(first.name, false)
				time.Sleep(recoveryTime)
			})
		})
	}
}
