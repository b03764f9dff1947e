package director_test

import (
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

func TestTasksOfAnAdvisedQueueRunOnlyOnAllowedWorkers(t *testing.T) {
	for _, test := range []struct {
		name     string
		rejects  int
		duration time.Duration
	}{
		{"allowed at first", 0, time.Second},
		{"rejected twice", 2, time.Second},
		// The tickets expire while the first task occupies the only allowed worker.
		{"expired", 0, 6 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			advisor := &faker.Advisor{Allowed: []string{"w3"}, Validity: 2 * time.Second, DelayPerWorker: 5 * time.Millisecond}
			advisor.RejectNext(test.rejects)
			runWithAdvisor(t, 2, 4, advisor, func(s *service) {
				job := faker.TaskJob{Duration: test.duration, Accelerators: 8}
				s.submit(s.entries[0], jobA, job, 2)
				s.await(s.entries[1], jobA, "succeeded", 2*test.duration+3*time.Second)
				if got := s.fleet.Starts(jobA); got != 2 {
					t.Errorf("%d starts, want each task once", got)
				}
				if got, most := advisor.RequestCount(), test.rejects+int(2*test.duration/time.Second)+2; got > most {
					t.Errorf("%d requests for advice, want at most %d", got, most)
				}
			})
		})
	}
}
