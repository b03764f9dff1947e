package arranger

import "time"

// Urgent gangs that come into a full fleet preempt other runs. Some of these are
// about to end: stopping them discards seconds of work to gain less time than a
// stop takes. Such runs are waited for instead, and stopped only if they do not
// end as soon as expected.

// maxRemainderFactor limits the factor by which the loss of stopping a run increases as what remains of it decreases.
const maxRemainderFactor = 4

// ends reports whether the run is to end by itself.
func (p *place) ends() bool {
	return !p.task.stage.step.LongRunning && !p.task.done && !p.task.stage.job.state.Final()
}

// endsSoon reports whether the run, with its gang, ends within the time that stopping it may take.
func (ps *pass) endsSoon(p *place) bool {
	if !learnsPreemption || !p.ends() {
		return false
	}
	if !p.awaitUntil.IsZero() {
		return ps.now.Before(p.awaitUntil)
	}
	return !ps.arranger.forecastEnd(ps.now, p).high.After(ps.now.Add(ps.arranger.options.StopTime))
}

// weighRemainder returns the core-seconds lost by making room for other work: the time to wait if the run, with its gang, is
// waited for, else the work lost by a stop, divided by the share of the remaining time that the stop gains.
func (ps *pass) weighRemainder(p *place, lost float64) float64 {
	if !learnsPreemption || !p.ends() {
		return lost
	}
	remaining := ps.arranger.forecastEnd(ps.now, p).expected.Sub(ps.now)
	if ps.endsSoon(p) {
		cores := p.task.stage.step.Need.cores()
		if p.task.stage.step.Gang {
			cores *= float64(len(p.task.stage.tasks))
		}
		return remaining.Seconds() * cores
	}
	gained := remaining - ps.arranger.options.StopTime
	if float64(gained)*maxRemainderFactor <= float64(remaining) {
		return lost * maxRemainderFactor
	}
	return lost * float64(remaining) / float64(gained)
}

// await lets a claim wait for the end of the run.
func (a *Arranger) await(now time.Time, p *place, u unit) {
	if !p.awaitUntil.IsZero() {
		return
	}
	end := a.forecastEnd(now, p)
	p.awaitUntil = now.Add(a.options.StopTime)
	a.counts.RunsAwaited++
	a.options.Log("run awaited instead of preempted", "task", p.task.label(), "run", p.run, "worker", p.worker.ID, "percent", p.percent,
		"expectedEnd", end.expected.Sub(now).String(), "for", u.stage.job.ID, "rank", int(u.rank))
}

// stopOverdueRuns stops the runs that have not ended as soon as expected while capacity on their workers is still claimed.
func (a *Arranger) stopOverdueRuns(now time.Time) {
	for _, group := range a.claims {
		if !group[0].awaits {
			continue
		}
		for _, claim := range group {
			for _, p := range claim.worker.places {
				if p.awaitUntil.IsZero() || now.Before(p.awaitUntil) || p.state != placeStarting && p.state != placeRunning {
					continue
				}
				a.counts.RunsOverdue++
				a.options.Log("awaited run has not ended", "task", p.task.label(), "run", p.run, "worker", p.worker.ID, "percent", p.percent,
					"for", claim.task.stage.job.ID)
				a.stopRunOrGang(p, "preempted by "+claim.task.stage.job.ID)
			}
		}
	}
}

// claimedFor returns how long the claim is kept: the runs that it waits for may have to be stopped in the end.
func (p *place) claimedFor(stopTime time.Duration) time.Duration {
	if p.awaits {
		return 2*stopTime + claimMargin
	}
	return stopTime + claimMargin
}
