package arranger

import (
	"maps"
	"slices"
	"time"
)

// The operator evacuates an availability zone, such as before its power is
// switched off: a third of the fleet takes no new work at once, whatever its
// rank, while what runs there ends by itself. Work that was decided for these
// workers and not begun is placed elsewhere, and nothing is promised that only
// they could hold.

// Evacuation describes the evacuated availability zones; the zero value means that there are none.
type Evacuation struct {
	// Zones is the set of zones in which no task may start.
	Zones map[string]bool
	// Returned maps zones whose evacuation has ended to the time of that.
	Returned map[string]time.Time
}

// SetEvacuated replaces the evacuated zones and releases the claims on their workers.
func (a *Arranger) SetEvacuated(e Evacuation) {
	previous := a.evacuation
	a.evacuation = e
	a.changed = true
	workers := map[string]int{}
	for _, w := range a.sortedWorkers {
		workers[w.Zone]++
		a.updateZone(w)
	}
	a.releaseEvacuatedClaims()
	a.unknownZones = map[string]bool{}
	for _, zone := range slices.Sorted(maps.Keys(e.Zones)) {
		a.unknownZones[zone] = workers[zone] == 0
		if previous.Zones[zone] {
			continue
		}
		message := "evacuation of an availability zone begins"
		if workers[zone] == 0 {
			message = "evacuation of an unknown availability zone begins"
		}
		a.options.Log(message, "zone", zone, "workers", workers[zone], "runs", a.runsIn(zone), "evacuatedZones", len(e.Zones))
	}
	for _, zone := range slices.Sorted(maps.Keys(previous.Zones)) {
		if !e.Zones[zone] {
			a.options.Log("evacuation of an availability zone ends", "zone", zone, "workers", workers[zone], "runs", a.runsIn(zone), "evacuatedZones", len(e.Zones))
		}
	}
}

// SetStartsHeld sets whether no task is started, since it is not known which zones are evacuated; stops go on.
func (a *Arranger) SetStartsHeld(held bool) {
	a.changed = a.changed || a.startsHeld != held
	a.startsHeld = held
}

// updateZone applies the evacuated zones to a worker that has joined or may have changed its zone.
func (a *Arranger) updateZone(w *worker) {
	wasEvacuated := w.evacuated
	w.evacuated = a.evacuation.Zones[w.Zone]
	if w.evacuated && a.unknownZones[w.Zone] {
		delete(a.unknownZones, w.Zone)
		a.options.Log("evacuated availability zone has a worker", "zone", w.Zone, "worker", w.ID)
	}
	if returned := a.evacuation.Returned[w.Zone]; !w.evacuated && returned.After(w.cold.returnedAt) {
		w.cold.returnedAt = returned
		if returned.After(w.cold.since) {
			w.cold = coldState{returnedAt: returned, since: returned}
		}
	}
	a.changed = a.changed || w.evacuated != wasEvacuated
}

// releaseEvacuatedClaims releases the claims on workers of evacuated zones, with those of the other members of a gang.
func (a *Arranger) releaseEvacuatedClaims() {
	a.claims = slices.DeleteFunc(a.claims, func(group []*place) bool {
		if !slices.ContainsFunc(group, func(p *place) bool { return p.worker.evacuated }) {
			return false
		}
		a.options.Log("claim released, since its zone is evacuated", "task", group[0].task.label(), "places", len(group))
		for _, p := range group {
			if p.task.place == p && p.state == placeClaimed {
				a.release(p)
			}
		}
		return true
	})
}

// runsIn returns the number of ordered runs in the zone.
func (a *Arranger) runsIn(zone string) int {
	runs := 0
	for _, w := range a.sortedWorkers {
		if w.Zone != zone {
			continue
		}
		for _, p := range w.places {
			if p.state != placeClaimed {
				runs++
			}
		}
	}
	return runs
}

// fitsOnlyEvacuated reports whether that many tasks of the stage would fit into an empty fleet with the evacuated zones, but not without them.
func (ps *pass) fitsOnlyEvacuated(s *stage, count int) bool {
	usable := ps.emptyCapacity(s).all
	if usable >= count || len(ps.arranger.evacuation.Zones) == 0 {
		return false
	}
	for _, w := range ps.arranger.sortedWorkers {
		if w.evacuated && !w.Draining {
			usable += s.roomIfEmpty(w)
		}
	}
	return usable >= count
}
