package arranger

import (
	"math"
	"time"
)

// After the end of an evacuation a third of the fleet is empty at once, and so
// are workers that have just started. Such workers are slow for a while, and
// one that gets all the work at once is slower for longer. Urgent work prefers
// warm workers, and where the service limits the rate of starts on a cold
// worker, its load increases gradually.

// coldSpeed is the highest speed that a cold worker counts with; it is below that of the slowest workers of an uneven fleet, 0.6 times the average.
const coldSpeed = 0.5

// unlimitedStarts is the number of starts that are left on a worker without a limit.
const unlimitedStarts = math.MaxInt

// ColdStart describes the workers of a service after their start and after the end of an evacuation.
type ColdStart struct {
	// Duration is how long a worker is slow.
	Duration time.Duration
	// StartRate is the number of tasks per second that may be started on a cold worker; 0 means no limit.
	StartRate float64
}

// coldState tracks the starts on a worker since it became available.
type coldState struct {
	// returnedAt is when the latest evacuation of the worker's zone ended; zero if none did.
	returnedAt time.Time
	// since is when the worker joined, its zone returned, or it became cold again, whichever was last.
	since time.Time
	// starts is the number of starts since then.
	starts int
	// inherited means that a previous owner may have started tasks on the worker in that time, so that it may have used up the slack.
	inherited bool
}

// SetColdStarts replaces the description of cold workers, by service; workers of other services are cold only for the time that they give themselves.
func (a *Arranger) SetColdStarts(coldStarts map[string]ColdStart) { a.coldStarts = coldStarts }

// isCold reports whether the worker is slow after its start or after the end of its zone's evacuation.
func (a *Arranger) isCold(now time.Time, w *worker) bool {
	returned := w.cold.returnedAt
	return now.Before(w.ColdUntil) || !returned.IsZero() && now.Before(returned.Add(a.coldStarts[w.Service].Duration))
}

// presentSpeed returns the rated speed of the worker, or the lower one of a cold worker.
func (a *Arranger) presentSpeed(now time.Time, w *worker) float64 {
	if a.isCold(now, w) {
		return min(coldSpeed, w.speed())
	}
	return w.speed()
}

// startsLeft returns how many tasks may still be started or claimed on the worker; claimed places count as started.
func (a *Arranger) startsLeft(now time.Time, w *worker) int {
	if !a.isCold(now, w) {
		return unlimitedStarts
	}
	rate := a.coldStarts[w.Service].StartRate
	if rate <= 0 {
		return unlimitedStarts
	}
	used := w.cold.starts
	for _, p := range w.places {
		if p.state == placeClaimed {
			used++
		}
	}
	allowed := a.options.ColdOverage * rate * now.Sub(w.cold.since).Seconds()
	if !w.cold.inherited {
		allowed += float64(a.options.ColdSlack)
	}
	return int(min(allowed, math.MaxInt32)) - used
}
