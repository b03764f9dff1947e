package director_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// recoveryTime is the time in which a new owner starts the waiting jobs that it inherited: a takeover and a few polls.
const recoveryTime = 4 * time.Second

// One silent worker delayed all jobs that a new owner inherited until its leases had expired, beside an idle fleet.
func TestASilentWorkerDelaysNoInheritedJobThatCannotRunThere(t *testing.T) {
	const duration = time.Second
	for _, test := range []struct {
		name string
		// tasks is the number of tasks, of a whole worker each; three workers are left beside the silent one.
		tasks     int
		submitted bool
		timeout   time.Duration
	}{
		{name: "accepted while there was no owner", tasks: 1, timeout: recoveryTime + duration},
		{name: "has run on other workers before", tasks: 15, submitted: true, timeout: recoveryTime + 5*duration},
	} {
		t.Run(test.name, func(t *testing.T) {
			runService(t, 2, 4, func(s *service) {
				first := s.owner()
				s.workers[3].SetSilent(true)
				// Long enough for the owner to find out, so that it sends no start there.
				time.Sleep(5 * time.Second)
				job := faker.TaskJob{Duration: duration, Accelerators: 8}
				if test.submitted {
					s.submit(first, jobA, job, test.tasks)
					s.await(first, jobA, "running", time.Second)
				}
				s.board.Isolate(first.name, true)
				other := s.other(first)
				if !test.submitted {
					s.submit(other, jobA, job, test.tasks)
				}
				s.await(other, jobA, "succeeded", test.timeout)
				if got := s.fleet.Starts(jobA); got != test.tasks {
					t.Errorf("%d starts, want each of the %d tasks once", got, test.tasks)
				}
				s.board.Isolate(first.name, false)
				time.Sleep(recoveryTime)
			})
		})
	}
}

func TestATaskThatMayRunOnASilentWorkerIsNotStartedElsewhere(t *testing.T) {
	runService(t, 3, 4, func(s *service) {
		const duration = 6 * time.Second
		first := s.owner()
		s.submit(first, jobA, faker.TaskJob{Duration: duration, Accelerators: 8}, 4)
		s.await(first, jobA, "running", time.Second)
		s.workers[0].SetSilent(true)
		s.board.Isolate(first.name, true)
		time.Sleep(3 * time.Second)
		// The second takeover has the record of the first owner by way of the second one. The latest lease ends 6.8 s after the silence began at the earliest.
		second := s.owner()
		s.board.Isolate(second.name, true)
		time.Sleep(3300 * time.Millisecond)
		if got := s.fleet.Starts(jobA); got != 4 {
			t.Errorf("%d starts while a task may still run on the silent worker, want 4", got)
		}
		s.workers[0].SetSilent(false)
		s.board.Isolate(first.name, false)
		s.await(first, jobA, "succeeded", 4*time.Second)
		if got := s.fleet.Starts(jobA); got != 4 {
			t.Errorf("%d starts, want each task once", got)
		}
		s.board.Isolate(second.name, false)
		time.Sleep(recoveryTime)
	})
}

func TestAStartIsSentOnceItsWorkerIsRecorded(t *testing.T) {
	runService(t, 1, 2, func(s *service) {
		e := s.entries[0]
		job := faker.TaskJob{Duration: 3 * time.Second, Accelerators: 1}
		s.submit(e, jobA, job, 1)
		s.store.SetFaults(faker.RowFaults{Silent: true})
		time.Sleep(3 * time.Second)
		recorded := strings.Contains(string(s.store.Rows("progress", "owner")[jobA]), `"workers":["w`)
		if started := s.fleet.Starts(jobA) > 0; started != recorded {
			t.Errorf("started: %t, worker recorded: %t", started, recorded)
		}
		s.store.SetFaults(faker.RowFaults{})
		s.await(e, jobA, "succeeded", 9*time.Second)
		if got := s.fleet.Starts(jobA); got != 1 {
			t.Errorf("%d starts, want one", got)
		}
	})
}

func TestAJobContinuesOnItsWorkersWhileTheStoreIsUnavailable(t *testing.T) {
	runService(t, 1, 1, func(s *service) {
		e := s.entries[0]
		s.submit(e, jobA, faker.TaskJob{Duration: time.Second, Accelerators: 8}, 3)
		s.await(e, jobA, "running", time.Second)
		s.store.SetFaults(faker.RowFaults{Silent: true})
		time.Sleep(4 * time.Second)
		if got := s.fleet.Starts(jobA); got != 3 {
			t.Errorf("%d starts during the outage, want all 3", got)
		}
		s.store.SetFaults(faker.RowFaults{})
		s.await(e, jobA, "succeeded", 3*time.Second)
	})
}

// Each new owner waited anew for a worker that had been silent for long.
func TestTheWaitForASilentWorkerGoesOnAcrossOwners(t *testing.T) {
	for _, test := range []struct {
		name string
		// alone is how long the first owner knows of the silence before it is lost.
		alone time.Duration
		// limit is the time after the loss of the last owner in which the job has to be done: the rest of the lease, a takeover and the work.
		limit time.Duration
	}{
		{"known to the first owner", 6 * time.Second, 9 * time.Second},
		{"known to the second owner", 0, 15 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			runService(t, 4, 2, func(s *service) {
				first := s.owner()
				s.submit(first, jobA, faker.TaskJob{Duration: time.Second, Accelerators: 8}, 1)
				s.await(first, jobA, "running", time.Second)
				for _, w := range s.workers {
					if s.fleet.RunsOn(w) {
						w.SetSilent(true)
					}
				}
				time.Sleep(test.alone)
				s.board.Isolate(first.name, true)
				time.Sleep(5 * time.Second)
				second := s.owner()
				s.board.Isolate(second.name, true)
				s.await(s.other(first, second), jobA, "succeeded", test.limit)
				s.board.Isolate(first.name, false)
				s.board.Isolate(second.name, false)
				time.Sleep(recoveryTime)
			})
		})
	}
}

// A worker that is heard again may be granted no lease before the record of its end is gone: the next owner would start its tasks elsewhere
// while they run.
func TestALeaseIsNotGrantedWhileTheStoreHoldsItsEnd(t *testing.T) {
	runService(t, 3, 2, func(s *service) {
		first := s.owner()
		s.submit(first, jobA, faker.TaskJob{Duration: 20 * time.Second, Accelerators: 8}, 1)
		s.await(first, jobA, "running", time.Second)
		running := s.workers[0]
		if !s.fleet.RunsOn(running) {
			running = s.workers[1]
		}
		running.SetSilent(true)
		time.Sleep(6 * time.Second)
		running.SetSilent(false)
		time.Sleep(1500 * time.Millisecond)
		running.SetSilent(true)
		s.board.Isolate(first.name, true)
		// The service's check finds a task that runs twice.
		time.Sleep(18 * time.Second)
		if got := s.fleet.Starts(jobA); got != 2 {
			t.Errorf("%d starts, want one elsewhere once the leases have expired", got)
		}
		s.board.Isolate(first.name, false)
		time.Sleep(recoveryTime)
	})
}

// A row that the store rejects delays the other rows of a job, but not the leases of workers that are heard again.
func TestARejectedRowDoesNotKeepAWorkerWithoutLeases(t *testing.T) {
	runService(t, 1, 1, func(s *service) {
		e := s.entries[0]
		s.submit(e, jobA, faker.TaskJob{Duration: 18 * time.Second, Accelerators: 4}, 1)
		s.await(e, jobA, "running", time.Second)
		s.workers[0].SetSilent(true)
		time.Sleep(6 * time.Second)
		s.store.SetFaults(faker.RowFaults{RejectRow: "progress/" + jobB})
		s.submit(e, jobB, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		s.workers[0].SetSilent(false)
		s.await(e, jobA, "succeeded", 14*time.Second)
		if got := s.fleet.Starts(jobA); got != 1 {
			t.Errorf("%d starts, want one", got)
		}
	})
}

// A new owner that had heard a worker once, and granted it no lease yet, took its leases for expired at the next poll without a response, and
// started the tasks elsewhere while they ran.
func TestLeasesOfAnEarlierOwnerCountAfterTheWorkerIsHeard(t *testing.T) {
	for _, test := range []struct {
		name string
		// silence is how long the worker is silent before the owner is lost; its leases have a recorded end if the owner noticed.
		silence time.Duration
		// polls is the number of polls that it answers to the next owner.
		polls int
	}{
		{"end recorded", 3 * time.Second, 1},
		{"end recorded, heard twice", 3 * time.Second, 2},
		{"no record", 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			runService(t, 3, 3, func(s *service) {
				first := s.owner()
				s.submit(first, jobA, faker.TaskJob{Duration: 20 * time.Second, Accelerators: 8}, 1)
				s.await(first, jobA, "running", time.Second)
				running := s.workers[slices.IndexFunc(s.workers, s.fleet.RunsOn)]
				running.SetSilent(true)
				time.Sleep(test.silence)
				s.board.Isolate(first.name, true)
				time.Sleep(2500 * time.Millisecond)
				running.SetSilentAfterPolls(test.polls)
				// The service's check finds a task that runs twice.
				time.Sleep(16 * time.Second)
				if got := s.fleet.Starts(jobA); got != 2 {
					t.Errorf("%d starts, want one elsewhere once the leases have expired", got)
				}
				s.board.Isolate(first.name, false)
				time.Sleep(recoveryTime)
			})
		})
	}
}

// A worker and the owner that had not missed it yet were lost at the same time, and the next owner waited 14.6 s for the worker's leases, which had ended
// before.
func TestTheWaitForAWorkerLostWithTheOwnerEndsWithItsLeases(t *testing.T) {
	const (
		work = time.Second
		// takeover is the longest time from the last renewal to the next owner's: 1.1 s without one, and the longest time between two polls of the lease.
		takeover = 1100*time.Millisecond + 600*time.Millisecond + 100*time.Millisecond
		// wait is what is left of the longest lease 1.1 s after the last renewal, on a clock that is 2% slow, with the margin for transmission.
		wait  = 7900*time.Millisecond*102/100 + 400*time.Millisecond
		limit = takeover + wait + work + 500*time.Millisecond
	)
	runService(t, 3, 2, func(s *service) {
		first := s.owner()
		s.submit(first, jobA, faker.TaskJob{Duration: work, Accelerators: 8}, 1)
		s.await(first, jobA, "running", time.Second)
		s.workers[s.runningOn()].SetSilent(true)
		s.board.Isolate(first.name, true)
		s.await(s.other(first), jobA, "succeeded", limit)
		s.board.Isolate(first.name, false)
		time.Sleep(recoveryTime)
	})
}
