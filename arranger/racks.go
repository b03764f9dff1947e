package arranger

// Urgent work fills the racks from the last one, other work from the first one.
// Without that, single tasks fragment all racks, and a burst of urgent gangs
// that need whole workers of one rack finds no capacity, although enough
// accelerators are free in total.

// rackPenalty, in accelerators, is large enough that the choice of the rack takes precedence over that of the
// worker.
const rackPenalty = 9

// rackPreference returns the position of the rack in the unit's order of preference, which starts at the last
// rack for urgent work and at the first for other work.
func (ps *pass) rackPreference(u unit, r *rackCapacity) int {
	if u.rank <= rankUrgent {
		return len(ps.racks) - 1 - r.position
	}
	return r.position
}

// preferredRack returns the rack at position i in the unit's order of preference.
func (ps *pass) preferredRack(u unit, i int) *rackCapacity {
	if u.rank <= rankUrgent {
		i = len(ps.racks) - 1 - i
	}
	return ps.racks[i]
}
