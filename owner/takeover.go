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
	// takeOverPause is the time between tries to read the open jobs.
	takeOverPause = 300 * time.Millisecond
)

// limbo is a job that may run on a worker that has not answered the new owner.
type limbo struct {
	record   recorder.Open
	version  int64
	statuses map[string]dispatcher.Status
}

// found is what the workers said of one job at a takeover.
type found struct {
	number   int
	members  []scheduler.Member
	statuses []dispatcher.Status
	wanted   int
}

// takeOver builds the state from the table and the workers; false if the context ended first.
//
// Attempts that run are adopted before any job may wait, so that nothing is placed
// where something runs. The first sync fences off earlier owners, so what a worker reports
// after it cannot be changed by them any more.
func (o *Owner) takeOver() bool {
	rows, ok := o.readOpen()
	if !ok {
		return false
	}
	vms := o.readList()
	statuses := o.firstSyncs(vms)
	if o.ctx.Err() != nil {
		return false
	}
	reported := gather(statuses)
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
	o.restoreFinished(records, versions, reported)
	ids := idsOf(rows, records)
	for _, id := range ids {
		if f := reported[id]; o.jobs[id] == nil && f.runs() {
			o.adopt(records[id], versions[id], o.traitsOf(records[id].Job.Class), f)
		}
	}
	for _, id := range ids {
		if o.jobs[id] == nil {
			o.restore(records[id], versions[id], reported[id], statuses)
		}
	}
	o.stopUnrecorded(records, statuses)
	if len(o.limbo) > 0 {
		o.spawn(o.leaveLimboLater)
	}
	o.options.Logger.Info("took over", "epoch", o.options.Epoch, "open", len(rows), "workers", len(statuses), "limbo", len(o.limbo))
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

func (o *Owner) readOpen() ([]storer.Row, bool) {
	for {
		rows, err := o.options.Table.Range(o.ctx, recorder.PrefixOpen)
		if err == nil {
			return rows, true
		}
		if o.ctx.Err() != nil {
			return nil, false
		}
		o.options.Logger.Warn("open jobs not readable", "error", err)
		sleeper.Sleep(o.ctx, takeOverPause)
	}
}

func (o *Owner) readList() []lister.VM {
	ctx, cancel := context.WithTimeout(o.ctx, firstSyncTimeout)
	defer cancel()
	vms, err := o.options.List(ctx)
	if err != nil {
		o.options.Logger.Warn("VM list not readable", "error", err)
	}
	return vms
}

// firstSyncs asks all workers what they run; those that do not answer in time are missing from the result.
func (o *Owner) firstSyncs(vms []lister.VM) map[string]dispatcher.SyncResponse {
	ctx, cancel := context.WithTimeout(o.ctx, firstSyncTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := map[string]dispatcher.SyncResponse{}
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
			answers[vm.ID] = response
		})
	}
	group.Wait()
	for _, vm := range vms {
		if vm.Role == lister.RoleWorker {
			o.restoreWorker(vm, answers)
		}
	}
	return answers
}

func (o *Owner) restoreWorker(vm lister.VM, answers map[string]dispatcher.SyncResponse) {
	response, ok := answers[vm.ID]
	if !ok {
		o.addWatch(vm, nil).listed = vm.Leaving
		return
	}
	w := o.addWatch(vm, &response)
	w.listed = vm.Leaving
	w.leaving = response.Leaving || vm.Leaving
	o.apply(scheduler.WorkerReported{Worker: o.describe(w, response), Leaving: w.leaving})
}

// gather sorts the workers' tasks by job, keeping only the latest attempt of each.
func gather(answers map[string]dispatcher.SyncResponse) map[string]*found {
	byJob := map[string]*found{}
	for worker, response := range answers {
		for _, s := range response.Tasks {
			if s.Attempt.Direct != "" || s.State == dispatcher.StateNeverStarted {
				continue
			}
			f := byJob[s.Attempt.Job]
			if f == nil || f.number < s.Attempt.Number {
				f = &found{number: s.Attempt.Number, wanted: s.Task.Members}
				byJob[s.Attempt.Job] = f
			}
			if f.number == s.Attempt.Number {
				f.members = append(f.members, scheduler.Member{Worker: worker, Accelerators: s.Task.Accelerators})
				f.statuses = append(f.statuses, s)
			}
		}
	}
	for _, f := range byJob {
		f.sort()
	}
	return byJob
}

// sort puts the members in the order in which they were dispatched.
func (f *found) sort() {
	members := make([]scheduler.Member, len(f.members))
	statuses := make([]dispatcher.Status, len(f.statuses))
	if len(members) != f.wanted {
		return
	}
	for i, s := range f.statuses {
		members[s.Task.Member] = f.members[i]
		statuses[s.Task.Member] = s
	}
	f.members = members
	f.statuses = statuses
}

// attempts returns the attempt that was found, for its workers to forget once the table speaks for it.
func (f *found) attempts() []*attempt {
	if f == nil {
		return nil
	}
	return []*attempt{newAttempt(f.number, f.members)}
}

func (f *found) whole() bool { return f != nil && len(f.members) == f.wanted }

// runs reports whether every member runs or has succeeded.
func (f *found) runs() bool {
	return f.whole() && f.count(dispatcher.StateRunning)+f.count(dispatcher.StateSucceeded) == f.wanted
}

func (f *found) count(state dispatcher.State) int {
	n := 0
	for _, s := range f.statuses {
		if s.State == state {
			n++
		}
	}
	return n
}

// restoreFinished takes in attempts that have succeeded as a whole, so that their accelerators are free before others are adopted.
func (o *Owner) restoreFinished(records map[string]recorder.Open, versions map[string]int64, reported map[string]*found) {
	for id, record := range records {
		f := reported[id]
		if f.whole() && f.count(dispatcher.StateSucceeded) == f.wanted {
			o.finishFound(record, versions[id], f)
		}
	}
}

func (o *Owner) finishFound(record recorder.Open, version int64, f *found) {
	t := newTracked(record, o.traitsOf(record.Job.Class), version)
	t.attempt = newAttempt(f.number, f.members)
	copy(t.attempt.statuses, f.statuses)
	t.attempt.ended = true
	t.record.Members = f.members
	o.jobs[record.Job.ID] = t
	now := time.Now()
	reason := scheduler.Reason{Rule: scheduler.RuleFinished, Span: time.Duration(f.statuses[0].RunSeconds * float64(time.Second))}
	o.conclude(now, scheduler.Ended{ID: record.Job.ID, Outcome: scheduler.OutcomeSucceeded, Ran: scheduler.DidRun, Reason: reason})
}

// restore puts one open job where the table and the workers say it is.
func (o *Owner) restore(record recorder.Open, version int64, f *found, answers map[string]dispatcher.SyncResponse) {
	traits := o.traitsOf(record.Job.Class)
	if !traits.idempotent && record.Attempt > 0 {
		for _, m := range record.Members {
			if _, ok := answers[m.Worker]; !ok {
				o.enterLimbo(record, version, f)
				return
			}
		}
	}
	o.decideFate(record, version, traits, f)
}

func (o *Owner) adopt(record recorder.Open, version int64, traits classTraits, f *found) {
	t := newTracked(record, traits, version)
	t.attempt = newAttempt(f.number, f.members)
	t.record.Members = f.members
	t.record.Attempt = f.number
	t.startedAt = time.Now().Add(-time.Duration(f.statuses[0].RunSeconds * float64(time.Second)))
	copy(t.attempt.statuses, f.statuses)
	t.attempt.confirmed = true
	o.jobs[record.Job.ID] = t
	o.apply(scheduler.JobAdopted{
		Job:        record.Job,
		Attempt:    f.number,
		Members:    f.members,
		Started:    t.startedAt,
		Moves:      record.Moves,
		Checkpoint: record.Checkpoint,
	})
	o.resolve(record.Job.ID, t.attempt)
}

// decideFate deals with a job of which no whole attempt runs: it waits again, unless it may have run and must not run twice.
func (o *Owner) decideFate(record recorder.Open, version int64, traits classTraits, f *found) {
	o.stopFound(record.Job.ID, f)
	checkpoint := record.Checkpoint || (f.whole() && f.stoppedWhole())
	started := o.forgotten(record) || (f != nil && f.count(dispatcher.StateReserved) < len(f.statuses))
	o.options.Logger.Info("job found", "job", record.Job.ID, "attempt", record.Attempt, "epoch", o.options.Epoch, "started", started, "checkpoint", checkpoint)
	if traits.idempotent || checkpoint || !started {
		t := newTracked(record, traits, version)
		t.record.Checkpoint = checkpoint
		t.settled = f.attempts()
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
	o.endUnknown(record, version, traits, f)
}

// forgotten reports whether a worker of the recorded attempt has restarted since, so that it cannot affirm that nothing ran.
func (o *Owner) forgotten(record recorder.Open) bool {
	for _, m := range record.Members {
		w := o.watches[m.Worker]
		if w == nil || w.response.Worker.Incarnation != record.Incarnations[m.Worker] {
			return true
		}
	}
	return false
}

func (f *found) stoppedWhole() bool {
	saved := 0
	for _, s := range f.statuses {
		if s.Checkpoint || s.State == dispatcher.StateSucceeded {
			saved++
		}
	}
	return saved == f.wanted && f.count(dispatcher.StateSucceeded) < f.wanted
}

func (o *Owner) endUnknown(record recorder.Open, version int64, traits classTraits, f *found) {
	o.jobs[record.Job.ID] = newTracked(record, traits, version)
	o.jobs[record.Job.ID].settled = f.attempts()
	reason := scheduler.Reason{Rule: scheduler.RuleOutcomeUnknown}
	if len(record.Members) > 0 {
		reason.Worker = record.Members[0].Worker
	}
	o.conclude(time.Now(), scheduler.Ended{ID: record.Job.ID, Outcome: scheduler.OutcomeUnknown, Ran: scheduler.RanUnknown, Reason: reason})
}

// stopFound undoes what is left of an attempt: reservations, and members of a gang that is not whole.
func (o *Owner) stopFound(id string, f *found) {
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
				sleeper.Sleep(ctx, commandPause)
			}
		})
	}
}

// stopUnrecorded ends tasks of jobs that have no open row: they have been answered already.
func (o *Owner) stopUnrecorded(records map[string]recorder.Open, answers map[string]dispatcher.SyncResponse) {
	for worker, response := range answers {
		for _, s := range response.Tasks {
			if _, ok := records[s.Attempt.Job]; !ok {
				o.hearStray(worker, s)
			}
		}
	}
}

func (o *Owner) enterLimbo(record recorder.Open, version int64, f *found) {
	l := &limbo{record: record, version: version, statuses: map[string]dispatcher.Status{}}
	if f != nil {
		for i, m := range f.members {
			l.statuses[m.Worker] = f.statuses[i]
		}
	}
	o.limbo[record.Job.ID] = l
	o.jobs[record.Job.ID] = newTracked(record, o.traitsOf(record.Job.Class), version)
}

// leaveLimboLater decides about jobs in limbo once every lease from before the takeover has lapsed.
func (o *Owner) leaveLimboLater(ctx context.Context) {
	sleeper.Sleep(ctx, dispatcher.TaskLease+leaseMargin)
	o.post(func() { o.settleLimbo(func(*limbo) bool { return true }) })
}

// settleAnswered decides about jobs in limbo whose workers have all answered meanwhile.
func (o *Owner) settleAnswered() {
	o.settleLimbo(func(l *limbo) bool {
		for _, m := range l.record.Members {
			if w := o.watches[m.Worker]; w == nil || !w.seen {
				return false
			}
		}
		return true
	})
}

// settleLimbo decides about the jobs in limbo that are ripe, then lets their workers have new work.
func (o *Owner) settleLimbo(ripe func(l *limbo) bool) {
	for _, id := range slices.Sorted(maps.Keys(o.limbo)) {
		if l := o.limbo[id]; ripe(l) {
			delete(o.limbo, id)
			o.leaveLimbo(l)
		}
	}
	for _, w := range o.watches {
		if w.held && !o.inLimbo(w.vm.ID) {
			w.held = false
			o.seeLeaving(w)
		}
	}
}

// inLimbo reports whether a job in limbo may run on the worker.
func (o *Owner) inLimbo(worker string) bool {
	for _, l := range o.limbo {
		for _, m := range l.record.Members {
			if m.Worker == worker {
				return true
			}
		}
	}
	return false
}

func (o *Owner) leaveLimbo(l *limbo) {
	id := l.record.Job.ID
	if t := o.jobs[id]; t == nil || t.answer != nil {
		return
	}
	delete(o.jobs, id)
	f := &found{number: l.record.Attempt, wanted: len(l.record.Members)}
	affirmed := true
	for _, m := range l.record.Members {
		s, ok := l.statuses[m.Worker]
		w := o.watches[m.Worker]
		if !ok {
			affirmed = affirmed && w != nil && w.seen && !w.lost
			continue
		}
		if s.State != dispatcher.StateNeverStarted {
			f.members = append(f.members, m)
			f.statuses = append(f.statuses, s)
		}
	}
	traits := o.traitsOf(l.record.Job.Class)
	switch {
	case f.runs():
		o.adopt(l.record, l.version, traits, f)
	case !affirmed && !l.record.Checkpoint:
		o.stopFound(id, f)
		o.endUnknown(l.record, l.version, traits, f)
	default:
		o.decideFate(l.record, l.version, traits, f)
	}
}
