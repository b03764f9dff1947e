package director_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// Another writer's entry in the list of workers must neither end an owner nor keep it from following the list.
func TestOddEntriesOfTheWorkerListDoNotDisturbTheOthers(t *testing.T) {
	nested := any("x")
	for range 9000 {
		nested = []any{nested}
	}
	entry := func(change map[string]any) map[string]any {
		e := map[string]any{
			"service": "tabulator", "addr": "10.0.0.1:80", "zone": "zone-a", "state": "ready", "slots": 8, "seq": 1,
			"capacity": map[string]any{"cpu": 1000, "memMb": 1000, "gpu": 8}, "labels": []string{"a", "r1-0"}, "born": 1,
		}
		for key, value := range change {
			e[key] = value
		}
		return e
	}
	farFuture := time.Now().Add(100 * 365 * 24 * time.Hour).UnixMilli()
	for name, odd := range map[string]any{
		"nested":            entry(map[string]any{"labels": nested}),
		"nested elsewhere":  entry(map[string]any{"other": nested}),
		"huge start time":   entry(map[string]any{"born": 1e300}),
		"future start time": entry(map[string]any{"born": farFuture}),
		"huge capacity":     entry(map[string]any{"capacity": map[string]any{"cpu": 1e300, "memMb": 1e300, "gpu": 1e300}}),
		"negative capacity": entry(map[string]any{"capacity": map[string]any{"cpu": -1e9, "memMb": -1e9, "gpu": -1e9}}),
		"port":              entry(map[string]any{"addr": "10.0.0.1:99999"}),
		"address":           entry(map[string]any{"addr": strings.Repeat("%zz", 100)}),
		"text":              "odd",
		"nothing":           nil,
	} {
		t.Run(name, func(t *testing.T) {
			runService(t, 2, 2, func(s *service) {
				job := faker.TaskJob{Duration: time.Second, Accelerators: 8}
				s.store.Put("servers", "odd", odd)
				// The entry of a worker at work is replaced as well, until the worker writes the next one.
				s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 3 * time.Second, Accelerators: 8}, 2)
				s.await(s.entries[0], jobA, "running", 2*time.Second)
				s.store.Put("servers", "w0", odd)
				time.Sleep(time.Second)
				s.list(0)
				s.await(s.entries[0], jobA, "succeeded", 4*time.Second)
				if got := s.fleet.Starts(jobA); got != 2 {
					t.Errorf("the tasks at work were started %d times, want 2", got)
				}
				// Both workers are needed, and so is a new owner.
				for i := range 2 {
					id := fmt.Sprintf("%016x", 100+i)
					s.submit(s.entries[0], id, job, 2)
					s.await(s.entries[0], id, "succeeded", recoveryTime)
					owner := s.owner()
					s.board.Isolate(owner.name, true)
					time.Sleep(recoveryTime)
					s.board.Isolate(owner.name, false)
					time.Sleep(3 * time.Second)
				}
			})
		})
	}
}
