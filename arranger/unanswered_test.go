package arranger

import (
	"fmt"
	"testing"
	"time"
)

// A worker that hangs leaves several starts unanswered at once, which is one fault.
func TestStartsWithoutAnAnswerDelayFurtherOnesOnce(t *testing.T) {
	var u unansweredStarts
	for _, test := range []struct {
		ordered, want time.Duration
	}{
		{0, minUnansweredBackoff},
		{time.Second, minUnansweredBackoff},
		{minUnansweredBackoff, minUnansweredBackoff + 2*minUnansweredBackoff},
		{time.Minute, time.Minute + maxUnansweredBackoff},
	} {
		u.record(start.Add(test.ordered))
		if got := u.until.Sub(start); got != test.want {
			t.Errorf("after a start at %s without starts until %s, want %s", test.ordered, got, test.want)
		}
	}
}

// When many workers leave starts unanswered, the owner is at fault, and the rest would not suffice.
func TestManyWorkersThatLeaveStartsUnansweredStillGetWork(t *testing.T) {
	for _, test := range []struct{ unanswered, want int }{{1, 3}, {2, 4}} {
		t.Run(fmt.Sprintf("%d of 4 workers", test.unanswered), func(t *testing.T) {
			h := newHarness(t, 1, 4)
			for _, w := range h.sortedWorkers[:test.unanswered] {
				w.unanswered.record(h.now)
			}
			j := jobOf("wide", 0, single(4, 8))
			h.AddJob(h.now, j, Progress{}, false)
			if starts := h.planAfter(0).Starts; len(starts) != test.want {
				t.Errorf("%d starts, want %d", len(starts), test.want)
			}
		})
	}
}

func TestAConfirmedStartEndsTheBackoffOfItsWorker(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.AddJob(h.now, jobOf("task", 0, single(1, 8)), Progress{}, false)
	o := h.planAfter(0)
	w := h.workers[o.Starts[0].Worker]
	w.unanswered.record(h.now)
	h.confirmStarts(o)
	if w.unanswered != (unansweredStarts{}) {
		t.Errorf("got %+v after a confirmed start, want none", w.unanswered)
	}
}
