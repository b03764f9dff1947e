package arranger

import (
	"maps"
	"slices"
	"time"
)

// maxQuarantinePercent is the share of a service's workers that may be in quarantine at once. Failures of more of
// them have a common cause, such as a pause of a host or of the network, that other workers share.
const maxQuarantinePercent = 40

// readmitLongRunning is how long a worker is excluded before it is readmitted for long-running tasks that too few others may run. Others use up attempts, and
// wait for minQuarantine.
const readmitLongRunning = time.Second

// quarantineCount counts the workers of a service that answer and are not draining.
type quarantineCount struct {
	workers, readmitted int
	// excluded are those in quarantine that have not been readmitted, in the order of their IDs.
	excluded []*worker
}

// limit returns how many of the workers may be excluded at once. It is less than all, since a worker in quarantine is
// better than none, but one of two workers may be excluded.
func (c *quarantineCount) limit() int {
	return max(c.workers*maxQuarantinePercent/100, min(1, c.workers-1))
}

// limitQuarantine readmits the workers that have been in quarantine longest where it excludes too many of a service.
func (a *Arranger) limitQuarantine(now time.Time) {
	if len(a.quarantineLimited) == 0 && !slices.ContainsFunc(a.sortedWorkers, func(w *worker) bool { return w.health.inQuarantine(now) }) {
		return
	}
	counts := a.countQuarantined(now)
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		c := counts[service]
		quarantined := len(c.excluded) + c.readmitted
		if excess := len(c.excluded) - c.limit(); excess > 0 {
			slices.SortStableFunc(c.excluded, func(x, y *worker) int { return x.health.quarantinedAt.Compare(y.health.quarantinedAt) })
			for _, w := range c.excluded[:excess] {
				w.health.readmitted = true
			}
			c.readmitted += excess
		}
		limited := c.readmitted > 0 && quarantined > c.limit()
		if limited == a.quarantineLimited[service] {
			continue
		}
		message := "quarantine limit no longer exceeded"
		if limited {
			message = "quarantine limit exceeded"
			if a.quarantineLimited == nil {
				a.quarantineLimited = map[string]bool{}
			}
			a.quarantineLimited[service] = true
		} else {
			delete(a.quarantineLimited, service)
		}
		a.options.Log(message, "service", service, "quarantined", quarantined, "readmitted", c.readmitted, "workers", c.workers)
	}
}

// countQuarantined counts the workers by service.
func (a *Arranger) countQuarantined(now time.Time) map[string]*quarantineCount {
	counts := map[string]*quarantineCount{}
	for service := range a.quarantineLimited {
		counts[service] = &quarantineCount{}
	}
	for _, w := range a.sortedWorkers {
		if !w.hasReported || !w.reachable || w.Draining || w.evacuated {
			continue
		}
		c := counts[w.Service]
		if c == nil {
			c = &quarantineCount{}
			counts[w.Service] = c
		}
		c.workers++
		switch {
		case !w.health.inQuarantine(now):
		case w.health.readmitted:
			c.readmitted++
		default:
			c.excluded = append(c.excluded, w)
		}
	}
	return counts
}

// readmitFor readmits workers, those that have been in quarantine longest first, for units that the other workers could not run if they were empty.
// A label, a need or advice may leave a unit few workers, all of which quarantine excludes while it stays within its limit for the service.
func (a *Arranger) readmitFor(now time.Time, units []unit) {
	var excluded []*worker
	for _, w := range a.sortedWorkers {
		if w.hasReported && w.reachable && !w.Draining && !w.evacuated && !w.health.usable(now) && now.Sub(w.health.quarantinedAt) >= readmitLongRunning {
			excluded = append(excluded, w)
		}
	}
	if len(excluded) == 0 {
		return
	}
	slices.SortStableFunc(excluded, func(x, y *worker) int { return x.health.quarantinedAt.Compare(y.health.quarantinedAt) })
	for _, u := range units {
		s := u.stage
		missing, rest := s.placesNeeded(), minQuarantine
		if s.step.LongRunning {
			rest = readmitLongRunning
		}
		for _, w := range a.sortedWorkers {
			if missing <= 0 {
				break
			}
			if w.schedulable(now) {
				missing -= s.roomIfEmpty(w)
			}
		}
		for _, w := range excluded {
			if missing <= 0 {
				break
			}
			if room := s.roomIfEmpty(w); room > 0 && !w.health.usable(now) && now.Sub(w.health.quarantinedAt) >= rest {
				missing -= room
				w.health.readmitted = true
				a.options.Log("worker readmitted from quarantine, since too few others may run a unit", "worker", w.ID, "step", s.stepName(),
					"rested", now.Sub(w.health.quarantinedAt).String())
			}
		}
	}
}

// placesNeeded returns for how many tasks of a waiting stage there has to be a worker: all waiting ones if they start together or run for good, else
// one after the other.
func (s *stage) placesNeeded() int {
	if !s.step.Gang && !s.step.LongRunning {
		return 1
	}
	waiting := 0
	for _, t := range s.tasks {
		if !t.done && t.place == nil {
			waiting++
		}
	}
	return waiting
}
