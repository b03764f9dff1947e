package arranger

import (
	"fmt"
	"testing"
	"time"
)

// runSteadyLoad submits a steady stream of single tasks to a fleet of four racks and a gang of gangWidth whole
// workers halfway. It returns the seconds until the gang started, or -1, and the number of started single tasks.
func runSteadyLoad(t *testing.T, gangWidth int) (gangStart, singles int) {
	t.Helper()
	const seconds, perSecond = 40, 14
	h := newHarness(t, 4, 4)
	ends := map[StartOrder]time.Time{}
	gangStart = -1
	for second := range seconds {
		for i := range perSecond {
			j := jobOf(fmt.Sprintf("single-%d-%d", second, i), 2, single(1, 1))
			j.Accepted = h.now
			h.AddJob(h.now, j, Progress{}, false)
		}
		if second == seconds/2 {
			j := jobOf("gang", 1, gang(gangWidth, 8))
			j.Accepted = h.now
			h.AddJob(h.now, j, Progress{}, false)
		}
		o := h.planAfter(time.Second)
		h.confirmStarts(o)
		for _, s := range o.Starts {
			ends[s] = h.now.Add(8 * time.Second)
			if s.Task.Job == "gang" && gangStart < 0 {
				gangStart = second - seconds/2
			}
			if s.Task.Job != "gang" {
				singles++
			}
		}
		for s, at := range ends {
			if !h.now.Before(at) {
				h.endRun(s.Worker, s.Task, s.Run, EndedDone)
				delete(ends, s)
			}
		}
	}
	return gangStart, singles
}

func TestSingleTasksDoNotStarveAGang(t *testing.T) {
	waited, singles := runSteadyLoad(t, 3)
	// The gang's deadline is 7 s after its acceptance, three times its estimate of 2 s plus the objective of
	// 1 s, so its latest start is 2 s before that.
	const latest = 5
	if waited < 0 || waited > latest {
		t.Errorf("the gang started after %d s, want at most %d (-1: never)", waited, latest)
	}
	if singles < 300 {
		t.Errorf("%d single tasks started, want most of them", singles)
	}
}

func TestAGangLargerThanTheFleetReservesNothing(t *testing.T) {
	_, without := runSteadyLoad(t, 1)
	_, with := runSteadyLoad(t, 100)
	if with < without {
		t.Errorf("%d single tasks started beside a gang larger than the fleet, %d without it", with, without)
	}
}

func TestTheReserveFollowsWhatUrgentWorkUsedLately(t *testing.T) {
	const racks, perRack, accelerators = 10, 12, 960
	for _, test := range []struct {
		name string
		// gang is the number of whole workers that the urgent job of each second uses.
		gang        int
		least, most int
	}{
		{"little urgent work", 1, accelerators * 85 / 100, accelerators * 92 / 100},
		{"much urgent work", 40, accelerators * 60 / 100, accelerators * 70 / 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, racks, perRack)
			for i := range usageWindowSeconds + 1 {
				step := gang(test.gang, 8)
				step.SameRack = false
				h.AddJob(h.now, jobOf(fmt.Sprintf("lookup-%d", i), 0, step), Progress{}, false)
				starts := h.planAfter(time.Second)
				h.confirmStarts(starts)
				for _, o := range starts.Starts {
					h.endRun(o.Worker, o.Task, o.Run, EndedDone)
				}
			}
			h.AddJob(h.now, jobOf("batch", 2, single(accelerators, 1)), Progress{}, false)
			used := 0
			for range 4 {
				starts := h.planAfter(10 * time.Millisecond)
				h.confirmStarts(starts)
				used += len(starts.Starts)
			}
			if used < test.least || used > test.most {
				t.Errorf("%d of %d accelerators are used, want %d to %d", used, accelerators, test.least, test.most)
			}
		})
	}
}

// Workers that can't take work keep the share in use low, as if they were free.
func TestExcludedWorkersDoNotBringTheReserveForward(t *testing.T) {
	for _, test := range []struct {
		name    string
		exclude func(h *harness, w *worker)
	}{
		{"quarantined", func(h *harness, w *worker) { w.health.quarantinedUntil = h.now.Add(time.Hour) }},
		{"unreachable", func(h *harness, w *worker) { h.SetReachable(h.now, w.ID, false) }},
		{"blocked", func(h *harness, w *worker) { w.blockedUntil = h.now.Add(time.Hour) }},
		{"draining", func(_ *harness, w *worker) { w.Draining = true }},
		{"with an orphan of unknown size", func(_ *harness, w *worker) { w.orphanSizeUnknown = true }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 10)
			for _, w := range h.sortedWorkers[:4] {
				test.exclude(h, w)
			}
			h.AddJob(h.now, jobOf("running", 1, single(40, 1)), Progress{}, false)
			h.confirmStarts(h.planAfter(0))
			h.AddJob(h.now, jobOf("waiting", 1, single(1, 8)), Progress{}, false)
			if starts := h.planAfter(time.Second).Starts; len(starts) != 1 {
				t.Errorf("%d starts with 40 of 80 accelerators in use, want 1", len(starts))
			}
		})
	}
}

// Tasks that are placed in one pass count as in use for the next ones, or the pass would take the reserve as well.
func TestTheReserveLastsThroughAPass(t *testing.T) {
	const kept = 24
	h := newHarness(t, 1, 10)
	h.AddJob(h.now, jobOf("wide", 1, single(80, 1)), Progress{}, false)
	for range 2 {
		h.confirmStarts(h.planAfter(10 * time.Millisecond))
		if free := 80 - len(h.jobs["wide"].stages[0].placed()); free != kept {
			t.Errorf("%d of 80 accelerators are free, want %d", free, kept)
		}
	}
}

// placed returns the tasks of the stage that have a place.
func (s *stage) placed() []*task {
	var placed []*task
	for _, t := range s.tasks {
		if t.place != nil {
			placed = append(placed, t)
		}
	}
	return placed
}

// Claims may end without a run, so that they say nothing about the use of the fleet.
func TestOnlyOrderedWorkMakesTheFleetBusy(t *testing.T) {
	for _, test := range []struct {
		name  string
		state placeState
		want  bool
	}{
		{"claimed", placeClaimed, false},
		{"starting", placeStarting, true},
		{"running", placeRunning, true},
		{"stopping", placeStopping, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 10)
			h.AddJob(h.now, jobOf("wide", 0, single(7, 8)), Progress{}, false)
			h.planAfter(0)
			for _, task := range h.jobs["wide"].stages[0].placed() {
				task.place.state = test.state
			}
			if got := h.newPass(h.now, h.ranks()).fleetIsBusy(); got != test.want {
				t.Errorf("busy is %t with 56 of 80 accelerators %s, want %t", got, test.name, test.want)
			}
		})
	}
}
