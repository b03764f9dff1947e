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

// plainWorker is a worker as the baselines see it.
type plainWorker struct {
	info     scheduler.Worker
	capacity int
	occupied uint64
}

func (w *plainWorker) free() int { return w.capacity - bits.OnesCount64(w.occupied) }

// plainJob is a job as the baselines see it.
type plainJob struct {
	spec       scheduler.Job
	class      documenter.Class
	rank       int
	attempt    int
	sequence   int
	members    []scheduler.Member
	workers    []*plainWorker
	masks      []uint64
	started    time.Time
	borrowed   bool
	stopping   bool
	checkpoint bool
	failures   int
}

// plain holds what all baselines share: a fleet, a queue, and what to do when attempts end.
type plain struct {
	document  documenter.Document
	unit      int
	now       time.Time
	workers   []*plainWorker
	queue     []*plainJob
	running   []*plainJob
	jobs      map[string]*plainJob
	sequence  int
	storeAway bool
	decisions []scheduler.Decision
	// less orders the queue.
	less func(a, b *plainJob) int
	// schedule starts what the policy lets start.
	schedule func(p *plain)
}

func newPlain(d documenter.Document, less func(a, b *plainJob) int, schedule func(p *plain)) *plain {
	return &plain{document: d, unit: d.WorkerSize(), jobs: map[string]*plainJob{}, less: less, schedule: schedule}
}

func (p *plain) policy(name string) Policy {
	return Policy{Name: name, Apply: p.apply, NextTick: func() (time.Time, bool) { return time.Time{}, false }}
}

func (p *plain) apply(now time.Time, event scheduler.Event) []scheduler.Decision {
	p.now = now
	p.decisions = nil
	switch e := event.(type) {
	case scheduler.WorkerReported:
		p.join(e.Worker)
	case scheduler.WorkerLost:
		p.lose(e.ID)
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
		p.storeAway = e.Unavailable
	default:
		return nil
	}
	p.schedule(p)
	return p.decisions
}

func (p *plain) decide(d scheduler.Decision) { p.decisions = append(p.decisions, d) }

func (p *plain) join(info scheduler.Worker) {
	capacity := info.Accelerators
	if capacity == 0 {
		capacity = info.Slots
	}
	p.workers = append(p.workers, &plainWorker{info: info, capacity: capacity})
}

func (p *plain) submit(spec scheduler.Job) {
	class, rank, _ := p.document.Class(spec.Class)
	p.sequence++
	j := &plainJob{spec: spec, class: class, rank: rank, sequence: p.sequence}
	if spec.Shape.Validate(p.unit) != nil || !p.everFits(j) {
		p.decide(scheduler.Refused{ID: spec.ID, Reason: scheduler.Reason{Rule: scheduler.RuleImpossibleShape}})
		return
	}
	p.jobs[spec.ID] = j
	p.enqueue(j)
}

// everFits reports whether the fleet, were it idle, holds the job.
func (p *plain) everFits(j *plainJob) bool {
	members, each := j.spec.Shape.Members(p.unit)
	perRack := map[string]int{}
	for _, w := range p.workers {
		if p.fits(w, j) && w.capacity >= max(1, each) {
			perRack[w.info.Rack]++
			if perRack[w.info.Rack] >= members {
				return true
			}
		}
	}
	return false
}

func (p *plain) enqueue(j *plainJob) {
	at, _ := slices.BinarySearchFunc(p.queue, j, p.less)
	p.queue = slices.Insert(p.queue, at, j)
}

func (p *plain) cancel(id string) {
	j := p.jobs[id]
	if j == nil || len(j.members) > 0 {
		return
	}
	p.dequeue(j)
	p.end(j, scheduler.OutcomeCancelled)
}

func (p *plain) dequeue(j *plainJob) {
	p.queue = slices.DeleteFunc(p.queue, func(other *plainJob) bool { return other == j })
}

func (p *plain) end(j *plainJob, outcome scheduler.Outcome) {
	p.release(j)
	delete(p.jobs, j.spec.ID)
	p.decide(scheduler.Ended{ID: j.spec.ID, Outcome: outcome, Reason: scheduler.Reason{Rule: scheduler.RuleFinished}})
}

func (p *plain) release(j *plainJob) {
	for i, w := range j.workers {
		w.occupied &^= j.masks[i]
	}
	j.workers, j.masks, j.members = nil, nil, nil
	p.running = slices.DeleteFunc(p.running, func(other *plainJob) bool { return other == j })
}

func (p *plain) requeue(j *plainJob) {
	p.release(j)
	j.stopping = false
	p.decide(scheduler.Requeued{ID: j.spec.ID, Reason: scheduler.Reason{Rule: scheduler.RuleRetried}})
	p.enqueue(j)
}

func (p *plain) finish(e scheduler.AttemptFinished) {
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

func (p *plain) stopped(e scheduler.AttemptStopped) {
	if j := p.jobs[e.ID]; j != nil && j.attempt == e.Attempt {
		p.resume(j)
	}
}

func (p *plain) resume(j *plainJob) {
	if !j.class.Idempotent && !j.checkpoint && !j.stopping {
		p.end(j, scheduler.OutcomeUnknown)
		return
	}
	p.requeue(j)
}

func (p *plain) lose(id string) {
	for _, j := range slices.Clone(p.running) {
		if slices.ContainsFunc(j.workers, func(w *plainWorker) bool { return w.info.ID == id }) {
			p.resume(j)
		}
	}
	p.workers = slices.DeleteFunc(p.workers, func(w *plainWorker) bool { return w.info.ID == id })
}

func (p *plain) fits(w *plainWorker, j *plainJob) bool {
	return (j.spec.Shape.Accelerators == 0) == (w.info.Accelerators == 0)
}

// find returns workers for the job: the first that fit, or those that fit most tightly.
func (p *plain) find(j *plainJob, bestFit bool, allowed func(w *plainWorker) bool) []*plainWorker {
	members, each := j.spec.Shape.Members(p.unit)
	each = max(1, each)
	byRack := map[string][]*plainWorker{}
	var best []*plainWorker
	leftover := 0
	for _, w := range p.workers {
		if !p.fits(w, j) || w.free() < each || !allowed(w) {
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
		if best == nil || w.free()-each < leftover {
			best, leftover = byRack[key], w.free()-each
		}
	}
	if best == nil {
		return nil
	}
	return best[:members]
}

func anyWorker(*plainWorker) bool { return true }

// start takes the job off the queue and occupies the workers.
func (p *plain) start(j *plainJob, workers []*plainWorker) {
	_, each := j.spec.Shape.Members(p.unit)
	each = max(1, each)
	j.attempt++
	j.started = p.now
	for _, w := range workers {
		mask, member := take(w, each)
		j.workers = append(j.workers, w)
		j.masks = append(j.masks, mask)
		j.members = append(j.members, member)
	}
	p.dequeue(j)
	p.running = append(p.running, j)
	p.decide(scheduler.Started{
		Job: j.spec, Attempt: j.attempt, Members: j.members, Checkpoint: j.checkpoint,
		Reason: scheduler.Reason{Rule: scheduler.RuleLent},
	})
}

func take(w *plainWorker, count int) (uint64, scheduler.Member) {
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

// waitsForStore reports whether the job must be recorded before it starts while that cannot be done.
func (p *plain) waitsForStore(j *plainJob) bool { return p.storeAway && !j.class.Idempotent }

func byAge(a, b *plainJob) int {
	return cmp.Or(a.spec.Submitted.Compare(b.spec.Submitted), cmp.Compare(a.sequence, b.sequence))
}

func byClass(a, b *plainJob) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), byAge(a, b))
}

// FirstFit starts jobs in order of age on the first workers that fit; the oldest that does not fit holds up all others.
func FirstFit(d documenter.Document) Policy {
	return newPlain(d, byAge, func(p *plain) {
		for len(p.queue) > 0 {
			j := p.queue[0]
			workers := p.find(j, false, anyWorker)
			if workers == nil || p.waitsForStore(j) {
				return
			}
			p.start(j, workers)
		}
	}).policy("first-fit FIFO")
}

// Backfill starts jobs in order of class and age on the tightest workers; the first that does not fit gets a reservation, and later ones may start only if they are declared to be done before it.
func Backfill(d documenter.Document) Policy {
	return newPlain(d, byClass, func(p *plain) {
		var reserved map[*plainWorker]bool
		var ready time.Time
		failed := map[packer.Shape]bool{}
		for _, j := range slices.Clone(p.queue) {
			if p.waitsForStore(j) || (failed[j.spec.Shape] && reserved != nil) {
				continue
			}
			allowed := func(w *plainWorker) bool {
				return !reserved[w] || !p.now.Add(j.spec.DeclaredRunTime).After(ready)
			}
			if workers := p.find(j, true, allowed); workers != nil {
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

// reserve returns the workers that, by declared times, are clear for the job first, and when.
func (p *plain) reserve(j *plainJob) (map[*plainWorker]bool, time.Time) {
	members, each := j.spec.Shape.Members(p.unit)
	byWorker := map[*plainWorker][]*plainJob{}
	for _, r := range p.running {
		for _, w := range r.workers {
			byWorker[w] = append(byWorker[w], r)
		}
	}
	clearAt := map[*plainWorker]time.Time{}
	for _, w := range p.workers {
		if p.fits(w, j) {
			clearAt[w] = p.clearOf(w, each, byWorker[w])
		}
	}
	groups := map[string][]*plainWorker{}
	for _, w := range p.workers {
		if p.fits(w, j) && w.capacity >= each {
			groups[w.info.Zone+"/"+w.info.Rack] = append(groups[w.info.Zone+"/"+w.info.Rack], w)
		}
	}
	var best []*plainWorker
	var at time.Time
	for _, name := range sortedKeys(groups) {
		list := groups[name]
		if len(list) < members {
			continue
		}
		slices.SortStableFunc(list, func(a, b *plainWorker) int { return clearAt[a].Compare(clearAt[b]) })
		if best == nil || clearAt[list[members-1]].Before(at) {
			best, at = list[:members], clearAt[list[members-1]]
		}
	}
	reserved := map[*plainWorker]bool{}
	for _, w := range best {
		reserved[w] = true
	}
	return reserved, at
}

func sortedKeys(m map[string][]*plainWorker) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// clearOf returns when the worker has each accelerators free, by declared times.
func (p *plain) clearOf(w *plainWorker, each int, jobs []*plainJob) time.Time {
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
		if free >= each {
			break
		}
		free += e.count
		at = e.at
	}
	return at
}

// Quota gives each organisation its number of guaranteed accelerators without regard to their shape, lends what is free, and takes the youngest lent work back by number.
func Quota(d documenter.Document) Policy {
	quotas := map[string]int{}
	for _, o := range d.Organisations {
		for _, g := range o.Guarantees {
			quotas[o.Name] += g.Accelerators * g.Count
		}
	}
	return newPlain(d, byClass, func(p *plain) {
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
			if workers := p.find(j, true, anyWorker); workers != nil {
				j.borrowed = !within
				if within {
					used[j.spec.Organisation] += j.spec.Shape.Accelerators
				}
				p.start(j, workers)
				continue
			}
			failed[j.spec.Shape] = true
			if within {
				p.takeBack(j.spec.Shape.Accelerators)
			}
		}
	}).policy("quota by count")
}

// used returns the accelerators that each organisation uses on its own account.
func (p *plain) used() map[string]int {
	used := map[string]int{}
	for _, j := range p.running {
		if !j.borrowed {
			used[j.spec.Organisation] += j.spec.Shape.Accelerators
		}
	}
	return used
}

// takeBack stops the youngest lent jobs until as many accelerators are free or about to be.
func (p *plain) takeBack(need int) {
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
		p.decide(scheduler.Stopped{
			ID: j.spec.ID, Attempt: j.attempt, Members: j.members, Checkpoint: j.class.Checkpointable,
			Reason: scheduler.Reason{Rule: scheduler.RuleReclaimed},
		})
	}
}
