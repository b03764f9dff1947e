package arranger

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minLoggedWait is how long a stage must have nothing running before its wait is logged.
	minLoggedWait = time.Second
	// waitCheckInterval is the time between two searches for waiting stages.
	waitCheckInterval = time.Second
	// waitLogInterval is the time between two lines about the same stage, and between two summaries without a
	// material change.
	waitLogInterval = 5 * time.Second
	// maxWaitLines is the number of stages that one search logs.
	maxWaitLines = 8
	// minFailedStarts is the number of failed starts in one wait from which they count as its reason.
	minFailedStarts = 2
)

// waitReason tells why a stage has nothing running.
type waitReason string

const (
	// waitReports means that the job is inherited and some worker may still run tasks of a previous owner.
	waitReports waitReason = "reports awaited"
	// waitRecord means that the progress of the job cannot be recorded.
	waitRecord waitReason = "progress not recorded"
	// waitPlaces means that places of earlier runs remain, so that a gang cannot be placed again.
	waitPlaces waitReason = "places remain"
	// waitClaim means that capacity is claimed, but the runs that it is taken from have not ended.
	waitClaim waitReason = "claim pending"
	// waitStart means that starts were ordered whose outcome is not known.
	waitStart waitReason = "start pending"
	// waitFailedStarts means that starts are ordered again and again, and none succeeds.
	waitFailedStarts waitReason = "starts fail"
	// waitDeferred means that too many starts of other work have no outcome.
	waitDeferred waitReason = "starts deferred"
	// waitReserve means that the free accelerators are kept for urgent work or for waiting gangs.
	waitReserve waitReason = "reserved"
	// waitAdvice means that there would be room on workers for which the stage has no ticket.
	waitAdvice waitReason = "advice awaited"
	// waitAvoided means that there would be room on workers that the tasks avoid after failures.
	waitAvoided waitReason = "workers avoided"
	// waitExcluded means that there would be room on workers that the planning pass leaves out.
	waitExcluded waitReason = "workers excluded"
	// waitCold means that there would be room on workers that are cold, on which only so many tasks may start.
	waitCold waitReason = "workers cold"
	// waitEvacuated means that the stage fits only on workers of evacuated zones.
	waitEvacuated waitReason = "zone evacuated"
	// waitZones means that no task is started, since it is not known which zones are evacuated.
	waitZones waitReason = "evacuated zones not known"
	// waitRack means that there is room in the fleet, but in no single rack.
	waitRack waitReason = "no rack has room"
	// waitCapacity means that the fleet has no room.
	waitCapacity waitReason = "no room"
	// waitExceedsFleet means that the fleet could not run the gang if it were empty.
	waitExceedsFleet waitReason = "exceeds the fleet"
	// waitClass means that there is room, but an earlier unit of the same class found none in the same pass.
	waitClass waitReason = "class has no room"
	// waitUnexplained means that there is room and nothing is known to prevent a start.
	waitUnexplained waitReason = "unexplained"
)

// block is what kept a unit from being placed in a planning pass.
type block uint8

const (
	notBlocked block = iota
	blockedByStarts
	blockedByReserve
	blockedByCapacity
	blockedByClass
)

// reason returns the reason for a wait that the block is, before its detail is known.
func (b block) reason() waitReason {
	switch b {
	case blockedByStarts:
		return waitDeferred
	case blockedByReserve:
		return waitReserve
	case blockedByCapacity:
		return waitCapacity
	case blockedByClass:
		return waitClass
	case notBlocked:
	}
	return waitUnexplained
}

// stageWait tracks the time in which a stage has nothing running.
type stageWait struct {
	// since is when the stage was ready or was first seen with nothing running; zero while it runs.
	since    time.Time
	loggedAt time.Time
	// hasRun means that the stage was seen running before.
	hasRun bool
	// block is what kept the stage from being placed in the latest pass that it took part in.
	block block
	// searchedAt is when a pass last searched for room, or first skipped the stage.
	searchedAt time.Time
	// failedStarts is the number of starts and claims since the beginning of the wait that did not succeed.
	failedStarts int
}

// waitLog is the state of the log lines about waiting stages.
type waitLog struct {
	checkedAt, summarizedAt time.Time
	// exclusions are those of the latest summary.
	exclusions Exclusions
}

// stagePlaces counts the unfinished tasks of a stage by the state of their places.
type stagePlaces struct {
	waiting, claimed, starting, running, stopping int
	// oldest is the place that has been in its state longest; nil if there is none.
	oldest *place
}

func (s *stage) countPlaces() stagePlaces {
	var c stagePlaces
	for _, t := range s.tasks {
		p := t.place
		if t.done {
			continue
		}
		if p == nil {
			c.waiting++
			continue
		}
		switch p.state {
		case placeClaimed:
			c.claimed++
		case placeStarting:
			c.starting++
		case placeRunning:
			c.running++
		case placeStopping:
			c.stopping++
		}
		if c.oldest == nil || p.since().Before(c.oldest.since()) {
			c.oldest = p
		}
	}
	return c
}

// since returns when the place was claimed, started or, if it is being stopped, first seen so.
func (p *place) since() time.Time {
	if p.state == placeStopping && !p.stoppingSince.IsZero() {
		return p.stoppingSince
	}
	return p.placedAt
}

// working reports whether a task of the stage runs; for a gang, whether all unfinished ones do.
func (s *stage) working(c stagePlaces) bool {
	if s.step.Gang {
		return c.waiting+c.claimed+c.starting+c.stopping == 0
	}
	return c.running > 0
}

// waitingStage is a stage that has nothing running.
type waitingStage struct {
	stage  *stage
	places stagePlaces
	reason waitReason
}

// logWaits searches for stages that have nothing running and logs why; ps is the present pass, nil if there was
// nothing to place.
func (a *Arranger) logWaits(now time.Time, ranks map[*job]rank, ps *pass) {
	if now.Sub(a.waitLog.checkedAt) < waitCheckInterval {
		return
	}
	a.waitLog.checkedAt = now
	waiting := a.waitingStages(now)
	a.waits = Waits{Stages: len(waiting), ByReason: map[string]int{}, Deferred: a.fairness.units}
	a.logFairness()
	if len(waiting) == 0 {
		return
	}
	slices.SortStableFunc(waiting, func(x, y waitingStage) int { return x.stage.wait.since.Compare(y.stage.wait.since) })
	a.waits.Longest = now.Sub(waiting[0].stage.wait.since)
	a.waits.Exclusions = a.exclusions(now)
	for _, w := range waiting {
		a.waits.ByReason[string(w.reason)]++
	}
	a.logWaitSummary(now)
	lines := 0
	for _, w := range waiting {
		if lines == maxWaitLines {
			return
		}
		if now.Sub(w.stage.wait.loggedAt) >= waitLogInterval {
			a.logWait(now, w, a.unitOf(now, w.stage, ranks[w.stage.job]), ps)
			lines++
		}
	}
}

// waitingStages returns the ready stages that have had nothing running for minLoggedWait.
func (a *Arranger) waitingStages(now time.Time) []waitingStage {
	var waiting []waitingStage
	for _, j := range a.active {
		for _, s := range j.stages {
			if s.unfinished == 0 || s.ready.IsZero() {
				continue
			}
			c := s.countPlaces()
			if s.working(c) {
				s.wait = stageWait{hasRun: true}
				continue
			}
			if s.wait.since.IsZero() {
				s.wait.since = s.ready
				if s.wait.hasRun {
					s.wait.since = now
				}
			}
			if now.Sub(s.wait.since) < minLoggedWait {
				continue
			}
			reason := a.reasonOf(now, s, c)
			if (reason == waitStart || reason == waitClaim) && s.wait.failedStarts == 0 && now.Sub(c.oldest.since()) < minLoggedWait {
				continue
			}
			waiting = append(waiting, waitingStage{stage: s, places: c, reason: reason})
		}
	}
	return waiting
}

// reasonOf returns why the stage waits, without the detail of a lack of capacity.
func (a *Arranger) reasonOf(now time.Time, s *stage, c stagePlaces) waitReason {
	if a.awaitsReport(s.job) {
		return waitReports
	}
	if s.job.held {
		return waitRecord
	}
	if a.startsHeld && c.starting+c.running+c.stopping == 0 {
		return waitZones
	}
	if c.oldest == nil || !s.step.Gang && s.wait.block != notBlocked && c.waiting > 0 {
		return s.wait.block.reason()
	}
	switch {
	case s.wait.failedStarts >= minFailedStarts && now.Sub(c.oldest.since()) < startTimeout:
		return waitFailedStarts
	case s.step.Gang && (c.waiting > 0 || c.running > 0 && c.starting == 0 || c.stopping > 0):
		return waitPlaces
	case c.starting > 0:
		return waitStart
	case c.claimed > 0:
		return waitClaim
	default:
		return waitPlaces
	}
}

// logWait logs why a stage waits.
func (a *Arranger) logWait(now time.Time, w waitingStage, u unit, ps *pass) {
	s := w.stage
	s.wait.loggedAt = now
	reason, details := w.reason, []any(nil)
	switch {
	case reason == waitReports:
		details = a.awaitedDetails(now)
	case ps != nil:
		reason, details = ps.explainBlock(reason, u)
	}
	if p := w.places.oldest; p != nil {
		details = append(details, "claimed", w.places.claimed, "starting", w.places.starting, "running", w.places.running,
			"stopping", w.places.stopping, "oldest", now.Sub(p.since()).String(), "worker", p.worker.ID, "oldestRun", p.run, "stopReason", p.reason)
	}
	var lastRun int64
	failed := 0
	for _, t := range s.tasks {
		lastRun = max(lastRun, t.lastRun)
		failed = max(failed, len(t.failedRuns))
	}
	a.options.Log("unit waits", append([]any{
		"job", s.job.ID, "queue", s.job.Queue, "organisation", s.job.Organisation, "step", s.stepName(), "gang", s.step.Gang,
		"tasks", w.places.waiting, "need", s.step.Need, "waited", now.Sub(s.wait.since).String(), "reason", string(reason), "rank", int(u.rank),
		"lateness", u.lateness.String(), "run", lastRun, "failed", failed, "failedStarts", s.wait.failedStarts,
	}, details...)...)
}

// explainBlock returns the detailed reason of a wait whose reason is that of a block, and the figures that it rests on; other reasons stay as they are.
func (ps *pass) explainBlock(reason waitReason, u unit) (waitReason, []any) {
	switch reason {
	case waitDeferred:
		return reason, []any{"pendingStarts", ps.pendingStarts, "limit", maxPendingStarts}
	case waitReserve:
		detailed, details := ps.explainCapacity(u)
		if detailed == waitUnexplained || detailed == waitClass {
			detailed = waitReserve
		}
		return detailed, append(details, "urgentReserve", int(ps.reserve), "gangReserve", ps.gangReserve, "schedulable", ps.accelerators)
	case waitCapacity, waitClass:
		return ps.explainCapacity(u)
	default:
		return reason, nil
	}
}

// awaitedDetails describes the reports for which inherited jobs wait.
func (a *Arranger) awaitedDetails(now time.Time) []any {
	var next, last time.Time
	worker, omitted := "", 0
	for id, expiry := range a.awaitedReports {
		if expiry.IsZero() {
			omitted++
			continue
		}
		if next.IsZero() || cmp.Or(expiry.Compare(next), cmp.Compare(id, worker)) < 0 {
			next, worker = expiry, id
		}
		if expiry.After(last) {
			last = expiry
		}
	}
	details := []any{"awaited", len(a.awaitedReports), "endsOmitted", omitted}
	if worker == "" {
		return details
	}
	return append(details, "awaitedWorker", worker, "next", next.Sub(now).String(), "last", last.Sub(now).String())
}

// String returns the lateness in words.
func (l lateness) String() string {
	switch l {
	case onTime:
		return "on time"
	case late:
		return "late"
	case worthless:
	}
	return "worthless"
}
