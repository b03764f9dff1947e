package director

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
)

// newZonedTerm returns a term with a worker w1 in zone-1 and one w2 in zone-2, whose follower reads the evacuations of the returned store.
func newZonedTerm(t *testing.T) (*term, *faker.RowStore) {
	t.Helper()
	owner := newFleetTerm(t, time.Now(), 1)
	network, rows := faker.NewHTTPNetwork(), faker.NewRowStore()
	network.Handle("store:1", rows)
	rows.Put(platform.OperatorTable, platform.ConfigKey, map[string]any{"version": 1})
	owner.Config = &follower.Follower{
		Store:  &platform.Store{Client: &http.Client{Transport: network.Client("entry").Transport}, Address: "store:1", Timeout: time.Second},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Clock: owner.Clock,
	}
	for id, zone := range map[string]string{"w1": "zone-1", "w2": "zone-2"} {
		owner.sessions[id].responded = true
		info, _ := owner.arranger.Worker(id)
		info.Zone = zone
		owner.arranger.SetWorker(time.Now(), info)
	}
	return owner, rows
}

// readEvacuations lets the follower read the store once it holds the zones.
func readEvacuations(t *testing.T, owner *term, rows *faker.RowStore, zones ...string) {
	t.Helper()
	for _, zone := range zones {
		rows.Put(platform.OperatorTable, platform.EvacuationPrefix+zone, map[string]any{})
	}
	ctx, cancel := context.WithCancel(t.Context())
	read := make(chan struct{}, 1)
	remove := owner.Config.OnEvacuation(func() { read <- struct{}{} })
	defer remove()
	done := make(chan struct{})
	go func() {
		defer close(done)
		owner.Config.Run(ctx)
	}()
	<-read
	cancel()
	<-done
}

// startGang returns the recorded and unsent starts of a gang on both workers.
func startGang(t *testing.T, owner *term) []arranger.StartOrder {
	t.Helper()
	owner.arranger.AddJob(time.Now(), arranger.Job{
		ID: "aaaaaaaaaaaaaaaa", Accepted: time.Now(), Policy: arranger.Policy{Service: "s"},
		Steps: []arranger.Step{{Count: 2, Gang: true, Need: arranger.Resources{Accelerators: 8}}},
	}, arranger.Progress{}, false)
	owner.arranger.Plan(time.Now())
	starts := owner.arranger.TakeOrders().Starts
	if len(starts) != 2 {
		t.Fatalf("%d starts, want the gang", len(starts))
	}
	owner.recordStarts(starts)
	return starts
}

// A start that waits for its record was decided before the evacuation and sent after it. A start that is sent would need a client of workers, which is nil here.
func TestUnsentStartsInAnEvacuatedZoneAreWithdrawn(t *testing.T) {
	for _, test := range []struct {
		name  string
		apply func(owner *term)
	}{
		{"before the next plan", func(owner *term) { owner.applyEvacuation() }},
		{"when their record is confirmed", func(owner *term) { owner.confirmBatch(owner.nextBatch()) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			owner, rows := newZonedTerm(t)
			gauges := map[string]int64{}
			owner.SetGauge = func(name string, value int64) { gauges[name] = value }
			starts := startGang(t, owner)
			readEvacuations(t, owner, rows, "zone-2", "zone-9")
			test.apply(owner)
			owner.goroutines.Wait()
			for _, start := range starts {
				if owner.arranger.Occupied(start.Worker) {
					t.Errorf("%s is occupied by a start that is never sent", start.Worker)
				}
			}
			if len(owner.unsent) != 0 || gauges[evacuatedZonesGauge] != 2 {
				t.Errorf("%d jobs with unsent starts, gauges %v", len(owner.unsent), gauges)
			}
			if stops := owner.arranger.TakeOrders().Stops; len(stops) > 0 {
				t.Errorf("%d stops of runs that were never sent", len(stops))
			}
		})
	}
}

// A start is checked once more in the goroutine that sends it, which may run late.
func TestAStartIsNotSentOnceItsZoneIsEvacuated(t *testing.T) {
	owner, rows := newZonedTerm(t)
	starts := startGang(t, owner)
	readEvacuations(t, owner, rows, starts[0].Zone)
	owner.Workers = &platform.Workers{}
	owner.start(&session{term: owner, worker: arranger.Worker{ID: starts[0].Worker}, ctx: t.Context()}, starts[0], platform.StartOrder{})
	if owner.arranger.IsStarting(starts[0].Task, starts[0].Run) {
		t.Error("the refused member of the gang is still starting")
	}
}

// The knowledge of the evacuated zones may be as old as the platform allows a start after the row is written, and no older.
func TestStartsAreHeldWhileTheEvacuationsAreNotKnown(t *testing.T) {
	for _, test := range []struct {
		name              string
		deadline, stretch time.Duration
		age               time.Duration
		read, want        bool
	}{
		{"fresh", 5 * time.Second, 5 * time.Second, 0, true, false},
		{"within the bound", 5 * time.Second, 5 * time.Second, 10 * time.Second, true, false},
		{"beyond the bound", 5 * time.Second, 5 * time.Second, 10*time.Second + 1, true, true},
		{"never read", 5 * time.Second, 5 * time.Second, 0, false, true},
		{"no bound", 0, 5 * time.Second, time.Hour, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			owner, rows := newZonedTerm(t)
			now := time.Minute
			owner.Config.Clock = func() time.Duration { return now }
			owner.Bounds.EvacuationDeadline, owner.Bounds.ConfigStretch = test.deadline, test.stretch
			if test.read {
				readEvacuations(t, owner, rows, "zone-9")
			}
			now += test.age
			owner.applyEvacuation()
			if owner.startsHeld != test.want || owner.mayStartIn("zone-1") == test.want {
				t.Errorf("held: %t, want %t", owner.startsHeld, test.want)
			}
		})
	}
}
