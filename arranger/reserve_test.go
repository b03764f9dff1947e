package arranger

import (
	"fmt"
	"testing"
	"time"
)

// steadyLoad is a fleet of four racks under a steady stream of single tasks; a gang of two thirds of a rack comes in the middle.
func steadyLoad(t *testing.T, gangWidth int) (gangStart, singles int) {
	t.Helper()
	const seconds, perSecond = 40, 14
	b := newBench(t, 4, 4)
	ends := map[StartOrder]time.Time{}
	gangStart = -1
	for second := range seconds {
		for i := range perSecond {
			j := jobOf(fmt.Sprintf("single-%d-%d", second, i), 2, single(1, 1))
			j.Accepted = b.now
			b.AddJob(b.now, j, Progress{}, false)
		}
		if second == seconds/2 {
			j := jobOf("gang", 1, gang(gangWidth, 8))
			j.Accepted = b.now
			b.AddJob(b.now, j, Progress{}, false)
		}
		o := b.pass(time.Second)
		b.confirm(o)
		for _, s := range o.Starts {
			ends[s] = b.now.Add(8 * time.Second)
			if s.Task.Job == "gang" && gangStart < 0 {
				gangStart = second - seconds/2
			}
			if s.Task.Job != "gang" {
				singles++
			}
		}
		for s, at := range ends {
			if !b.now.Before(at) {
				b.end(s.Worker, s.Task, s.Run, EndedDone)
				delete(ends, s)
			}
		}
	}
	return gangStart, singles
}

func TestAGangIsNotOvertakenForeverBySingleTasks(t *testing.T) {
	waited, singles := steadyLoad(t, 3)
	// The gang's latest start is five seconds after its acceptance: three times its two seconds and one second more, less the two.
	const latest = 5
	if waited < 0 || waited > latest {
		t.Errorf("the gang started after %d s, want at most %d (-1: never)", waited, latest)
	}
	if singles < 300 {
		t.Errorf("%d single tasks started, want most of them", singles)
	}
}

func TestAGangThatFitsNowhereKeepsNothing(t *testing.T) {
	_, without := steadyLoad(t, 1)
	_, with := steadyLoad(t, 100)
	if with < without {
		t.Errorf("%d single tasks started beside a gang that fits nowhere, %d without", with, without)
	}
}

func TestTheReserveFollowsWhatUrgentWorkUsedLately(t *testing.T) {
	const racks, perRack, accelerators = 10, 12, 960
	for _, test := range []struct {
		name string
		// gang is the number of whole workers that an urgent job uses each second.
		gang        int
		least, most int
	}{
		{"little urgent work", 1, accelerators * 85 / 100, accelerators * 92 / 100},
		{"much urgent work", 40, accelerators * 60 / 100, accelerators * 70 / 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, racks, perRack)
			for i := range usageWindowSeconds + 1 {
				step := gang(test.gang, 8)
				step.SameRack = false
				b.AddJob(b.now, jobOf(fmt.Sprintf("lookup-%d", i), 0, step), Progress{}, false)
				starts := b.pass(time.Second)
				b.confirm(starts)
				for _, o := range starts.Starts {
					b.end(o.Worker, o.Task, o.Run, EndedDone)
				}
			}
			b.AddJob(b.now, jobOf("batch", 2, single(accelerators, 1)), Progress{}, false)
			used := 0
			for range 4 {
				starts := b.pass(10 * time.Millisecond)
				b.confirm(starts)
				used += len(starts.Starts)
			}
			if used < test.least || used > test.most {
				t.Errorf("%d of %d accelerators are used, want %d to %d", used, accelerators, test.least, test.most)
			}
		})
	}
}
