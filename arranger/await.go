package arranger

import "time"

// Urgent gangs that come into a full fleet preempt other runs. Some of these are
// about to end: stopping them discards seconds of work to gain less time than a
// stop takes. Such runs are waited for instead, and stopped only if they do not
// end as soon as expected. A task waits only once before it starts, and its claim is
// kept no longer than others, so that the time in which guaranteed work has to start
// is still enough for a second claim if the first one fails.

// maxRemainderFactor limits the factor by which the loss of stopping a run increases as what remains of it decreases.
const maxRemainderFactor = 4

// ends reports whether the run is to end by itself.
func (p *place) ends() bool {
	return !p.task.stage.step.LongRunning && !p.task.done && !p.task.stage.job.state.Final()
}

// weighRemainder returns what is lost if the run, with its gang, makes room for other work: the time to wait if it ends within the
// time that stopping it may take, else the work lost by a stop, divided by the share of the remaining time that the stop gains.
func (ps *pass) weighRemainder(p *place, lost float64) removal {
	if !learnsPreemption || !p.ends() {
		return removal{lostWork: lost}
	}
	end, stopTime := ps.arranger.forecastEnd(ps.now, p), ps.arranger.options.StopTime
	endsSoon := !end.high.After(ps.now.Add(stopTime))
	if !p.awaitUntil.IsZero() {
		endsSoon = ps.now.Before(p.awaitUntil)
	}
	remaining := end.expected.Sub(ps.now)
	if endsSoon {
		cores := p.task.stage.step.Need.cores()
		if p.task.stage.step.Gang {
			cores *= float64(len(p.task.stage.tasks))
		}
		return removal{lostWork: remaining.Seconds() * cores, endsSoon: true}
	}
	gained := remaining - stopTime
	if float64(gained)*maxRemainderFactor <= float64(remaining) {
		return removal{lostWork: lost * maxRemainderFactor}
	}
	return removal{lostWork: lost * float64(remaining) / float64(gained)}
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

// stopOverdueRuns stops the runs that have not ended as soon as expected while a claim waits for them.
func (a *Arranger) stopOverdueRuns(now time.Time) {
	for _, group := range a.claims {
		for _, p := range group[0].awaits {
			if now.Before(p.awaitUntil) || p.task.place != p || p.state != placeStarting && p.state != placeRunning {
				continue
			}
			a.counts.RunsOverdue++
			a.options.Log("awaited run has not ended", "task", p.task.label(), "run", p.run, "worker", p.worker.ID, "percent", p.percent,
				"for", group[0].task.stage.job.ID)
			a.stopRunOrGang(p, "preempted by "+group[0].task.stage.job.ID)
		}
	}
}
