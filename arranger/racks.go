package arranger

import "slices"

// Racks are filled from two ends, which answers a burst of urgent gangs into a
// fleet of single tasks: accelerators that are free here and there are of no use
// to a gang that needs whole workers of one rack.

// rackWeight, in accelerators, makes the choice of the rack go before that of the worker in it.
const rackWeight = 9

// numberRacks puts the racks into a fixed order.
func (s *survey) numberRacks() {
	slices.Sort(s.racks)
	s.rackNumbers = make(map[string]int, len(s.racks))
	for i, rack := range s.racks {
		s.rackNumbers[rack] = i
	}
}

// rackDistance makes urgent work prefer the last racks and other work the first.
func (s *survey) rackDistance(u unit, rack string) float64 {
	position := s.rackNumbers[rack]
	if u.rank <= rankUrgent {
		position = len(s.racks) - 1 - position
	}
	return rackWeight * float64(position)
}
