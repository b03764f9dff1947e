package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// zones is the number of availability zones of the workers, each of which holds whole racks.
	zones = 3
	// evacuationDeadline is the bound for starts in an evacuated zone, and storeStretch what is added while the store is disrupted, as it is in a soak.
	evacuationDeadline, storeStretch = 5 * time.Second, 5 * time.Second
)

// zoneOf returns the availability zone of a rack.
func zoneOf(rack int) string { return fmt.Sprintf("zone-%d", rack%zones) }

// evacuate begins and ends evacuations at random; most outlast their bound, and seldom two zones are evacuated at once. Some values are malformed, and
// one zone is unknown. The random source is its own, so that a seed has the same other faults with evacuations and without.
func (s *soak) evacuate() {
	for _, zone := range slices.Sorted(maps.Keys(s.evacuated)) {
		if s.zoneRandom.IntN(40) == 0 {
			s.endEvacuation(zone)
		}
	}
	zone, value := []string{"nowhere", zoneOf(0), zoneOf(1), zoneOf(2)}[s.zoneRandom.IntN(1+zones)], []any{map[string]any{}, "soon"}[s.zoneRandom.IntN(2)]
	if s.zoneRandom.IntN(4<<(2*len(s.evacuated))) > 0 || s.evacuated[zone] || !*evacuations {
		return
	}
	s.evacuated[zone] = true
	s.store.Put("op", "evacuate/"+zone, value)
	s.fleet.Evacuate(zone, evacuationDeadline+storeStretch)
	s.t.Logf("%s: %s evacuated", stamp(time.Now()), zone)
}

func (s *soak) endEvacuation(zone string) {
	delete(s.evacuated, zone)
	s.store.Remove("op", "evacuate/"+zone)
	s.fleet.EndEvacuation(zone)
	s.t.Logf("%s: %s in service again", stamp(time.Now()), zone)
}
