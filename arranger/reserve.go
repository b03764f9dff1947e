package arranger

import "time"

// Accelerators are kept free in two cases: for urgent work, so that a burst of
// urgent gangs in a busy fleet need not wait for preempted runs to end, and for
// waiting gangs, which a steady stream of single tasks would starve by taking
// each accelerator that becomes free.

const (
	// reserveFromUse is the share of the accelerators of all known workers that ordered work must exceed for any to
	// be kept free. Waiting work is to start while half of the fleet is free; the difference covers ends whose
	// reports are under way.
	reserveFromUse = 0.6
	// maxReserveShare and minReserveShare bound the share of the accelerators that is kept free for urgent work.
	maxReserveShare = 0.3
	minReserveShare = 0.08
	// usageWindowSeconds is the length of the window over which the use of accelerators by urgent work is
	// recorded.
	usageWindowSeconds = 15
	// The expected use by urgent work is peakMargin times its recent peak plus gangMargin times its largest
	// recent job; on a small fleet the latter dominates.
	peakMargin = 1.25
	gangMargin = 4
	// maxGangReserveShare limits the share of the accelerators that is kept free for waiting gangs.
	maxGangReserveShare = 0.25
	// nearDeadline is the time before its latest start from which a unit may use the accelerators kept free for
	// gangs.
	nearDeadline = 4 * time.Second
)

// exceedsReserve reports whether the tasks would take accelerators that are kept free for urgent work or for
// waiting gangs that precede them.
func (ps *pass) exceedsReserve(u unit, tasks []*task) bool {
	need := len(tasks) * u.stage.step.Need.Accelerators
	if u.rank <= rankUrgent || need == 0 || !ps.fleetIsBusy() || ps.mayUseReserve(u) {
		return false
	}
	reserved := ps.reserve
	if !ps.isNearDeadline(u) {
		reserved += min(float64(ps.gangReserve), maxGangReserveShare*float64(ps.accelerators))
	}
	return float64(ps.free-need) < reserved
}

// fleetIsBusy reports whether so much of the fleet is in use that accelerators are kept free. Workers that take no
// part in planning count as well: otherwise their loss would keep the rest idle.
func (ps *pass) fleetIsBusy() bool {
	return float64(ps.inUse) > reserveFromUse*float64(ps.installed)
}

// usageHistory records the use of accelerators by urgent work over the last seconds.
type usageHistory struct {
	since   time.Time
	seconds [usageWindowSeconds]usageSecond
}

// usageSecond is the peak use by urgent work in one Unix second and the largest job that started in it.
type usageSecond struct {
	unixSecond       int64
	peak, largestJob int
}

// record adds the present use by urgent work and the size of the job that starts now, or 0.
func (u *usageHistory) record(now time.Time, used, job int) {
	if u.since.IsZero() {
		u.since = now
	}
	second := &u.seconds[now.Unix()%usageWindowSeconds]
	if second.unixSecond != now.Unix() {
		*second = usageSecond{unixSecond: now.Unix()}
	}
	second.peak = max(second.peak, used)
	second.largestJob = max(second.largestJob, job)
}

// expected returns the expected use by urgent work, or false if the window is not filled yet.
func (u *usageHistory) expected(now time.Time) (float64, bool) {
	peak, largestJob := 0, 0
	for _, second := range u.seconds {
		if now.Unix()-second.unixSecond < usageWindowSeconds {
			peak = max(peak, second.peak)
			largestJob = max(largestJob, second.largestJob)
		}
	}
	return peakMargin*float64(peak) + gangMargin*float64(largestJob), now.Sub(u.since) >= usageWindowSeconds*time.Second
}

// updateReserve recomputes the reserve as the expected use by urgent work less its present use; job is the
// number of accelerators of an urgent job that starts now.
func (ps *pass) updateReserve(job int) {
	ps.urgentUsed += job
	ps.arranger.urgentUsage.record(ps.now, ps.urgentUsed, job)
	expected, known := ps.arranger.urgentUsage.expected(ps.now)
	ps.reserve = maxReserveShare * float64(ps.accelerators)
	if known {
		ps.reserve = min(max(expected-float64(ps.urgentUsed-ps.urgentEvacuated), minReserveShare*float64(ps.accelerators)), ps.reserve)
	}
}

// mayUseReserve reports whether the unit may use all that is kept free: long-running tasks have to run again soon after they have ended.
func (ps *pass) mayUseReserve(u unit) bool {
	return u.stage.step.LongRunning && u.stage.hasWaited(ps.now, longRunningWait)
}

// isNearDeadline reports whether the unit has to start soon to meet its deadline.
func (ps *pass) isNearDeadline(u unit) bool {
	return u.lateness == onTime && u.latestStart.Sub(ps.now) < nearDeadline
}

// reserveForGang keeps accelerators free for a gang that found no capacity, unless it is worthless or exceeds
// the whole fleet.
func (ps *pass) reserveForGang(u unit) {
	count := len(u.stage.tasks)
	if u.lateness == worthless || ps.emptyCapacity(u.stage).all < count {
		return
	}
	ps.gangReserve += count * u.stage.step.Need.Accelerators
}
