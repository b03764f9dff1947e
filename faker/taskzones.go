package faker

import (
	"fmt"
	"time"
)

// SetZone sets the availability zone of the worker, which is zone-a at first.
func (w *TaskWorker) SetZone(zone string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.zone = zone
}

// Evacuate begins the evacuation of an availability zone: a start that a worker there is given more than bound from now violates an invariant.
func (f *TaskFleet) Evacuate(zone string, bound time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, evacuated := f.evacuated[zone]; !evacuated {
		f.evacuated[zone] = time.Now().Add(bound)
	}
}

// EndEvacuation ends the evacuation of an availability zone.
func (f *TaskFleet) EndEvacuation(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.evacuated, zone)
}

// StartsIn returns the number of starts on workers of the availability zone.
func (f *TaskFleet) StartsIn(zone string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startsIn[zone]
}

// checkZone counts a start by the zone of its worker and records one that is too late in an evacuated zone. The worker itself may hold up a start;
// that is not the owner's fault.
func (f *TaskFleet) checkZone(w *TaskWorker, request taskRequest) {
	f.startsIn[w.zone]++
	if by, evacuated := f.evacuated[w.zone]; evacuated && !request.heldUp && time.Now().After(by) {
		f.violations = append(f.violations, fmt.Sprintf("%s started on %s %s later than allowed in the evacuated zone %s", request.Task, w.ID, time.Since(by), w.zone))
	}
}
