package arranger

import (
	"slices"
	"time"
)

// The load: a burst of one large organisation fills a nearly full fleet, and the work of nine small ones, accepted after it, waits until the burst has
// been worked off, although each of them uses little. Units of an organisation that has much running, or waiting before them, are therefore placed as if
// they had been accepted later, by up to one and a half times the period from their acceptance to their deadline. So latest starts decide among
// organisations whose use is comparable, and a unit precedes all of its rank and lateness that are accepted later than that: fairness makes none wait for ever.

const (
	// fairShare is the multiple of an organisation's share of the fleet up to which its units are not deferred; each doubling of it defers them by one more step.
	fairShare = 1.5
	// maxFairnessSteps is the largest number of steps by which a unit is deferred, for an organisation that has six times its share.
	maxFairnessSteps = 3
	// fairnessStep is the length of a step as a part of the period from acceptance to deadline.
	fairnessStep = 0.5
)

// holder is an organisation in a service.
type holder struct{ service, organisation string }

// fairUse is the use of accelerators by an organisation, and its share of those of the service.
type fairUse struct {
	// ranked are the accelerators of its runs and claims by the rank of their jobs, and of the units that precede the one looked at.
	ranked []rankedUse
	share  float64
	// last is the deferred latest start of its unit before the one looked at, of that rank and lateness.
	last         time.Time
	lastRank     rank
	lastLateness lateness
}

type rankedUse struct {
	rank         rank
	accelerators int
}

// add adds accelerators of a rank.
func (f *fairUse) add(r rank, accelerators int) {
	for i := range f.ranked {
		if f.ranked[i].rank == r {
			f.ranked[i].accelerators += accelerators
			return
		}
	}
	f.ranked = append(f.ranked, rankedUse{r, accelerators})
}

// through returns the accelerators of a rank and of those before it: work of later ranks gives way, and is not held against an organisation.
func (f *fairUse) through(r rank) int {
	sum := 0
	for _, u := range f.ranked {
		if u.rank <= r {
			sum += u.accelerators
		}
	}
	return sum
}

// fairnessSteps returns by how many steps a unit is deferred whose organisation uses that many accelerators.
func fairnessSteps(used int, share float64) int {
	steps := 0
	for limit := fairShare * share; share > 0 && float64(used) >= limit && steps < maxFairnessSteps; limit *= 2 {
		steps++
	}
	return steps
}

// sortUnits puts units into placement order, with those of organisations that use more than their share deferred.
func (a *Arranger) sortUnits(units []unit, ranks map[*job]rank) {
	slices.SortStableFunc(units, compareUnits)
	a.fairness.units = 0
	if !severalOrganisations(units) {
		return
	}
	uses := a.fairUses(units, ranks)
	for i := range units {
		u := &units[i]
		j := u.stage.job
		f := uses[holder{j.Policy.Service, j.Organisation}]
		if u.lateness == worthless {
			continue
		}
		u.deferral = scale(u.allowed, fairnessStep*float64(fairnessSteps(f.through(u.rank), f.share)))
		if f.lastRank == u.rank && f.lastLateness == u.lateness && u.latestStart.Add(u.deferral).Before(f.last) {
			// The order of one organisation's own units stays.
			u.deferral = f.last.Sub(u.latestStart)
		}
		f.last, f.lastRank, f.lastLateness = u.latestStart.Add(u.deferral), u.rank, u.lateness
		f.add(u.rank, u.stage.waitingAccelerators())
		if u.deferral > 0 {
			a.fairness.units++
			a.fairness.organisation, a.fairness.share, a.fairness.deferral = j.Organisation, f.share, u.deferral
		}
	}
	if a.fairness.units > 0 {
		slices.SortStableFunc(units, compareUnits)
	}
}

// fairness describes the units that the latest pass deferred, with the organisation of the last one.
type fairness struct {
	units        int
	organisation string
	share        float64
	deferral     time.Duration
	// logged means that the latest line said that units are deferred.
	logged bool
}

// logFairness logs when units begin and cease to be deferred.
func (a *Arranger) logFairness() {
	f := &a.fairness
	if deferring := f.units > 0; deferring != f.logged {
		f.logged = deferring
		if deferring {
			a.options.Log("work deferred, its organisation uses more than its share", "units", f.units, "organisation", f.organisation, "share", f.share, "deferral", f.deferral.String())
		} else {
			a.options.Log("no work deferred any more")
		}
	}
}

// severalOrganisations reports whether units of more than one organisation wait.
func severalOrganisations(units []unit) bool {
	return slices.ContainsFunc(units, func(u unit) bool { return u.stage.job.Organisation != units[0].stage.job.Organisation })
}

// fairUses returns what the organisations with work use, and their shares: as much of the service as each other organisation with work, or the guarantee if that is more.
func (a *Arranger) fairUses(units []unit, ranks map[*job]rank) map[holder]*fairUse {
	uses := map[holder]*fairUse{}
	use := func(j *job) *fairUse {
		key := holder{j.Policy.Service, j.Organisation}
		if uses[key] == nil {
			uses[key] = &fairUse{}
		}
		return uses[key]
	}
	for _, u := range units {
		use(u.stage.job)
	}
	installed := map[string]int{}
	for _, w := range a.sortedWorkers {
		installed[w.Service] += w.Capacity.Accelerators
		for _, p := range w.places {
			j := p.task.stage.job
			if r, active := ranks[j]; active && p.state != placeStopping {
				use(j).add(r, p.task.stage.step.Need.Accelerators)
			}
		}
	}
	organisations := map[string]int{}
	for key := range uses {
		organisations[key.service]++
	}
	for key, f := range uses {
		equal := float64(installed[key.service]) / float64(organisations[key.service])
		f.share = max(equal, float64(a.guaranteed[key.organisation]))
	}
	return uses
}

// waitingAccelerators returns the accelerators that the waiting tasks of the stage request.
func (s *stage) waitingAccelerators() int {
	waiting := 0
	for _, t := range s.tasks {
		if !t.done && t.place == nil {
			waiting++
		}
	}
	return waiting * s.step.Need.Accelerators
}
