package arranger

import "time"

// What is kept free answers two loads: a burst of urgent gangs into a busy fleet,
// and a steady stream of single tasks that takes each accelerator for which a
// larger gang waits.

const (
	// mostReserved and leastReserved bound the part of the accelerators that is kept free for urgent work while more than half of the fleet is in use.
	mostReserved  = 0.3
	leastReserved = 0.08
	// peakSeconds is the time over which the use of accelerators by urgent work is remembered.
	peakSeconds = 15
	// peakMargin times the most that urgent work used lately, and gangMargin times its largest job, is what it may come to use; on a small fleet the jobs decide.
	peakMargin = 1.25
	gangMargin = 4
	// owedShare bounds the part of the accelerators that is kept for gangs that wait.
	owedShare = 0.25
	// nearlyLate is the time before its latest start in which work is no longer held back for gangs.
	nearlyLate = 4 * time.Second
)

// keepsFree reports whether the tasks would take accelerators that are kept free for urgent work, which then need not wait until others have stopped, or for gangs that go first.
func (s *survey) keepsFree(u unit, tasks []*task) bool {
	need := len(tasks) * u.stage.step.Need.Accelerators
	if u.rank <= rankUrgent || need == 0 || 2*s.free >= s.accelerators {
		return false
	}
	kept := s.reserve
	if !s.isNearlyLate(u) {
		kept += min(float64(s.owed), owedShare*float64(s.accelerators))
	}
	return float64(s.free-need) < kept
}

// urgentUse remembers the accelerators that urgent work used in the last seconds.
type urgentUse struct {
	began   time.Time
	seconds [peakSeconds]urgentSecond
}

// urgentSecond is the most that urgent work used in one Unix second, and the largest job that it started then.
type urgentSecond struct {
	at            int64
	most, largest int
}

// note takes in what urgent work uses now, with the job that it starts if there is one.
func (u *urgentUse) note(now time.Time, used, job int) {
	if u.began.IsZero() {
		u.began = now
	}
	second := &u.seconds[now.Unix()%peakSeconds]
	if second.at != now.Unix() {
		*second = urgentSecond{at: now.Unix()}
	}
	second.most = max(second.most, used)
	second.largest = max(second.largest, job)
}

// expected returns what urgent work may come to use, or false before enough is known of it.
func (u *urgentUse) expected(now time.Time) (float64, bool) {
	most, largest := 0, 0
	for _, second := range u.seconds {
		if now.Unix()-second.at < peakSeconds {
			most = max(most, second.most)
			largest = max(largest, second.largest)
		}
	}
	return peakMargin*float64(most) + gangMargin*float64(largest), now.Sub(u.began) >= peakSeconds*time.Second
}

// noteUrgent brings the accelerators that are kept free up to date: what urgent work may come to use, less what it uses now.
func (s *survey) noteUrgent(job int) {
	s.urgentUsed += job
	s.arranger.urgent.note(s.now, s.urgentUsed, job)
	expected, known := s.arranger.urgent.expected(s.now)
	s.reserve = mostReserved * float64(s.accelerators)
	if known {
		s.reserve = min(max(expected-float64(s.urgentUsed), leastReserved*float64(s.accelerators)), s.reserve)
	}
}

// isNearlyLate reports whether work that can still be in time has to start soon for that.
func (s *survey) isNearlyLate(u unit) bool {
	return u.hope == hopeInTime && u.latest.Sub(s.now) < nearlyLate
}

// oweGang keeps accelerators for a gang that found no room; one that cannot be of use any more, or fits nowhere, keeps none.
func (s *survey) oweGang(u unit) {
	count := len(u.stage.tasks)
	if u.hope == hopeless || s.emptyFleet(u.stage).all < count {
		return
	}
	s.owed += count * u.stage.step.Need.Accelerators
}
