package arranger

import "time"

const (
	// minUnansweredBackoff and maxUnansweredBackoff bound the time after the order of a start that got no answer for
	// which the worker gets no other; it covers the ends of the other members of a gang.
	minUnansweredBackoff = 3 * time.Second
	maxUnansweredBackoff = 6 * time.Second
	// maxUnansweredShare is the share of the workers above which none is kept from planning for starts without an
	// answer, since the owner or its network is at fault then.
	maxUnansweredShare = 0.25
)

// unansweredStarts records that starts on a worker got no answer.
type unansweredStarts struct {
	until   time.Time
	backoff time.Duration
}

// record extends the backoff for a start that was ordered at the given time; starts that were ordered before the end
// of the backoff belong to the same fault.
func (u *unansweredStarts) record(orderedAt time.Time) {
	if orderedAt.Before(u.until) {
		return
	}
	u.backoff = min(max(minUnansweredBackoff, 2*u.backoff), maxUnansweredBackoff)
	u.until = orderedAt.Add(u.backoff)
}

// avoidsUnanswered reports whether workers that left starts unanswered are kept from planning.
func (a *Arranger) avoidsUnanswered(now time.Time) bool {
	count := 0
	for _, w := range a.sortedWorkers {
		if w.unanswered.backoff > 0 && now.Before(w.unanswered.until) {
			count++
		}
	}
	return count > 0 && float64(count) <= maxUnansweredShare*float64(len(a.sortedWorkers))
}
