package acceptor

import (
	"sync"
	"time"
)

// The load: the store is away for seconds and 35 VMs refuse all requests. If all clients are told the same, they return at once, again and again, and
// in one burst when the store is back; if they are told too much, they wait although the store is back, and miss their deadlines.

const (
	// minRetryAfter and maxRetryAfter are the shortest and the longest time after which a client is told to return; maxOutageWait is the longest if few clients are.
	minRetryAfter = time.Second
	maxOutageWait = 5 * time.Second
	maxRetryAfter = 10 * time.Second
	// outageShare is the part of the expected rest of an outage after which a client returns. An outage that has lasted t is expected to last as long again; with
	// half of that, few waits exceed a quarter of the outage, and one refusal more costs the client less than a wait for a store that is back.
	outageShare = 0.5
	// minWriteReturns and minReadReturns are the returns per second that a VM always lets come: 35 VMs stay below half of the 1,200 writes and 6,000 reads
	// of all VMs, so that clients that return do not displace others, also where those of two calendar seconds come together.
	minWriteReturns = 16
	minReadReturns  = 80
	// acceptedShare is the part of the rate at which the VM has accepted requests that is left to returns; the rest is for new requests, and for returns of two
	// calendar seconds that come together.
	acceptedShare = 0.5
	// acceptedWindow is the number of seconds whose accepted requests are known.
	acceptedWindow = 64
	// justStarted is the age of a process up to which other VMs are expected to serve what it refuses.
	justStarted = 3 * time.Second
)

// refusal is what is known of a request that is refused for now.
type refusal struct {
	// outage is how long the store has not responded, or 0 if it does.
	outage time.Duration
	// elsewhere means that another VM is expected to serve the request at once.
	elsewhere bool
	// reads means that the request writes nothing.
	reads bool
	// patience is how long the client waits at most, or 0 if that is not known.
	patience time.Duration
}

// retrySchedule spreads the returns of refused clients over the coming seconds, at the rate at which the store has accepted requests; the caller passes in
// the time. The zero value is usable.
type retrySchedule struct {
	mu sync.Mutex
	// accepted are the requests that were accepted, writes and reads the returns that clients were told, by second.
	accepted, writes, reads secondCounts
}

// noteAccepted records that a request was accepted, which took a write.
func (s *retrySchedule) noteAccepted(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted.add(now.Unix())
}

// retryAfter returns after how many whole seconds a refused client should return.
func (s *retrySchedule) retryAfter(now time.Time, r refusal) time.Duration {
	if r.elsewhere {
		return minRetryAfter
	}
	last := maxRetryAfter
	if r.patience > 0 {
		last = min(last, max(minRetryAfter, r.patience.Truncate(time.Second)))
	}
	first := time.Duration(outageShare * float64(r.outage)).Truncate(time.Second)
	first = min(max(minRetryAfter, first), maxOutageWait, last)
	s.mu.Lock()
	defer s.mu.Unlock()
	returns, rate := &s.writes, max(minWriteReturns, int(acceptedShare*float64(s.accepted.largest(now.Unix()))))
	if r.reads {
		returns, rate = &s.reads, minReadReturns
	}
	best := first
	for wait := first; wait <= last; wait += time.Second {
		count := returns.at(now.Add(wait).Unix())
		if count < returns.at(now.Add(best).Unix()) {
			best = wait
		}
		if count < rate {
			best = wait
			break
		}
	}
	returns.add(now.Add(best).Unix())
	return best
}

// secondCounts counts events by second, for the last acceptedWindow seconds.
type secondCounts [acceptedWindow]struct {
	second int64
	count  int
}

func (c *secondCounts) add(second int64) {
	s := &c[second%acceptedWindow]
	if s.second != second {
		s.second, s.count = second, 0
	}
	s.count++
}

// at returns the number of events in a second.
func (c *secondCounts) at(second int64) int {
	if s := c[second%acceptedWindow]; s.second == second {
		return s.count
	}
	return 0
}

// largest returns the largest number of events in one of the last seconds.
func (c *secondCounts) largest(now int64) int {
	largest := 0
	for _, s := range c {
		if now-s.second < acceptedWindow {
			largest = max(largest, s.count)
		}
	}
	return largest
}
