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

func TestAStartThatWasNotSentIsPlacedAgain(t *testing.T) {
	now := time.Minute
	d := &Director{
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Workers: &platform.Workers{},
		Clock: func() time.Duration { return now },
	}
	o := newTerm(d, registrar.Lease{Epoch: 1}, 1, now)
	begin := time.Now()
	o.arranger.SetWorker(arranger.Worker{ID: "w", Service: "s", Capacity: arranger.Resources{Accelerators: 8}})
	o.arranger.HandleReport(begin, arranger.Report{Worker: "w", RequestedAt: begin})
	o.arranger.AddJob(begin, arranger.Job{
		ID: "aaaaaaaaaaaaaaaa", Accepted: begin, Policy: arranger.Policy{Service: "s"},
		Steps: []arranger.Step{{Count: 1, Need: arranger.Resources{Accelerators: 1}}},
	}, arranger.Progress{}, false)
	o.arranger.Plan(begin)
	orders := o.arranger.TakeOrders().Starts
	if len(orders) != 1 {
		t.Fatalf("%d starts, want one", len(orders))
	}
	// The lease is not renewed between the decision and the order.
	now += maxRenewalAge
	o.start(t.Context(), &session{term: o, worker: arranger.Worker{ID: "w"}}, orders[0], platform.StartOrder{})
	o.arranger.Plan(begin.Add(time.Second))
	if again := o.arranger.TakeOrders().Starts; len(again) != 1 || again[0].Run <= orders[0].Run {
		t.Errorf("the task was ordered %d times after a start that was not sent, want once under a higher run number", len(again))
	}
}
