package arranger

import (
	"math"
	"testing"
	"time"
)

// A gang on the fastest free workers regardless of its slowest member would occupy fast workers that wait for a slow one.
func TestAGangRunsOnWorkersOfOneSpeed(t *testing.T) {
	const slow, average, fast = -5, 0, 5
	spread := func(step Step) Step { step.SameRack = false; return step }
	for _, test := range []struct {
		name string
		// racks holds the ratings of the workers of each rack; each has room for one member.
		racks    [][]int
		step     Step
		priority int
		want     int
	}{
		{"urgent, one slow worker beside fast ones", [][]int{{average, average, average}, {fast, fast, slow}}, gang(3, 8), 0, average},
		{"urgent, the fastest of one speed", [][]int{{fast, fast, fast}, {average, average, average}, {slow, slow, slow}}, gang(3, 8), 0, fast},
		{"urgent, faster ones stay free", [][]int{{average, average, fast, fast}}, gang(3, 8), 0, average},
		{"large, the slowest of one speed", [][]int{{fast, fast, fast}, {average, average, average}, {slow, slow, slow}}, gang(3, 8), 1, slow},
		{"large, one slow worker beside fast ones", [][]int{{slow, fast, fast}, {average, average, average}}, gang(3, 8), 1, average},
		{"urgent, over several racks", [][]int{{fast, average}, {fast, average}, {fast, average}}, spread(gang(3, 8)), 0, fast},
		{"large, over several racks", [][]int{{slow, average}, {fast, average}, {fast, average}}, spread(gang(3, 8)), 1, average},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, len(test.racks), len(test.racks[0]))
			i := 0
			for _, rack := range test.racks {
				for _, steps := range rack {
					h.RestoreSpeed(h.sortedWorkers[i].ID, Rating{Steps: steps, Error: 0.05})
					i++
				}
			}
			h.AddJob(h.now, jobOf("gang", test.priority, test.step), Progress{}, false)
			starts := h.planAfter(time.Second).Starts
			if len(starts) != test.step.Count {
				t.Fatalf("%d starts, want the gang", len(starts))
			}
			slowest := math.Inf(1)
			counts := map[int]int{}
			for _, s := range starts {
				slowest = min(slowest, s.Speed)
				counts[h.workers[s.Worker].rating.steps]++
			}
			// The third case has no three workers of one speed.
			if got := int(math.Round(math.Log(slowest) / math.Log(ratingStep))); got != test.want || counts[test.want] < 2 {
				t.Errorf("members by rating %v, want those of %d", counts, test.want)
			}
		})
	}
}

// An urgent gang on workers of unknown speed may be slow, and a worker that nothing tries stays unrated.
func TestUnratedWorkersAreTriedByWorkThatIsNotUrgent(t *testing.T) {
	for _, test := range []struct {
		name     string
		priority int
		step     Step
		want     string
	}{
		{"urgent gang", 0, gang(2, 4), "w0-0"},
		{"single task", 2, single(1, 4), "w0-2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 3)
			h.RestoreSpeed("w0-0", Rating{Steps: 5, Error: 0.05})
			h.RestoreSpeed("w0-1", Rating{Steps: -2, Error: 0.05})
			h.RestoreSpeed("w0-2", Rating{Steps: 5, Error: 2 * maxRatingError})
			h.occupy([][]int{{0, 8, 0}})
			h.AddJob(h.now, jobOf("job", test.priority, test.step), Progress{}, false)
			for _, s := range h.planAfter(time.Second).Starts {
				if s.Worker != test.want {
					t.Errorf("start on %s, want %s", s.Worker, test.want)
				}
			}
		})
	}
}

// The speeds of another service's workers would make its unrated workers look better, or its searches longer.
func TestTheSpeedsOfAnotherServiceDoNotCount(t *testing.T) {
	h := newHarness(t, 1, 3)
	for i, steps := range []int{-5, 0, 5} {
		info := h.sortedWorkers[i].Worker
		info.ID, info.Service = "other-"+info.ID, "other"
		h.SetWorker(h.now, info)
		h.HandleReport(h.now, Report{Worker: info.ID, RequestedAt: h.now})
		h.RestoreSpeed(info.ID, Rating{Steps: steps, Error: 0.05})
	}
	h.RestoreSpeed("w0-0", Rating{Error: 0.05})
	h.AddJob(h.now, jobOf("job", 2, single(1, 4)), Progress{}, false)
	if starts := h.planAfter(time.Second).Starts; len(starts) != 1 || starts[0].Worker != "w0-0" {
		t.Errorf("got starts %+v, want one on the first of the equal workers", starts)
	}
	for service, even := range map[string]bool{"tabulator": true, "other": false} {
		if r := h.newPass(h.now, nil).speeds[service]; r.isEven() != even {
			t.Errorf("speeds of %s from %.2f to %.2f, even: %t", service, r.low, r.high, r.isEven())
		}
	}
}
