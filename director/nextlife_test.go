package director_test

import (
	"slices"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// nextLife begins the next incarnation of a worker under its ID.
func (s *service) nextLife(i int) {
	s.workers[i].Restart()
	s.list(i)
}

// runningOn returns the number of the worker that runs tasks.
func (s *service) runningOn() int { return slices.IndexFunc(s.workers, s.fleet.RunsOn) }

// The second attempt of a start was sent to the next incarnation of its worker, and a first one without an answer was executed there, after the
// task had been started elsewhere.
func TestAStartDoesNotReachTheNextIncarnationOfItsWorker(t *testing.T) {
	for _, test := range []struct {
		name string
		// delayed is the number of attempts that are executed after the delay; the first one is lost if there are none.
		delayed int
		delay   time.Duration
	}{
		{"first attempt", 1, time.Second},
		{"first attempt, long delayed", 1, 8 * time.Second},
		{"first attempt before the restart is noticed", 1, 320 * time.Millisecond},
		{"second attempt", 0, 0},
		{"both attempts", 2, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			runService(t, 1, 2, func(s *service) {
				s.submit(s.entries[0], jobB, faker.TaskJob{Duration: 250 * time.Millisecond, Accelerators: 8}, 1)
				s.await(s.entries[0], jobB, "running", time.Second)
				// The other worker is free again once the start has been sent here.
				i := 1 - s.runningOn()
				s.workers[i].SetSilent(test.delayed == 0)
				s.workers[i].DelayStarts(test.delayed, test.delay)
				s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 12 * time.Second, Accelerators: 8}, 1)
				time.Sleep(300 * time.Millisecond)
				s.workers[i].SetSilent(false)
				s.workers[i].Restart()
				time.Sleep(600 * time.Millisecond)
				s.list(i)
				// The service's check finds a task that runs twice.
				s.await(s.entries[0], jobA, "succeeded", 30*time.Second)
			})
		})
	}
}

// A poll that was meant for an earlier incarnation made the next one forget ends that nobody had seen, so that their tasks ran again.
func TestAnAcknowledgementDoesNotReachTheNextIncarnation(t *testing.T) {
	runService(t, 1, 1, func(s *service) {
		s.submit(s.entries[0], jobB, faker.TaskJob{Duration: 500 * time.Millisecond, Accelerators: 1}, 6)
		s.await(s.entries[0], jobB, "succeeded", 3*time.Second)
		s.workers[0].DelayPolls(1, 4*time.Second)
		time.Sleep(1300 * time.Millisecond)
		s.nextLife(0)
		time.Sleep(time.Second)
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		s.await(s.entries[0], jobA, "running", time.Second)
		s.workers[0].SetSilent(true)
		time.Sleep(3 * time.Second)
		s.workers[0].SetSilent(false)
		s.await(s.entries[0], jobA, "succeeded", 5*time.Second)
		if got := s.fleet.Starts(jobA); got != 1 {
			t.Errorf("%d starts, want one", got)
		}
	})
}

// A lease on the clock of an earlier incarnation outlasted those that the owner knew of, so that tasks ran on when they were started elsewhere.
func TestALeaseDoesNotReachTheNextIncarnation(t *testing.T) {
	runService(t, 1, 2, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 8 * time.Second, Accelerators: 8}, 1)
		s.await(s.entries[0], jobA, "running", time.Second)
		i := 1 - s.runningOn()
		s.workers[i].DelayPolls(1, 9*time.Second)
		time.Sleep(1300 * time.Millisecond)
		s.nextLife(i)
		time.Sleep(time.Second)
		s.submit(s.entries[0], jobB, faker.TaskJob{Duration: 20 * time.Second, Accelerators: 8}, 1)
		s.await(s.entries[0], jobB, "running", time.Second)
		s.workers[i].SetSilent(true)
		// The other worker becomes free for the task before the one on the silent worker ends.
		s.await(s.entries[0], jobB, "succeeded", 40*time.Second)
	})
}

// The next incarnation of a worker has seen no fencing token, and took a start of an earlier owner while the present one no longer waited for its
// report.
func TestAStartOfAnEarlierOwnerOnTheNextIncarnationIsFound(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		first := s.owner()
		s.submit(first, jobB, faker.TaskJob{Duration: 3 * time.Second, Accelerators: 8}, 1)
		s.await(first, jobB, "running", time.Second)
		i := 1 - s.runningOn()
		s.workers[i].DelayStarts(1, 6*time.Second)
		s.submit(first, jobA, faker.TaskJob{Duration: 5 * time.Second, Accelerators: 4}, 1)
		time.Sleep(50 * time.Millisecond)
		s.board.Isolate(first.name, true)
		s.workers[i].SetSilent(true)
		time.Sleep(4 * time.Second)
		s.nextLife(i)
		time.Sleep(3 * time.Second)
		s.workers[i].SetSilent(false)
		s.await(s.other(first), jobA, "succeeded", 20*time.Second)
		s.board.Isolate(first.name, false)
		time.Sleep(recoveryTime)
	})
}
