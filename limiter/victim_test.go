package limiter

import (
	"slices"
	"testing"
	"time"
)

// The load: bodies that stop just short of their end and stay open, among legitimate requests on slow links and requests that the process works on.
func TestStalledRequestsGiveWayBeforeThoseWithProgress(t *testing.T) {
	const held = 256 << 10
	sights := []sight{
		{phase: body, waiting: 200 * time.Millisecond, age: 30 * time.Second, rate: 8 << 10, held: held}, // a slow link
		{phase: body, waiting: 3 * time.Second, age: 3 * time.Second, rate: 80 << 10, held: held},        // sent at once, then stopped
		{phase: busy, age: time.Minute, held: held},                                                      // waits for the store
		{phase: body, waiting: 9 * time.Second, age: 9 * time.Second, held: held},                        // stopped earlier
		{phase: body, waiting: 100 * time.Millisecond, age: 20 * time.Second, rate: 40, held: held},      // a few bytes at a time
		{phase: body, waiting: 5 * time.Second, age: 5 * time.Second},                                    // small
		{phase: header, waiting: 900 * time.Millisecond, age: 900 * time.Millisecond, held: held},        // has not had its chance
		{phase: idle, waiting: time.Minute},
	}
	if got, want := pickForMemory(sights, 1), []int{3}; !slices.Equal(got, want) {
		t.Errorf("got %v, want the one that stopped first: %v", got, want)
	}
	if got, want := pickForMemory(sights, 100*held), []int{3, 1, 4}; !slices.Equal(got, want) {
		t.Errorf("got %v, want all without progress: %v", got, want)
	}
	if got, want := pickForConnection(sights, 2), []int{7, 3}; !slices.Equal(got, want) {
		t.Errorf("got %v, want the idle connection first: %v", got, want)
	}
	if got, want := pickForConnection(sights, 100), []int{7, 3, 5, 1, 4}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A connection that has just been opened or used was closed in favour of the next one, so that none of a burst was served.
func TestRecentConnectionsDoNotGiveWay(t *testing.T) {
	sights := []sight{{phase: idle, waiting: fairChance - 1}, {phase: idle}, {phase: header, waiting: 1}, {phase: body, waiting: 0, age: time.Hour}}
	if got := pickForConnection(sights, 10); len(got) != 0 {
		t.Errorf("got %v, want none", got)
	}
}

func TestRateForgetsAnEarlierBurst(t *testing.T) {
	start := time.Unix(1000, 0)
	var r rate
	r.add(start, 200<<10)
	if got := r.perSecond(start.Add(time.Second)); got < 60<<10 {
		t.Errorf("rate %d soon after the burst", got)
	}
	if got := r.perSecond(start.Add(2 * rateWindow)); got != 0 {
		t.Errorf("rate %d long after the burst", got)
	}
	for i := range 40 {
		r.add(start.Add(10*time.Second+time.Duration(i)*100*time.Millisecond), 1<<10)
	}
	if got := r.perSecond(start.Add(14 * time.Second)); got < 8<<10 || got > 12<<10 {
		t.Errorf("rate %d of 10 KB a second", got)
	}
}

// After a pause of the process all requests seemed stalled, and those were aborted whose bytes waited in the sockets.
func TestPauseIsNotAStall(t *testing.T) {
	now := time.Unix(1000, 0)
	var h heartbeat
	rankAfter := func(d time.Duration) int {
		now = now.Add(d)
		h.observe(now)
		return sight{phase: body, waiting: time.Minute, paused: h.paused(now)}.rank()
	}
	for i, step := range []struct {
		passed time.Duration
		want   int
	}{{0, rankStalled}, {beatInterval, rankStalled}, {maxBeatGap, rankStalled}, {5 * time.Second, rankNever}, {fairChance / 2, rankNever}, {fairChance / 2, rankStalled}} {
		if got := rankAfter(step.passed); got != step.want {
			t.Errorf("step %d: got rank %d, want %d", i, got, step.want)
		}
	}
	if got := (sight{phase: idle, waiting: time.Minute, paused: true}).rank(); got != rankIdle {
		t.Errorf("got rank %d of an idle connection, which loses nothing", got)
	}
}
