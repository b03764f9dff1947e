package arranger

import "time"

// materialChange is the inverse of the share of the workers that must change their state for a summary ahead of
// its time.
const materialChange = 20

// Waits describes the stages that had nothing running at the latest search, which takes place about once a
// second.
type Waits struct {
	// Stages is the number of stages, and Longest the longest of their waits.
	Stages   int
	Longest  time.Duration
	ByReason map[string]int
	// Exclusions are computed only while some stage waits.
	Exclusions Exclusions
	// Deferred is the number of stages that the pass placed after others since their organisation uses more than its share.
	Deferred int
}

// Exclusions counts the workers that planning passes leave out, each one by the first cause that applies, and the
// accelerators that are free.
type Exclusions struct {
	Workers     int `json:"workers"`
	Schedulable int `json:"schedulable"`
	// The causes, in the order in which they apply.

	NotReported         int `json:"notReported"`
	Unreachable         int `json:"unreachable"`
	Draining            int `json:"draining"`
	Evacuated           int `json:"evacuated"`
	OrphanOfUnknownSize int `json:"orphanOfUnknownSize"`
	Blocked             int `json:"blocked"`
	Quarantined         int `json:"quarantined"`
	// QuarantineEnd is the latest end of a quarantine.
	QuarantineEnd time.Time `json:"quarantineEnd,omitzero"`
	// Accelerators are those of all workers, FreeAccelerators neither in use nor claimed, and
	// SchedulableAccelerators free on workers that take part.
	Accelerators            int `json:"accelerators"`
	FreeAccelerators        int `json:"freeAccelerators"`
	SchedulableAccelerators int `json:"schedulableAccelerators"`
	// Cold is the number of workers on which the number of starts is limited.
	Cold int `json:"cold"`
	// PendingStarts are starts without an outcome, AwaitedReports workers that may run tasks of a previous owner.
	PendingStarts  int `json:"pendingStarts"`
	AwaitedReports int `json:"awaitedReports"`
}

// Counts counts events since the arranger was created.
type Counts struct {
	// StartsRefused, StartsUnknown and StartsTimedOut count the starts that did not succeed.
	StartsRefused, StartsUnknown, StartsTimedOut int64
	// ClaimsTimedOut counts the claims whose capacity did not become free in time.
	ClaimsTimedOut int64
	// RunsAwaited counts the runs that a claim waited for instead of stopping them, RunsOverdue those of them that were
	// stopped in the end.
	RunsAwaited, RunsOverdue int64
	// Quarantines counts the quarantines of workers.
	Quarantines int64
	// WorkersRestarted counts the restarts of workers that lost runs.
	WorkersRestarted int64
	// SpeedChanges counts the workers whose ratings began anew, since their latest runs differed from the earlier ones.
	SpeedChanges int64
	// WorkersRated is the present number of workers whose speed is known, WorkersNotAverage that of those among them
	// whose speed differs from the average.
	WorkersRated, WorkersNotAverage int64
}

// Waits returns the stages that had nothing running at the latest search.
func (a *Arranger) Waits() Waits { return a.waits }

// Counts returns the numbers of events so far.
func (a *Arranger) Counts() Counts {
	counts := a.counts
	for _, w := range a.sortedWorkers {
		if w.rating.rated() {
			counts.WorkersRated++
			if w.rating.steps != 0 {
				counts.WorkersNotAverage++
			}
		}
	}
	return counts
}

func (a *Arranger) exclusions(now time.Time) Exclusions {
	e := Exclusions{Workers: len(a.sortedWorkers), AwaitedReports: len(a.awaitedReports)}
	for _, w := range a.sortedWorkers {
		free := max(0, w.free().Accelerators)
		e.Accelerators += w.Capacity.Accelerators
		e.FreeAccelerators += free
		e.PendingStarts += w.pendingStarts()
		switch {
		case !w.hasReported:
			e.NotReported++
		case !w.reachable:
			e.Unreachable++
		case w.Draining:
			e.Draining++
		case w.evacuated:
			e.Evacuated++
		case w.orphanSizeUnknown:
			e.OrphanOfUnknownSize++
		case now.Before(w.blockedUntil):
			e.Blocked++
		case !w.health.usable(now):
			e.Quarantined++
			if w.health.quarantinedUntil.After(e.QuarantineEnd) {
				e.QuarantineEnd = w.health.quarantinedUntil
			}
		default:
			e.Schedulable++
			if a.startsLeft(now, w) != unlimitedStarts {
				e.Cold++
			}
			e.SchedulableAccelerators += free
		}
	}
	return e
}

// differs reports whether the counts differ materially from those of another time.
func (e Exclusions) differs(other Exclusions) bool {
	limit := max(1, e.Workers/materialChange)
	for _, pair := range [][2]int{
		{e.Schedulable, other.Schedulable},
		{e.NotReported, other.NotReported},
		{e.Unreachable, other.Unreachable},
		{e.Draining, other.Draining},
		{e.Evacuated, other.Evacuated},
		{e.OrphanOfUnknownSize, other.OrphanOfUnknownSize},
		{e.Blocked, other.Blocked},
		{e.Quarantined, other.Quarantined},
	} {
		if difference := pair[0] - pair[1]; difference >= limit || -difference >= limit {
			return true
		}
	}
	return false
}

// logWaitSummary logs how many stages wait and which workers planning leaves out, every waitLogInterval and when
// the latter changes.
func (a *Arranger) logWaitSummary(now time.Time) {
	e := a.waits.Exclusions
	if now.Sub(a.waitLog.summarizedAt) < waitLogInterval && !e.differs(a.waitLog.exclusions) {
		return
	}
	a.waitLog.summarizedAt, a.waitLog.exclusions = now, e
	a.options.Log("units wait", "stages", a.waits.Stages, "longest", a.waits.Longest.String(), "reasons", a.waits.ByReason)
	details := []any{
		"workers", e.Workers, "schedulable", e.Schedulable, "notReported", e.NotReported, "unreachable", e.Unreachable, "draining", e.Draining, "evacuated", e.Evacuated,
		"orphanOfUnknownSize", e.OrphanOfUnknownSize, "blocked", e.Blocked, "quarantined", e.Quarantined,
	}
	if e.Quarantined > 0 {
		details = append(details, "quarantineLeft", e.QuarantineEnd.Sub(now).String())
	}
	a.options.Log("workers excluded from planning", append(details, "accelerators", e.Accelerators, "free", e.FreeAccelerators,
		"schedulableFree", e.SchedulableAccelerators, "cold", e.Cold, "pendingStarts", e.PendingStarts, "awaitedReports", e.AwaitedReports)...)
}

// pendingStarts returns the number of starts on the worker whose outcome is not known yet.
func (w *worker) pendingStarts() int {
	count := 0
	for _, p := range w.places {
		if p.state == placeStarting {
			count++
		}
	}
	return count
}
