package arranger

import (
	"cmp"
	"slices"
)

// victim is a run that could be stopped for others, with what that throws away in core-seconds.
type victim struct {
	place    *place
	rank     rank
	lostWork float64
}

// chooseVictims chooses the work whose stop makes room at the least loss.
func (t *trial) chooseVictims(c *choice, room, need Resources) bool {
	for _, v := range t.pass.victimsOf(c.candidate) {
		if room.Covers(need) {
			break
		}
		if t.stopped[v.place] || !t.mayStop(v) || sharesUnavailabilityLimit(c.victims, v.place) {
			continue
		}
		room = room.Add(v.place.task.stage.step.Need)
		c.victims = append(c.victims, v.place)
	}
	if !room.Covers(need) {
		return false
	}
	c.victims = withoutUnneeded(c.victims, room, need)
	for _, p := range c.victims {
		c.lostWork += t.pass.lossOf(p)
	}
	return true
}

// victimsOf returns the worker's runs, those of the last ranks first and of these what loses least.
func (s *pass) victimsOf(sl *candidate) []victim {
	if sl.victims != nil {
		return sl.victims
	}
	sl.victims = make([]victim, 0, len(sl.worker.places))
	for _, p := range sl.worker.places {
		if p.state == placeStarting || p.state == placeRunning {
			sl.victims = append(sl.victims, victim{place: p, rank: s.ranks[p.task.stage.job], lostWork: s.lossOf(p)})
		}
	}
	slices.SortStableFunc(sl.victims, func(x, y victim) int {
		return cmp.Or(cmp.Compare(y.rank, x.rank), cmp.Compare(x.lostWork, y.lostWork))
	})
	return sl.victims
}

// withoutUnneeded leaves out victims that turned out not to be needed.
func withoutUnneeded(victims []*place, room, need Resources) []*place {
	kept := victims[:0]
	for _, p := range victims {
		without := room.Sub(p.task.stage.step.Need)
		if without.Covers(need) {
			room = without
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

// mayStop reports whether the unit may displace the run.
func (t *trial) mayStop(v victim) bool {
	p := v.place
	if p.state != placeStarting && p.state != placeRunning || p.task.done || p.task.stage.job.state.Final() {
		return false
	}
	return v.rank > t.unit.rank && v.rank > rankGuaranteed && t.mayBecomeUnavailable(p)
}

// lossOf returns the core-seconds that stopping the run throws away, with those of its whole gang.
func (s *pass) lossOf(p *place) float64 {
	gang := p.task.stage
	if !gang.step.Gang {
		return s.lossOfRun(p)
	}
	if lost, ok := s.gangLoss[gang]; ok {
		return lost
	}
	lost := 0.0
	for _, member := range gang.tasks {
		if member.place != nil {
			lost += s.lossOfRun(member.place)
		}
	}
	s.gangLoss[gang] = lost
	return lost
}

func (s *pass) lossOfRun(p *place) float64 {
	since := p.placedAt
	if p.task.stage.step.Checkpoints && p.checkpointedAt.After(since) {
		since = p.checkpointedAt
	}
	lost := restartCost
	if !p.task.stage.step.Checkpoints {
		lost += s.now.Sub(since)
	}
	return lost.Seconds() * p.task.stage.step.Need.cores()
}

// stopWithGang counts a run, and the other members of its gang, as gone.
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

// markStopped counts a run as gone and its room as left.
func (t *trial) markStopped(p *place) {
	if t.stopped[p] {
		return
	}
	if t.stopped == nil {
		t.stopped = map[*place]bool{}
	}
	t.stopped[p] = true
	t.victims = append(t.victims, p)
	if sl := p.worker.candidate; sl != nil {
		t.setAvailable(sl, t.availableOn(sl).Add(p.task.stage.step.Need), 0)
	}
}
