package director

import (
	"fmt"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
)

// The operator's table holds a row for each evacuated availability zone. Each
// entry VM follows that table, so that a new owner knows the zones before its
// first plan. The owner applies a change before its next plan, which it makes
// at once. Since a start may have been decided before, it is checked again
// before each attempt to send it.

// evacuatedZonesGauge is the name of the gauge of the number of evacuated zones that the owner has applied.
const evacuatedZonesGauge = "owner.evacuatedZones"

// errZoneEvacuated means that a start was not sent, since no task may start in the worker's zone.
var errZoneEvacuated = fmt.Errorf("%w: availability zone evacuated, or evacuated zones not known", platform.ErrNotExecuted)

// knowsEvacuations reports whether an evacuation that is not known cannot be in force yet. It always is if the platform sets no time for that.
func (t *term) knowsEvacuations() bool {
	if t.Bounds.EvacuationDeadline == 0 {
		return true
	}
	age, known := t.Config.Age()
	return known && age <= t.Bounds.EvacuationDeadline+t.Bounds.ConfigStretch
}

// mayStartIn reports whether a start may be sent to a worker in the zone, by the newest knowledge of this VM.
func (t *term) mayStartIn(zone string) bool {
	return t.knowsEvacuations() && !t.Config.Evacuation().Contains(zone)
}

// applyEvacuation applies the newest set of evacuated zones, and withdraws the starts in them that were not sent; the caller holds the term's mutex.
func (t *term) applyEvacuation() {
	if held := !t.knowsEvacuations(); held != t.startsHeld {
		t.startsHeld = held
		t.arranger.SetStartsHeld(held)
		age, _ := t.Config.Age()
		if held {
			t.Logger.Warn("no starts: evacuated zones not known", "epoch", t.lease.Epoch, "age", age.String())
		} else {
			t.Logger.Info("starts are sent again: evacuated zones known", "epoch", t.lease.Epoch, "age", age.String())
		}
	}
	evacuation := t.Config.Evacuation()
	if evacuation == t.evacuation {
		return
	}
	t.evacuation = evacuation
	zones := map[string]bool{}
	for _, zone := range evacuation.Zones() {
		zones[zone] = true
	}
	t.arranger.SetEvacuated(arranger.Evacuation{Zones: zones, Returned: evacuation.Returned()})
	t.setEvacuatedZones(len(zones))
	t.withdrawEvacuated()
}

// setEvacuatedZones publishes the number of evacuated zones.
func (t *term) setEvacuatedZones(zones int) {
	if t.SetGauge != nil {
		t.SetGauge(evacuatedZonesGauge, int64(zones))
	}
}

// isEvacuated reports whether the worker of a start is in a zone that is evacuated in the applied set; the caller holds the term's mutex.
func (t *term) isEvacuated(order arranger.StartOrder) bool {
	return t.evacuation != nil && t.evacuation.Contains(order.Zone)
}

// withdrawEvacuated withdraws the starts in evacuated zones that wait for the record of their workers, gangs as a whole; the caller holds the term's mutex.
func (t *term) withdrawEvacuated() {
	for id, starts := range t.unsent {
		orders := make([]arranger.StartOrder, 0, len(starts))
		for _, start := range starts {
			orders = append(orders, start.order)
		}
		unwanted := gangsWithout(orders, func(order arranger.StartOrder) bool { return !t.isEvacuated(order) })
		kept := starts[:0]
		for _, start := range starts {
			if unwanted[gangOf(start.order)] || t.isEvacuated(start.order) {
				t.withdraw(start.order, "availability zone evacuated")
				continue
			}
			kept = append(kept, start)
		}
		if t.unsent[id] = kept; len(kept) == 0 {
			delete(t.unsent, id)
		}
	}
}

// coldStarts converts the description of cold workers to that of the arranger.
func coldStarts(snapshot *follower.Snapshot) map[string]arranger.ColdStart {
	services := make(map[string]arranger.ColdStart, len(snapshot.ColdServices))
	for name, c := range snapshot.ColdServices {
		services[name] = arranger.ColdStart{Duration: c.Duration, StartRate: c.StartRate}
	}
	return services
}

// coldUntil returns when a listed worker is no longer slow, or the zero time. While an earlier entry says so, the later one may be an old one that is read again.
func coldUntil(w platform.Worker, previous arranger.Worker, now time.Time) time.Time {
	if w.ColdLeft == 0 {
		return time.Time{}
	}
	until := now.Add(w.ColdLeft)
	if previous.Incarnation == w.Incarnation && now.Before(previous.ColdUntil) {
		return earliest(previous.ColdUntil, until)
	}
	return until
}
