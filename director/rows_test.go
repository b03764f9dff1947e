package director_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// manyWorkers is the number of workers in a fleet whose list is too large for a single row of the store.
const manyWorkers = 5000

func TestAnOwnerOfThousandsOfWorkersKeepsItsLease(t *testing.T) {
	runService(t, 2, manyWorkers, func(s *service) {
		first := s.owner()
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 4 * time.Second, Gang: 2, Accelerators: 8}, 2)
		s.await(s.entries[0], jobA, "running", time.Second)
		if got := owners(s); got != 1 {
			t.Fatalf("%d owners so far, want the first one still to be the owner", got)
		}
		s.board.Isolate(first.name, true)
		time.Sleep(3 * time.Second)
		if s.owner() == first {
			t.Fatal("no other VM acquired the lease")
		}
		s.await(s.other(first), jobA, "succeeded", 4*time.Second)
		if got := s.fleet.Starts(jobA); got != 2 {
			t.Errorf("%d starts, want the gang's two", got)
		}
		if got := owners(s); got != 2 {
			t.Errorf("%d owners so far, want one takeover", got)
		}
	})
}

func TestARejectedRowDoesNotBlockOthers(t *testing.T) {
	runService(t, 2, 2, func(s *service) {
		s.store.SetFaults(faker.RowFaults{RejectRow: "progress/" + jobA})
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		s.submit(s.entries[0], jobB, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		s.await(s.entries[1], jobB, "succeeded", 3*time.Second)
		time.Sleep(10 * time.Second)
		if got := owners(s); got != 1 {
			t.Errorf("%d owners so far, want the first one still to be the owner", got)
		}
		s.store.SetFaults(faker.RowFaults{})
		s.await(s.entries[1], jobA, "succeeded", 7*time.Second)
		if got := s.fleet.Starts(jobA) + s.fleet.Starts(jobB); got != 2 {
			t.Errorf("%d starts, want each task once", got)
		}
	})
}

func TestConcurrentLargeJobsAreAccepted(t *testing.T) {
	runService(t, 1, 1, func(s *service) {
		const label = 30_000
		body := `{"spec":"x","steps":[{"count":1,"requires":"` + strings.Repeat("x", label) + `"}]}`
		// Jobs that arrive during a write share the next one.
		s.store.SetFaults(faker.RowFaults{Delay: 100 * time.Millisecond})
		statuses := make(chan int)
		const jobs = 300
		for i := range jobs {
			id := fmt.Sprintf("%016x", i)
			s.fleet.SetJob(id, faker.TaskJob{Duration: time.Second})
			go func() {
				status, _ := s.call(s.entries[0], "key", "POST", "/l/"+id, body)
				statuses <- status
			}()
		}
		for range jobs {
			if status := <-statuses; status != 200 {
				t.Fatalf("status %d for a job, want 200", status)
			}
		}
	})
}

// fencesPerEpoch is the distance of the epochs of two successive owners.
const fencesPerEpoch = 1 << 10

// owners returns the number of owners that there have been, by the epoch of the lease.
func owners(s *service) int64 {
	s.t.Helper()
	lease, err := registrar.Decode[registrar.Lease](platform.Row{Value: s.store.Rows(registrar.LeaseTable, registrar.OwnerPartition)[registrar.LeaseKey]})
	if err != nil {
		s.t.Fatal(err)
	}
	if lease.Epoch%fencesPerEpoch != 0 {
		s.t.Fatalf("epoch %d is not a multiple of %d", lease.Epoch, fencesPerEpoch)
	}
	return lease.Epoch / fencesPerEpoch
}
