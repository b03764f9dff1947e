package arranger

import (
	"testing"
	"time"
)

// A worker that joins an evacuated zone, or whose next incarnation does, got work until the set changed again.
func TestAWorkerThatJoinsAnEvacuatedZoneGetsNoWork(t *testing.T) {
	h := newZonedHarness(t, 1, 1)
	h.evacuate(nil, "zone-0")
	info, _ := h.Worker("w0-0")
	info.ID = "w0-1"
	h.SetWorker(h.now, info)
	h.HandleReport(h.now, Report{Worker: info.ID, RequestedAt: h.now})
	info.Incarnation++
	h.SetWorker(h.now, info)
	h.HandleReport(h.now, Report{Worker: info.ID, RequestedAt: h.now})
	h.AddJob(h.now, jobOf("j", 0, single(2, 8)), Progress{}, false)
	if o := h.planAfter(0); len(o.Starts) != 0 {
		t.Errorf("%d starts", len(o.Starts))
	}
}

// Runs in an evacuated zone end by themselves, and their tasks are not started twice.
func TestRunsInAnEvacuatedZoneGoOn(t *testing.T) {
	h := newZonedHarness(t, 2, 2)
	h.AddJob(h.now, jobOf("j", 0, single(4, 8)), Progress{}, false)
	first := h.planAfter(0)
	h.confirmStarts(first)
	h.evacuate(nil, "zone-0")
	if o := h.planAfter(time.Second); len(o.Stops)+len(o.Starts) > 0 {
		t.Fatalf("got %+v, want no orders", o)
	}
	for _, s := range first.Starts {
		h.endRun(s.Worker, s.Task, s.Run, EndedDone)
	}
	if state := h.jobs["j"].state; state != Succeeded {
		t.Errorf("the job is %s", state)
	}
}

// While the evacuated zones are not known nothing may start, but stops must go on.
func TestStartsAreHeldAndStopsGoOn(t *testing.T) {
	h := newZonedHarness(t, 1, 2)
	h.AddJob(h.now, jobOf("first", 2, single(1, 8)), Progress{}, false)
	h.confirmStarts(h.planAfter(0))
	h.SetStartsHeld(true)
	h.AddJob(h.now, jobOf("second", 0, single(1, 8)), Progress{}, false)
	h.CancelJob("first")
	if o := h.planAfter(time.Second); len(o.Starts) != 0 || len(o.Stops) != 1 {
		t.Errorf("%d starts and %d stops, want the stop only", len(o.Starts), len(o.Stops))
	}
	h.SetStartsHeld(false)
	if o := h.planAfter(0); len(o.Starts) != 1 {
		t.Errorf("%d starts, want that of the waiting job", len(o.Starts))
	}
}
