package arranger

import (
	"fmt"
	"testing"
	"time"
)

// logLine is a line that an arranger has logged.
type logLine struct {
	message string
	details map[string]any
}

// recordLog returns a harness of racks with four workers each that keeps what it logs.
func recordLog(t *testing.T, racks int) (*harness, *[]logLine) {
	t.Helper()
	h := newHarness(t, racks, 4)
	lines := &[]logLine{}
	h.options.Log = func(message string, details ...any) {
		line := logLine{message: message, details: map[string]any{}}
		for i := 0; i+1 < len(details); i += 2 {
			key, ok := details[i].(string)
			if !ok || line.details[key] != nil {
				t.Errorf("%s: key %v is no string or appears twice", message, details[i])
			}
			line.details[key] = details[i+1]
		}
		*lines = append(*lines, line)
	}
	return h, lines
}

func linesOf(lines []logLine, message string) []logLine {
	var found []logLine
	for _, l := range lines {
		if l.message == message {
			found = append(found, l)
		}
	}
	return found
}

// planFor plans every 150 ms and lets handle carry out the orders.
func (h *harness) planFor(d time.Duration, handle func(Orders)) {
	h.t.Helper()
	const interval = 150 * time.Millisecond
	for end := h.now.Add(d); h.now.Before(end); {
		handle(h.planAfter(interval))
	}
}

func (h *harness) add(id string, priority int, step Step) { h.addAs(id, priority, step, false) }

func (h *harness) addAs(id string, priority int, step Step, inherited bool) {
	j := jobOf(id, priority, step)
	j.Accepted = h.now
	h.AddJob(h.now, j, Progress{}, inherited)
}

// TestTheLogTellsWhyAJobWaits guards against waits on an idle fleet whose cause cannot be told from the log.
func TestTheLogTellsWhyAJobWaits(t *testing.T) {
	confirm := func(h *harness) func(Orders) { return h.confirmStarts }
	spread := func(step Step) Step {
		step.SameRack = false
		return step
	}
	for _, test := range []struct {
		name   string
		reason waitReason
		racks  int
		// prepare brings about the wait of the job "late" and returns what happens to orders.
		prepare func(h *harness) func(Orders)
		// summary is a count in the line about the workers that must be above zero.
		summary string
		detail  string
		value   any
	}{
		{"H1: a member of a gang is thought to run", waitPlaces, 2, func(h *harness) func(Orders) {
			h.add("late", 0, gang(4, 8))
			o := h.planAfter(0)
			h.confirmStarts(o)
			// A report without its member requeues the gang, and the stops of the other members have no effect.
			h.now = h.now.Add(time.Millisecond)
			h.HandleReport(h.now, Report{Worker: o.Starts[1].Worker, RequestedAt: h.now})
			return func(Orders) {}
		}, "workers", "stopping", 3},
		{"H2: as many workers are quarantined as may be", waitExcluded, 2, func(h *harness) func(Orders) {
			for _, w := range h.sortedWorkers[:3] {
				w.health.quarantine(h.now)
			}
			h.add("late", 0, gang(6, 8))
			return confirm(h)
		}, "quarantined", "excluded", 3},
		{"H2: no worker is reachable", waitExcluded, 2, func(h *harness) func(Orders) {
			for _, w := range h.sortedWorkers {
				h.SetReachable(h.now, w.ID, false)
			}
			h.add("late", 0, gang(2, 8))
			return confirm(h)
		}, "unreachable", "excluded", 8},
		{"H2: each worker lists a run of unknown size", waitExcluded, 2, func(h *harness) func(Orders) {
			for _, w := range h.sortedWorkers {
				h.HandleReport(h.now, Report{Worker: w.ID, RequestedAt: h.now, Running: []RunReport{{Task: "unknown.0.0.0", Run: 1}}})
			}
			h.add("late", 0, single(1, 1))
			return confirm(h)
		}, "orphanOfUnknownSize", "excluded", 64},
		{"H3: a worker has not reported to the new owner", waitReports, 2, func(h *harness) func(Orders) {
			h.ExpectReport("w0-0", h.now.Add(13*time.Second))
			h.addAs("late", 0, single(1, 1), true)
			return confirm(h)
		}, "awaitedReports", "awaitedWorker", "w0-0"},
		{"H4: starts have no outcome", waitStart, 2, func(h *harness) func(Orders) {
			h.add("late", 0, single(1, 1))
			return func(Orders) {}
		}, "pendingStarts", "starting", 1},
		{"H4: each start is unanswered and stopped", waitFailedStarts, 2, func(h *harness) func(Orders) {
			h.add("late", 0, spread(gang(2, 8)))
			return func(o Orders) {
				for _, s := range o.Starts {
					h.StartOutcomeUnknown(s.Task, s.Run)
				}
				for _, s := range h.TakeOrders().Stops {
					h.StopConfirmed(h.now, s.Task, s.Run, s.Worker)
					h.now = h.now.Add(time.Millisecond)
					h.HandleReport(h.now, Report{Worker: s.Worker, RequestedAt: h.now})
				}
			}
		}, "workers", "gang", true},
		{"H4: each start is refused", waitFailedStarts, 2, func(h *harness) func(Orders) {
			h.add("late", 0, single(1, 1))
			return func(o Orders) {
				for _, s := range o.Starts {
					h.StartRefused(h.now, s.Task, s.Run)
				}
			}
		}, "workers", "starting", 1},
		{"H4: starts of other work have no outcome", waitDeferred, 2, func(h *harness) func(Orders) {
			small := single(maxPendingStarts, 0)
			small.Need = Resources{CPU: 10}
			h.add("other", 2, small)
			h.planAfter(0)
			h.add("late", 2, single(1, 1))
			return func(Orders) {}
		}, "pendingStarts", "pendingStarts", maxPendingStarts},
		{"H4: preempted runs do not end", waitClaim, 1, func(h *harness) func(Orders) {
			h.SetGuarantees(map[string]int{"unions": 32})
			h.add("other", 2, single(4, 8))
			h.confirmStarts(h.planAfter(0))
			h.add("late", 0, gang(4, 8))
			return func(Orders) {}
		}, "workers", "claimed", 4},
		{"H5: no rack has room for a gang that fits one", waitRack, 2, func(h *harness) func(Orders) {
			h.occupy([][]int{{8, 8}, {8, 8}})
			h.add("late", 1, gang(3, 8))
			return confirm(h)
		}, "schedulable", "room", 4},
		{"H5: capacity is reserved", waitReserve, 2, func(h *harness) func(Orders) {
			h.occupy([][]int{{8, 8, 8, 8}, {8}})
			h.add("late", 2, single(1, 8))
			return confirm(h)
		}, "schedulable", "room", 3},
		{"H5: a gang avoids the free worker, which another of its class takes", waitCapacity, 2, func(h *harness) func(Orders) {
			h.occupy([][]int{{0, 8, 8, 8}, {8, 8, 8, 8}})
			h.add("late", 0, gang(1, 8))
			h.jobs["late"].stages[0].tasks[0].failedOn = map[string]bool{"w0-0": true}
			h.add("other", 0, gang(1, 8))
			return confirm(h)
		}, "schedulable", "room", 0},
		{"H5: the task avoids the free worker", waitAvoided, 2, func(h *harness) func(Orders) {
			h.occupy([][]int{{0, 8, 8, 8}, {8, 8, 8, 8}})
			h.add("late", 0, single(1, 8))
			h.jobs["late"].stages[0].tasks[0].failedOn = map[string]bool{"w0-0": true}
			return confirm(h)
		}, "schedulable", "avoided", 1},
		{"H5: the advice service does not answer", waitAdvice, 2, func(h *harness) func(Orders) {
			h.add("late", 0, single(1, 8))
			h.jobs["late"].Policy.Advised = true
			return confirm(h)
		}, "schedulable", "withoutTicket", 8},
		{"the fleet is full", waitCapacity, 2, func(h *harness) func(Orders) {
			h.occupy([][]int{{8, 8, 8, 8}, {8, 8, 8, 8}})
			h.add("late", 2, single(1, 8))
			return confirm(h)
		}, "schedulable", "room", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, lines := recordLog(t, test.racks)
			h.planFor(2500*time.Millisecond, test.prepare(h))
			checkWaitLine(t, *lines, test.reason, test.detail, test.value)
			summaries := linesOf(*lines, "workers excluded from planning")
			if len(summaries) == 0 {
				t.Fatal("no line about the workers")
			}
			if count, ok := summaries[len(summaries)-1].details[test.summary].(int); !ok || count == 0 {
				t.Errorf("%s is %v in %v", test.summary, count, summaries)
			}
		})
	}
}

func checkWaitLine(t *testing.T, lines []logLine, reason waitReason, detail string, value any) {
	t.Helper()
	found := linesOf(lines, "unit waits")
	for _, l := range found {
		if l.details["job"] != "late" {
			continue
		}
		if got := l.details["reason"]; got != string(reason) {
			t.Errorf("reason %v, want %s: %v", got, reason, l.details)
		}
		if got := l.details[detail]; fmt.Sprint(got) != fmt.Sprint(value) {
			t.Errorf("%s is %v, want %v: %v", detail, got, value, l.details)
		}
		return
	}
	t.Errorf("no line about the job in %v", found)
}

// TestLinesAboutWaitingWorkAreBounded guards against a log that grows with the backlog of a busy fleet.
func TestLinesAboutWaitingWorkAreBounded(t *testing.T) {
	const seconds = 12
	h, lines := recordLog(t, 2)
	h.occupy([][]int{{8, 8, 8, 8}, {8, 8, 8, 8}})
	for i := range 500 {
		h.add(fmt.Sprintf("batch-%d", i), 2, single(2, 8))
	}
	h.planFor(seconds*time.Second, h.confirmStarts)
	found := linesOf(*lines, "unit waits")
	if len(found) == 0 || len(found) > seconds*maxWaitLines {
		t.Errorf("%d lines about units in %d s, want some, at most %d a second", len(found), seconds, maxWaitLines)
	}
	perJob := map[any]int{}
	for _, l := range found {
		perJob[l.details["job"]]++
	}
	for job, count := range perJob {
		if most := int(seconds*time.Second/waitLogInterval) + 1; count > most {
			t.Errorf("%d lines about %v, want at most %d", count, job, most)
		}
	}
	for _, message := range []string{"units wait", "workers excluded from planning"} {
		if got := len(linesOf(*lines, message)); got == 0 || got > int(seconds*time.Second/waitLogInterval)+1 {
			t.Errorf("%d lines %q in %d s without a change", got, message, seconds)
		}
	}
}

func TestNothingIsLoggedAboutWaitsWhileWorkRuns(t *testing.T) {
	h, lines := recordLog(t, 2)
	h.add("gang", 0, gang(4, 8))
	h.add("batch", 2, single(4, 2))
	h.planFor(10*time.Second, h.confirmStarts)
	for _, message := range []string{"unit waits", "units wait", "workers excluded from planning"} {
		if found := linesOf(*lines, message); len(found) > 0 {
			t.Errorf("lines %v", found)
		}
	}
	if got := h.Waits(); got.Stages != 0 {
		t.Errorf("waits are %+v", got)
	}
}

func TestTheLogTellsTheCauseAndTheEndOfAQuarantine(t *testing.T) {
	h, lines := recordLog(t, 1)
	h.add("stalls", 2, single(1, 1))
	o := h.planAfter(0)
	h.confirmStarts(o)
	s := o.Starts[0]
	for range 4 {
		h.now = h.now.Add(time.Second)
		h.HandleReport(h.now, Report{Worker: s.Worker, RequestedAt: h.now, Running: []RunReport{{Task: s.Task.String(), Run: s.Run, Percent: 5}}})
	}
	h.planAfter(time.Millisecond)
	quarantines := linesOf(*lines, "worker quarantined")
	if len(quarantines) != 1 || quarantines[0].details["cause"] != "runs stalled" || quarantines[0].details["rest"] != minQuarantine.String() {
		t.Errorf("lines about the quarantine: %v", quarantines)
	}
	if got := h.Counts().Quarantines; got != 1 {
		t.Errorf("%d quarantines counted, want 1", got)
	}
	h.planAfter(minQuarantine - time.Second)
	if found := linesOf(*lines, "quarantine ended"); len(found) > 0 {
		t.Errorf("the end is logged early: %v", found)
	}
	h.planAfter(time.Second)
	h.planAfter(time.Second)
	if found := linesOf(*lines, "quarantine ended"); len(found) != 1 || found[0].details["worker"] != s.Worker {
		t.Errorf("lines about the end: %v", found)
	}
}
