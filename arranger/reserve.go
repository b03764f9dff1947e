package arranger

import "time"

// What is kept free answers two loads: a burst of urgent gangs into a busy fleet,
// and a steady stream of single tasks that takes each accelerator for which a
// larger gang waits.

const (
	// maxReserveShare and leastReserved bound the part of the accelerators that is kept free for urgent work while more than half of the fleet is in use.
	maxReserveShare = 0.3
	minReserveShare = 0.08
	// usageWindowSeconds is the time over which the use of accelerators by urgent work is remembered.
	usageWindowSeconds = 15
	// peakMargin times the most that urgent work used lately, and gangMargin times its largest job, is what it may come to use; on a small fleet the jobs decide.
	peakMargin = 1.25
	gangMargin = 4
	// maxGangReserveShare bounds the part of the accelerators that is kept for gangs that wait.
	maxGangReserveShare = 0.25
	// nearDeadline is the time before its latest start in which work is no longer held back for gangs.
	nearDeadline = 4 * time.Second
)

// exceedsReserve reports whether the tasks would take accelerators that are kept free for urgent work, which then need not wait until others have stopped, or for gangs that go first.
func (s *pass) exceedsReserve(u unit, tasks []*task) bool {
	need := len(tasks) * u.stage.step.Need.Accelerators
	if u.rank <= rankUrgent || need == 0 || 2*s.free >= s.accelerators {
		return false
	}
	kept := s.reserve
	if !s.isNearDeadline(u) {
		kept += min(float64(s.gangReserve), maxGangReserveShare*float64(s.accelerators))
	}
	return float64(s.free-need) < kept
}

// usageHistory remembers the accelerators that urgent work used in the last seconds.
type usageHistory struct {
	since   time.Time
	seconds [usageWindowSeconds]usageSecond
}

// usageSecond is the most that urgent work used in one Unix second, and the largest job that it started then.
type usageSecond struct {
	unixSecond    int64
	most, largest int
}

// record takes in what urgent work uses now, with the job that it starts if there is one.
func (u *usageHistory) record(now time.Time, used, job int) {
	if u.since.IsZero() {
		u.since = now
	}
	second := &u.seconds[now.Unix()%usageWindowSeconds]
	if second.unixSecond != now.Unix() {
		*second = usageSecond{unixSecond: now.Unix()}
	}
	second.most = max(second.most, used)
	second.largest = max(second.largest, job)
}

// expected returns what urgent work may come to use, or false before enough is known of it.
func (u *usageHistory) expected(now time.Time) (float64, bool) {
	most, largest := 0, 0
	for _, second := range u.seconds {
		if now.Unix()-second.unixSecond < usageWindowSeconds {
			most = max(most, second.most)
			largest = max(largest, second.largest)
		}
	}
	return peakMargin*float64(most) + gangMargin*float64(largest), now.Sub(u.since) >= usageWindowSeconds*time.Second
}

// updateReserve brings the accelerators that are kept free up to date: what urgent work may come to use, less what it uses now.
func (s *pass) updateReserve(job int) {
	s.urgentUsed += job
	s.arranger.urgentUsage.record(s.now, s.urgentUsed, job)
	expected, known := s.arranger.urgentUsage.expected(s.now)
	s.reserve = maxReserveShare * float64(s.accelerators)
	if known {
		s.reserve = min(max(expected-float64(s.urgentUsed), minReserveShare*float64(s.accelerators)), s.reserve)
	}
}

// isNearDeadline reports whether work that can still be in time has to start soon for that.
func (s *pass) isNearDeadline(u unit) bool {
	return u.lateness == onTime && u.latestStart.Sub(s.now) < nearDeadline
}

// reserveForGang keeps accelerators for a gang that found no room; one that cannot be of use any more, or fits nowhere, keeps none.
func (s *pass) reserveForGang(u unit) {
	count := len(u.stage.tasks)
	if u.lateness == worthless || s.emptyCapacity(u.stage).all < count {
		return
	}
	s.gangReserve += count * u.stage.step.Need.Accelerators
}
