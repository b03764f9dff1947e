package director_test

import (
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

func TestTasksOfAnAdvisedQueueRunOnlyWhereTheyAreAllowed(t *testing.T) {
	for _, test := range []struct {
		name     string
		rejects  int
		duration time.Duration
	}{
		{"answered", 0, time.Second},
		{"turned away first", 2, time.Second},
		// The tickets run out while the first task holds the only room.
		{"asked again", 0, 6 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			advisor := &faker.Advisor{Allowed: []string{"w3"}, Validity: 2 * time.Second, Each: 5 * time.Millisecond}
			advisor.Reject(test.rejects)
			runAdvised(t, 2, 4, advisor, func(s *service) {
				job := faker.TaskJob{Duration: test.duration, Accelerators: 8}
				s.submit(s.entries[0], jobA, job, 2)
				s.await(s.entries[1], jobA, "succeeded", 2*test.duration+3*time.Second)
				if got := s.fleet.Starts(jobA); got != 2 {
					t.Errorf("%d starts, want each task once", got)
				}
				if got, most := advisor.Asked(), test.rejects+int(2*test.duration/time.Second)+2; got > most {
					t.Errorf("%d questions, want at most %d", got, most)
				}
			})
		})
	}
}
