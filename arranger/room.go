package arranger

// room counts the tasks of a stage for which there is capacity: usable, and on workers that do not count because
// the stage has no ticket for them, its tasks avoid them, or the planning pass leaves them out.
type room struct{ usable, withoutTicket, avoided, excluded int }

// explainCapacity returns why a unit that found no capacity waits, as of the end of the pass.
func (ps *pass) explainCapacity(u unit) (waitReason, []any) {
	key, count := ps.classOf(u)
	fleet, racks, suitable := ps.roomFor(u)
	best := room{}
	for _, r := range racks {
		best.usable = max(best.usable, r.usable)
		best.withoutTicket = max(best.withoutTicket, r.usable+r.withoutTicket)
		best.avoided = max(best.avoided, r.usable+r.withoutTicket+r.avoided)
		best.excluded = max(best.excluded, r.usable+r.withoutTicket+r.avoided+r.excluded)
	}
	usable := fleet.usable
	withTickets := usable + fleet.withoutTicket
	withAvoided := withTickets + fleet.avoided
	withExcluded := withAvoided + fleet.excluded
	if key.placement.Gang && key.placement.SameRack {
		usable, withTickets, withAvoided, withExcluded = best.usable, best.withoutTicket, best.avoided, best.excluded
	}
	details := []any{
		"wanted", count, "suitableWorkers", suitable, "room", fleet.usable, "bestRack", best.usable, "withoutTicket", fleet.withoutTicket,
		"avoided", fleet.avoided, "excluded", fleet.excluded, "freeAccelerators", ps.free,
	}
	if u.stage.wait.block == blockedByClass {
		details = append(details, "notSearchedFor", ps.now.Sub(u.stage.wait.searchedAt).String())
	}
	first := ps.unplaceable[key].stage
	switch {
	case u.stage.step.Gang && ps.emptyCapacity(u.stage).all < count:
		return waitExceedsFleet, append(details, "roomIfEmpty", ps.emptyCapacity(u.stage).all)
	case usable >= count && first != nil && first != u.stage:
		return waitClass, append(details, "first", first.stepName(), "firstReason", string(first.wait.block.reason()))
	case usable >= count:
		return waitUnexplained, details
	case withTickets >= count:
		return waitAdvice, details
	case withAvoided >= count:
		return waitAvoided, details
	case withExcluded >= count:
		return waitExcluded, details
	case fleet.usable >= count:
		return waitRack, details
	default:
		return waitCapacity, details
	}
}

// roomFor returns the room for tasks of the unit in the fleet and in each rack, and the number of workers that
// could run one if they were empty.
func (ps *pass) roomFor(u unit) (fleet room, racks map[string]*room, suitable int) {
	s := u.stage
	t := ps.newTrial(u, false)
	racks = map[string]*room{}
	for _, w := range ps.arranger.sortedWorkers {
		if w.Draining || w.Service != s.job.Policy.Service || !w.has(s.step.Requires) || !w.Capacity.Covers(s.step.Need) {
			continue
		}
		suitable++
		rack := racks[w.Rack]
		if rack == nil {
			rack = &room{}
			racks[w.Rack] = rack
		}
		count := w.free().FitCount(s.step.Need)
		if s.step.MaxPerWorker > 0 {
			count = min(count, max(0, s.step.MaxPerWorker-w.countOf(s)))
		}
		if w.conflicts(s.step) {
			count = 0
		}
		switch {
		case w.candidate == nil:
			fleet.excluded += count
			rack.excluded += count
		case !s.mayRunOn(w, ps.now):
			fleet.withoutTicket += count
			rack.withoutTicket += count
		case t.avoids(s.firstWaiting(), w):
			fleet.avoided += count
			rack.avoided += count
		default:
			fleet.usable += count
			rack.usable += count
		}
	}
	return fleet, racks, suitable
}

// firstWaiting returns the first task without a place, which is the one that found no capacity.
func (s *stage) firstWaiting() *task {
	for _, t := range s.tasks {
		if !t.done && t.place == nil {
			return t
		}
	}
	return s.tasks[0]
}
