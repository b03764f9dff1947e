package director_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// review/10: a job whose write was executed late ran after its cancellation had been answered with 410.
func TestACancelledJobWithALateWriteNeverRuns(t *testing.T) {
	const lateBy = 6 * time.Second
	runService(t, 2, 2, func(s *service) {
		job := faker.TaskJob{Duration: time.Second, Accelerators: 1}
		s.fleet.SetJob(jobA, job)
		// The lease is renewed meanwhile; its writes are late as well.
		s.store.SetFaults(faker.RowFaults{LateTransactions: 1000, LateBy: lateBy})
		if status, body := s.call(s.entries[0], "key", http.MethodPost, "/l/"+jobA, jobBody(job, 1)); status != http.StatusGatewayTimeout {
			t.Fatalf("submit: %d %s", status, body)
		}
		s.store.SetFaults(faker.RowFaults{})
		if status, body := s.call(s.entries[1], "key", http.MethodDelete, "/l/"+jobA, ""); status != http.StatusGone {
			t.Fatalf("cancel: %d %s", status, body)
		}
		time.Sleep(2 * lateBy)
		if got := s.fleet.Starts(jobA); got != 0 {
			t.Errorf("%d starts of a job whose cancellation was acknowledged", got)
		}
		s.submit(s.entries[0], jobB, job, 1)
		s.await(s.entries[1], jobB, "succeeded", 5*time.Second)
	})
}

// No order of lost, late and repeated writes of jobs and cancellations lets a cancelled job start, nor loses one that was accepted.
func TestCancelledJobsDoNotStartAfterRandomFaultsOfTheStore(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 43)) //nolint:gosec // A test needs reproducible numbers.
			runService(t, 3, 4, func(s *service) {
				accepted, cancelled := s.submitAndCancel(random)
				s.clearFaults()
				starts := map[string]int{}
				for _, id := range cancelled {
					starts[id] = s.fleet.Starts(id)
				}
				for _, id := range accepted {
					s.await(s.entries[0], id, "succeeded", time.Minute)
				}
				time.Sleep(15 * time.Second)
				for _, id := range cancelled {
					if got := s.fleet.Starts(id); got != starts[id] {
						t.Errorf("job %s started after its cancellation was acknowledged", id)
					}
				}
			})
		})
	}
}

// submitAndCancel submits jobs while the store loses responses and executes writes late, and cancels those that were not accepted and some others. It
// returns the IDs of the jobs that were accepted and of those whose cancellation was acknowledged.
func (s *service) submitAndCancel(random *rand.Rand) (accepted, cancelled []string) {
	const steps = 40
	for i := range steps {
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		switch random.IntN(4) {
		case 0:
			s.store.SetFaults(faker.RowFaults{LateTransactions: 1 + random.IntN(4), LateBy: time.Duration(random.IntN(6000)) * time.Millisecond, LateTable: []string{"", "jobs", "tombstones"}[random.IntN(3)]})
		case 1:
			s.store.SetFaults(faker.RowFaults{LoseReplies: 1 + random.IntN(3), Delay: time.Duration(random.IntN(50)) * time.Millisecond})
		default:
		}
		id := fmt.Sprintf("%016x", i)
		job := faker.TaskJob{Duration: time.Second, Accelerators: 1}
		s.fleet.SetJob(id, job)
		e := random.IntN(len(s.entries))
		status, _ := s.call(s.entries[e], "key", http.MethodPost, "/l/"+id, jobBody(job, 1))
		if status == http.StatusOK && random.IntN(4) != 0 {
			accepted = append(accepted, id)
			continue
		}
		for try := range 20 {
			status, _ := s.call(s.entries[(e+try)%len(s.entries)], "key", http.MethodDelete, "/l/"+id, "")
			if status == http.StatusOK || status == http.StatusGone {
				cancelled = append(cancelled, id)
				break
			}
		}
	}
	return accepted, cancelled
}
