package director

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// newFleetTerm returns a term with two workers that have reported.
func newFleetTerm(t *testing.T, began time.Time, incarnation int64) *term {
	t.Helper()
	now := time.Minute
	d := &Director{Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Config: &follower.Follower{}, Clock: func() time.Duration { return now }}
	owner := newTerm(d, registrar.Lease{Epoch: 1}, 1, now)
	for _, id := range []string{"w1", "w2"} {
		info := arranger.Worker{ID: id, Incarnation: incarnation, Service: "s", Zone: "zone of " + id, Capacity: arranger.Resources{Accelerators: 8}}
		owner.sessions[id] = &session{term: owner, worker: info}
		owner.arranger.SetWorker(time.Now(), info)
		owner.arranger.HandleReport(began, arranger.Report{Worker: id, RequestedAt: began})
	}
	return owner
}

// TestTheNextOwnerKnowsTheSpeedOfWorkers replays a change of owner: the new one places urgent work on the worker that
// its predecessor found to be fast, instead of learning the speeds anew.
func TestTheNextOwnerKnowsTheSpeedOfWorkers(t *testing.T) {
	began := time.Now()
	for _, tt := range []struct {
		fast        string
		incarnation int64
		want        string
	}{
		{fast: "w1", incarnation: 1, want: "w1"},
		{fast: "w2", incarnation: 1, want: "w2"},
		// The speeds are those of an earlier incarnation, so that the order of the workers decides.
		{fast: "w2", incarnation: 2, want: "w1"},
	} {
		previous := newFleetTerm(t, began, 1)
		for _, id := range []string{"w1", "w2"} {
			steps := -2
			if id == tt.fast {
				steps = 2
			}
			previous.arranger.RestoreSpeed(id, arranger.Rating{Steps: steps, Error: 0.05})
		}
		var b batch
		previous.addSpeeds(&b)
		if len(b.puts) != 1 || b.puts[0].Key != registrar.SpeedsKey {
			t.Fatalf("got rows %+v, want one with the speeds", b.puts)
		}
		next := newFleetTerm(t, began, tt.incarnation)
		next.restoreSpeeds(b.puts[0])
		next.arranger.AddJob(began, arranger.Job{
			ID: "aaaaaaaaaaaaaaaa", Accepted: began, Policy: arranger.Policy{Service: "s"},
			Steps: []arranger.Step{{Count: 1, Need: arranger.Resources{Accelerators: 1}}},
		}, arranger.Progress{}, false)
		next.arranger.Plan(began)
		orders := next.arranger.TakeOrders().Starts
		if len(orders) != 1 || orders[0].Worker != tt.want {
			t.Errorf("%s was fast, incarnation %d now: got starts %+v, want one on %s", tt.fast, tt.incarnation, orders, tt.want)
		}
	}
}

// The next owner would try workers of average speed anew, and place urgent gangs without their ratings.
func TestTheNextOwnerKnowsTheWorkersOfAverageSpeed(t *testing.T) {
	previous, next := newFleetTerm(t, time.Now(), 1), newFleetTerm(t, time.Now(), 1)
	previous.arranger.RestoreSpeed("w1", arranger.Rating{Error: 0.07})
	var b batch
	previous.addSpeeds(&b)
	next.restoreSpeeds(b.puts[0])
	speeds := next.arranger.Speeds()
	if rating, ok := speeds["w1"]; !ok || rating.Steps != 0 || rating.Error != 0.1 || len(speeds) != 1 {
		t.Errorf("got speeds %v, want w1 of average speed, with the next larger recorded error", speeds)
	}
	previous.addSpeeds(&b)
	if len(b.puts) != 1 {
		t.Errorf("%d rows although nothing has changed", len(b.puts))
	}
}

func TestUnreadableSpeedsAreIgnored(t *testing.T) {
	owner := newFleetTerm(t, time.Now(), 1)
	owner.restoreSpeeds(platform.Row{Key: registrar.SpeedsKey, Value: []byte(`{"w1":`)})
	if speeds := owner.arranger.Speeds(); len(speeds) != 0 {
		t.Errorf("got speeds %v, want none", speeds)
	}
}
