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
