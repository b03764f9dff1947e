package director

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// newUnsentTerm returns a term with a start that has not been sent, and the task of that start.
func newUnsentTerm(t *testing.T) (*term, arranger.StartOrder) {
	t.Helper()
	now := time.Now()
	owner := newFleetTerm(t, now, 1)
	owner.arranger.AddJob(now, arranger.Job{
		ID: "aaaaaaaaaaaaaaaa", Accepted: now, Policy: arranger.Policy{Service: "s"},
		Steps: []arranger.Step{{Count: 1, Need: arranger.Resources{Accelerators: 1}}},
	}, arranger.Progress{}, false)
	owner.arranger.Plan(now)
	starts := owner.arranger.TakeOrders().Starts
	if len(starts) != 1 {
		t.Fatalf("got %d starts, want one", len(starts))
	}
	owner.recordStarts(starts)
	return owner, starts[0]
}

func TestAStartWhosePlaceIsGoneIsNotSent(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(owner *term, start arranger.StartOrder)
	}{
		{"stopped", func(owner *term, start arranger.StartOrder) {
			if !owner.withdrawStart(arranger.StopOrder{Task: start.Task.String(), Run: start.Run, Worker: start.Worker}) {
				t.Error("the start was not withdrawn")
			}
		}},
		{"worker restarted", func(owner *term, start arranger.StartOrder) {
			owner.arranger.RemoveWorker(time.Now(), start.Worker, "worker restarted")
		}},
		{"worker drains", func(owner *term, start arranger.StartOrder) {
			w, _ := owner.arranger.Worker(start.Worker)
			w.Draining = true
			owner.arranger.SetWorker(time.Now(), w)
		}},
		{"zone evacuated", func(owner *term, start arranger.StartOrder) {
			owner.evacuation = owner.evacuation.WithZone(start.Zone, 1)
			owner.withdrawEvacuated()
		}},
		{"evacuated zones not known", func(owner *term, _ arranger.StartOrder) { owner.Bounds.EvacuationDeadline = time.Second }},
		{"capacity shrinks", func(owner *term, start arranger.StartOrder) {
			w, _ := owner.arranger.Worker(start.Worker)
			w.Capacity = arranger.Resources{}
			owner.arranger.SetWorker(time.Now(), w)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			owner, start := newUnsentTerm(t)
			for _, s := range owner.sessions {
				s.responded = true
			}
			owner.applyEvacuation()
			test.change(owner, start)
			// A start that is sent would need a client of workers, which is nil here.
			owner.confirmBatch(owner.nextBatch())
			owner.goroutines.Wait()
			if owner.arranger.IsStarting(start.Task, start.Run) {
				t.Error("the task still waits for the outcome of a start that is never sent")
			}
			if len(owner.unsent[start.Task.Job]) != 0 {
				t.Errorf("%d starts are left", len(owner.unsent[start.Task.Job]))
			}
		})
	}
}

func TestABatchFromBeforeADecisionDoesNotReleaseItsStart(t *testing.T) {
	owner, start := newUnsentTerm(t)
	owner.sendRecorded(batch{jobs: []string{start.Task.Job}, lastChange: owner.unsent[start.Task.Job][0].change - 1})
	if len(owner.unsent[start.Task.Job]) != 1 {
		t.Error("the start was sent before its worker was recorded")
	}
}

func TestRowsOfStartsAreWrittenFirst(t *testing.T) {
	owner, start := newUnsentTerm(t)
	for _, id := range []string{"0000000000000000", "1111111111111111", "2222222222222222"} {
		owner.writer.dirtyJobs[id] = 1
	}
	owner.writer.singleRows = true
	owner.writer.shards = map[int]bool{}
	if b := owner.nextBatch(); len(b.jobs) != 1 || b.jobs[0] != start.Task.Job {
		t.Errorf("the batch holds %v, want the job whose start waits", b.jobs)
	}
}

// A successor that relies on incomplete records starts tasks that still run elsewhere.
func TestWorkersCountAsRecordedOnceAllRowsAreWritten(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(owner *term)
		want   bool
	}{
		{"all recorded", func(*term) {}, true},
		{"not loaded", func(owner *term) { owner.loaded = false }, false},
		{"reports awaited", func(owner *term) { owner.arranger.ExpectReport("w9", time.Now().Add(time.Minute)) }, false},
		{"rows left", func(owner *term) {
			owner.writer.singleRows = true
			owner.writer.dirtyJobs = map[string]uint64{"0000000000000000": 1, "1111111111111111": 1}
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			owner := newFleetTerm(t, time.Now(), 1)
			owner.lease = registrar.Lease{Epoch: 2}
			owner.loaded = true
			test.change(owner)
			if got := owner.nextBatch().workersRecorded; got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestAWorkerCountsAsRecordedUnderEachPossibleRow(t *testing.T) {
	for _, test := range []struct {
		name   string
		writes func(owner *term)
		want   bool
	}{
		{"no row of this owner", func(*term) {}, false},
		{"first write pending", func(owner *term) { owner.noteWrite("job", workerSet{ids: []string{"w1"}}) }, false},
		{"written", func(owner *term) {
			owner.noteWrite("job", workerSet{ids: []string{"w1"}})
			owner.confirmWrites([]string{"job"})
		}, true},
		{"write without the worker pending", func(owner *term) {
			owner.noteWrite("job", workerSet{ids: []string{"w1"}})
			owner.confirmWrites([]string{"job"})
			owner.noteWrite("job", workerSet{})
		}, false},
		{"write without the worker has no known outcome", func(owner *term) {
			owner.noteWrite("job", workerSet{ids: []string{"w1"}})
			owner.confirmWrites([]string{"job"})
			owner.noteWrite("job", workerSet{})
			owner.noteWrite("job", workerSet{ids: []string{"w1"}})
		}, false},
		{"written again after a write without a known outcome", func(owner *term) {
			owner.noteWrite("job", workerSet{})
			owner.noteWrite("job", workerSet{ids: []string{"w1", "w2"}})
			owner.confirmWrites([]string{"job"})
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			owner := newFleetTerm(t, time.Now(), 1)
			test.writes(owner)
			if got := owner.recorded["job"].lists("w1"); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestAGangIsSentAtOnceOnlyIfAllItsWorkersAreRecorded(t *testing.T) {
	for _, test := range []struct {
		recorded []string
		unsent   int
	}{
		{nil, 2},
		{[]string{"w1"}, 2},
		{[]string{"w1", "w2"}, 0},
	} {
		owner := newFleetTerm(t, time.Now(), 1)
		owner.noteWrite("job", workerSet{ids: test.recorded})
		owner.confirmWrites([]string{"job"})
		var orders []arranger.StartOrder
		for i, worker := range []string{"w1", "w2"} {
			orders = append(orders, arranger.StartOrder{Task: arranger.TaskName{Job: "job", Index: i}, Run: 7, Worker: worker, Gang: true})
		}
		// The sessions have had no response, so that nothing is really sent.
		owner.recordStarts(orders)
		if got := len(owner.unsent["job"]); got != test.unsent {
			t.Errorf("recorded on %v: %d starts wait, want %d", test.recorded, got, test.unsent)
		}
	}
}

func TestACancelledJobFreesTheRoomOfItsUnsentStart(t *testing.T) {
	owner, start := newUnsentTerm(t)
	owner.arranger.CancelJob(start.Task.Job)
	owner.dispatch(context.Background())
	if owner.arranger.Occupied(start.Worker) {
		t.Error("the worker is occupied by a start that is never sent")
	}
}

func TestAGangIsWithdrawnWholeIfAMemberCannotBeSent(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		t.Run(fmt.Sprintf("evacuated %t", evacuated), func(t *testing.T) { testWithdrawnGang(t, evacuated) })
	}
}

// testWithdrawnGang withdraws a gang whose second worker drains or is in an evacuated zone.
func testWithdrawnGang(t *testing.T, evacuated bool) {
	t.Helper()
	now := time.Now()
	owner := newFleetTerm(t, now, 1)
	for _, s := range owner.sessions {
		s.responded = true
	}
	owner.arranger.AddJob(now, arranger.Job{
		ID: "aaaaaaaaaaaaaaaa", Accepted: now, Policy: arranger.Policy{Service: "s"},
		Steps: []arranger.Step{{Count: 2, Gang: true, Need: arranger.Resources{Accelerators: 8}}},
	}, arranger.Progress{}, false)
	owner.applyEvacuation()
	owner.arranger.Plan(now)
	starts := owner.arranger.TakeOrders().Starts
	owner.recordStarts(starts)
	if evacuated {
		owner.evacuation = owner.evacuation.WithZone(starts[1].Zone, 1)
		owner.withdrawEvacuated()
	} else {
		w, _ := owner.arranger.Worker(starts[1].Worker)
		w.Draining = true
		owner.arranger.SetWorker(time.Now(), w)
	}
	owner.confirmBatch(owner.nextBatch())
	for _, start := range starts {
		if owner.arranger.Occupied(start.Worker) {
			t.Errorf("%s is occupied by a start that is never sent", start.Worker)
		}
	}
	if stops := owner.arranger.TakeOrders().Stops; len(stops) > 0 {
		t.Errorf("%d stops of runs that were never sent", len(stops))
	}
}

func TestAnUnreadableProgressRowMakesTheJobWaitForAllWorkers(t *testing.T) {
	now := time.Now()
	base := newFleetTerm(t, now, 1)
	owner := newTerm(base.Director, registrar.Lease{Epoch: 2, WorkersRecorded: true}, 9, base.now())
	info := arranger.Worker{ID: "w1", Service: "s", Capacity: arranger.Resources{Accelerators: 8}}
	owner.arranger.SetWorker(time.Now(), info)
	owner.arranger.HandleReport(now, arranger.Report{Worker: "w1", RequestedAt: now})
	owner.arranger.ExpectReport("w2", now.Add(10*time.Second))
	const id = "aaaaaaaaaaaaaaaa"
	recorded := owner.decodeProgress([]platform.Row{{Key: id, Value: []byte("{")}})
	owner.arranger.AddJob(now, arranger.Job{
		ID: id, Accepted: now, Policy: arranger.Policy{Service: "s"},
		Steps: []arranger.Step{{Count: 1, Need: arranger.Resources{Accelerators: 1}}},
	}, recorded[id].Progress, true)
	owner.arranger.Plan(now)
	if starts := len(owner.arranger.TakeOrders().Starts); starts > 0 {
		t.Errorf("%d starts while w2 has not reported", starts)
	}
}

func TestARejectedRowDoesNotKeepOtherRowsInBatchesOfOne(t *testing.T) {
	owner := newFleetTerm(t, time.Now(), 1)
	owner.writer.singleRows = true
	owner.handleRejection(batch{puts: []platform.Row{{Key: "rejected"}}}, platform.ErrRejected)
	if limit := owner.writer.rowLimit(); limit != maxBatchRows {
		t.Errorf("batches of %d rows once the rejected row is known, want %d", limit, maxBatchRows)
	}
}
