package arranger

import (
	"fmt"
	"testing"
	"time"
)

// Urgent work and single tasks are placed together. Once the urgent work has ended, its racks must be free for a
// burst of urgent gangs that need a whole rack each.
func TestUrgentGangsFindFreeRacksBesideSingleTasks(t *testing.T) {
	const racks, perRack, accelerators = 4, 4, 8
	const urgent, singles, gangs = 6, 40, 2
	h := newHarness(t, racks, perRack)
	for i := range urgent {
		h.AddJob(h.now, jobOf(fmt.Sprintf("urgent-%d", i), 0, single(1, accelerators-1)), Progress{}, false)
	}
	early := h.planAfter(0)
	h.confirmStarts(early)
	for i := range singles {
		h.AddJob(h.now, jobOf(fmt.Sprintf("single-%d", i), 2, single(1, 1)), Progress{}, false)
	}
	o := h.planAfter(time.Millisecond)
	h.confirmStarts(o)
	if len(early.Starts) != urgent || len(o.Starts) != singles {
		t.Fatalf("%d and %d starts, want all", len(early.Starts), len(o.Starts))
	}
	for _, s := range early.Starts {
		h.endRun(s.Worker, s.Task, s.Run, EndedDone)
	}
	for i := range gangs {
		h.AddJob(h.now, jobOf(fmt.Sprintf("gang-%d", i), 0, gang(perRack, accelerators)), Progress{}, false)
	}
	o = h.planAfter(0)
	if len(o.Starts) != gangs*perRack || len(o.Stops) > 0 {
		t.Fatalf("%d starts and %d stops, want both gangs started at once on free racks", len(o.Starts), len(o.Stops))
	}
}
