package director_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// Workers restart under their IDs while starts of short tasks are repeated, so that the next incarnation ends runs before it is known.
func TestShortTasksRunOnceWhileWorkersRestart(t *testing.T) {
	for i := range 30 {
		t.Run(fmt.Sprintf("phase %d", i), func(t *testing.T) {
			runService(t, 1, 2, func(s *service) {
				// Ends of earlier jobs, so that the number that was acknowledged last is high.
				s.submit(s.entries[0], jobB, faker.TaskJob{Duration: 50 * time.Millisecond, Accelerators: 1}, 40)
				s.await(s.entries[0], jobB, "succeeded", 5*time.Second)
				s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 50 * time.Millisecond, Accelerators: 1}, 300)
				for round := range 4 {
					time.Sleep(time.Duration(100+7*i) * time.Millisecond)
					w := s.workers[round%2]
					// Starts that got no answer are sent again, and reach the next incarnation.
					w.LoseStartReplies(8)
					time.Sleep(time.Duration(2*i) * time.Millisecond)
					w.Restart()
				}
				time.Sleep(2 * time.Second)
				for i := range s.workers {
					s.list(i)
				}
				s.await(s.entries[0], jobA, "succeeded", 40*time.Second)
			})
		})
	}
}
