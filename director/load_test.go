package director_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// Guards against sequential reads of a new owner: a store that is 60 times slower than usual must not delay it for longer than a few responses.
func TestANewOwnerStartsQuicklyOnASlowStore(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		const responseTime = 300 * time.Millisecond
		s.store.SetFaults(faker.RowFaults{Delay: responseTime})
		time.Sleep(time.Second)
		first := s.owner()
		first.stop()
		<-first.done
		// The next owner polls the lease, acquires it, loads the state, polls the workers and records the running task before its state is visible.
		const responses, pause = 6, 600 * time.Millisecond
		other := s.other(first)
		s.submit(other, jobA, faker.TaskJob{Duration: 10 * time.Second, Accelerators: 1}, 1)
		s.await(other, jobA, "running", responses*responseTime+pause)
	})
}

// A worker that was drained and has left must not delay jobs that were accepted while there was no owner.
func TestADrainedWorkerIsNotWaitedFor(t *testing.T) {
	for _, listed := range []bool{false, true} {
		t.Run(fmt.Sprintf("listed %t", listed), func(t *testing.T) {
			runService(t, 2, 2, func(s *service) {
				leaving := s.workers[0]
				entry := leaving.Describe("tabulator", leaving.ID+":1", "r1-0")
				entry["state"] = "draining"
				s.store.Put("servers", leaving.ID, entry)
				time.Sleep(4 * time.Second)
				leaving.SetSilent(true)
				if !listed {
					s.store.Remove("servers", leaving.ID)
				}
				first := s.owner()
				s.board.Isolate(first.name, true)
				other := s.other(first)
				s.submit(other, jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
				s.await(other, jobA, "succeeded", 4*time.Second)
				s.board.Isolate(first.name, false)
				time.Sleep(time.Second)
			})
		})
	}
}

// The next owner's first write of the lease is executed but gets no response, so that its next poll finds its own name. It must still expect leases that the previous owner granted.
func TestALeaseAcquiredWithoutAResponseDoesNotHideThePreviousOwner(t *testing.T) {
	runService(t, 2, 4, func(s *service) {
		first := s.owner()
		s.submit(first, jobA, faker.TaskJob{Duration: 8 * time.Second, Gang: 2, Accelerators: 8}, 2)
		s.await(first, jobA, "running", time.Second)
		s.board.Isolate(first.name, true)
		s.store.SetFaults(faker.RowFaults{LoseReplies: 1})
		other := s.other(first)
		s.await(other, jobA, "succeeded", 20*time.Second)
		if got := s.fleet.Starts(jobA); got != 2 {
			t.Errorf("%d starts, want the gang's two", got)
		}
		s.board.Isolate(first.name, false)
		time.Sleep(time.Second)
	})
}

// The platform removes workers from its list when it misses their heartbeats. They continue to run tasks, and a new owner must not lose the ended runs.
func TestEndedRunsOfUnlistedWorkersAreApplied(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		first := s.owner()
		s.submit(first, jobA, faker.TaskJob{Duration: 2500 * time.Millisecond, Accelerators: 8}, 2)
		s.await(first, jobA, "running", time.Second)
		for _, w := range s.workers {
			s.store.Remove("servers", w.ID)
		}
		s.board.Isolate(first.name, true)
		s.await(s.other(first), jobA, "succeeded", 4*time.Second)
		for i := range s.workers {
			s.list(i)
		}
		time.Sleep(15 * time.Second)
		if got := s.fleet.Starts(jobA); got != 2 {
			t.Errorf("%d starts, want each task once", got)
		}
		s.board.Isolate(first.name, false)
		time.Sleep(time.Second)
	})
}
