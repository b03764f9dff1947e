package director_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// crashAfter is the time after its start at which a run crashes its worker.
const crashAfter = 10 * time.Millisecond

// relistCrashed updates the platform's list when a crashed worker is back.
func (s *service) relistCrashed() {
	s.fleet.OnReturn = func(w *faker.TaskWorker) {
		for i, other := range s.workers {
			if other == w {
				s.list(i)
			}
		}
	}
}

// A task that crashed each worker that started it was started again without limit.
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, count := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d tasks", count), func(t *testing.T) {
			runService(t, 2, 8, func(s *service) {
				s.relistCrashed()
				entry := s.entries[0]
				innocent := faker.TaskJob{Duration: 3 * time.Second, Accelerators: 1}
				for i := range 12 {
					s.submit(entry, fmt.Sprintf("1111111111111%03x", i), innocent, 4)
				}
				s.submit(entry, jobA, faker.TaskJob{Duration: 3 * time.Second, Accelerators: 1, CrashAfter: crashAfter}, count)
				s.await(entry, jobA, "failed", 40*time.Second)
				for i := range 12 {
					s.await(entry, fmt.Sprintf("1111111111111%03x", i), "succeeded", 40*time.Second)
				}
			})
		})
	}
}

// The record of crashes has to outlive the owner that saw them.
func TestATaskThatCrashesItsWorkersIsGivenUpByLaterOwners(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, time.Second, 3200 * time.Millisecond, 3500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			runService(t, 3, 8, func(s *service) {
				s.relistCrashed()
				s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 3 * time.Second, Accelerators: 1, CrashAfter: crashAfter}, 1)
				for range 4 {
					starts := s.fleet.Starts(jobA)
					time.Sleep(delay)
					owner := s.owner()
					s.board.Isolate(owner.name, true)
					time.Sleep(recoveryTime)
					s.board.Isolate(owner.name, false)
					for until := time.Now().Add(10 * time.Second); s.fleet.Starts(jobA) == starts && time.Now().Before(until); {
						time.Sleep(10 * time.Millisecond)
					}
				}
				s.await(s.owner(), jobA, "failed", 40*time.Second)
			})
		})
	}
}

// A new owner blamed each waiting task of a job for the crashes of the workers that other tasks had run on, and the job failed for a task that had
// never run.
func TestAJobIsNotGivenUpForATaskThatNeverRan(t *testing.T) {
	runService(t, 3, 3, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 2 * time.Minute, Accelerators: 8}, 4)
		s.await(s.entries[0], jobA, "running", time.Second)
		for i := range s.workers {
			// Longer than a run is suspected for.
			time.Sleep(8 * time.Second)
			owner := s.owner()
			s.board.Isolate(owner.name, true)
			s.workers[i].SetSilent(true)
			time.Sleep(recoveryTime)
			s.workers[i].SetSilent(false)
			s.nextLife(i)
			s.board.Isolate(owner.name, false)
		}
		time.Sleep(recoveryTime)
		if got := s.fleet.LostUnder(jobA); got >= mayGiveUp {
			t.Fatalf("%d workers were lost under one task, want each under another", got)
		}
		s.await(s.entries[0], jobA, "running", time.Second)
	})
}
