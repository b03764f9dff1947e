package director_test

import (
	"errors"
	"testing"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/director"
	"github.com/snipelift/snipelift/faker"
)

// TestOnlyTheOwnerExplainsPlacements guards against an answer from a VM that knows no workers, or from an owner that may have been replaced.
func TestOnlyTheOwnerExplainsPlacements(t *testing.T) {
	runService(t, 2, 4, func(s *service) {
		job := arranger.Job{
			ID: "placement", Queue: "lookups", Organisation: "unions",
			Steps: []arranger.Step{{Count: 2, Need: arranger.Resources{CPU: 1000, Accelerators: 8}, Estimate: time.Second, Gang: true}},
		}
		first := s.owner()
		other := s.other(first)
		e, err := first.director.Explain(s.t.Context(), job)
		if err != nil || len(e.Steps) != 1 || e.Steps[0].Placed != 2 || e.Steps[0].Claimed {
			t.Errorf("got %+v %v, want room for both tasks", e, err)
		}
		expectOwner := func(e *entry, want string) {
			t.Helper()
			_, err := e.director.Explain(s.t.Context(), job)
			var notOwner *director.NotOwnerError
			if !errors.As(err, &notOwner) || notOwner.Owner != want {
				t.Errorf("got %v, want owner %q", err, want)
			}
		}
		expectOwner(other, first.name)
		time.Sleep(time.Second)
		if got := s.fleet.Starts(job.ID); got != 0 {
			t.Errorf("%d starts of a job that was only asked about", got)
		}
		s.board.Isolate(first.name, true)
		time.Sleep(4 * time.Second)
		if _, err := first.director.Explain(s.t.Context(), job); err == nil {
			t.Error("an owner that is cut off explains placements")
		}
		if _, err := other.director.Explain(s.t.Context(), job); err != nil {
			t.Errorf("the next owner does not: %v", err)
		}
		s.board.Isolate(first.name, false)
		time.Sleep(3 * time.Second)
		expectOwner(first, other.name)
		s.submit(other, jobA, faker.TaskJob{Duration: time.Second, Accelerators: 8}, 1)
		s.await(other, jobA, "succeeded", 4*time.Second)
	})
}
