package arranger

// Racks are filled from two ends, which answers a burst of urgent gangs into a
// fleet of single tasks: accelerators that are free here and there are of no use
// to a gang that needs whole workers of one rack.

// rackPenalty, in accelerators, makes the choice of the rack go before that of the worker in it.
const rackPenalty = 9

// rackPreference returns how many racks the unit prefers to the given one: urgent work takes the last racks first and other work the first.
func (s *pass) rackPreference(u unit, r *rackCapacity) int {
	if u.rank <= rankUrgent {
		return len(s.racks) - 1 - r.position
	}
	return r.position
}

// preferredRack returns the rack that the unit prefers to all but i others.
func (s *pass) preferredRack(u unit, i int) *rackCapacity {
	if u.rank <= rankUrgent {
		i = len(s.racks) - 1 - i
	}
	return s.racks[i]
}
