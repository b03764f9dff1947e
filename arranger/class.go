package arranger

import "time"

// A unit that finds no room says the same of each later one of its class with
// at least as many tasks, so that these are not searched for in the same pass.
// The class has to hold all that a search looks at, but for the number of tasks
// and what only makes one place better than another. What depends on the unit's
// own job, tasks or runs makes the search specific: it says nothing of others.
// Room does not grow during a pass, since units that may preempt more come first.

// maxSkipTime is the time after which a unit is searched for although its class has no room; one such search is made in a pass.
const maxSkipTime = time.Second

// unitClass groups units that need the same kind of capacity.
type unitClass struct {
	placement placement
	rank      rank
	// nearDeadline means that the unit may use what is kept free for gangs, usesReserve that it may use all that is kept free.
	nearDeadline, usesReserve bool
	service                   string
	// advised is the stage itself if its tickets decide which workers may run it.
	advised *stage
}

// placement holds the fields of a step that decide where its tasks may run. Left out are Count, which is compared; After, since units are ready;
// Estimate, Checkpoints and DataRack, which make places better or worse; LongRunning and MaxUnavailable, which protect runs from preemption.
type placement struct {
	Need                         Resources
	Gang, SameRack               bool
	Requires                     string
	MaxPerWorker                 int
	LatencySensitive, BestEffort bool
}

func (s Step) placement() placement {
	return placement{
		Need: s.Need, Gang: s.Gang, SameRack: s.SameRack, Requires: s.Requires, MaxPerWorker: s.MaxPerWorker,
		LatencySensitive: s.LatencySensitive, BestEffort: s.BestEffort,
	}
}

// unplaceable is the smallest number of tasks of a class that found no capacity, and the stage that it was.
type unplaceable struct {
	count int
	stage *stage
}

// classOf returns the class of a unit and its number of tasks; if a unit finds no capacity, neither does
// another one of its class with at least as many tasks.
func (ps *pass) classOf(u unit) (unitClass, int) {
	key := unitClass{placement: u.stage.step.placement(), rank: u.rank, nearDeadline: ps.isNearDeadline(u), usesReserve: ps.mayUseReserve(u), service: u.stage.job.Policy.Service}
	if u.stage.job.Policy.Advised {
		key.advised = u.stage
	}
	if !u.stage.step.Gang {
		return key, 1
	}
	// A gang that may be spread over racks says nothing about one that may not, and the other way round.
	key.placement.SameRack = u.stage.step.SameRack && !ps.maySpread(u.stage)
	return key, len(u.stage.tasks)
}

// skips reports whether the unit is not to be searched for, since its class has no room. Each skipped unit has its turn after maxSkipTime.
func (ps *pass) skips(u unit) bool {
	key, count := ps.classOf(u)
	least, ok := ps.unplaceable[key]
	if !ok || count < least.count {
		return false
	}
	wait := &u.stage.wait
	if wait.searchedAt.IsZero() {
		wait.searchedAt = ps.now
	}
	if ps.retried == nil && ps.now.Sub(wait.searchedAt) >= maxSkipTime {
		ps.retried = u.stage
		return false
	}
	if ps.arranger.onSkip != nil {
		ps.arranger.onSkip(ps, u)
	}
	return true
}

// markUnplaceable records that the unit being placed found no room, unless that was for reasons of its own.
func (ps *pass) markUnplaceable(u unit) {
	if ps.avoided || ps.specific {
		return
	}
	key, count := ps.classOf(u)
	if least, ok := ps.unplaceable[key]; !ok || count < least.count {
		ps.unplaceable[key] = unplaceable{count: count, stage: u.stage}
	}
}
