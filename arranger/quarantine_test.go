package arranger

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// addWorkers adds workers of a service with IDs that begin with its name.
func (h *harness) addWorkers(service string, count int) {
	for i := range count {
		id := fmt.Sprintf("%s-%02d", service, i)
		h.SetWorker(h.now, Worker{ID: id, Incarnation: 1, Service: service, Rack: "r1-0", Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}})
		h.HandleReport(h.now, Report{Worker: id, RequestedAt: h.now})
	}
}

// excluded returns the IDs of the workers of the service that quarantine excludes.
func (h *harness) excluded(service string) []string {
	h.limitQuarantine(h.now)
	var ids []string
	for _, w := range h.sortedWorkers {
		if w.Service == service && !w.health.usable(h.now) {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// Quarantine of most of a service's workers would leave its tasks without any.
func TestQuarantineExcludesALimitedShareOfEachService(t *testing.T) {
	for _, test := range []struct {
		workers, quarantined, want int
	}{{1, 1, 0}, {2, 1, 1}, {2, 2, 1}, {3, 3, 1}, {5, 2, 2}, {5, 3, 2}, {10, 4, 4}, {10, 10, 4}, {12, 12, 4}, {1100, 700, 440}} {
		t.Run(fmt.Sprintf("%d of %d", test.quarantined, test.workers), func(t *testing.T) {
			h := newHarness(t, 0, 0)
			h.addWorkers("a", test.workers)
			h.addWorkers("b", 10)
			for _, w := range h.sortedWorkers[:test.quarantined] {
				w.health.quarantine(h.now)
			}
			h.workers["b-05"].health.quarantine(h.now)
			if got := len(h.excluded("a")); got != test.want {
				t.Errorf("%d workers excluded, want %d", got, test.want)
			}
			if got := h.excluded("b"); !slices.Equal(got, []string{"b-05"}) {
				t.Errorf("%v of the other service excluded, want b-05", got)
			}
		})
	}
}

// Workers that can't be used for another reason neither raise the limit nor count towards it.
func TestTheQuarantineLimitCountsOnlyWorkersInService(t *testing.T) {
	for _, test := range []struct {
		name    string
		exclude func(h *harness, w *worker)
	}{
		{"draining", func(_ *harness, w *worker) { w.Draining = true }},
		{"silent", func(h *harness, w *worker) { h.SetReachable(h.now, w.ID, false) }},
		{"without a report", func(_ *harness, w *worker) { w.hasReported = false }},
		{"removed", func(h *harness, w *worker) { h.RemoveWorker(h.now, w.ID, "leases expired") }},
	} {
		for _, quarantined := range []int{0, 10} {
			t.Run(fmt.Sprintf("%s, %d quarantined", test.name, quarantined), func(t *testing.T) {
				h := newHarness(t, 0, 0)
				h.addWorkers("a", 20)
				for i, w := range slices.Clone(h.sortedWorkers) {
					if i < quarantined || i >= 10 && i < 16 {
						w.health.quarantine(h.now)
					}
					if i < 10 {
						test.exclude(h, w)
					}
				}
				inService := slices.DeleteFunc(h.excluded("a"), func(id string) bool { return id < "a-10" })
				if len(inService) != 4 {
					t.Errorf("%v of 10 workers in service excluded, want 4", inService)
				}
			})
		}
	}
}

// A readmitted worker that still fails is excluded again, and the one that has waited longest replaces it.
func TestTheQuarantineLimitReadmitsTheLongestQuarantinedWorkers(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.addWorkers("a", 5)
	for _, i := range []int{3, 1, 4, 0} {
		h.now = h.now.Add(100 * time.Millisecond)
		w := h.workers[fmt.Sprintf("a-%02d", i)]
		w.health.recordFailure("x", h.now)
		w.health.recordFailure("y", h.now)
	}
	if got := h.excluded("a"); !slices.Equal(got, []string{"a-00", "a-04"}) {
		t.Fatalf("%v excluded, want the two that were quarantined last", got)
	}
	w := h.workers["a-03"]
	if !w.health.suspect(h.now) {
		t.Error("a readmitted worker is not suspect")
	}
	h.now = h.now.Add(100 * time.Millisecond)
	if !w.health.recordFailure("z", h.now) || w.health.quarantineTime != minQuarantine {
		t.Errorf("a readmitted worker that fails is quarantined for %s, want %s", w.health.quarantineTime, minQuarantine)
	}
	if got := h.excluded("a"); !slices.Equal(got, []string{"a-00", "a-03"}) {
		t.Errorf("%v excluded, want a-03 in the place of a-04", got)
	}
	h.now = w.health.quarantinedUntil
	if got := h.excluded("a"); len(got) > 0 {
		t.Errorf("%v excluded after the end of all quarantines", got)
	}
	w.health.quarantine(h.now)
	if w.health.quarantineTime != 2*minQuarantine || !slices.Equal(h.excluded("a"), []string{"a-03"}) {
		t.Errorf("quarantined for %s in the next episode, want %s", w.health.quarantineTime, 2*minQuarantine)
	}
}

func TestTheQuarantineLimitIsLoggedWhenItBeginsAndEndsToBind(t *testing.T) {
	h := newHarness(t, 0, 0)
	var lines []string
	h.options.Log = func(message string, details ...any) {
		lines = append(lines, strings.TrimSpace(fmt.Sprintln(append([]any{message}, details...)...)))
	}
	h.addWorkers("a", 10)
	for i, w := range h.sortedWorkers {
		if i < 6 {
			w.health.quarantine(h.now)
		}
		h.limitQuarantine(h.now)
		h.now = h.now.Add(time.Millisecond)
	}
	h.now = h.now.Add(minQuarantine)
	h.limitQuarantine(h.now)
	h.limitQuarantine(h.now)
	want := []string{
		"quarantine limit exceeded service a quarantined 5 readmitted 1 workers 10",
		"quarantine limit no longer exceeded service a quarantined 0 readmitted 0 workers 10",
	}
	if !slices.Equal(lines, want) {
		t.Errorf("logged %q, want %q", lines, want)
	}
}
