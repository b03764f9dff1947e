package arranger

import "time"

// What is kept free answers two loads: a burst of urgent gangs into a busy fleet,
// and a steady stream of single tasks that takes each accelerator for which a
// larger gang waits.

const (
	// reserveShare is the part of the accelerators that is kept free for urgent work while more than half of the fleet is in use.
	reserveShare = 0.3
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
	kept := reserveShare * float64(s.accelerators)
	if !s.isNearlyLate(u) {
		kept += min(float64(s.owed), owedShare*float64(s.accelerators))
	}
	return float64(s.free-need) < kept
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
