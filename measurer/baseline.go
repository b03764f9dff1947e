package measurer

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
)

// baselineWorker is a worker in the state of a baseline policy; occupied has a bit for each accelerator or slot in use.
type baselineWorker struct {
	info     scheduler.Worker
	capacity int
	occupied uint64
}

func (w *baselineWorker) free() int { return w.capacity - bits.OnesCount64(w.occupied) }

// baselineJob is a job in the state of a baseline policy.
type baselineJob struct {
	spec       scheduler.Job
	class      documenter.Class
	rank       int
	attempt    int
	sequence   int
	members    []scheduler.Member
	workers    []*baselineWorker
	masks      []uint64
	started    time.Time
	borrowed   bool
	stopping   bool
	checkpoint bool
	failures   int
}

// baselinePolicy is the common part of all baseline policies: the fleet, the queue, and the handling of attempts that end.
type baselinePolicy struct {
	document         documenter.Document
	workerSize       int
	now              time.Time
	workers          []*baselineWorker
	queue            []*baselineJob
	running          []*baselineJob
	jobs             map[string]*baselineJob
	sequence         int
	storeUnavailable bool
	decisions        []scheduler.Decision
	// compare orders the queue.
	compare func(a, b *baselineJob) int
	// schedule starts the queued jobs that the policy allows.
	schedule func(p *baselinePolicy)
}

func newBaseline(d documenter.Document, compare func(a, b *baselineJob) int, schedule func(p *baselinePolicy)) *baselinePolicy {
	return &baselinePolicy{document: d, workerSize: d.WorkerSize(), jobs: map[string]*baselineJob{}, compare: compare, schedule: schedule}
}

func (p *baselinePolicy) policy(name string) Policy {
	return Policy{Name: name, Apply: p.apply, NextTick: func() (time.Time, bool) { return time.Time{}, false }}
}

func (p *baselinePolicy) apply(now time.Time, event scheduler.Event) []scheduler.Decision {
	p.now = now
	p.decisions = nil
	switch e := event.(type) {
	case scheduler.WorkerReported:
		p.addWorker(e.Worker)
	case scheduler.WorkerLost:
		p.removeWorker(e.ID)
	case scheduler.JobSubmitted:
		p.submit(e.Job)
	case scheduler.JobCancelled:
		p.cancel(e.ID)
	case scheduler.AttemptFinished:
		p.finish(e)
	case scheduler.AttemptCheckpointed:
		if j := p.jobs[e.ID]; j != nil {
			j.checkpoint = true
		}
	case scheduler.AttemptStopped:
		p.stopped(e)
	case scheduler.StoreChanged:
		p.storeUnavailable = e.Unavailable
	default:
		return nil
	}
	p.schedule(p)
	return p.decisions
}

func (p *baselinePolicy) emit(d scheduler.Decision) { p.decisions = append(p.decisions, d) }

func (p *baselinePolicy) addWorker(info scheduler.Worker) {
	capacity := info.Accelerators
	if capacity == 0 {
		capacity = info.Slots
	}
	p.workers = append(p.workers, &baselineWorker{info: info, capacity: capacity})
}

func (p *baselinePolicy) submit(spec scheduler.Job) {
	class, rank, _ := p.document.Class(spec.Class)
	p.sequence++
	j := &baselineJob{spec: spec, class: class, rank: rank, sequence: p.sequence}
	if spec.Shape.Validate(p.workerSize) != nil || !p.fitsIdleFleet(j) {
		p.emit(scheduler.Refused{ID: spec.ID, Reason: scheduler.Reason{Rule: scheduler.RuleImpossibleShape}})
		return
	}
	p.jobs[spec.ID] = j
	p.enqueue(j)
}

// fitsIdleFleet reports whether the job would fit if all workers were idle.
func (p *baselinePolicy) fitsIdleFleet(j *baselineJob) bool {
	members, perWorker := j.spec.Shape.Members(p.workerSize)
	perRack := map[string]int{}
	for _, w := range p.workers {
		if p.fits(w, j) && w.capacity >= max(1, perWorker) {
			perRack[w.info.Rack]++
			if perRack[w.info.Rack] >= members {
				return true
			}
		}
	}
	return false
}

func (p *baselinePolicy) enqueue(j *baselineJob) {
	at, _ := slices.BinarySearchFunc(p.queue, j, p.compare)
	p.queue = slices.Insert(p.queue, at, j)
}

func (p *baselinePolicy) cancel(id string) {
	j := p.jobs[id]
	if j == nil || len(j.members) > 0 {
		return
	}
	p.dequeue(j)
	p.end(j, scheduler.OutcomeCancelled)
}

func (p *baselinePolicy) dequeue(j *baselineJob) {
	p.queue = slices.DeleteFunc(p.queue, func(other *baselineJob) bool { return other == j })
}

func (p *baselinePolicy) end(j *baselineJob, outcome scheduler.Outcome) {
	p.release(j)
	delete(p.jobs, j.spec.ID)
	p.emit(scheduler.Ended{ID: j.spec.ID, Outcome: outcome, Reason: scheduler.Reason{Rule: scheduler.RuleFinished}})
}

func (p *baselinePolicy) release(j *baselineJob) {
	for i, w := range j.workers {
		w.occupied &^= j.masks[i]
	}
	j.workers, j.masks, j.members = nil, nil, nil
	p.running = slices.DeleteFunc(p.running, func(other *baselineJob) bool { return other == j })
}

func (p *baselinePolicy) requeue(j *baselineJob) {
	p.release(j)
	j.stopping = false
	p.emit(scheduler.Requeued{ID: j.spec.ID, Reason: scheduler.Reason{Rule: scheduler.RuleRetried}})
	p.enqueue(j)
}

func (p *baselinePolicy) finish(e scheduler.AttemptFinished) {
	j := p.jobs[e.ID]
	if j == nil || j.attempt != e.Attempt {
		return
	}
	if e.Outcome == scheduler.OutcomeSucceeded {
		p.end(j, e.Outcome)
		return
	}
	j.failures++
	if !j.class.Idempotent || j.failures > j.class.Limits.Retries {
		p.end(j, scheduler.OutcomeFailed)
		return
	}
	p.requeue(j)
}

func (p *baselinePolicy) stopped(e scheduler.AttemptStopped) {
	if j := p.jobs[e.ID]; j != nil && j.attempt == e.Attempt {
		p.requeueInterrupted(j)
	}
}

// requeueInterrupted requeues a job whose attempt was interrupted, or ends it with an unknown outcome if it is not safe to run again.
func (p *baselinePolicy) requeueInterrupted(j *baselineJob) {
	if !j.class.Idempotent && !j.checkpoint && !j.stopping {
		p.end(j, scheduler.OutcomeUnknown)
		return
	}
	p.requeue(j)
}

func (p *baselinePolicy) removeWorker(id string) {
	for _, j := range slices.Clone(p.running) {
		if slices.ContainsFunc(j.workers, func(w *baselineWorker) bool { return w.info.ID == id }) {
			p.requeueInterrupted(j)
		}
	}
	p.workers = slices.DeleteFunc(p.workers, func(w *baselineWorker) bool { return w.info.ID == id })
}

// fits reports whether the worker is of the kind that the job needs, with or without accelerators.
func (p *baselinePolicy) fits(w *baselineWorker, j *baselineJob) bool {
	return (j.spec.Shape.Accelerators == 0) == (w.info.Accelerators == 0)
}

// findWorkers returns workers for the job, the first fit or the best fit, or nil if there are none.
func (p *baselinePolicy) findWorkers(j *baselineJob, bestFit bool, allowed func(w *baselineWorker) bool) []*baselineWorker {
	members, perWorker := j.spec.Shape.Members(p.workerSize)
	perWorker = max(1, perWorker)
	byRack := map[string][]*baselineWorker{}
	var best []*baselineWorker
	leftover := 0
	for _, w := range p.workers {
		if !p.fits(w, j) || w.free() < perWorker || !allowed(w) {
			continue
		}
		key := w.info.ID
		if members > 1 {
			key = w.info.Zone + "/" + w.info.Rack
		}
		byRack[key] = append(byRack[key], w)
		if len(byRack[key]) != members {
			continue
		}
		if !bestFit {
			return byRack[key]
		}
		if best == nil || w.free()-perWorker < leftover {
			best, leftover = byRack[key], w.free()-perWorker
		}
	}
	if best == nil {
		return nil
	}
	return best[:members]
}

func anyWorker(*baselineWorker) bool { return true }

// start dequeues the job and starts an attempt on the workers.
func (p *baselinePolicy) start(j *baselineJob, workers []*baselineWorker) {
	_, perWorker := j.spec.Shape.Members(p.workerSize)
	perWorker = max(1, perWorker)
	j.attempt++
	j.started = p.now
	for _, w := range workers {
		mask, member := occupy(w, perWorker)
		j.workers = append(j.workers, w)
		j.masks = append(j.masks, mask)
		j.members = append(j.members, member)
	}
	p.dequeue(j)
	p.running = append(p.running, j)
	p.emit(scheduler.Started{
		Job: j.spec, Attempt: j.attempt, Members: j.members, Checkpoint: j.checkpoint,
		Reason: scheduler.Reason{Rule: scheduler.RuleLent},
	})
}

// occupy marks the first count free accelerators or slots of the worker as in use.
func occupy(w *baselineWorker, count int) (uint64, scheduler.Member) {
	var mask uint64
	member := scheduler.Member{Worker: w.info.ID}
	for i := 0; i < w.capacity && count > 0; i++ {
		if w.occupied&(1<<i) != 0 {
			continue
		}
		mask |= 1 << i
		count--
		if w.info.Accelerators > 0 {
			member.Accelerators = append(member.Accelerators, i)
		}
	}
	w.occupied |= mask
	return mask, member
}

// waitsForStore reports whether the job must be recorded before it starts and the store is unavailable.
func (p *baselinePolicy) waitsForStore(j *baselineJob) bool {
	return p.storeUnavailable && !j.class.Idempotent
}

// byAge orders jobs by submission time, and by sequence if that is equal.
func byAge(a, b *baselineJob) int {
	return cmp.Or(a.spec.Submitted.Compare(b.spec.Submitted), cmp.Compare(a.sequence, b.sequence))
}

// byClass orders jobs by the rank of their class, then by age.
func byClass(a, b *baselineJob) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), byAge(a, b))
}

// FirstFit returns a baseline policy that starts jobs in order of submission on the first workers that fit; a job that does not fit blocks all later ones.
func FirstFit(d documenter.Document) Policy {
	return newBaseline(d, byAge, func(p *baselinePolicy) {
		for len(p.queue) > 0 {
			j := p.queue[0]
			workers := p.findWorkers(j, false, anyWorker)
			if workers == nil || p.waitsForStore(j) {
				return
			}
			p.start(j, workers)
		}
	}).policy("first-fit FIFO")
}

// Backfill returns a baseline policy that starts jobs in order of class and submission by best fit. The first job that does not fit gets a reservation; later jobs may use the reserved workers only if, by their declared run time, they end no later than it starts.
func Backfill(d documenter.Document) Policy {
	return newBaseline(d, byClass, func(p *baselinePolicy) {
		var reserved map[*baselineWorker]bool
		var ready time.Time
		failed := map[packer.Shape]bool{}
		for _, j := range slices.Clone(p.queue) {
			if p.waitsForStore(j) || (failed[j.spec.Shape] && reserved != nil) {
				continue
			}
			allowed := func(w *baselineWorker) bool {
				return !reserved[w] || !p.now.Add(j.spec.DeclaredRunTime).After(ready)
			}
			if workers := p.findWorkers(j, true, allowed); workers != nil {
				p.start(j, workers)
				continue
			}
			failed[j.spec.Shape] = true
			if reserved == nil {
				reserved, ready = p.reserve(j)
			}
		}
	}).policy("backfill on declared times")
}

// reserve returns the workers that, by declared run times, are the first to have capacity for the job, and the time at which they have it.
func (p *baselinePolicy) reserve(j *baselineJob) (map[*baselineWorker]bool, time.Time) {
	members, perWorker := j.spec.Shape.Members(p.workerSize)
	byWorker := map[*baselineWorker][]*baselineJob{}
	for _, r := range p.running {
		for _, w := range r.workers {
			byWorker[w] = append(byWorker[w], r)
		}
	}
	freeTimes := map[*baselineWorker]time.Time{}
	for _, w := range p.workers {
		if p.fits(w, j) {
			freeTimes[w] = p.availableAt(w, perWorker, byWorker[w])
		}
	}
	groups := map[string][]*baselineWorker{}
	for _, w := range p.workers {
		if p.fits(w, j) && w.capacity >= perWorker {
			groups[w.info.Zone+"/"+w.info.Rack] = append(groups[w.info.Zone+"/"+w.info.Rack], w)
		}
	}
	var best []*baselineWorker
	var at time.Time
	for _, name := range sortedKeys(groups) {
		list := groups[name]
		if len(list) < members {
			continue
		}
		slices.SortStableFunc(list, func(a, b *baselineWorker) int { return freeTimes[a].Compare(freeTimes[b]) })
		if best == nil || freeTimes[list[members-1]].Before(at) {
			best, at = list[:members], freeTimes[list[members-1]]
		}
	}
	reserved := map[*baselineWorker]bool{}
	for _, w := range best {
		reserved[w] = true
	}
	return reserved, at
}

func sortedKeys(m map[string][]*baselineWorker) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// availableAt returns the time at which the worker has perWorker accelerators free, by the declared run times of its jobs.
func (p *baselinePolicy) availableAt(w *baselineWorker, perWorker int, jobs []*baselineJob) time.Time {
	type end struct {
		at    time.Time
		count int
	}
	var ends []end
	for _, j := range jobs {
		for i, other := range j.workers {
			if other == w {
				at := j.started.Add(j.spec.DeclaredRunTime)
				if at.Before(p.now) {
					at = p.now
				}
				ends = append(ends, end{at, bits.OnesCount64(j.masks[i])})
			}
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	free := w.free()
	at := p.now
	for _, e := range ends {
		if free >= perWorker {
			break
		}
		free += e.count
		at = e.at
	}
	return at
}

// Quota returns a baseline policy that grants each organisation its number of guaranteed accelerators regardless of shape, lends free ones, and reclaims by count, stopping the most recently started borrowers first.
func Quota(d documenter.Document) Policy {
	quotas := map[string]int{}
	for _, o := range d.Organisations {
		for _, g := range o.Guarantees {
			quotas[o.Name] += g.Accelerators * g.Count
		}
	}
	return newBaseline(d, byClass, func(p *baselinePolicy) {
		failed := map[packer.Shape]bool{}
		used := p.used()
		for _, j := range slices.Clone(p.queue) {
			if p.waitsForStore(j) || failed[j.spec.Shape] && j.spec.Shape.Accelerators == 0 {
				continue
			}
			within := used[j.spec.Organisation]+j.spec.Shape.Accelerators <= quotas[j.spec.Organisation]
			if !within && (!j.class.Borrows || failed[j.spec.Shape]) {
				continue
			}
			if workers := p.findWorkers(j, true, anyWorker); workers != nil {
				j.borrowed = !within
				if within {
					used[j.spec.Organisation] += j.spec.Shape.Accelerators
				}
				p.start(j, workers)
				continue
			}
			failed[j.spec.Shape] = true
			if within {
				p.reclaim(j.spec.Shape.Accelerators)
			}
		}
	}).policy("quota by count")
}

// used returns the number of accelerators that each organisation uses within its quota.
func (p *baselinePolicy) used() map[string]int {
	used := map[string]int{}
	for _, j := range p.running {
		if !j.borrowed {
			used[j.spec.Organisation] += j.spec.Shape.Accelerators
		}
	}
	return used
}

// reclaim stops borrowing jobs, the most recently started first, until the needed number of accelerators is free or being freed.
func (p *baselinePolicy) reclaim(need int) {
	for _, w := range p.workers {
		if w.info.Accelerators > 0 {
			need -= w.free()
		}
	}
	for _, j := range p.running {
		if j.stopping {
			need -= j.spec.Shape.Accelerators
		}
	}
	for i := len(p.running) - 1; i >= 0 && need > 0; i-- {
		j := p.running[i]
		if !j.borrowed || j.stopping {
			continue
		}
		j.stopping = true
		need -= j.spec.Shape.Accelerators
		p.emit(scheduler.Stopped{
			ID: j.spec.ID, Attempt: j.attempt, Members: j.members, Checkpoint: j.class.Checkpointable,
			Reason: scheduler.Reason{Rule: scheduler.RuleReclaimed},
		})
	}
}
