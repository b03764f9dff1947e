package director_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

const (
	jobA = "aaaaaaaaaaaaaaaa"
	jobB = "bbbbbbbbbbbbbbbb"
)

func TestAJobSucceedsAndEveryEntryShowsItsState(t *testing.T) {
	runService(t, 3, 4, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Second, Gang: 3, Accelerators: 8}, 3)
		s.await(s.entries[1], jobA, "running", time.Second)
		s.await(s.entries[2], jobA, "succeeded", 2*time.Second)
		if got := s.fleet.Starts(jobA); got != 3 {
			t.Errorf("%d starts, want each task once", got)
		}
	})
}

func TestRepeatedSubmissionsCreateOneJob(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		job := faker.TaskJob{Duration: time.Second, Accelerators: 1}
		s.submit(s.entries[0], jobA, job, 1)
		s.submit(s.entries[1], jobA, job, 1)
		if status, _ := s.call(s.entries[1], "key", http.MethodPost, "/l/"+jobA, jobBody(job, 2)); status != http.StatusConflict {
			t.Errorf("another job under the same ID: %d", status)
		}
		s.await(s.entries[0], jobA, "succeeded", 3*time.Second)
		if got := s.fleet.Starts(jobA); got != 1 {
			t.Errorf("%d starts, want one", got)
		}
	})
}

func TestASubmissionWithALostReplyIsResolved(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		job := faker.TaskJob{Duration: time.Second, Accelerators: 1}
		s.fleet.SetJob(jobA, job)
		s.store.SetFaults(faker.RowFaults{LoseReplies: 1})
		status, _ := s.call(s.entries[0], "key", http.MethodPost, "/l/"+jobA, jobBody(job, 1))
		if status != http.StatusOK && status != http.StatusGatewayTimeout {
			t.Fatalf("got %d, want accepted or outcome unknown, never a rejection", status)
		}
		s.submit(s.entries[1], jobA, job, 1)
		s.await(s.entries[0], jobA, "succeeded", 4*time.Second)
	})
}

func TestAStoreOutOfReachIsToldAtOnce(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		s.store.SetFaults(faker.RowFaults{Silent: true})
		time.Sleep(3 * time.Second)
		began := time.Now()
		status, _ := s.call(s.entries[0], "key", http.MethodPost, "/l/"+jobA, jobBody(faker.TaskJob{Accelerators: 1}, 1))
		if status != http.StatusServiceUnavailable || time.Since(began) > 10*time.Millisecond {
			t.Errorf("got %d after %s, want an immediate rejection", status, time.Since(began))
		}
		s.store.SetFaults(faker.RowFaults{})
		time.Sleep(time.Second)
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
	})
}

func TestKeysQueuesAndBodiesAreChecked(t *testing.T) {
	const steps = 4000
	manySteps := `{"spec":"x","steps":[` + strings.Repeat(`{"count":1},`, steps) + `{"count":1}]}`
	runService(t, 1, 1, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		for _, test := range []struct {
			name, key, method, path, body string
			want                          int
		}{
			{"unknown key", "nobody", http.MethodPost, "/l/" + jobB, "{}", http.StatusUnauthorized},
			{"unknown queue", "key", http.MethodPost, "/none/" + jobB, "{}", http.StatusNotFound},
			{"invalid JSON", "key", http.MethodPost, "/l/" + jobB, "{", http.StatusBadRequest},
			{"no steps", "key", http.MethodPost, "/l/" + jobB, "{}", http.StatusBadRequest},
			{"large body", "key", http.MethodPost, "/l/" + jobB, strings.Repeat(" ", 200<<10), http.StatusRequestEntityTooLarge},
			{"job too large for a row", "key", http.MethodPost, "/l/" + jobB, manySteps, http.StatusRequestEntityTooLarge},
			{"another organisation's job", "other", http.MethodGet, "/l/" + jobA, "", http.StatusGone},
			{"another organisation cancels", "other", http.MethodDelete, "/l/" + jobA, "", http.StatusGone},
			{"unknown job", "key", http.MethodGet, "/l/" + jobB, "", http.StatusGone},
			{"number of waiting jobs", "key", http.MethodGet, "/l/", "", http.StatusOK},
		} {
			if got, body := s.call(s.entries[0], test.key, test.method, test.path, test.body); got != test.want {
				t.Errorf("%s: got %d %s, want %d", test.name, got, body, test.want)
			}
		}
	})
}

func TestRunningWorkIsTakenOverWhenTheOwnerIsCutOff(t *testing.T) {
	runService(t, 3, 4, func(s *service) {
		first := s.owner()
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 8 * time.Second, Gang: 2, Accelerators: 8}, 2)
		s.await(s.entries[0], jobA, "running", time.Second)
		s.board.Isolate(first.name, true)
		time.Sleep(4 * time.Second)
		if s.owner() == first {
			t.Fatal("no other VM acquired the lease")
		}
		s.await(s.other(first), jobA, "succeeded", 6*time.Second)
		if got := s.fleet.Starts(jobA); got != 2 {
			t.Errorf("%d starts, want the gang's two", got)
		}
		s.board.Isolate(first.name, false)
		time.Sleep(3 * time.Second)
	})
}

func TestAnOwnerThatEndsInGoodOrderIsFollowedAtOnce(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		first := s.owner()
		first.stop()
		<-first.done
		time.Sleep(time.Second)
		if s.owner() == first {
			t.Fatal("the released lease was not acquired within a second")
		}
	})
}

func TestAStartWithALostReplyRunsOnce(t *testing.T) {
	runService(t, 1, 2, func(s *service) {
		for _, w := range s.workers {
			w.LoseStartReplies(1)
		}
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 2 * time.Second, Accelerators: 8}, 2)
		s.await(s.entries[0], jobA, "succeeded", 6*time.Second)
		if got := s.fleet.Starts(jobA); got != 2 {
			t.Errorf("%d starts, want each task once", got)
		}
	})
}

// TestADelayedStartDoesNotHoldUpItsGang replays a worker that leaves an order unanswered and carries it out seconds
// later: the gang starts when the order is repeated, and an urgent one cannot wait for the timeout of requests.
func TestADelayedStartDoesNotHoldUpItsGang(t *testing.T) {
	runService(t, 1, 3, func(s *service) {
		s.workers[0].DelayStarts(1, 4*time.Second)
		const (
			duration = 500 * time.Millisecond
			// inAim is the time in which the users want an urgent job to complete: 1.5 times its work, and 250 ms.
			inAim = 3*duration/2 + 250*time.Millisecond
		)
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: duration, Gang: 3, Accelerators: 8}, 3)
		s.await(s.entries[0], jobA, "succeeded", inAim)
		time.Sleep(5 * time.Second)
		if got := s.fleet.Starts(jobA); got != 3 {
			t.Errorf("%d starts, want each task once", got)
		}
	})
}

func TestTasksOfAnUnresponsiveWorkerRestartElsewhereOnceItsLeaseHasExpired(t *testing.T) {
	runService(t, 1, 2, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 5 * time.Second, Accelerators: 8}, 1)
		s.await(s.entries[0], jobA, "running", time.Second)
		for _, w := range s.workers {
			w.SetSilent(true)
		}
		time.Sleep(12 * time.Second)
		for _, w := range s.workers {
			w.SetSilent(false)
		}
		s.await(s.entries[0], jobA, "succeeded", 10*time.Second)
	})
}

func TestARestartedWorkerLosesItsRuns(t *testing.T) {
	runService(t, 1, 2, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 4 * time.Second, Accelerators: 8}, 2)
		s.await(s.entries[0], jobA, "running", time.Second)
		s.workers[0].Restart()
		s.list(0)
		s.await(s.entries[0], jobA, "succeeded", 9*time.Second)
		if got := s.fleet.Starts(jobA); got != 3 {
			t.Errorf("%d starts, want the lost task twice", got)
		}
	})
}

func TestACancelledJobStops(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Minute, Accelerators: 8}, 2)
		s.await(s.entries[0], jobA, "running", time.Second)
		if status, _ := s.call(s.entries[1], "key", http.MethodDelete, "/l/"+jobA, ""); status != http.StatusOK {
			t.Fatalf("cancel: %d", status)
		}
		s.await(s.entries[0], jobA, "cancelled", 2*time.Second)
		s.submit(s.entries[0], jobB, faker.TaskJob{Duration: time.Second, Accelerators: 8}, 2)
		s.await(s.entries[0], jobB, "succeeded", 4*time.Second)
	})
}

func TestAJobThatAlwaysFailsIsShownAsFailed(t *testing.T) {
	runService(t, 1, 4, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 200 * time.Millisecond, Accelerators: 1, FailRuns: 9}, 1)
		s.await(s.entries[0], jobA, "failed", 20*time.Second)
		if got := s.fleet.Starts(jobA); got != 3 {
			t.Errorf("%d starts, want as many as the queue allows", got)
		}
	})
}

func TestJobsAreReloadedAfterTheirHistoryIsGone(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		s.store.Compact()
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		s.store.Compact()
		s.await(s.entries[1], jobA, "succeeded", 4*time.Second)
	})
}

// randomSeeds is the number of random test runs; the seed does not determine the order of goroutines.
const randomSeeds = 20

func TestRandomFaultsNeitherLoseNorDoubleWork(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { testRandomFaults(t, seed, false) })
	}
}

// Requests without an answer reach the next incarnation of their worker.
func TestRandomFaultsAndRestartsNeitherLoseNorDoubleWork(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { testRandomFaults(t, seed, true) })
	}
}

// testRandomFaults checks that all accepted jobs succeed after random faults, with restarts of workers or without.
func testRandomFaults(t *testing.T, seed uint64, restarts bool) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // A test needs reproducible numbers.
	runService(t, 3, 6, func(s *service) {
		accepted := s.submitUnderRandomFaults(random, restarts)
		s.clearFaults()
		for _, id := range accepted {
			want := "succeeded"
			if s.fleet.LostUnder(id) >= mayGiveUp && strings.Contains(s.state(s.entries[0], id), "failed") {
				want = "failed"
			}
			s.await(s.entries[0], id, want, time.Minute)
		}
	})
}

// mayGiveUp is the number of workers that may be lost under a task before its job may be given up.
const mayGiveUp = 2

// submitUnderRandomFaults submits jobs while it injects faults, and returns the IDs of the accepted jobs.
func (s *service) submitUnderRandomFaults(random *rand.Rand, restarts bool) []string {
	var accepted []string
	const steps = 40
	actions := 8
	if restarts {
		actions = 12
	}
	for i := range steps {
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		switch random.IntN(actions) {
		case 0:
			s.board.Isolate(s.entries[random.IntN(len(s.entries))].name, true)
		case 1:
			for _, e := range s.entries {
				s.board.Isolate(e.name, false)
			}
		case 2:
			s.store.SetFaults(faker.RowFaults{Silent: random.IntN(2) == 0, Busy: random.IntN(2) == 0, LoseReplies: random.IntN(3)})
		case 3:
			s.store.SetFaults(faker.RowFaults{Delay: time.Duration(random.IntN(300)) * time.Millisecond})
		case 4:
			s.workers[random.IntN(len(s.workers))].SetSilent(random.IntN(2) == 0)
		case 5:
			s.workers[random.IntN(len(s.workers))].LoseStartReplies(1)
		case 6:
			s.workers[random.IntN(len(s.workers))].DelayStarts(1, time.Duration(random.IntN(8000))*time.Millisecond)
		case 8:
			s.workers[random.IntN(len(s.workers))].DelayPolls(1, time.Duration(random.IntN(8000))*time.Millisecond)
		case 9:
			s.nextLife(random.IntN(len(s.workers)))
		case 10:
			// The platform's list shows the next incarnation later than its responses do.
			s.workers[random.IntN(len(s.workers))].Restart()
		default:
			id := fmt.Sprintf("%016x", i)
			job := faker.TaskJob{Duration: time.Duration(1+random.IntN(4)) * time.Second, Accelerators: 1 + random.IntN(4)}
			count := 1 + random.IntN(4)
			if random.IntN(2) == 0 {
				job.Gang = count
			}
			s.fleet.SetJob(id, job)
			if status, _ := s.call(s.entries[random.IntN(len(s.entries))], "key", http.MethodPost, "/l/"+id, jobBody(job, count)); status == http.StatusOK {
				accepted = append(accepted, id)
			}
		}
	}
	return accepted
}

// clearFaults ends all faults and waits for the service to recover.
func (s *service) clearFaults() {
	s.store.SetFaults(faker.RowFaults{})
	for _, e := range s.entries {
		s.board.Isolate(e.name, false)
	}
	for i, w := range s.workers {
		w.SetSilent(false)
		s.list(i)
	}
	time.Sleep(3 * time.Second)
}

// After a power loss of all VMs the owner's VM restarts first, and one worker has left without a report. The wait for its leases must end as soon as those that the owner's earlier process granted have expired.
func TestWorkResumesSoonAfterTheOwnersVMRestarts(t *testing.T) {
	runService(t, 1, 3, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 3 * time.Second, Accelerators: 8}, 3)
		s.await(s.entries[0], jobA, "running", time.Second)
		first := s.entries[0]
		s.board.Isolate(first.name, true)
		first.stop()
		<-first.done
		s.board.Isolate(first.name, false)
		s.workers[0].SetSilent(true)
		s.store.Remove("servers", s.workers[0].ID)
		s.entries = nil
		e := s.startEntry(first.name)
		s.await(e, jobA, "succeeded", 15*time.Second)
	})
}

func TestRowsOfJobsThatEndedLongAgoAreRemoved(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		s.submit(s.entries[0], jobB, faker.TaskJob{Duration: 10 * time.Minute, Accelerators: 1}, 1)
		s.await(s.entries[0], jobA, "succeeded", 3*time.Second)
		time.Sleep(time.Minute)
		if got := s.state(s.entries[1], jobA); !strings.Contains(got, "succeeded") {
			t.Fatalf("within the retention time: %s", got)
		}
		time.Sleep(time.Minute)
		if got, _ := s.call(s.entries[1], "key", http.MethodGet, "/l/"+jobA, ""); got != http.StatusGone {
			t.Errorf("after the retention time: %d", got)
		}
		if got := s.state(s.entries[1], jobB); !strings.Contains(got, "running") {
			t.Errorf("the running job shows %s", got)
		}
		if rows := s.store.Rows("progress", "owner"); len(rows) != 1 {
			t.Errorf("%d progress rows left, want only that of the running job", len(rows))
		}
	})
}

// The checkpoints of a job together exceed the size limit of a row. If the store's rejection stopped all writes, the owner would lose its lease.
func TestProgressTooLargeForARowDoesNotBlockTheOwner(t *testing.T) {
	runService(t, 1, 4, func(s *service) {
		job := faker.TaskJob{Duration: 6 * time.Second, Accelerators: 1, FailRuns: 1, Checkpoint: strings.Repeat("c", 4000)}
		s.submit(s.entries[0], jobA, job, 30)
		s.await(s.entries[0], jobA, "running", time.Second)
		time.Sleep(6 * time.Second)
		s.submit(s.entries[0], jobB, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		s.await(s.entries[0], jobB, "succeeded", 3*time.Second)
		s.await(s.entries[0], jobA, "succeeded", 30*time.Second)
	})
}
