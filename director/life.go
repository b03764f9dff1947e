package director

import (
	"time"

	"github.com/snipelift/snipelift/arranger"
)

// A request that got no answer may be executed seconds later, by the next
// incarnation of its worker if that has the same ID. An incarnation has seen
// no fencing token, knows no run and counts its clock and its ends anew, so
// that it would start a task again, forget ends that were never reported, and
// hold a lease that was meant to end long before. The requests to each
// incarnation therefore carry a higher token than those to the one before:
// with the first response of an incarnation the earlier requests are fenced
// off, and what they have started until then is listed.

const (
	// fencesPerEpoch is the number of fencing tokens of an epoch.
	fencesPerEpoch = 1 << 10
	// maxRequestDelay is how long after it was sent a request without an answer may still be executed.
	maxRequestDelay = 12 * time.Second
)

// nextEpoch returns the epoch of the next owner, which is above all fencing tokens of the previous one and a multiple of fencesPerEpoch.
func nextEpoch(previous int64) int64 { return (previous/fencesPerEpoch + 1) * fencesPerEpoch }

// life is an incarnation of a worker and the fencing token of the requests to it.
type life struct{ incarnation, fence int64 }

// beginLife sets the fencing token of a new session, and includes leases that late requests of an earlier incarnation's session may grant; the
// caller holds the term's mutex.
func (t *term) beginLife(s *session) {
	earlier, known := t.lives[s.worker.ID]
	if !known {
		earlier.fence = t.lease.Epoch
	}
	s.fence = earlier.fence
	if s.successor = known && (s.worker.Incarnation != earlier.incarnation || s.worker.Incarnation == 0); s.successor {
		s.fence++
		s.leasesExpire = max(s.leasesExpire, t.now()+maxRequestDelay+t.longestLease())
	}
	t.lives[s.worker.ID] = life{s.worker.Incarnation, s.fence}
	if s.fence >= t.lease.Epoch+fencesPerEpoch {
		t.Logger.Error("fencing tokens of the epoch used up, giving up the lease", "worker", s.worker.ID, "epoch", t.lease.Epoch)
		t.cancel()
	}
}

// longestLease returns the local time that the longest lease lasts from when a worker has received it.
func (t *term) longestLease() time.Duration {
	return time.Duration(float64(t.Bounds.MaxLease)*clockDriftFactor) + leaseExpiryMargin
}

// nextIncarnation returns what is known of an incarnation that responded in place of that of the session: it gets no tasks until the platform's
// list describes it.
func (t *term) nextIncarnation(s *session, incarnation int64) arranger.Worker {
	next, known := t.arranger.Worker(s.worker.ID)
	if !known {
		next = s.worker
	}
	next.Incarnation, next.Draining, next.Leaving, next.LeavesAt = incarnation, true, false, time.Time{}
	return next
}
