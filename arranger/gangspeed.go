package arranger

import (
	"cmp"
	"slices"
)

// A gang is as slow as its slowest member, so that faster members only wait for it. On a fleet of three speeds and a
// load of urgent gangs beside single tasks, members on whatever is free make most gangs slow. A gang therefore is placed
// on workers of one speed: an urgent one on the fastest that have room for it, another one on the slowest. Single tasks
// go where they suit, and to unrated workers, so that these get rated before an urgent gang needs them.

const (
	// speedPenalty, in accelerators, weighs a tenth in speed like four racks: on a small fleet speed decides, and on a
	// large one a search for a fast worker ends after some tens of racks.
	speedPenalty = 40 * rackPenalty
	// mixPenalty weighs the speed that a member of a gang cannot use relative to the speed that the gang lacks or takes
	// from urgent work: the faster workers are occupied for the time of the slowest.
	mixPenalty = 2
	// speedRounding is the largest relative rounding error of a rated speed.
	speedRounding = 1e-9
)

// speedRange is a range of rated speeds; the zero value contains all.
type speedRange struct{ low, high float64 }

func (r speedRange) contains(speed float64) bool {
	return r.high == 0 || speed >= r.low && speed <= r.high
}

// isEven reports whether the speeds differ by no more than the error of the ratings, so that they do not count for
// placement.
func (r speedRange) isEven() bool { return r.high < r.low*ratingStep*ratingStep*(1-speedRounding) }

// addSpeed adds the speed of the candidate to the range of its service.
func (ps *pass) addSpeed(cand *candidate) {
	r := ps.speeds[cand.worker.Service]
	if r == nil {
		r = &speedRange{low: cand.speed, high: cand.speed}
		ps.speeds[cand.worker.Service] = r
	}
	r.low, r.high = min(r.low, cand.speed), max(r.high, cand.speed)
	cand.fleetSpeeds = r
}

// speedsFor returns the range of the speeds of the candidates that may run the unit.
func (ps *pass) speedsFor(u unit) speedRange {
	if r := ps.speeds[u.stage.job.Policy.Service]; r != nil {
		return *r
	}
	return speedRange{}
}

// speedMisfit returns how badly the speed of the candidate suits a task of the unit, in accelerators.
func (u unit) speedMisfit(cand *candidate) float64 {
	if cand.fleetSpeeds.isEven() {
		return 0
	}
	if u.rank <= rankUrgent {
		return speedPenalty * (cand.fleetSpeeds.high/cand.speed - 1)
	}
	if !cand.worker.rating.rated() && !u.stage.step.Gang {
		return 0
	}
	return speedPenalty * (cand.speed/cand.fleetSpeeds.low - 1)
}

// speedMisfit is that of the unit or, within a range of speeds, how much of the candidate's speed the gang cannot use.
func (t *trial) speedMisfit(cand *candidate) float64 {
	if t.speeds == (speedRange{}) {
		return t.unit.speedMisfit(cand)
	}
	return speedPenalty * mixPenalty * excessSpeed(cand.speed, t.speeds.low)
}

// gangMisfit returns how badly the speeds suit the members of the unit, in accelerators, given the range of those of the
// fleet.
func (u unit) gangMisfit(fleet speedRange, slowest float64, members int, excess float64) float64 {
	unsuited := slowest/fleet.low - 1
	if u.rank <= rankUrgent {
		unsuited = fleet.high/slowest - 1
	}
	return speedPenalty * (float64(members)*unsuited + mixPenalty*excess)
}

// excessSpeed returns the speed of a member that its gang cannot use; a step is within the error of the ratings.
func excessSpeed(speed, slowest float64) float64 { return max(0, speed/(slowest*ratingStep)-1) }

// suitableSpeeds returns the range of speeds of the free candidates that suits the gang best, and how badly it suits at
// least, in accelerators. The range is that of all speeds if the candidates do not differ or have no room, and for gangs
// for which the risk of a crash or the place of the data comes first.
func (ps *pass) suitableSpeeds(u unit, count int, candidates []*candidate) (speedRange, float64) {
	fleet := ps.speedsFor(u)
	if s := u.stage; !s.step.Gang || fleet.isEven() || s.suspects > 0 || s.step.DataRack != "" {
		return speedRange{}, 0
	}
	rooms := ps.roomsBySpeed(u, count, candidates)
	var best speedRange
	leastMisfit := 0.0
	for i, slowest := range rooms {
		placed, excess, high := 0, 0.0, 0.0
		for _, r := range rooms[i:] {
			if placed >= count {
				break
			}
			members := min(r.room, count-placed)
			placed += members
			excess += float64(members) * excessSpeed(r.speed, slowest.speed)
			high = r.speed
		}
		if placed < count {
			break
		}
		if m := u.gangMisfit(fleet, slowest.speed, count, excess); best.high == 0 || m < leastMisfit {
			best, leastMisfit = speedRange{low: slowest.speed, high: high}, m
		}
	}
	return best, leastMisfit
}

// roomsBySpeed returns the number of members that the free candidates of each speed have room for, slowest first.
func (ps *pass) roomsBySpeed(u unit, count int, candidates []*candidate) []roomAtSpeed {
	rooms := ps.rooms[:0]
	for _, cand := range candidates {
		if cand.worker.Service != u.stage.job.Policy.Service || !cand.free.Covers(u.stage.step.Need) {
			continue
		}
		room := min(cand.free.FitCount(u.stage.step.Need), count)
		if most := u.stage.step.MaxPerWorker; most > 0 {
			room = min(room, most)
		}
		i, found := slices.BinarySearchFunc(rooms, cand.speed, func(r roomAtSpeed, speed float64) int { return cmp.Compare(r.speed, speed) })
		if !found {
			rooms = slices.Insert(rooms, i, roomAtSpeed{speed: cand.speed})
		}
		rooms[i].room += room
	}
	ps.rooms = rooms
	return rooms
}

// roomAtSpeed is the number of members of a gang that the free workers of one speed have room for.
type roomAtSpeed struct {
	speed float64
	room  int
}

// finish replaces the misfits of the members' speeds by that of the gang.
func (t *trial) finish() *packing {
	fleet := t.pass.speedsFor(t.unit)
	if !t.unit.stage.step.Gang || fleet.isEven() || len(t.candidates) == 0 {
		return &t.packing
	}
	slowest := t.candidates[0].speed
	for _, cand := range t.candidates {
		slowest = min(slowest, cand.speed)
	}
	excess := 0.0
	for _, cand := range t.candidates {
		t.misfit -= t.speedMisfit(cand)
		excess += excessSpeed(cand.speed, slowest)
	}
	t.misfit += t.unit.gangMisfit(fleet, slowest, len(t.candidates), excess)
	return &t.packing
}
