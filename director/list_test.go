package director_test

import (
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

func TestALostWorkerIsUsedAgainOnceItResponds(t *testing.T) {
	runService(t, 2, 1, func(s *service) {
		s.workers[0].SetSilent(true)
		time.Sleep(15 * time.Second)
		s.workers[0].SetSilent(false)
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		s.await(s.entries[1], jobA, "succeeded", 4*time.Second)
	})
}

func TestTheWorkerListIsReloadedAfterItsHistoryIsGone(t *testing.T) {
	runService(t, 1, 2, func(s *service) {
		s.store.Remove("servers", "w0")
		s.store.Remove("servers", "w1")
		time.Sleep(2 * time.Second)
		s.list(1)
		s.store.Compact()
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		s.await(s.entries[0], jobA, "succeeded", 3*time.Second)
	})
}
