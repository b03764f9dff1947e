package acceptor

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	retryVMs = 35
	// storeWrites is the number of writes per second that the store takes from all VMs.
	storeWrites = 1200
	retryStep   = 10 * time.Millisecond
)

// returnLoad is a burst of requests that all VMs refuse since the store is away; clients return as they are told, each to any VM.
type returnLoad struct {
	clients, acceptedBefore int
	patience                time.Duration
	// away is the time for which the store does not respond, and first the time of it at which the burst of one second begins.
	away, first time.Duration
	retryAfter  func(s *retrySchedule, now time.Time, r refusal) time.Duration
}

// replay returns the largest number of requests that arrive within a second after the end of the outage, and the longest wait of a client for a store that is back.
func (l returnLoad) replay() (peak int, longest time.Duration) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // A test needs reproducible numbers.
	start := time.Unix(1_000_000, 0)
	var vms [retryVMs]retrySchedule
	for i := range vms {
		for range l.acceptedBefore {
			vms[i].noteAccepted(start.Add(-3 * time.Second))
		}
	}
	arrivals := map[time.Duration]int{}
	for i := range l.clients {
		arrivals[(l.first+time.Duration(i)*time.Second/time.Duration(l.clients)).Truncate(retryStep)]++
	}
	var back []int
	for at := time.Duration(0); at < l.away+2*maxRetryAfter; at += retryStep {
		if at >= l.away {
			back = append(back, arrivals[at])
			if arrivals[at] > 0 {
				longest = at - l.away
			}
			continue
		}
		for range arrivals[at] {
			wait := l.retryAfter(&vms[random.IntN(retryVMs)], start.Add(at), refusal{outage: at, patience: l.patience})
			arrivals[at+wait]++
		}
	}
	const window = int(time.Second / retryStep)
	for i := range back {
		sum := 0
		for _, n := range back[i:min(i+window, len(back))] {
			sum += n
		}
		peak = max(peak, sum)
	}
	return peak, longest
}

// All VMs told all clients to return after 1 s, so that a burst returned as a burst when the store was back.
func TestReturnsOfRefusedClientsAreSpread(t *testing.T) {
	always := func(*retrySchedule, time.Time, refusal) time.Duration { return time.Second }
	for _, test := range []struct {
		name string
		load returnLoad
		// wait is the longest wait for a store that is back.
		wait time.Duration
	}{
		{"no rate known", returnLoad{clients: 2400, patience: 10 * time.Second, away: 4200 * time.Millisecond, first: 1500 * time.Millisecond}, maxRetryAfter},
		{"rate known", returnLoad{clients: 4500, acceptedBefore: 30, patience: 10 * time.Second, away: 4200 * time.Millisecond, first: 1500 * time.Millisecond}, maxRetryAfter},
		{"long outage", returnLoad{clients: 2400, patience: 10 * time.Second, away: 15 * time.Second, first: 1500 * time.Millisecond}, maxRetryAfter},
		{"burst at the end of the outage", returnLoad{clients: 2400, patience: 10 * time.Second, away: 4200 * time.Millisecond, first: 3100 * time.Millisecond}, maxRetryAfter},
		{"few clients, short outage", returnLoad{clients: 200, patience: 10 * time.Second, away: 3900 * time.Millisecond, first: 1500 * time.Millisecond}, time.Second},
		{"clients of little patience", returnLoad{clients: 1200, patience: 2500 * time.Millisecond, away: 9 * time.Second, first: 1500 * time.Millisecond}, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.load.retryAfter = (*retrySchedule).retryAfter
			peak, longest := test.load.replay()
			test.load.retryAfter = always
			before, _ := test.load.replay()
			t.Logf("%d returns within a second at most, %d if all are told 1 s; last return %s after the end of the outage", peak, before, longest)
			if peak > storeWrites || longest > test.wait {
				t.Errorf("%d returns within a second, the last after %s, want at most %d and %s", peak, longest, storeWrites, test.wait)
			}
			if test.load.clients > 2*storeWrites && before <= storeWrites {
				t.Errorf("%d returns within a second if all are told 1 s: the load does not show the fault", before)
			}
		})
	}
}

func TestTheRetryDelayFollowsWhatIsKnown(t *testing.T) {
	for _, test := range []struct {
		name    string
		refused refusal
		want    time.Duration
	}{
		{"store responds", refusal{}, time.Second},
		{"away for a moment", refusal{outage: 3 * time.Second}, time.Second},
		{"away for longer", refusal{outage: 7 * time.Second}, 3 * time.Second},
		{"away for a minute", refusal{outage: time.Minute}, maxOutageWait},
		{"another VM serves at once", refusal{outage: time.Minute, elsewhere: true}, time.Second},
		{"client waits less", refusal{outage: time.Minute, patience: 2900 * time.Millisecond}, 2 * time.Second},
		{"client waits less than a second", refusal{outage: time.Minute, patience: 400 * time.Millisecond}, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			var schedule retrySchedule
			if got := schedule.retryAfter(time.Unix(1000, 0), test.refused); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
