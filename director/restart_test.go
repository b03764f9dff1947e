package director_test

import (
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// A new owner found a worker under its old incarnation in the record and under its new one in the platform's list, closed
// the session that it had just opened by a nil function, and ended with a panic; so did each owner after it.
func TestAWorkerThatRestartedBeforeATakeoverDoesNotEndTheNewOwner(t *testing.T) {
	runService(t, 2, 4, func(s *service) {
		first := s.owner()
		job := faker.TaskJob{Duration: time.Second, Accelerators: 8}
		s.submit(first, jobA, job, 1)
		s.await(first, jobA, "succeeded", 3*time.Second)
		s.board.Isolate(first.name, true)
		time.Sleep(200 * time.Millisecond)
		s.workers[0].Restart()
		s.list(0)
		time.Sleep(recoveryTime)
		other := s.owner()
		if other == first {
			t.Fatal("no other VM acquired the lease")
		}
		s.submit(other, jobB, job, 4)
		s.await(other, jobB, "succeeded", recoveryTime)
		s.board.Isolate(first.name, false)
		time.Sleep(recoveryTime)
	})
}
