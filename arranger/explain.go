package arranger

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"
)

const (
	// maxExplainedWorkers limits the workers that an explanation lists for a step.
	maxExplainedWorkers = 20
	// maxExplainedTasks limits the single tasks of a step that are placed for an explanation; no more than maxPendingStarts of them start
	// in one pass, and the search takes time that planning lacks.
	maxExplainedTasks = maxPendingStarts
)

// Explanation tells what would happen to a job if it were accepted now.
type Explanation struct {
	// Steps are those that would be ready at once.
	Steps      []StepExplanation `json:"steps"`
	Exclusions Exclusions        `json:"exclusions"`
}

// StepExplanation tells where the tasks of a step would start, or why they would wait.
type StepExplanation struct {
	Step  int  `json:"step"`
	Tasks int  `json:"tasks"`
	Gang  bool `json:"gang"`
	// Placed is the number of tasks that would be placed now, of at most the 400 first ones of a step of single tasks. They start at once unless Claimed is
	// set: then Preempted runs of other jobs, or such as are being stopped, have to end first.
	Placed    int  `json:"placed"`
	Claimed   bool `json:"claimed"`
	Preempted int  `json:"preempted"`
	// Workers are those of the placed tasks, at most 20 of them, by name; Racks are all of their racks.
	Workers []PlacedTasks `json:"workers,omitempty"`
	Racks   []string      `json:"racks,omitempty"`
	// Reason tells why the other tasks would wait, and Details on what figures that rests; empty if none would.
	Reason  string         `json:"reason,omitempty"`
	Details map[string]any `json:"details,omitempty"`
	// Preceding is the number of waiting units that are placed before, for which room may be found first.
	Preceding int    `json:"preceding"`
	Rank      int    `json:"rank"`
	Lateness  string `json:"lateness"`
	// Forecast is when the placed tasks are expected to start and end; nil if none is placed or nothing is known of their run time.
	Forecast *Forecast `json:"forecast,omitempty"`
	Estimate WorkTime  `json:"estimate"`
}

// PlacedTasks are the tasks of a step on one worker, which has the rated speed Speed relative to the average.
type PlacedTasks struct {
	Worker string  `json:"worker"`
	Zone   string  `json:"zone,omitempty"`
	Rack   string  `json:"rack"`
	Speed  float64 `json:"speed"`
	Tasks  int     `json:"tasks"`
}

// Forecast is when the tasks of a step start and end: the median, and the quantile 0.9 of the last end. Slowdown is that of the slowest of them.
type Forecast struct {
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	HighEnd  time.Time `json:"highEnd"`
	Slowdown float64   `json:"slowdown"`
}

// WorkTime is the estimated run time of a task on an average worker, in milliseconds, with the quantile 0.9 and the origin.
type WorkTime struct {
	MedianMillis int64  `json:"medianMillis"`
	HighMillis   int64  `json:"highMillis"`
	Source       string `json:"source"`
	Samples      int    `json:"samples"`
	AgeMillis    int64  `json:"ageMillis"`
}

// Explain tells where a job would go if it were accepted now, and changes nothing. It knows no room that will be taken by units that precede the job.
func (a *Arranger) Explain(now time.Time, spec Job) Explanation {
	view, restore := a.view(now)
	defer restore()
	spec.Accepted = now
	if spec.Occurrences > 0 {
		// The first occurrence is explained as if it were due.
		spec.FirstDue = now
	}
	j := &job{Job: spec, state: Queued, stageByKey: map[[2]int]*stage{}, sequence: a.sequence + 1}
	j.criticalPath = criticalPathOf(j.Steps, j.declared)
	j.deadline = j.Accepted.Add(time.Duration(j.Policy.Stretch*float64(j.criticalPath)) + j.Policy.Objective)
	j.createNextOccurrence()
	view.markReadyStages(j, now)
	view.active = append(slices.Clone(a.active), j)
	ranks := view.ranks()
	units := view.units(now, ranks)
	if !view.startsHeld {
		view.readmitFor(now, units)
	}
	ps := view.newPass(now, ranks)
	e := Explanation{Exclusions: view.exclusions(now)}
	for i, u := range units {
		if u.stage.job == j {
			e.Steps = append(e.Steps, ps.explain(u, i))
		} else if u.stage.step.Gang && u.stage.wait.block == blockedByCapacity {
			ps.reserveForGang(u)
		}
	}
	slices.SortFunc(e.Steps, func(x, y StepExplanation) int { return x.Step - y.Step })
	return e
}

// view returns a copy of the arranger for one planning pass without orders, and the function that undoes what the pass changes in the jobs and workers that the
// copy shares. Ratings and estimates that have been computed are not updated.
func (a *Arranger) view(now time.Time) (*Arranger, func()) {
	v := *a
	v.options.Log = func(string, ...any) {}
	v.onSkip = nil
	v.speeds.changed = false
	v.runTimes = a.runTimes.View()
	v.awaitedReports = maps.Clone(a.awaitedReports)
	v.quarantineLimited = maps.Clone(a.quarantineLimited)
	candidates, readmitted := make([]*candidate, len(a.sortedWorkers)), make([]bool, len(a.sortedWorkers))
	for i, w := range a.sortedWorkers {
		candidates[i], readmitted[i] = w.candidate, w.health.readmitted
	}
	estimates, estimatedAt := make([]*jobEstimates, len(a.active)), make([]time.Time, len(a.active))
	for i, j := range a.active {
		if estimates[i] = j.estimates; j.estimates != nil {
			estimatedAt[i], j.estimates.at = j.estimates.at, now
		}
	}
	return &v, func() {
		for i, w := range a.sortedWorkers {
			w.candidate, w.health.readmitted = candidates[i], readmitted[i]
		}
		for i, j := range a.active {
			if j.estimates = estimates[i]; j.estimates != nil {
				j.estimates.at = estimatedAt[i]
			}
		}
	}
}

// explain tells where the unit would be placed by the pass, which is of no use for planning any more.
func (ps *pass) explain(u unit, preceding int) StepExplanation {
	s, a := u.stage, ps.arranger
	e := StepExplanation{Step: s.stepNumber, Tasks: len(s.tasks), Gang: s.step.Gang, Preceding: preceding, Rank: int(u.rank), Lateness: u.lateness.String()}
	if estimate := a.estimatesOf(ps.now, s.job).steps[s.stepNumber].Estimate; !s.step.LongRunning {
		e.Estimate = WorkTime{
			MedianMillis: estimate.Median.Milliseconds(), HighMillis: estimate.High.Milliseconds(), Source: string(estimate.Source), Samples: estimate.Samples,
			AgeMillis: estimate.Age.Milliseconds(),
		}
	}
	if a.startsHeld {
		e.Reason = string(waitZones)
		return e
	}
	if p := ps.partialPacking(u); p != nil {
		e.addPacking(ps, u, p)
	}
	if e.Placed < min(len(s.tasks), maxExplainedTasks) {
		reason, details := ps.explainBlock(s.wait.block.reason(), u)
		if reason == waitUnexplained && e.Placed > 0 {
			// What limits the tasks per worker counts runs only, not the tasks that were just placed.
			reason = waitCapacity
		}
		e.Reason, e.Details = string(reason), detailMap(details)
	}
	return e
}

// partialPacking returns the packing of as many tasks as find room, or nil if none does, and records why the others found none.
func (ps *pass) partialPacking(u unit) *packing {
	tasks := u.stage.tasks
	if u.stage.step.Gang {
		if ps.mustDeferStart(u) {
			return nil
		}
		return ps.packingOf(u, tasks)
	}
	tasks = tasks[:min(len(tasks), maxExplainedTasks)]
	limit := len(tasks)
	if u.rank > rankUrgent {
		limit = min(limit, max(0, maxPendingStarts-ps.pendingStarts))
	}
	if limit < len(tasks) {
		u.stage.wait.block = blockedByStarts
	}
	if limit == 0 {
		return nil
	}
	best := ps.packingOf(u, tasks[:limit])
	if best != nil {
		return best
	}
	sort.Search(limit-1, func(i int) bool {
		p := ps.packingOf(u, tasks[:i+1])
		if p != nil {
			best = p
		}
		return p == nil
	})
	return best
}

// packingOf returns the packing by which the unit's tasks would be placed, or nil, and records what kept them from it.
func (ps *pass) packingOf(u unit, tasks []*task) *packing {
	ps.acceptsSuspects, ps.avoided, ps.specific = false, false, false
	if ps.exceedsReserve(u, tasks) {
		u.stage.wait.block = blockedByReserve
		return nil
	}
	p := ps.cheapestPacking(u, tasks)
	if p == nil {
		u.stage.wait.block = blockedByCapacity
	}
	return p
}

// addPacking adds where and when the packed tasks start, and takes their capacity from the pass, since further steps of the job follow.
func (e *StepExplanation) addPacking(ps *pass, u unit, p *packing) {
	a, step := ps.arranger, u.stage.step
	e.Placed, e.Preempted, e.Claimed = len(p.candidates), len(p.victims), len(p.victims) > 0
	for _, stopped := range p.victims {
		if cand := stopped.worker.candidate; cand != nil {
			cand.freeAfterStops = cand.freeAfterStops.Add(stopped.task.stage.step.Need)
			cand.victims = slices.DeleteFunc(ps.victimsOf(cand), func(v victim) bool { return v.place == stopped })
		}
	}
	byWorker := map[string]*PlacedTasks{}
	racks := map[string]bool{}
	for _, cand := range p.candidates {
		w := cand.worker
		racks[w.Rack] = true
		if byWorker[w.ID] == nil {
			byWorker[w.ID] = &PlacedTasks{Worker: w.ID, Zone: w.Zone, Rack: w.Rack, Speed: cand.speed}
		}
		byWorker[w.ID].Tasks++
		cand.free, cand.freeAfterStops = cand.free.Sub(step.Need), cand.freeAfterStops.Sub(step.Need)
		cand.rack.free -= step.Need.Accelerators
		cand.startsLeft--
		e.Claimed = e.Claimed || !cand.free.Covers(Resources{})
		ps.free -= step.Need.Accelerators
	}
	ps.pendingStarts += len(p.candidates)
	e.Racks = slices.Sorted(maps.Keys(racks))
	for _, id := range slices.Sorted(maps.Keys(byWorker)) {
		if len(e.Workers) < maxExplainedWorkers {
			e.Workers = append(e.Workers, *byWorker[id])
		}
	}
	if step.LongRunning || e.Estimate.MedianMillis == 0 {
		return
	}
	f := Forecast{Start: ps.now}
	if e.Claimed {
		f.Start = ps.now.Add(a.options.StopTime)
	}
	spread := step.Gang && step.SameRack && len(racks) > 1
	for _, cand := range p.candidates {
		f.Slowdown = max(f.Slowdown, a.slowdownOn(step, cand.worker, spread))
	}
	estimate := a.estimatesOf(ps.now, u.stage.job).steps[u.stage.stepNumber].Estimate
	f.End, f.HighEnd = f.Start.Add(scale(estimate.Median, f.Slowdown)), f.Start.Add(scale(estimate.High, f.Slowdown))
	e.Forecast = &f
}

// detailMap converts the details of a log line, which alternate names and values.
func detailMap(details []any) map[string]any {
	m := make(map[string]any, len(details)/2)
	for i := 0; i+1 < len(details); i += 2 {
		m[fmt.Sprint(details[i])] = details[i+1]
	}
	return m
}
