package arranger

import (
	"cmp"
	"slices"
	"time"
)

// rank is the precedence of a job: a lower rank is placed first and may preempt a higher one.
type rank int

const (
	// rankGuaranteed is urgent work within its organisation's guarantee.
	rankGuaranteed rank = iota
	// rankUrgent is urgent work beyond the guarantee; lower priorities follow as rankUrgent plus the priority.
	rankUrgent
)

const (
	// claimMargin is how long a claim is kept beyond the maximum stop time before the task is placed again. A claim may wait
	// for as long as a stop takes before it stops a run, so that this has to be longer than the maximum stop time, of 0.9 s.
	claimMargin = 1500 * time.Millisecond
	// stopRetryInterval is the time after which a stop without effect is ordered again.
	stopRetryInterval = time.Second
	// startTimeout is the age at which a start without an outcome is stopped, from the decision on. Recording its
	// worker and both tries to send it take less unless the store is unavailable.
	startTimeout = 5 * time.Second
	// longRunningWait is how long long-running tasks wait for room by their priority; then they precede all work that is not urgent, since that ends and they do not,
	// and may use all that is kept free.
	longRunningWait = time.Second
	// worthlessFactor times the period from acceptance to deadline is when a job's result has lost all value to
	// its caller.
	worthlessFactor = 3
)

// lateness classifies a job by the time at which it can still complete.
type lateness int

const (
	// onTime means that the job can still meet its deadline.
	onTime lateness = iota
	// late means that the job cannot meet its deadline, but its result still has value.
	late
	// worthless means that the result will have no value any more.
	worthless
)

// unit is a stage with waiting tasks, as one planning pass sees it.
type unit struct {
	stage    *stage
	rank     rank
	lateness lateness
	// latestStart is when the job has to start to meet its deadline.
	latestStart time.Time
	// allowed is the time from the acceptance of the job to its deadline; 0 for long-running tasks.
	allowed time.Duration
	// deferral is how much later than by latestStart the unit is placed, since its organisation uses more than its share.
	deferral time.Duration
}

// Plan runs a planning pass that places waiting tasks; TakeOrders returns the resulting orders.
func (a *Arranger) Plan(now time.Time) {
	a.changed = false
	for _, j := range slices.Clone(a.active) {
		if j.created < j.Occurrences {
			a.createDueOccurrences(j, now)
			a.markReadyStages(j, now)
		}
	}
	a.logEndedQuarantines(now)
	a.stopStalledRuns(now)
	a.stopRunsOnLeavingWorkers(now)
	a.retryOrders(now)
	a.startClearedClaims(now)
	a.stopOverdueRuns(now)
	a.attributeInheritedCrashes(now)
	ranks := a.ranks()
	units := a.units(now, ranks)
	a.learnUnknownWorkers()
	if len(units) == 0 || a.startsHeld {
		a.logWaits(now, ranks, nil)
		return
	}
	a.readmitFor(now, units)
	ps := a.newPass(now, ranks)
	for _, u := range units {
		ps.place(u)
	}
	a.requestAdvice(now, units)
	a.logWaits(now, ranks, ps)
}

// NextDue returns when the next occurrence of a job is due, or the zero time if there is none.
func (a *Arranger) NextDue() time.Time {
	var next time.Time
	for _, j := range a.active {
		if j.created >= j.Occurrences {
			continue
		}
		due := j.FirstDue.Add(time.Duration(j.created) * j.Interval)
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// units returns the stages with waiting tasks in placement order.
func (a *Arranger) units(now time.Time, ranks map[*job]rank) []unit {
	awaiting := a.awaitingReports(now)
	var units []unit
	for _, j := range a.active {
		if j.held || awaiting && a.awaitsReport(j) {
			continue
		}
		for _, s := range j.stages {
			if s.unfinished > 0 && !s.ready.IsZero() && s.waiting() {
				units = append(units, a.unitOf(now, s, ranks[j]))
			}
		}
	}
	a.sortUnits(units, ranks)
	return units
}

// waiting reports whether a task of the stage waits for a placement; for a gang, whether all of them do.
func (s *stage) waiting() bool {
	for _, t := range s.tasks {
		waiting := !t.done && t.place == nil
		if waiting != s.step.Gang {
			return waiting
		}
	}
	return s.step.Gang
}

func (a *Arranger) unitOf(now time.Time, s *stage, r rank) unit {
	j := s.job
	if s.step.LongRunning {
		// Its tasks have no end to be late for: they are worth what they run, at any time.
		if s.hasWaited(now, longRunningWait) {
			r = min(r, rankUrgent+1)
		}
		return unit{stage: s, rank: r, lateness: onTime, latestStart: j.Accepted}
	}
	remaining := a.remainingTime(now, j, s.occurrence)
	due := j.due(s.occurrence)
	allowed := a.allowedTime(now, j)
	u := unit{stage: s, rank: r, latestStart: due.Add(allowed - remaining), allowed: allowed}
	switch {
	case now.Before(u.latestStart):
		u.lateness = onTime
	case now.Add(remaining).Before(due.Add(worthlessFactor * allowed)):
		u.lateness = late
	default:
		u.lateness = worthless
	}
	return u
}

// due returns when an occurrence of the job is due, or when the job was accepted if that is later or it runs once.
func (j *job) due(occurrence int) time.Time {
	due := j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
	if j.Occurrences == 0 || due.Before(j.Accepted) {
		return j.Accepted
	}
	return due
}

// remainingTime returns the estimated duration of the critical path through the steps of the occurrence that have not completed.
func (a *Arranger) remainingTime(now time.Time, j *job, occurrence int) time.Duration {
	return criticalPathOf(j.Steps, func(i int) time.Duration {
		if s := j.stageByKey[[2]int{occurrence, i}]; s != nil && s.unfinished == 0 {
			return 0
		}
		return a.plannedTime(now, j, i)
	})
}

// compareUnits orders units for placement: guaranteed work first, worthless work last.
func compareUnits(x, y unit) int {
	return cmp.Or(
		cmp.Compare(boolInt(x.rank != rankGuaranteed), boolInt(y.rank != rankGuaranteed)),
		cmp.Compare(boolInt(x.lateness == worthless), boolInt(y.lateness == worthless)),
		cmp.Compare(x.rank, y.rank),
		cmp.Compare(x.lateness, y.lateness),
		x.latestStart.Add(x.deferral).Compare(y.latestStart.Add(y.deferral)),
		cmp.Compare(x.stage.job.sequence, y.stage.job.sequence),
	)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ranks returns the rank of each active job. The urgent jobs of an organisation fill its guarantee in the order
// of their acceptance.
func (a *Arranger) ranks() map[*job]rank {
	ranks := make(map[*job]rank, len(a.active))
	var urgent []*job
	for _, j := range a.active {
		ranks[j] = rankUrgent + rank(j.Policy.Priority)
		if j.urgent() {
			urgent = append(urgent, j)
		}
	}
	slices.SortStableFunc(urgent, func(x, y *job) int { return x.Accepted.Compare(y.Accepted) })
	used := map[string]int{}
	for _, j := range urgent {
		if j.created == 0 {
			continue
		}
		used[j.Organisation] += j.accelerators()
		if used[j.Organisation] <= a.guaranteed[j.Organisation] {
			ranks[j] = rankGuaranteed
		}
	}
	return ranks
}

// retryOrders repeats stops without effect and stops runs whose start has timed out.
func (a *Arranger) retryOrders(now time.Time) {
	for _, w := range a.sortedWorkers {
		for _, p := range w.places {
			if p.state == placeStarting && now.Sub(p.placedAt) >= startTimeout {
				a.options.Log("start timed out", "task", p.task.label(), "run", p.run, "worker", w.ID, "since", now.Sub(p.placedAt).String())
				a.counts.StartsTimedOut++
				p.task.stage.wait.failedStarts++
				a.stop(p, "start timed out")
			}
			if p.state != placeStopping {
				continue
			}
			if p.stopOrderedAt.IsZero() {
				p.stopOrderedAt, p.stoppingSince = now, now
				continue
			}
			if now.Sub(p.stopOrderedAt) >= stopRetryInterval+a.options.StopTime {
				p.stopOrderedAt = now
				a.orderStop(p)
			}
		}
	}
}

// startClearedClaims starts the claims whose capacity is now free and releases those that have waited too long.
func (a *Arranger) startClearedClaims(now time.Time) {
	kept := a.claims[:0]
	for _, group := range a.claims {
		switch {
		case !intact(group):
			for _, p := range group {
				if p.task.place == p && p.state == placeClaimed {
					a.release(p)
				}
			}
		case a.canStart(now, group):
			a.start(now, group, "claimed capacity is free")
		case now.Sub(group[0].placedAt) > a.options.StopTime+claimMargin:
			a.options.Log("claim timed out", "task", group[0].task.label())
			a.counts.ClaimsTimedOut++
			group[0].task.stage.wait.failedStarts++
			for _, p := range group {
				a.release(p)
			}
		default:
			kept = append(kept, group)
		}
	}
	a.claims = kept
}

// intact reports whether all places of a group are still claims.
func intact(group []*place) bool {
	for _, p := range group {
		if p.task.place != p || p.state != placeClaimed {
			return false
		}
	}
	return true
}

// canStart reports whether starts are allowed and the workers of the group are schedulable, have enough free capacity for its places
// and may run them.
func (a *Arranger) canStart(now time.Time, group []*place) bool {
	if a.startsHeld {
		return false
	}
	needs := map[*worker]Resources{}
	for _, p := range group {
		needs[p.worker] = needs[p.worker].Add(p.task.stage.step.Need)
	}
	for w, need := range needs {
		if !w.schedulable(now) || !w.Capacity.Sub(w.inUse()).Covers(need) {
			return false
		}
	}
	for _, p := range group {
		if !p.task.stage.mayRunOn(p.worker, now) || !p.mayShare() {
			return false
		}
	}
	return true
}

// start orders the start of claimed places; the members of a gang share one run number.
func (a *Arranger) start(now time.Time, group []*place, reason string) {
	run := a.options.RunBase
	for _, p := range group {
		run = max(run, p.task.lastRun)
	}
	run++
	estimate, slowdown := a.forecastOf(now, group[0])
	for _, p := range group {
		p.run = run
		p.task.lastRun = run
		p.state = placeStarting
		p.placedAt = now
		p.worker.cold.starts++
		p.task.trial, p.task.awaited = nil, false
		p.resumed = p.task.checkpoint != ""
		ticket, _ := p.task.stage.ticketFor(p.worker, now)
		p.estimate = estimate
		a.orders.Starts = append(a.orders.Starts, StartOrder{
			Task: p.task.name(), Run: run, Worker: p.worker.ID, Zone: p.worker.Zone, Speed: p.worker.speed(), Ticket: ticket,
			Payload: p.task.stage.job.Payload, Checkpoint: p.task.checkpoint, Gang: p.task.stage.step.Gang, Estimate: estimate, Slowdown: slowdown, Reason: reason,
		})
	}
}
