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
	// firstSyncTimeout limits the wait for the VM list, and then for the workers' first responses.
	firstSyncTimeout = 2 * time.Second
	// openJobsRetryInterval is the time between attempts to read the open jobs.
	openJobsRetryInterval = 300 * time.Millisecond
)

// inDoubt is a job that may be running on a worker that has not answered the new owner.
type inDoubt struct {
	record   recorder.OpenJob
	version  int64
	statuses map[string]dispatcher.Status
}

// reportedAttempt is the latest attempt of a job that workers reported at a takeover.
type reportedAttempt struct {
	number   int
	members  []scheduler.Member
	statuses []dispatcher.Status
	// size is the number of members that the attempt was dispatched with.
	size int
}

// takeOver restores the state from the table and the workers; it returns false if the context ended first.
//
// Running attempts are adopted before any job is queued, so that no job is placed on
// accelerators that are in use. The first sync fences off previous owners: they can
// no longer change what a worker reports from then on.
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
	records := map[string]recorder.OpenJob{}
	versions := map[string]int64{}
	for _, row := range rows {
		record, err := recorder.Decode[recorder.OpenJob](row)
		if err != nil {
			o.options.Logger.Error("cannot decode open job", "key", row.Key, "error", err)
			continue
		}
		records[record.Job.ID] = record
		versions[record.Job.ID] = row.Version
	}
	o.endSucceededJobs(records, versions, reported)
	ids := idsOf(rows, records)
	for _, id := range ids {
		if r := reported[id]; o.jobs[id] == nil && r.running() {
			o.adoptAttempt(records[id], versions[id], o.traitsOf(records[id].Job.Class), r)
		}
	}
	for _, id := range ids {
		if o.jobs[id] == nil {
			o.restoreJob(records[id], versions[id], reported[id], responses)
		}
	}
	o.stopOrphans(records, responses)
	if len(o.inDoubt) > 0 {
		o.spawn(o.resolveAfterLeaseExpiry)
	}
	o.options.Logger.Info("takeover complete", "epoch", o.options.Epoch, "open", len(rows), "workers", len(responses), "limbo", len(o.inDoubt))
	return true
}

// idsOf returns the IDs of the readable records, in the order of the rows.
func idsOf(rows []storer.Row, records map[string]recorder.OpenJob) []string {
	var ids []string
	for _, row := range rows {
		id := strings.TrimPrefix(row.Key, recorder.PrefixOpen)
		if _, ok := records[id]; ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// readOpenJobs reads the open rows, retrying until the table answers; it returns false if the context ended first.
func (o *Owner) readOpenJobs() ([]storer.Row, bool) {
	for {
		rows, err := o.options.Table.Range(o.ctx, recorder.PrefixOpen)
		if err == nil {
			return rows, true
		}
		if o.ctx.Err() != nil {
			return nil, false
		}
		o.options.Logger.Warn("cannot read open jobs; retrying", "error", err)
		sleeper.Sleep(o.ctx, openJobsRetryInterval)
	}
}

// readVMList returns the platform's VM list, or nil if it cannot be read in time.
func (o *Owner) readVMList() []lister.VM {
	ctx, cancel := context.WithTimeout(o.ctx, firstSyncTimeout)
	defer cancel()
	vms, err := o.options.List(ctx)
	if err != nil {
		o.options.Logger.Warn("cannot read VM list", "error", err)
	}
	return vms
}

// syncWorkers asks all workers in parallel what they run; the result lacks those that did not answer in time.
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

// restoreWorker starts to watch a worker and reports it to the scheduler if it has answered.
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

// latestAttempts groups the workers' tasks by job and keeps the latest attempt of each, without direct attempts and members that never started.
func latestAttempts(responses map[string]dispatcher.SyncResponse) map[string]*reportedAttempt {
	byJob := map[string]*reportedAttempt{}
	for worker, response := range responses {
		for _, s := range response.Tasks {
			if s.Attempt.Direct != "" || s.State == dispatcher.StateNeverStarted {
				continue
			}
			r := byJob[s.Attempt.Job]
			if r == nil || r.number < s.Attempt.Number {
				r = &reportedAttempt{number: s.Attempt.Number, size: s.Task.Members}
				byJob[s.Attempt.Job] = r
			}
			if r.number == s.Attempt.Number {
				r.members = append(r.members, scheduler.Member{Worker: worker, Accelerators: s.Task.Accelerators})
				r.statuses = append(r.statuses, s)
			}
		}
	}
	for _, r := range byJob {
		r.sortMembers()
	}
	return byJob
}

// sortMembers restores the order in which the members were dispatched, if all of them were reported.
func (r *reportedAttempt) sortMembers() {
	members := make([]scheduler.Member, len(r.members))
	statuses := make([]dispatcher.Status, len(r.statuses))
	if len(members) != r.size {
		return
	}
	for i, s := range r.statuses {
		members[s.Task.Member] = r.members[i]
		statuses[s.Task.Member] = s
	}
	r.members = members
	r.statuses = statuses
}

// asRetired returns the attempt as an entry of jobState.retired; its workers remember it until the next attempt or the answer is recorded.
func (r *reportedAttempt) asRetired() []*attempt {
	if r == nil {
		return nil
	}
	return []*attempt{newAttempt(r.number, r.members)}
}

// complete reports whether all members were reported.
func (r *reportedAttempt) complete() bool { return r != nil && len(r.members) == r.size }

// running reports whether every member is running or has succeeded.
func (r *reportedAttempt) running() bool {
	return r.complete() && r.count(dispatcher.StateRunning)+r.count(dispatcher.StateSucceeded) == r.size
}

func (r *reportedAttempt) count(state dispatcher.State) int {
	n := 0
	for _, s := range r.statuses {
		if s.State == state {
			n++
		}
	}
	return n
}

// endSucceededJobs ends the jobs of which all members have succeeded, so that their accelerators are free before other attempts are adopted.
func (o *Owner) endSucceededJobs(records map[string]recorder.OpenJob, versions map[string]int64, reported map[string]*reportedAttempt) {
	for id, record := range records {
		r := reported[id]
		if r.complete() && r.count(dispatcher.StateSucceeded) == r.size {
			o.endSucceeded(record, versions[id], r)
		}
	}
}

func (o *Owner) endSucceeded(record recorder.OpenJob, version int64, r *reportedAttempt) {
	t := newJobState(record, o.traitsOf(record.Job.Class), version)
	t.attempt = newAttempt(r.number, r.members)
	copy(t.attempt.statuses, r.statuses)
	t.attempt.ended = true
	t.record.Members = r.members
	o.jobs[record.Job.ID] = t
	now := time.Now()
	reason := scheduler.Reason{Rule: scheduler.RuleFinished, Span: time.Duration(r.statuses[0].RunSeconds * float64(time.Second))}
	o.endJob(now, scheduler.Ended{ID: record.Job.ID, Outcome: scheduler.OutcomeSucceeded, Ran: scheduler.DidRun, Reason: reason})
}

// restoreJob requeues or ends an open job that has no running attempt.
//
// A job that is not idempotent and has a recorded attempt stays in doubt while one
// of the attempt's workers has not answered.
func (o *Owner) restoreJob(record recorder.OpenJob, version int64, r *reportedAttempt, responses map[string]dispatcher.SyncResponse) {
	traits := o.traitsOf(record.Job.Class)
	if !traits.idempotent && record.Attempt > 0 {
		for _, m := range record.Members {
			if _, ok := responses[m.Worker]; !ok {
				o.addInDoubt(record, version, r)
				return
			}
		}
	}
	o.requeueOrEnd(record, version, traits, r)
}

// adoptAttempt takes over an attempt that is running on all its members.
func (o *Owner) adoptAttempt(record recorder.OpenJob, version int64, traits classTraits, r *reportedAttempt) {
	t := newJobState(record, traits, version)
	t.attempt = newAttempt(r.number, r.members)
	t.record.Members = r.members
	t.record.Attempt = r.number
	t.startedAt = time.Now().Add(-time.Duration(r.statuses[0].RunSeconds * float64(time.Second)))
	copy(t.attempt.statuses, r.statuses)
	t.attempt.startReported = true
	o.jobs[record.Job.ID] = t
	o.apply(scheduler.JobAdopted{
		Job:        record.Job,
		Attempt:    r.number,
		Members:    r.members,
		Started:    t.startedAt,
		Moves:      record.Moves,
		Checkpoint: record.Checkpoint,
	})
	o.evaluateAttempt(record.Job.ID, t.attempt)
}

// requeueOrEnd requeues a job that has no running attempt, or ends it if it may have started, must not run twice and has no checkpoint.
func (o *Owner) requeueOrEnd(record recorder.OpenJob, version int64, traits classTraits, r *reportedAttempt) {
	o.stopReported(record.Job.ID, r)
	checkpoint := record.Checkpoint || (r.complete() && r.stoppedAtCheckpoint())
	started := o.anyWorkerRestarted(record) || (r != nil && r.count(dispatcher.StateReserved) < len(r.statuses))
	o.options.Logger.Info("open job has no running attempt", "job", record.Job.ID, "attempt", record.Attempt, "epoch", o.options.Epoch, "started", started, "checkpoint", checkpoint)
	if traits.idempotent || checkpoint || !started {
		t := newJobState(record, traits, version)
		t.record.Checkpoint = checkpoint
		t.retired = r.asRetired()
		o.jobs[record.Job.ID] = t
		attempt := record.Attempt
		if r != nil {
			attempt = max(attempt, r.number)
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
	o.endOutcomeUnknown(record, version, traits, r)
}

// anyWorkerRestarted reports whether a worker of the recorded attempt is unknown or has restarted since, so that it cannot confirm that nothing ran.
func (o *Owner) anyWorkerRestarted(record recorder.OpenJob) bool {
	for _, m := range record.Members {
		w := o.watches[m.Worker]
		if w == nil || w.response.Worker.Incarnation != record.Incarnations[m.Worker] {
			return true
		}
	}
	return false
}

// stoppedAtCheckpoint reports whether every member has saved a checkpoint or succeeded, but not all have succeeded.
func (r *reportedAttempt) stoppedAtCheckpoint() bool {
	saved := 0
	for _, s := range r.statuses {
		if s.Checkpoint || s.State == dispatcher.StateSucceeded {
			saved++
		}
	}
	return saved == r.size && r.count(dispatcher.StateSucceeded) < r.size
}

// endOutcomeUnknown ends a job that may have run and must not run again.
func (o *Owner) endOutcomeUnknown(record recorder.OpenJob, version int64, traits classTraits, r *reportedAttempt) {
	o.jobs[record.Job.ID] = newJobState(record, traits, version)
	o.jobs[record.Job.ID].retired = r.asRetired()
	reason := scheduler.Reason{Rule: scheduler.RuleOutcomeUnknown}
	if len(record.Members) > 0 {
		reason.Worker = record.Members[0].Worker
	}
	o.endJob(time.Now(), scheduler.Ended{ID: record.Job.ID, Outcome: scheduler.OutcomeUnknown, Ran: scheduler.RanUnknown, Reason: reason})
}

// stopReported stops the remaining members of an attempt: reservations, and members of an incomplete gang.
func (o *Owner) stopReported(id string, r *reportedAttempt) {
	if r == nil {
		return
	}
	name := dispatcher.Attempt{Job: id, Number: r.number}
	for i, m := range r.members {
		if r.statuses[i].State.Final() {
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

// stopOrphans stops the tasks of jobs without an open row, which have been answered already.
func (o *Owner) stopOrphans(records map[string]recorder.OpenJob, responses map[string]dispatcher.SyncResponse) {
	for worker, response := range responses {
		for _, s := range response.Tasks {
			if _, ok := records[s.Attempt.Job]; !ok {
				o.handleOrphan(worker, s)
			}
		}
	}
}

// addInDoubt keeps a job in doubt until its workers have answered or their leases have expired.
func (o *Owner) addInDoubt(record recorder.OpenJob, version int64, r *reportedAttempt) {
	d := &inDoubt{record: record, version: version, statuses: map[string]dispatcher.Status{}}
	if r != nil {
		for i, m := range r.members {
			d.statuses[m.Worker] = r.statuses[i]
		}
	}
	o.inDoubt[record.Job.ID] = d
	o.jobs[record.Job.ID] = newJobState(record, o.traitsOf(record.Job.Class), version)
}

// resolveAfterLeaseExpiry resolves all in-doubt jobs once every lease granted before the takeover has expired.
func (o *Owner) resolveAfterLeaseExpiry(ctx context.Context) {
	sleeper.Sleep(ctx, dispatcher.TaskLease+leaseMargin)
	o.post(func() { o.resolveInDoubt(func(*inDoubt) bool { return true }) })
}

// resolveAnswered resolves the in-doubt jobs whose workers have all answered since the takeover.
func (o *Owner) resolveAnswered() {
	o.resolveInDoubt(func(d *inDoubt) bool {
		for _, m := range d.record.Members {
			if w := o.watches[m.Worker]; w == nil || !w.seen {
				return false
			}
		}
		return true
	})
}

// resolveInDoubt resolves the in-doubt jobs that are ready, then uncordons the workers that have none left.
func (o *Owner) resolveInDoubt(ready func(d *inDoubt) bool) {
	for _, id := range slices.Sorted(maps.Keys(o.inDoubt)) {
		if d := o.inDoubt[id]; ready(d) {
			delete(o.inDoubt, id)
			o.resolveInDoubtJob(d)
		}
	}
	for _, w := range o.watches {
		if w.cordoned && !o.hasInDoubtJob(w.vm.ID) {
			w.cordoned = false
			o.updateLeaving(w)
		}
	}
}

// hasInDoubtJob reports whether an in-doubt job may be running on the worker.
func (o *Owner) hasInDoubtJob(worker string) bool {
	for _, d := range o.inDoubt {
		for _, m := range d.record.Members {
			if m.Worker == worker {
				return true
			}
		}
	}
	return false
}

// resolveInDoubtJob adopts, requeues or ends an in-doubt job.
//
// A worker confirms that it runs no member of the job if it has answered without
// reporting one and is not lost.
func (o *Owner) resolveInDoubtJob(d *inDoubt) {
	id := d.record.Job.ID
	if t := o.jobs[id]; t == nil || t.answer != nil {
		return
	}
	delete(o.jobs, id)
	r := &reportedAttempt{number: d.record.Attempt, size: len(d.record.Members)}
	confirmed := true
	for _, m := range d.record.Members {
		s, ok := d.statuses[m.Worker]
		w := o.watches[m.Worker]
		if !ok {
			confirmed = confirmed && w != nil && w.seen && !w.lost
			continue
		}
		if s.State != dispatcher.StateNeverStarted {
			r.members = append(r.members, m)
			r.statuses = append(r.statuses, s)
		}
	}
	traits := o.traitsOf(d.record.Job.Class)
	switch {
	case r.running():
		o.adoptAttempt(d.record, d.version, traits, r)
	case !confirmed && !d.record.Checkpoint:
		o.stopReported(id, r)
		o.endOutcomeUnknown(d.record, d.version, traits, r)
	default:
		o.requeueOrEnd(d.record, d.version, traits, r)
	}
}
