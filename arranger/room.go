package arranger

// room counts the tasks of a stage for which there is capacity: usable, and on workers that do not count because
// the stage has no ticket for them, its tasks avoid them, too many tasks would start on them while they are cold, the
// planning pass leaves them out, or their zone is evacuated.
type room struct{ usable, withoutTicket, avoided, cold, excluded, evacuated int }

// upTo returns the room in total on the workers that do not count for the given reason or one before it.
func (r room) upTo(reason waitReason) int {
	sum := r.usable
	for _, part := range []struct {
		reason waitReason
		count  int
	}{{waitAdvice, r.withoutTicket}, {waitAvoided, r.avoided}, {waitCold, r.cold}, {waitExcluded, r.excluded}, {waitEvacuated, r.evacuated}} {
		sum += part.count
		if part.reason == reason {
			break
		}
	}
	return sum
}

// explainCapacity returns why a unit that found no capacity waits, as of the end of the pass.
func (ps *pass) explainCapacity(u unit) (waitReason, []any) {
	key, count := ps.classOf(u)
	fleet, racks, suitable := ps.roomFor(u)
	bestRack := 0
	for _, r := range racks {
		bestRack = max(bestRack, r.usable)
	}
	// hasRoom reports whether there would be enough room if the workers counted that do not for the reason or one before it.
	hasRoom := func(reason waitReason) bool {
		if !key.placement.Gang || !key.placement.SameRack {
			return fleet.upTo(reason) >= count
		}
		for _, r := range racks {
			if r.upTo(reason) >= count {
				return true
			}
		}
		return false
	}
	usable := fleet.usable
	if key.placement.Gang && key.placement.SameRack {
		usable = bestRack
	}
	details := []any{
		"wanted", count, "suitableWorkers", suitable, "room", fleet.usable, "bestRack", bestRack, "withoutTicket", fleet.withoutTicket,
		"avoided", fleet.avoided, "cold", fleet.cold, "excluded", fleet.excluded, "evacuated", fleet.evacuated, "freeAccelerators", ps.free,
	}
	if u.stage.wait.block == blockedByClass {
		details = append(details, "notSearchedFor", ps.now.Sub(u.stage.wait.searchedAt).String())
	}
	first := ps.unplaceable[key].stage
	switch {
	case ps.fitsOnlyEvacuated(u.stage, count):
		return waitEvacuated, details
	case u.stage.step.Gang && ps.emptyCapacity(u.stage).all < count:
		return waitExceedsFleet, append(details, "roomIfEmpty", ps.emptyCapacity(u.stage).all)
	case usable >= count && first != nil && first != u.stage:
		return waitClass, append(details, "first", first.stepName(), "firstReason", string(first.wait.block.reason()))
	case usable >= count:
		return waitUnexplained, details
	case hasRoom(waitAdvice):
		return waitAdvice, details
	case hasRoom(waitAvoided):
		return waitAvoided, details
	case hasRoom(waitCold):
		return waitCold, details
	case hasRoom(waitExcluded):
		return waitExcluded, details
	case fleet.usable >= count:
		return waitRack, details
	case hasRoom(waitEvacuated):
		return waitEvacuated, details
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
		free := w.free()
		if w.candidate != nil {
			free = w.candidate.free
		}
		count := free.FitCount(s.step.Need)
		if s.step.MaxPerWorker > 0 {
			count = min(count, max(0, s.step.MaxPerWorker-w.countOf(s)))
		}
		if w.conflicts(s.step) {
			count = 0
		}
		switch {
		case w.evacuated:
			fleet.evacuated += count
			rack.evacuated += count
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
			allowed := min(count, max(0, w.candidate.startsLeft))
			fleet.usable += allowed
			rack.usable += allowed
			fleet.cold += count - allowed
			rack.cold += count - allowed
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
