package arranger

import (
	"slices"
	"testing"
	"time"
)

func TestAnInheritedJobWaitsForItsRecordedWorkersOnly(t *testing.T) {
	for _, test := range []struct {
		name     string
		recorded bool
		workers  []string
		waits    bool
	}{
		{"never started", true, nil, false},
		{"may run on another worker", true, []string{"w0-1"}, false},
		{"may run on the silent worker", true, []string{"silent", "w0-1"}, true},
		{"owner before did not record workers", false, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 2)
			h.options.WorkersRecorded = test.recorded
			const wait = 10 * time.Second
			h.ExpectReport("silent", h.now.Add(wait))
			h.AddJob(h.now, jobOf("job", 1, single(1, 1)), Progress{State: Running, Workers: test.workers}, true)
			if starts := len(h.planAfter(time.Second).Starts); (starts == 0) != test.waits {
				t.Errorf("%d starts, waits: %t", starts, test.waits)
			}
			if starts := len(h.planAfter(wait).Starts); (starts == 1) != test.waits {
				t.Errorf("%d starts once all leases have expired", starts)
			}
		})
	}
}

func TestProgressListsTheWorkersOnWhichRunsMayExist(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.options.WorkersRecorded = true
	h.ExpectReport("silent", h.now.Add(10*time.Second))
	h.AddJob(h.now, jobOf("inherited", 1, single(1, 1)), Progress{Workers: []string{"silent", "w0-0"}}, true)
	h.AddJob(h.now, jobOf("new", 1, single(2, 8)), Progress{}, false)
	want := func(job string, workers ...string) {
		t.Helper()
		if got := h.Progress(job).Workers; !slices.Equal(got, workers) {
			t.Errorf("%s: got workers %v, want %v", job, got, workers)
		}
	}
	want("inherited", "silent")
	want("new")
	o := h.planAfter(0)
	want("new", "w0-0", "w0-1")
	h.confirmStarts(o)
	h.endRun("w0-0", o.Starts[slices.IndexFunc(o.Starts, func(s StartOrder) bool { return s.Worker == "w0-0" })].Task, o.Starts[0].Run, EndedDone)
	want("new", "w0-1")
	h.planAfter(11 * time.Second)
	if slices.Contains(h.Progress("inherited").Workers, "silent") {
		t.Error("a worker whose leases have expired is still listed")
	}
}

func TestProgressListsTheWorkersOfClaims(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.SetGuarantees(map[string]int{"unions": 8})
	h.AddJob(h.now, jobOf("batch", 2, single(1, 8)), Progress{}, false)
	h.confirmStarts(h.planAfter(0))
	h.AddJob(h.now, jobOf("urgent", 0, single(1, 8)), Progress{}, false)
	if o := h.planAfter(0); len(o.Starts) != 0 || len(o.Stops) != 1 {
		t.Fatalf("got %d starts and %d stops, want a preemption", len(o.Starts), len(o.Stops))
	}
	if got := h.Progress("urgent").Workers; !slices.Equal(got, []string{"w0-0"}) {
		t.Errorf("got workers %v, want the one with the claim", got)
	}
	if !slices.Contains(h.TakeDirtyJobs(), "urgent") {
		t.Error("the claim is not to be written")
	}
}
