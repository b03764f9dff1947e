package director_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// A store that answers 60 times as slowly as usual must not hold up a new owner for longer than a few answers.
func TestANewOwnerBeginsSoonOnASlowStore(t *testing.T) {
	run(t, 2, 2, func(s *service) {
		const answer = 300 * time.Millisecond
		s.store.SetFaults(faker.RowFaults{Delay: answer})
		time.Sleep(time.Second)
		first := s.owner()
		first.stop()
		<-first.done
		// The next owner looks at the lease, takes it, reads the state and asks the workers; it records what runs before that is shown.
		const answers, pause = 6, 600 * time.Millisecond
		other := s.other(first)
		s.submit(other, jobA, faker.TaskJob{Duration: 10 * time.Second, Accelerators: 1}, 1)
		s.await(other, jobA, "running", answers*answer+pause)
	})
}

// A worker that was emptied and went must not hold up the jobs that were accepted while there was no owner.
func TestAWorkerThatLeftEmptyIsNotWaitedFor(t *testing.T) {
	for _, listed := range []bool{false, true} {
		t.Run(fmt.Sprintf("listed %t", listed), func(t *testing.T) {
			run(t, 2, 2, func(s *service) {
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
				s.board.Cut(first.name, true)
				other := s.other(first)
				s.submit(other, jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
				s.await(other, jobA, "succeeded", 4*time.Second)
				s.board.Cut(first.name, false)
				time.Sleep(time.Second)
			})
		})
	}
}

// The next owner's lease is written but not confirmed, so that it finds its own name there at its next look.
func TestALeaseTakenWithoutAnAnswerDoesNotHideTheOwnerBefore(t *testing.T) {
	run(t, 2, 4, func(s *service) {
		first := s.owner()
		s.submit(first, jobA, faker.TaskJob{Duration: 8 * time.Second, Gang: 2, Accelerators: 8}, 2)
		s.await(first, jobA, "running", time.Second)
		s.board.Cut(first.name, true)
		s.store.SetFaults(faker.RowFaults{LoseReplies: 1})
		other := s.other(first)
		s.await(other, jobA, "succeeded", 20*time.Second)
		if got := s.fleet.Starts(jobA); got != 2 {
			t.Errorf("%d starts, want the gang's two", got)
		}
		s.board.Cut(first.name, false)
		time.Sleep(time.Second)
	})
}

// The platform drops entries of workers whose heartbeats it does not get; the workers run on, and their ends must not be lost.
func TestEndsOnWorkersThatAreNotListedAreTakenIn(t *testing.T) {
	run(t, 2, 2, func(s *service) {
		first := s.owner()
		s.submit(first, jobA, faker.TaskJob{Duration: 2500 * time.Millisecond, Accelerators: 8}, 2)
		s.await(first, jobA, "running", time.Second)
		for _, w := range s.workers {
			s.store.Remove("servers", w.ID)
		}
		s.board.Cut(first.name, true)
		s.await(s.other(first), jobA, "succeeded", 4*time.Second)
		for i := range s.workers {
			s.list(i)
		}
		time.Sleep(15 * time.Second)
		if got := s.fleet.Starts(jobA); got != 2 {
			t.Errorf("%d starts, want each task once", got)
		}
		s.board.Cut(first.name, false)
		time.Sleep(time.Second)
	})
}
