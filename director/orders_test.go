package director

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

func TestAnUnsentStartIsScheduledAgain(t *testing.T) {
	now := time.Minute
	d := &Director{
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Workers: &platform.Workers{},
		Clock: func() time.Duration { return now },
	}
	owner := newTerm(d, registrar.Lease{Epoch: 1}, 1, now)
	began := time.Now()
	owner.arranger.SetWorker(time.Now(), arranger.Worker{ID: "w", Service: "s", Capacity: arranger.Resources{Accelerators: 8}})
	owner.arranger.HandleReport(began, arranger.Report{Worker: "w", RequestedAt: began})
	owner.arranger.AddJob(began, arranger.Job{
		ID: "aaaaaaaaaaaaaaaa", Accepted: began, Policy: arranger.Policy{Service: "s"},
		Steps: []arranger.Step{{Count: 1, Need: arranger.Resources{Accelerators: 1}}},
	}, arranger.Progress{}, false)
	owner.arranger.Plan(began)
	orders := owner.arranger.TakeOrders().Starts
	if len(orders) != 1 {
		t.Fatalf("%d starts, want one", len(orders))
	}
	// The lease is not renewed between the decision and the start request.
	now += maxRenewalAge
	owner.start(&session{term: owner, worker: arranger.Worker{ID: "w"}, ctx: t.Context()}, orders[0], platform.StartOrder{})
	owner.arranger.Plan(began.Add(time.Second))
	if again := owner.arranger.TakeOrders().Starts; len(again) != 1 || again[0].Run <= orders[0].Run {
		t.Errorf("the task was scheduled %d times after an unsent start request, want once under a higher run number", len(again))
	}
}
