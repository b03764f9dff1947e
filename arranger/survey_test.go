package arranger

import (
	"fmt"
	"testing"
	"time"
)

func TestUrgentWorkDoesNotQueueBehindOtherStarts(t *testing.T) {
	h := newHarness(t, 10, 12)
	h.AddJob(h.now, jobOf("batch", 2, single(600, 1)), Progress{}, false)
	first := h.planAfter(time.Second)
	if len(first.Starts) != maxPendingStarts {
		t.Fatalf("%d starts at once, want %d", len(first.Starts), maxPendingStarts)
	}
	h.AddJob(h.now, jobOf("lookup", 0, gang(4, 2)), Progress{}, false)
	if urgent := h.planAfter(10 * time.Millisecond); len(urgent.Starts) != 4 || urgent.Starts[0].Task.Job != "lookup" {
		t.Fatalf("%d starts while others are pending, want the four of the urgent gang", len(urgent.Starts))
	}
	h.confirmStarts(first)
	if later := h.planAfter(10 * time.Millisecond); len(later.Starts) == 0 {
		t.Error("no starts although no start is pending")
	}
}

func TestPlacementIsTheBestOfTheFleet(t *testing.T) {
	for _, test := range []struct {
		name string
		// used holds the accelerators in use on the workers of each rack.
		used   [][]int
		step   Step
		urgent bool
		want   string
	}{
		{"first rack with enough free capacity", [][]int{{8, 8}, {3, 7}, {0, 0}}, single(1, 1), false, "w1-1"},
		{"tightest fit within the rack", [][]int{{2, 6}, {6, 0}}, single(1, 2), false, "w0-1"},
		{"urgent work starts at the last rack", [][]int{{0, 0}, {0, 5}, {8, 6}}, single(1, 2), true, "w2-1"},
		{"last rack if no other has enough free capacity", [][]int{{7, 7}, {7, 7}, {0, 2}}, single(1, 3), false, "w2-1"},
		{"data rack before all others", [][]int{{0, 0}, {0, 0}, {7, 0}}, Step{Count: 1, Need: Resources{CPU: 1000, Accelerators: 1}, DataRack: "r1-2", Estimate: time.Second}, false, "w2-0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, len(test.used), 2)
			h.occupy(test.used)
			priority := 2
			if test.urgent {
				priority = 0
			}
			h.AddJob(h.now, jobOf("job", priority, test.step), Progress{}, false)
			starts := h.planAfter(time.Second).Starts
			if len(starts) != 1 || starts[0].Worker != test.want {
				t.Errorf("got %+v, want a start on %s", starts, test.want)
			}
		})
	}
}

// occupy fills workers with adopted runs of guaranteed jobs, which cannot be preempted.
func (h *harness) occupy(used [][]int) {
	h.t.Helper()
	h.SetGuarantees(map[string]int{"unions": 1000})
	for r, workers := range used {
		for i, accelerators := range workers {
			if accelerators == 0 {
				continue
			}
			id := string(rune('a'+r)) + string(rune('a'+i))
			j := jobOf(id, 0, single(1, accelerators))
			j.Accepted = h.now.Add(-time.Hour)
			h.AddJob(h.now, j, Progress{}, true)
			h.HandleReport(h.now, Report{
				Worker: fmt.Sprintf("w%d-%d", r, i), RequestedAt: h.now,
				Running: []RunReport{{Task: TaskName{Job: id}.String(), Run: 1}},
			})
		}
	}
}

// A gang takes longer when it is spread, so that it is only once the fleet would stay idle otherwise.
func TestAGangIsSpreadOnlyInAnIdleFleetAndAfterAWait(t *testing.T) {
	for _, test := range []struct {
		name string
		// used holds the accelerators in use on the workers of each rack.
		used     [][]int
		priority int
		wait     time.Duration
		want     int
	}{
		{"idle, before the delay", [][]int{{1, 0, 0, 0}, {1, 0, 0, 0}}, 1, gangSpreadDelay - time.Millisecond, 0},
		{"idle, after the delay", [][]int{{1, 0, 0, 0}, {1, 0, 0, 0}}, 1, gangSpreadDelay, 4},
		{"idle, urgent, before the delay", [][]int{{1, 0, 0, 0}, {1, 0, 0, 0}}, 0, gangSpreadDelay - time.Millisecond, 0},
		{"idle, urgent, after the delay", [][]int{{1, 0, 0, 0}, {1, 0, 0, 0}}, 0, gangSpreadDelay, 4},
		{"busy", [][]int{{8, 8, 8, 0}, {8, 8, 8, 0}, {8, 8, 8, 0}, {8, 8, 8, 0}}, 0, 10 * gangSpreadDelay, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, len(test.used), len(test.used[0]))
			h.occupy(test.used)
			j := jobOf("gang", test.priority, gang(4, 8))
			j.Organisation = "other"
			h.AddJob(h.now, j, Progress{}, false)
			if starts := h.planAfter(0).Starts; len(starts) != 0 {
				t.Fatalf("%d starts in the first pass, want none", len(starts))
			}
			if starts := h.planAfter(test.wait).Starts; len(starts) != test.want {
				t.Errorf("%d starts after %s, want %d", len(starts), test.wait, test.want)
			}
		})
	}
}

// A new owner gets the reports one after another; racks without room now have it a moment later.
func TestANewOwnerDoesNotSpreadAGangBeforeTheReports(t *testing.T) {
	h := newHarness(t, 2, 3)
	for _, rack := range []string{"r1-0", "r1-1"} {
		id := "late-" + rack
		h.SetWorker(h.now, Worker{
			ID: id, Incarnation: 1, Service: "tabulator", Rack: rack, Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8},
		})
		h.ExpectReport(id, h.now.Add(time.Minute))
	}
	h.AddJob(h.now, jobOf("gang", 1, gang(4, 8)), Progress{}, false)
	if starts := h.planAfter(0).Starts; len(starts) != 0 {
		t.Fatalf("%d starts before the reports, want none", len(starts))
	}
	h.HandleReport(h.now, Report{Worker: "late-r1-1", RequestedAt: h.now})
	starts := h.planAfter(time.Second).Starts
	if len(starts) != 4 {
		t.Fatalf("%d starts after the report, want 4", len(starts))
	}
	for _, s := range starts {
		if rack := h.workers[s.Worker].Rack; rack != "r1-1" {
			t.Errorf("start on rack %s, want r1-1", rack)
		}
	}
}

// A start whose outcome stays unknown must delay others neither for longer than it is being sent nor for less.
func TestAStartCountsAsPendingWhileItIsBeingSent(t *testing.T) {
	for _, test := range []struct {
		wait time.Duration
		want int
	}{{pendingStartTime - time.Millisecond, 0}, {pendingStartTime, 1}} {
		t.Run(test.wait.String(), func(t *testing.T) {
			h := newHarness(t, 12, 12)
			h.AddJob(h.now, jobOf("wide", 1, single(maxPendingStarts, 1)), Progress{}, false)
			h.planAfter(0)
			h.AddJob(h.now, jobOf("waiting", 1, single(1, 1)), Progress{}, false)
			if starts := h.planAfter(test.wait).Starts; len(starts) != test.want {
				t.Errorf("%d starts, want %d", len(starts), test.want)
			}
		})
	}
}
