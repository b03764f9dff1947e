package arranger

import (
	"fmt"
	"testing"
	"time"
)

// Urgent work and single tasks come mixed, the urgent work ends first, then a burst of urgent gangs comes that need a whole rack each.
func TestUrgentGangsFindWholeRacksBesideSingleTasks(t *testing.T) {
	const racks, perRack, accelerators = 4, 4, 8
	const urgent, singles, gangs = 6, 40, 2
	b := newBench(t, racks, perRack)
	for i := range urgent {
		b.AddJob(b.now, jobOf(fmt.Sprintf("urgent-%d", i), 0, single(1, accelerators-1)), Progress{}, false)
	}
	early := b.pass(0)
	b.confirm(early)
	for i := range singles {
		b.AddJob(b.now, jobOf(fmt.Sprintf("single-%d", i), 2, single(1, 1)), Progress{}, false)
	}
	o := b.pass(time.Millisecond)
	b.confirm(o)
	if len(early.Starts) != urgent || len(o.Starts) != singles {
		t.Fatalf("%d and %d starts, want all", len(early.Starts), len(o.Starts))
	}
	for _, s := range early.Starts {
		b.end(s.Worker, s.Task, s.Run, EndedDone)
	}
	for i := range gangs {
		b.AddJob(b.now, jobOf(fmt.Sprintf("gang-%d", i), 0, gang(perRack, accelerators)), Progress{}, false)
	}
	o = b.pass(0)
	if len(o.Starts) != gangs*perRack || len(o.Stops) > 0 {
		t.Fatalf("%d starts and %d stops, want both gangs started at once on free racks", len(o.Starts), len(o.Stops))
	}
}
