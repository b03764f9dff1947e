package director_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// A task that lasts stood for 11.6 to 12.4 s after its worker was lost for good; 9 s are allowed.
func TestALongRunningTaskRunsAgainSoonAfterItsWorkerIsLost(t *testing.T) {
	const (
		// allowed is the time from the last run of a task that lasts to the latest time at which it has to run again, with room for it.
		allowed = 9 * time.Second
		phases  = 12
		phase   = 100 * time.Millisecond
	)
	body := `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":1000,"gpu":1,"estimateMs":1000,"persistent":true}]}`
	for i := range phases {
		t.Run(fmt.Sprintf("phase %d", i), func(t *testing.T) {
			runService(t, 2, 3, func(s *service) {
				s.fleet.SetJob(jobA, faker.TaskJob{Duration: time.Hour, Accelerators: 1})
				if status, answer := s.call(s.entries[0], "key", http.MethodPost, "/l/"+jobA, body); status != http.StatusOK {
					t.Fatalf("submit: %d %s", status, answer)
				}
				s.await(s.entries[0], jobA, "running", time.Second)
				time.Sleep(5*time.Second + time.Duration(i)*phase)
				lost := s.workers[s.runningOn()]
				lost.SetSilent(true)
				s.store.Remove("servers", lost.ID)
				for began := time.Now(); s.fleet.Starts(jobA) < 2; time.Sleep(10 * time.Millisecond) {
					if time.Since(began) > allowed {
						t.Fatalf("the task does not run %s after the loss of its worker", allowed)
					}
				}
			})
		})
	}
}
