package arranger

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newZonedHarness returns a harness with zones of one rack each, named zone-0 and so on.
func newZonedHarness(t *testing.T, zones, perZone int) *harness {
	t.Helper()
	h := newHarness(t, zones, perZone)
	for _, w := range h.sortedWorkers {
		w.Zone = "zone-" + w.Rack[len("r1-"):]
	}
	return h
}

// evacuate replaces the evacuated zones, and those that return now.
func (h *harness) evacuate(returned []string, zones ...string) {
	e := Evacuation{Zones: map[string]bool{}, Returned: map[string]time.Time{}}
	for _, zone := range zones {
		e.Zones[zone] = true
	}
	for _, zone := range returned {
		e.Returned[zone] = h.now
	}
	h.SetEvacuated(e)
}

// zonesOf returns the zones of the started tasks, each once.
func zonesOf(o Orders) []string {
	var zones []string
	for _, s := range o.Starts {
		zones = append(zones, s.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Work of every rank was started in evacuated zones.
func TestNoWorkStartsInEvacuatedZones(t *testing.T) {
	dataStep := Step{Count: 1, Need: Resources{Accelerators: 8}, Estimate: time.Second, DataRack: "r1-1"}
	for _, test := range []struct {
		name  string
		zones []string
		job   Job
		want  []string
	}{
		{"single tasks", []string{"zone-0"}, jobOf("j", 2, single(32, 8)), []string{"zone-1", "zone-2"}},
		{"urgent gang", []string{"zone-2"}, jobOf("j", 0, gang(4, 8)), []string{"zone-1"}},
		{"several zones", []string{"zone-0", "zone-1"}, jobOf("j", 2, single(32, 8)), []string{"zone-2"}},
		{"all zones", []string{"zone-0", "zone-1", "zone-2"}, jobOf("j", 0, gang(2, 8)), nil},
		{"unknown zone", []string{"zone-9"}, jobOf("j", 0, single(12, 8)), []string{"zone-0", "zone-1", "zone-2"}},
		{"data rack in the zone", []string{"zone-1"}, jobOf("j", 2, dataStep), []string{"zone-0"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newZonedHarness(t, 3, 4)
			h.SetGuarantees(map[string]int{"unions": 96})
			h.evacuate(nil, test.zones...)
			h.AddJob(h.now, test.job, Progress{}, false)
			if got := zonesOf(h.planAfter(0)); !slices.Equal(got, test.want) {
				t.Errorf("starts in %v, want %v", got, test.want)
			}
		})
	}
}

// A claim on an evacuated worker would start once its victim has ended, or hold the task for two seconds; runs go on.
func TestClaimsInAnEvacuatedZoneAreReleasedAtOnce(t *testing.T) {
	h := newZonedHarness(t, 2, 2)
	h.SetGuarantees(map[string]int{"unions": 16})
	batch := jobOf("batch", 0, single(4, 8))
	batch.Organisation = "others"
	h.AddJob(h.now, batch, Progress{}, false)
	first := h.planAfter(0)
	h.confirmStarts(first)
	h.AddJob(h.now, jobOf("lookup", 0, gang(2, 8)), Progress{}, false)
	stops := h.planAfter(time.Second).Stops
	if len(stops) != 2 {
		t.Fatalf("%d stops, want those of the two victims", len(stops))
	}
	victim, _ := h.Worker(stops[0].Worker)
	h.evacuate(nil, victim.Zone)
	// The gang preempts the runs in the other zone at once.
	if stops = h.planAfter(0).Stops; len(stops) != 2 {
		t.Fatalf("%d stops in the zone in service, want two", len(stops))
	}
	for _, s := range first.Starts {
		h.endRun(s.Worker, s.Task, s.Run, EndedInterrupted)
	}
	if got := zonesOf(h.planAfter(0)); len(got) != 1 || got[0] == victim.Zone {
		t.Errorf("starts in %v, want them outside %s", got, victim.Zone)
	}
}

// A gang that fits only with the evacuated zone must not keep capacity free, and its wait has a reason that names the cause.
func TestWorkThatFitsOnlyInAnEvacuatedZoneWaitsForItsReturn(t *testing.T) {
	for _, step := range []Step{{Count: 6, Need: Resources{Accelerators: 8}, Gang: true}, {Count: 1, Need: Resources{Accelerators: 1}, Requires: "r1-0"}} {
		h := newZonedHarness(t, 2, 4)
		var reasons []string
		h.options.Log = func(message string, details ...any) {
			if i := slices.Index(details, any("reason")); message == "unit waits" && i >= 0 {
				reasons = append(reasons, fmt.Sprint(details[i+1]))
			}
		}
		h.evacuate(nil, "zone-0")
		h.AddJob(h.now, jobOf("j", 1, step), Progress{}, false)
		if o := h.planAfter(2 * time.Second); len(o.Starts) != 0 || !slices.Equal(reasons, []string{string(waitEvacuated)}) {
			t.Errorf("%d starts, logged reasons %v", len(o.Starts), reasons)
		}
		ps := h.newPass(h.now, h.ranks())
		if ps.reserveForGang(unit{stage: h.active[0].stages[0]}); step.Gang && ps.gangReserve != 0 {
			t.Errorf("%d accelerators kept free for a gang that does not fit", ps.gangReserve)
		}
		h.evacuate([]string{"zone-0"})
		if o := h.planAfter(0); len(o.Starts) != step.Count {
			t.Errorf("%d starts after the return of the zone, want %d", len(o.Starts), step.Count)
		}
	}
}

// With the accelerators of an evacuated zone a busy fleet would look idle, and single tasks would take what is kept free for urgent work. Urgent work there
// will need room elsewhere.
func TestUseAndReserveAreThoseOfTheZonesInService(t *testing.T) {
	h := newZonedHarness(t, 2, 4)
	h.AddJob(h.now, jobOf("j", 0, single(4, 8)), Progress{}, false)
	o := h.planAfter(0)
	h.confirmStarts(o)
	busy, _ := h.Worker(o.Starts[0].Worker)
	idle := map[string]string{"zone-0": "zone-1", "zone-1": "zone-0"}[busy.Zone]
	h.now = h.now.Add((usageWindowSeconds + 1) * time.Second)
	for _, test := range []struct {
		zone             string
		installed, inUse int
		reserve          float64
	}{{"", 64, 32, peakMargin*32 - 32}, {idle, 32, 32, peakMargin*32 - 32}, {busy.Zone, 32, 0, maxReserveShare * 32}} {
		h.evacuate(nil, test.zone)
		if ps := h.newPass(h.now, h.ranks()); ps.installed != test.installed || ps.inUse != test.inUse || ps.reserve != test.reserve {
			t.Errorf("%s evacuated: %d of %d accelerators in use, %g reserved", test.zone, ps.inUse, ps.installed, ps.reserve)
		}
	}
	if e := h.exclusions(h.now); e.Evacuated != 4 || e.Schedulable != 4 {
		t.Errorf("exclusions %+v, want 4 evacuated workers", e)
	}
}
