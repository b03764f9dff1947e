package arranger

import (
	"fmt"
	"testing"
	"time"
)

func TestUrgentWorkDoesNotStandBehindThousandsOfStarts(t *testing.T) {
	b := newBench(t, 10, 12)
	b.AddJob(b.now, jobOf("batch", 2, single(600, 1)), Progress{}, false)
	first := b.pass(time.Second)
	if len(first.Starts) != maxPendingStarts {
		t.Fatalf("%d starts at once, want %d", len(first.Starts), maxPendingStarts)
	}
	b.AddJob(b.now, jobOf("lookup", 0, gang(4, 2)), Progress{}, false)
	if urgent := b.pass(10 * time.Millisecond); len(urgent.Starts) != 4 || urgent.Starts[0].Task.Job != "lookup" {
		t.Fatalf("%d starts while the others have no outcome, want the urgent gang's four", len(urgent.Starts))
	}
	b.confirm(first)
	if later := b.pass(10 * time.Millisecond); len(later.Starts) == 0 {
		t.Error("nothing starts although all starts have an outcome")
	}
}

func TestPlacesAreTheBestOfTheWholeFleet(t *testing.T) {
	for _, test := range []struct {
		name string
		// used are the accelerators taken on the workers of each rack.
		used   [][]int
		step   Step
		urgent bool
		want   string
	}{
		{"the first rack with room", [][]int{{8, 8}, {3, 7}, {0, 0}}, single(1, 1), false, "w1-1"},
		{"the tightest room of the rack", [][]int{{2, 6}, {6, 0}}, single(1, 2), false, "w0-1"},
		{"urgent work from the last rack", [][]int{{0, 0}, {0, 5}, {8, 6}}, single(1, 2), true, "w2-1"},
		{"no further than the racks with room", [][]int{{7, 7}, {7, 7}, {0, 2}}, single(1, 3), false, "w2-1"},
		{"near the data", [][]int{{0, 0}, {0, 0}, {7, 0}}, Step{Count: 1, Need: Resources{CPU: 1000, Accelerators: 1}, DataRack: "r1-2", Estimate: time.Second}, false, "w2-0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, len(test.used), 2)
			b.occupy(test.used)
			priority := 2
			if test.urgent {
				priority = 0
			}
			b.AddJob(b.now, jobOf("job", priority, test.step), Progress{}, false)
			starts := b.pass(time.Second).Starts
			if len(starts) != 1 || starts[0].Worker != test.want {
				t.Errorf("got %+v, want a start on %s", starts, test.want)
			}
		})
	}
}

// occupy fills workers with urgent runs taken over from an earlier owner, which nothing displaces.
func (b *bench) occupy(used [][]int) {
	b.t.Helper()
	b.SetGuarantees(map[string]int{"unions": 1000})
	for r, workers := range used {
		for i, accelerators := range workers {
			if accelerators == 0 {
				continue
			}
			id := string(rune('a'+r)) + string(rune('a'+i))
			j := jobOf(id, 0, single(1, accelerators))
			j.Accepted = b.now.Add(-time.Hour)
			b.AddJob(b.now, j, Progress{}, true)
			b.HandleReport(b.now, Report{
				Worker: fmt.Sprintf("w%d-%d", r, i), RequestedAt: b.now,
				Running: []RunReport{{Task: TaskName{Job: id}.String(), Run: 1}},
			})
		}
	}
}
