package arranger

import (
	"cmp"
	"slices"
)

// victim is a run that may be preempted, with the work that this loses.
type victim struct {
	removal

	place *place
	rank  rank
}

// removal tells what is lost if a run makes room for other work.
type removal struct {
	// lostWork is in core-seconds.
	lostWork float64
	// endsSoon means that the run is waited for instead of being stopped.
	endsSoon bool
}

// chooseVictims adds the victims to the choice whose preemption makes enough capacity available at the least
// loss; it returns false if there are none.
func (t *trial) chooseVictims(c *choice, available, need Resources) bool {
	for _, v := range t.pass.victimsOf(c.candidate) {
		if available.Covers(need) {
			break
		}
		if t.stopped[v.place] || !t.mayStop(v) || sharesUnavailabilityLimit(c.victims, v.place) {
			continue
		}
		available = available.Add(v.place.task.stage.step.Need)
		c.victims = append(c.victims, v.place)
	}
	if !available.Covers(need) {
		return false
	}
	c.victims = withoutUnneeded(c.victims, available, need)
	for _, p := range c.victims {
		c.lostWork += t.pass.removalOf(p).lostWork
	}
	return true
}

// victimsOf returns the candidate's runs in the order of preemption: those that end soon, then highest rank first, then least
// loss.
func (ps *pass) victimsOf(cand *candidate) []victim {
	if cand.victims != nil {
		return cand.victims
	}
	cand.victims = make([]victim, 0, len(cand.worker.places))
	for _, p := range cand.worker.places {
		if p.state == placeStarting || p.state == placeRunning {
			cand.victims = append(cand.victims, victim{place: p, rank: ps.ranks[p.task.stage.job], removal: ps.removalOf(p)})
		}
	}
	slices.SortStableFunc(cand.victims, func(x, y victim) int {
		return cmp.Or(cmp.Compare(boolInt(!x.endsSoon), boolInt(!y.endsSoon)), cmp.Compare(y.rank, x.rank), cmp.Compare(x.lostWork, y.lostWork))
	})
	return cand.victims
}

// withoutUnneeded removes victims without which the need still fits.
func withoutUnneeded(victims []*place, available, need Resources) []*place {
	kept := victims[:0]
	for _, p := range victims {
		without := available.Sub(p.task.stage.step.Need)
		if without.Covers(need) {
			available = without
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

// mayStop reports whether the unit may preempt the run.
func (t *trial) mayStop(v victim) bool {
	p := v.place
	if p.state != placeStarting && p.state != placeRunning || p.task.done || p.task.stage.job.state.Final() {
		return false
	}
	return v.rank > t.unit.rank && v.rank > rankGuaranteed && t.mayBecomeUnavailable(p)
}

// removalOf returns what is lost if the run and the other members of its gang make room for other work.
func (ps *pass) removalOf(p *place) removal {
	gang := p.task.stage
	if !gang.step.Gang {
		return ps.weighRemainder(p, ps.lossOfRun(p))
	}
	if known, ok := ps.gangRemovals[gang]; ok {
		return known
	}
	lost := 0.0
	for _, member := range gang.tasks {
		if member.place != nil {
			lost += ps.lossOfRun(member.place)
		}
	}
	r := ps.weighRemainder(p, lost)
	ps.gangRemovals[gang] = r
	return r
}

// lossOfRun returns the core-seconds lost by stopping the run: the work since its start, unless the step writes
// checkpoints, and the restart.
func (ps *pass) lossOfRun(p *place) float64 {
	lost := restartCost
	if !p.task.stage.step.Checkpoints {
		lost += ps.now.Sub(p.placedAt)
	}
	return lost.Seconds() * p.task.stage.step.Need.cores()
}

// stopWithGang marks a run and the other members of its gang as stopped in this trial.
func (t *trial) stopWithGang(p *place) {
	if !p.task.stage.step.Gang {
		t.markStopped(p)
		return
	}
	for _, member := range p.task.stage.tasks {
		if pl := member.place; pl != nil && pl.state != placeClaimed && pl.state != placeStopping {
			t.markStopped(pl)
		}
	}
}

// markStopped marks a run as stopped in this trial and adds its resources to the available capacity.
func (t *trial) markStopped(p *place) {
	if t.stopped[p] {
		return
	}
	if t.stopped == nil {
		t.stopped = map[*place]bool{}
	}
	t.stopped[p] = true
	t.victims = append(t.victims, p)
	if cand := p.worker.candidate; cand != nil {
		t.setAvailable(cand, t.availableOn(cand).Add(p.task.stage.step.Need), 0)
	}
}
