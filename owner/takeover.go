package owner

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/storer"
)

const (
	// firstSyncTimeout bounds how long a takeover waits for a worker's first answer.
	firstSyncTimeout = 2 * time.Second
	// openJobsRetryInterval is the time between tries to read the open jobs.
	openJobsRetryInterval = 300 * time.Millisecond
)

// inDoubt is a job that may run on a worker that has not answered the new owner.
type inDoubt struct {
	record   recorder.Open
	version  int64
	statuses map[string]dispatcher.Status
}

// reportedAttempt is what the workers said of one job at a takeover.
type reportedAttempt struct {
	number   int
	members  []scheduler.Member
	statuses []dispatcher.Status
	size     int
}

// takeOver builds the state from the table and the workers; false if the context ended first.
//
// Attempts that run are adopted before any job may wait, so that nothing is placed
// where something runs. The first sync fences off earlier owners, so what a worker reports
// after it cannot be changed by them any more.
func (o *Owner) takeOver() bool {
	rows, ok := o.readOpenJobs()
	if !ok {
		return false
	}
	vms := o.readVMList()
	responses := o.syncWorkers(vms)
	if o.ctx.Err() != nil {
		return false
	}
	reported := latestAttempts(responses)
	records := map[string]recorder.Open{}
	versions := map[string]int64{}
	for _, row := range rows {
		record, err := recorder.Decode[recorder.Open](row)
		if err != nil {
			o.options.Logger.Error("open job not readable", "key", row.Key, "error", err)
			continue
		}
		records[record.Job.ID] = record
		versions[record.Job.ID] = row.Version
	}
	o.endSucceededJobs(records, versions, reported)
	ids := idsOf(rows, records)
	for _, id := range ids {
		if f := reported[id]; o.jobs[id] == nil && f.running() {
			o.adoptAttempt(records[id], versions[id], o.traitsOf(records[id].Job.Class), f)
		}
	}
	for _, id := range ids {
		if o.jobs[id] == nil {
			o.restoreJob(records[id], versions[id], reported[id], responses)
		}
	}
	o.stopOrphans(records, responses)
	if len(o.inDoubt) > 0 {
		o.spawn(o.decideAfterLeaseExpiry)
	}
	o.options.Logger.Info("took over", "epoch", o.options.Epoch, "open", len(rows), "workers", len(responses), "limbo", len(o.inDoubt))
	return true
}

// idsOf returns the IDs of the readable records, in the order of the rows.
func idsOf(rows []storer.Row, records map[string]recorder.Open) []string {
	var ids []string
	for _, row := range rows {
		id := strings.TrimPrefix(row.Key, recorder.PrefixOpen)
		if _, ok := records[id]; ok {
			ids = append(ids, id)
		}
	}
	return ids
}

func (o *Owner) readOpenJobs() ([]storer.Row, bool) {
	for {
		rows, err := o.options.Table.Range(o.ctx, recorder.PrefixOpen)
		if err == nil {
			return rows, true
		}
		if o.ctx.Err() != nil {
			return nil, false
		}
		o.options.Logger.Warn("open jobs not readable", "error", err)
		sleeper.Sleep(o.ctx, openJobsRetryInterval)
	}
}

func (o *Owner) readVMList() []lister.VM {
	ctx, cancel := context.WithTimeout(o.ctx, firstSyncTimeout)
	defer cancel()
	vms, err := o.options.List(ctx)
	if err != nil {
		o.options.Logger.Warn("VM list not readable", "error", err)
	}
	return vms
}

// syncWorkers asks all workers what they run; those that do not answer in time are missing from the result.
func (o *Owner) syncWorkers(vms []lister.VM) map[string]dispatcher.SyncResponse {
	ctx, cancel := context.WithTimeout(o.ctx, firstSyncTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	responses := map[string]dispatcher.SyncResponse{}
	for _, vm := range vms {
		if vm.Role != lister.RoleWorker {
			continue
		}
		group.Go(func() {
			response, err := o.options.Workers.Sync(ctx, vm.Address, dispatcher.SyncRequest{
				Epoch:        o.options.Epoch,
				LeaseSeconds: int(dispatcher.TaskLease.Seconds()),
			})
			o.checkEpoch(err)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses[vm.ID] = response
		})
	}
	group.Wait()
	for _, vm := range vms {
		if vm.Role == lister.RoleWorker {
			o.restoreWorker(vm, responses)
		}
	}
	return responses
}

func (o *Owner) restoreWorker(vm lister.VM, responses map[string]dispatcher.SyncResponse) {
	response, ok := responses[vm.ID]
	if !ok {
		o.addWatch(vm, nil).listed = vm.Leaving
		return
	}
	w := o.addWatch(vm, &response)
	w.listed = vm.Leaving
	w.leaving = response.Leaving || vm.Leaving
	o.apply(scheduler.WorkerReported{Worker: o.workerInfo(w, response), Leaving: w.leaving})
}

// latestAttempts sorts the workers' tasks by job, keeping only the latest attempt of each.
func latestAttempts(responses map[string]dispatcher.SyncResponse) map[string]*reportedAttempt {
	byJob := map[string]*reportedAttempt{}
	for worker, response := range responses {
		for _, s := range response.Tasks {
			if s.Attempt.Direct != "" || s.State == dispatcher.StateNeverStarted {
				continue
			}
			f := byJob[s.Attempt.Job]
			if f == nil || f.number < s.Attempt.Number {
				f = &reportedAttempt{number: s.Attempt.Number, size: s.Task.Members}
				byJob[s.Attempt.Job] = f
			}
			if f.number == s.Attempt.Number {
				f.members = append(f.members, scheduler.Member{Worker: worker, Accelerators: s.Task.Accelerators})
				f.statuses = append(f.statuses, s)
			}
		}
	}
	for _, f := range byJob {
		f.sortMembers()
	}
	return byJob
}

// sortMembers puts the members in the order in which they were dispatched.
func (f *reportedAttempt) sortMembers() {
	members := make([]scheduler.Member, len(f.members))
	statuses := make([]dispatcher.Status, len(f.statuses))
	if len(members) != f.size {
		return
	}
	for i, s := range f.statuses {
		members[s.Task.Member] = f.members[i]
		statuses[s.Task.Member] = s
	}
	f.members = members
	f.statuses = statuses
}

// asRetired returns the attempt that was found, for its workers to forget once the table speaks for it.
func (f *reportedAttempt) asRetired() []*attempt {
	if f == nil {
		return nil
	}
	return []*attempt{newAttempt(f.number, f.members)}
}

func (f *reportedAttempt) complete() bool { return f != nil && len(f.members) == f.size }

// running reports whether every member running or has succeeded.
func (f *reportedAttempt) running() bool {
	return f.complete() && f.count(dispatcher.StateRunning)+f.count(dispatcher.StateSucceeded) == f.size
}

func (f *reportedAttempt) count(state dispatcher.State) int {
	n := 0
	for _, s := range f.statuses {
		if s.State == state {
			n++
		}
	}
	return n
}

// endSucceededJobs takes in attempts that have succeeded as a whole, so that their accelerators are free before others are adopted.
func (o *Owner) endSucceededJobs(records map[string]recorder.Open, versions map[string]int64, reported map[string]*reportedAttempt) {
	for id, record := range records {
		f := reported[id]
		if f.complete() && f.count(dispatcher.StateSucceeded) == f.size {
			o.endSucceeded(record, versions[id], f)
		}
	}
}

func (o *Owner) endSucceeded(record recorder.Open, version int64, f *reportedAttempt) {
	t := newJobState(record, o.traitsOf(record.Job.Class), version)
	t.attempt = newAttempt(f.number, f.members)
	copy(t.attempt.statuses, f.statuses)
	t.attempt.ended = true
	t.record.Members = f.members
	o.jobs[record.Job.ID] = t
	now := time.Now()
	reason := scheduler.Reason{Rule: scheduler.RuleFinished, Span: time.Duration(f.statuses[0].RunSeconds * float64(time.Second))}
	o.endJob(now, scheduler.Ended{ID: record.Job.ID, Outcome: scheduler.OutcomeSucceeded, Ran: scheduler.DidRun, Reason: reason})
}

// restoreJob puts one open job where the table and the workers say it is.
func (o *Owner) restoreJob(record recorder.Open, version int64, f *reportedAttempt, responses map[string]dispatcher.SyncResponse) {
	traits := o.traitsOf(record.Job.Class)
	if !traits.idempotent && record.Attempt > 0 {
		for _, m := range record.Members {
			if _, ok := responses[m.Worker]; !ok {
				o.addInDoubt(record, version, f)
				return
			}
		}
	}
	o.requeueOrEnd(record, version, traits, f)
}

func (o *Owner) adoptAttempt(record recorder.Open, version int64, traits classTraits, f *reportedAttempt) {
	t := newJobState(record, traits, version)
	t.attempt = newAttempt(f.number, f.members)
	t.record.Members = f.members
	t.record.Attempt = f.number
	t.startedAt = time.Now().Add(-time.Duration(f.statuses[0].RunSeconds * float64(time.Second)))
	copy(t.attempt.statuses, f.statuses)
	t.attempt.startReported = true
	o.jobs[record.Job.ID] = t
	o.apply(scheduler.JobAdopted{
		Job:        record.Job,
		Attempt:    f.number,
		Members:    f.members,
		Started:    t.startedAt,
		Moves:      record.Moves,
		Checkpoint: record.Checkpoint,
	})
	o.evaluateAttempt(record.Job.ID, t.attempt)
}

// requeueOrEnd deals with a job of which no whole attempt runs: it waits again, unless it may have run and must not run twice.
func (o *Owner) requeueOrEnd(record recorder.Open, version int64, traits classTraits, f *reportedAttempt) {
	o.stopReported(record.Job.ID, f)
	checkpoint := record.Checkpoint || (f.complete() && f.stoppedAtCheckpoint())
	started := o.anyWorkerRestarted(record) || (f != nil && f.count(dispatcher.StateReserved) < len(f.statuses))
	o.options.Logger.Info("job found", "job", record.Job.ID, "attempt", record.Attempt, "epoch", o.options.Epoch, "started", started, "checkpoint", checkpoint)
	if traits.idempotent || checkpoint || !started {
		t := newJobState(record, traits, version)
		t.record.Checkpoint = checkpoint
		t.retired = f.asRetired()
		o.jobs[record.Job.ID] = t
		attempt := record.Attempt
		if f != nil {
			attempt = max(attempt, f.number)
		}
		o.apply(scheduler.JobSubmitted{
			Job:        record.Job,
			Restored:   true,
			Attempt:    attempt,
			Moves:      record.Moves,
			Checkpoint: checkpoint,
			MayHaveRun: traits.idempotent,
		})
		return
	}
	o.endOutcomeUnknown(record, version, traits, f)
}

// anyWorkerRestarted reports whether a worker of the recorded attempt has restarted since, so that it cannot affirm that nothing ran.
func (o *Owner) anyWorkerRestarted(record recorder.Open) bool {
	for _, m := range record.Members {
		w := o.watches[m.Worker]
		if w == nil || w.response.Worker.Incarnation != record.Incarnations[m.Worker] {
			return true
		}
	}
	return false
}

func (f *reportedAttempt) stoppedAtCheckpoint() bool {
	saved := 0
	for _, s := range f.statuses {
		if s.Checkpoint || s.State == dispatcher.StateSucceeded {
			saved++
		}
	}
	return saved == f.size && f.count(dispatcher.StateSucceeded) < f.size
}

func (o *Owner) endOutcomeUnknown(record recorder.Open, version int64, traits classTraits, f *reportedAttempt) {
	o.jobs[record.Job.ID] = newJobState(record, traits, version)
	o.jobs[record.Job.ID].retired = f.asRetired()
	reason := scheduler.Reason{Rule: scheduler.RuleOutcomeUnknown}
	if len(record.Members) > 0 {
		reason.Worker = record.Members[0].Worker
	}
	o.endJob(time.Now(), scheduler.Ended{ID: record.Job.ID, Outcome: scheduler.OutcomeUnknown, Ran: scheduler.RanUnknown, Reason: reason})
}

// stopReported undoes what is left of an attempt: reservations, and members of a gang that is not whole.
func (o *Owner) stopReported(id string, f *reportedAttempt) {
	if f == nil {
		return
	}
	name := dispatcher.Attempt{Job: id, Number: f.number}
	for i, m := range f.members {
		if f.statuses[i].State.Final() {
			continue
		}
		address := o.addressOf(m.Worker)
		o.spawn(func(ctx context.Context) {
			for ctx.Err() == nil {
				_, err := o.options.Workers.Stop(ctx, address, dispatcher.StopRequest{Epoch: o.options.Epoch, Attempt: name})
				o.checkEpoch(err)
				if err == nil {
					return
				}
				sleeper.Sleep(ctx, commandRetryInterval)
			}
		})
	}
}

// stopOrphans ends tasks of jobs that have no open row: they have been answered already.
func (o *Owner) stopOrphans(records map[string]recorder.Open, responses map[string]dispatcher.SyncResponse) {
	for worker, response := range responses {
		for _, s := range response.Tasks {
			if _, ok := records[s.Attempt.Job]; !ok {
				o.handleOrphan(worker, s)
			}
		}
	}
}

func (o *Owner) addInDoubt(record recorder.Open, version int64, f *reportedAttempt) {
	l := &inDoubt{record: record, version: version, statuses: map[string]dispatcher.Status{}}
	if f != nil {
		for i, m := range f.members {
			l.statuses[m.Worker] = f.statuses[i]
		}
	}
	o.inDoubt[record.Job.ID] = l
	o.jobs[record.Job.ID] = newJobState(record, o.traitsOf(record.Job.Class), version)
}

// decideAfterLeaseExpiry decides about jobs in limbo once every lease from before the takeover has lapsed.
func (o *Owner) decideAfterLeaseExpiry(ctx context.Context) {
	sleeper.Sleep(ctx, dispatcher.TaskLease+leaseMargin)
	o.post(func() { o.decideInDoubt(func(*inDoubt) bool { return true }) })
}

// decideAnswered decides about jobs in limbo whose workers have all answered meanwhile.
func (o *Owner) decideAnswered() {
	o.decideInDoubt(func(l *inDoubt) bool {
		for _, m := range l.record.Members {
			if w := o.watches[m.Worker]; w == nil || !w.seen {
				return false
			}
		}
		return true
	})
}

// decideInDoubt decides about the jobs in limbo that are ripe, then lets their workers have new work.
func (o *Owner) decideInDoubt(ready func(l *inDoubt) bool) {
	for _, id := range slices.Sorted(maps.Keys(o.inDoubt)) {
		if l := o.inDoubt[id]; ready(l) {
			delete(o.inDoubt, id)
			o.decideInDoubtJob(l)
		}
	}
	for _, w := range o.watches {
		if w.cordoned && !o.hasInDoubtJob(w.vm.ID) {
			w.cordoned = false
			o.updateLeaving(w)
		}
	}
}

// hasInDoubtJob reports whether a job in limbo may run on the worker.
func (o *Owner) hasInDoubtJob(worker string) bool {
	for _, l := range o.inDoubt {
		for _, m := range l.record.Members {
			if m.Worker == worker {
				return true
			}
		}
	}
	return false
}

func (o *Owner) decideInDoubtJob(l *inDoubt) {
	id := l.record.Job.ID
	if t := o.jobs[id]; t == nil || t.answer != nil {
		return
	}
	delete(o.jobs, id)
	f := &reportedAttempt{number: l.record.Attempt, size: len(l.record.Members)}
	confirmed := true
	for _, m := range l.record.Members {
		s, ok := l.statuses[m.Worker]
		w := o.watches[m.Worker]
		if !ok {
			confirmed = confirmed && w != nil && w.seen && !w.lost
			continue
		}
		if s.State != dispatcher.StateNeverStarted {
			f.members = append(f.members, m)
			f.statuses = append(f.statuses, s)
		}
	}
	traits := o.traitsOf(l.record.Job.Class)
	switch {
	case f.running():
		o.adoptAttempt(l.record, l.version, traits, f)
	case !confirmed && !l.record.Checkpoint:
		o.stopReported(id, f)
		o.endOutcomeUnknown(l.record, l.version, traits, f)
	default:
		o.requeueOrEnd(l.record, l.version, traits, f)
	}
}
