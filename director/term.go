package director

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipelift/snipelift/acceptor"
	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// workerLeaseDuration is the length of the leases granted to workers, counted from the owner's last renewal; it is longer than a change of owner
	// takes after the loss of all VMs.
	workerLeaseDuration = 9 * time.Second
	// promptLeaseDuration is the length of the leases while the owner renews its own lease in time, so that a worker is given up sooner. Once its last renewal is
	// lateRenewalAge old, the owner grants the longest leases, so that work outlasts an outage of the store.
	promptLeaseDuration = 8 * time.Second
	lateRenewalAge      = 2 * renewalInterval
	// clockDriftFactor is the factor by which a worker's clock may run slower than the local one.
	clockDriftFactor = 1.02
	// leaseExpiryMargin covers the transmission time of a request to a worker.
	leaseExpiryMargin = 400 * time.Millisecond
	// runsPerEpoch is the size of the range of run numbers of each epoch, so that successive owners use different numbers.
	runsPerEpoch = 1 << 20
	// planBatchDelay is the delay before a requested plan, so that one plan covers several changes.
	planBatchDelay = 3 * time.Millisecond
	// planPauseFactor times the duration of a plan is the pause before the next, so that planning takes at most a fifth of the time.
	planPauseFactor = 4
	// maxPlanInterval is the time after which a plan is made even if none was requested.
	maxPlanInterval = 150 * time.Millisecond
)

// term is a period during which this process is the owner, under one epoch of the lease.
type term struct {
	*Director

	// baseCtx ends with the term; it is the parent context of all sessions.
	baseCtx       context.Context //nolint:containedctx // Callers without a context open sessions as well.
	lease         registrar.Lease
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	planRequested chan struct{}
	// closing is closed when an owner that shuts down ends its writes, writesEnded when the write loop has ended.
	closing, writesEnded chan struct{}
	// announcement is the successor of an owner that shuts down, nil before one is chosen.
	announcement atomic.Pointer[announcement]
	// prefetch reads the stored state while the lease is acquired; nil if it is read afterwards only.
	prefetch *prefetch
	// handover measures the time without plans before this term; only the plan loop uses it after the start.
	handover handoverCost

	mu       sync.Mutex
	arranger *arranger.Arranger
	sessions map[string]*session
	// uncleared are the IDs of workers whose leases may still have a recorded end in the store.
	uncleared map[string]bool
	// lives are the latest known incarnations of the workers, by ID.
	lives map[string]life
	// listed are the workers on the platform's list, by ID.
	listed map[string]platform.Worker
	// inheritedVersion is the version of the store up to which a previous owner may have read jobs.
	inheritedVersion int64
	// records hold the data for the progress rows of all known jobs that the arranger does not keep.
	records map[string]jobRecord
	writer  writer
	// adviceMu is held during a call to the advice service, which accepts one request of a VM at a time.
	adviceMu sync.Mutex
	// snapshot is the configuration that was applied last.
	snapshot *follower.Snapshot
	// evacuation is the set of evacuated zones that was applied last, nil before the first time.
	evacuation *follower.Evacuation
	// startsHeld means that no start is sent, since it is not known which zones are evacuated.
	startsHeld bool
	// policies are those of the applied configuration, by queue.
	policies map[string]arranger.Policy
	// unsent are the starts that wait for the record of their workers, by job.
	unsent map[string][]unsentStart
	// recorded are the workers in the progress rows that this owner has written, by job.
	recorded map[string]recordedWorkers
	// mayNumber means that all entry VMs can read the numbered forms of progress, heldForForm are the jobs that are held until then.
	mayNumber   bool
	heldForForm map[string]bool
	formCheck   chan struct{}
	// inheritedExpiry is the local time at which all leases granted by previous owners have expired.
	inheritedExpiry time.Duration
	// loaded means that the state of the previous owner has been loaded.
	loaded bool
	// previous is the lease of the previous owner.
	previous registrar.Lease
	// acquiredAt is when this owner began to acquire the lease.
	acquiredAt time.Duration
	// restartedOwner means that the previous owner was an earlier process of this VM, which has ended, and firstOwner that there was none.
	restartedOwner, firstOwner bool
}

// jobRecord holds the data for the progress row of a job that the arranger does not keep.
type jobRecord struct {
	queue, organisation string
	endedAt             time.Time
	// form is the form in which the progress was recorded last, empty for the first one; numbered means that a previous owner used a numbered form.
	form     string
	numbered bool
}

func newTerm(d *Director, lease registrar.Lease, version int64, acquiredAt time.Duration) *term {
	t := &term{
		Director: d, lease: lease, inheritedVersion: version, acquiredAt: acquiredAt,
		planRequested: make(chan struct{}, 1), closing: make(chan struct{}), writesEnded: make(chan struct{}), handover: handoverCost{done: true}, sessions: map[string]*session{}, lives: map[string]life{}, uncleared: map[string]bool{}, listed: map[string]platform.Worker{}, records: map[string]jobRecord{},
		unsent: map[string][]unsentStart{}, recorded: map[string]recordedWorkers{}, heldForForm: map[string]bool{}, formCheck: make(chan struct{}, 1),
	}
	t.arranger = arranger.New(arranger.Options{
		RunBase: lease.Epoch * runsPerEpoch, WorkersRecorded: lease.WorkersRecorded, StopTime: d.Bounds.StopTime, RemoteFactor: d.Bounds.RemoteFactor,
		ColdOverage: d.Bounds.ColdOverage, ColdSlack: d.Bounds.ColdSlack,
		Log: func(message string, details ...any) { d.Logger.Info(message, append(details, "epoch", lease.Epoch)...) },
	})
	t.writer.init(version, acquiredAt)
	return t
}

// run acts as the owner until the lease is lost or the parent context ends; then it hands the lease over.
func (t *term) run(parent context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	t.baseCtx, t.cancel = ctx, cancel
	defer cancel()
	removeHook := t.Config.OnEvacuation(t.requestPlan)
	defer removeHook()
	t.spawn(func() { t.writeLoop(ctx) })
	// An owner that gets the signal to shut down while it loads the state goes on, since its successor awaits the lease only once that names it.
	limited := t.limitHandover(ctx, parent)
	versions, ok := t.load(limited)
	if ok {
		t.current.Store(t)
		defer t.current.Store(nil)
		t.spawn(func() { t.followJobs(ctx, versions.jobs) })
		t.spawn(func() { t.followWorkers(ctx, versions.workers) })
		t.spawn(func() { t.planLoop(ctx) })
		t.spawn(func() { t.cleanLoop(ctx) })
		t.spawn(func() { t.checkFormLoop(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-parent.Done():
		t.Logger.Info("owner shutting down", "epoch", t.lease.Epoch)
		if ok {
			t.handOver(limited)
		}
		// A write that is cut off has an unknown outcome, which the release would have to resolve first.
		close(t.closing)
		select {
		case <-t.writesEnded:
		case <-time.After(min(lastWriteTimeout, t.gracePeriod()/12)):
		}
	}
	lost := ctx.Err() != nil
	cancel()
	t.goroutines.Wait()
	if !lost {
		t.releaseLease()
	}
	t.Logger.Info("lease given up", "epoch", t.lease.Epoch)
}

// isClosing reports whether an owner that shuts down has ended its writes.
func (t *term) isClosing() bool {
	select {
	case <-t.closing:
		return true
	default:
		return false
	}
}

// spawn runs a function in a goroutine that the term waits for.
func (t *term) spawn(f func()) {
	t.goroutines.Add(1)
	go func() {
		defer t.goroutines.Done()
		f()
	}()
}

// requestPlan requests a new plan; requests made before it starts are merged.
func (t *term) requestPlan() {
	select {
	case t.planRequested <- struct{}{}:
	default:
	}
}

// maySendRequests reports whether the lease was renewed recently enough to send requests to workers.
func (t *term) maySendRequests() bool { return t.now()-t.writer.renewedAt() < maxRenewalAge }

// restoreWorkers opens sessions with the workers that a previous owner recorded and with those on the platform's list, and expects reports from all that may run tasks of a previous owner.
func (t *term) restoreWorkers(known platform.Page, listedRows []platform.Row) {
	t.inheritedExpiry = t.acquiredAt + t.maxInheritedLease()
	recorded := map[string]bool{}
	var speeds []platform.Row
	for _, row := range known.Rows {
		if row.Key == registrar.SpeedsKey {
			speeds = append(speeds, row)
			continue
		}
		if row.Key == registrar.RunTimesKey {
			t.restoreRunTimes(row)
			continue
		}
		workers, err := registrar.Decode[[]registrar.KnownWorker](row)
		if err != nil {
			t.Logger.Error("list of workers unreadable", "key", row.Key, "error", err.Error())
		}
		t.writer.setRecordedShard(row)
		for _, w := range workers {
			// A worker that is no longer listed gets no new tasks, but its running tasks and ended runs count.
			info := arranger.Worker{ID: w.ID, Address: w.Address, Incarnation: w.Incarnation, Draining: true}
			recorded[w.ID] = true
			t.openSession(info)
			t.sessions[w.ID].restoreLeaseEnd(time.Duration(w.LeaseEndMillis)*time.Millisecond, known.StoreTime)
			t.arranger.SetWorker(time.Now(), info)
		}
	}
	t.applyWorkerList(listedRows)
	for _, row := range speeds {
		t.restoreSpeeds(row)
	}
	for id, s := range t.sessions {
		// A new worker may have been sent tasks before it was recorded; a draining one without a record had been drained.
		if recorded[id] || !s.worker.Draining {
			t.arranger.ExpectReport(id, time.Now().Add(s.leasesExpire-t.now()))
		}
	}
}

// recordSilentWorkers records when the leases of silent workers end, for the next owner. The store's clock showed storeTime or
// less when a request was sent at sentAt; the caller holds the term's mutex.
func (t *term) recordSilentWorkers(sentAt, storeTime time.Duration) {
	if storeTime == 0 {
		return
	}
	for _, s := range t.sessions {
		if !s.silent() || s.leaseEnd != 0 || s.grantedAt >= sentAt {
			continue
		}
		s.leaseEnd = storeTime + max(0, s.leasesExpire-sentAt)
		t.Logger.Info("recording the end of a silent worker's leases", "worker", s.worker.ID, "failures", s.failures, "left", (s.leaseEnd - storeTime).String())
		t.markWorkerDirty(s.worker.ID)
	}
}

// confirmCleared notes the workers for which a written shard of the list of workers holds no end of leases; the caller holds the term's mutex.
func (t *term) confirmCleared(row platform.Row) {
	if len(t.uncleared) == 0 {
		return
	}
	workers, err := registrar.Decode[[]registrar.KnownWorker](row)
	if err != nil {
		t.Logger.Error("written list of workers unreadable", "key", row.Key, "error", err.Error())
		return
	}
	ended := map[string]bool{}
	for _, w := range workers {
		ended[w.ID] = w.LeaseEndMillis != 0
	}
	maps.DeleteFunc(t.uncleared, func(id string, _ bool) bool {
		return registrar.WorkerShardRow(registrar.WorkerShard(id)).Key == row.Key && !ended[id]
	})
}

// maxInheritedLease returns how long after the start of this term a lease granted by a previous owner may remain valid.
func (t *term) maxInheritedLease() time.Duration {
	// A previous owner grants leases until its last renewal is maxRenewalAge old, even if another VM has acquired its lease meanwhile.
	longest := maxRenewalAge - leaseTimeout + t.leaseDuration()
	switch {
	case t.restartedOwner || t.firstOwner:
		longest = t.leaseDuration()
	case t.previous.Incarnation == t.Incarnation:
		// This process acquired the lease before without a response, so that its row says nothing of the owner before.
	case t.previous.LeasesLimited && t.previous.Released:
		longest = min(longest, workerLeaseDuration)
	case t.previous.LeasesLimited:
		longest = min(longest, workerLeaseDuration-leaseTimeout)
	}
	return time.Duration(float64(longest)*clockDriftFactor) + leaseExpiryMargin
}

// grantDuration returns the length of a lease granted now: it ends at most workerLeaseDuration after the last renewal of the owner's own lease, so that the
// next owner knows when it has expired.
func (t *term) grantDuration() time.Duration {
	age := t.now() - t.writer.renewedAt()
	longest := min(t.leaseDuration(), workerLeaseDuration-age)
	if age < lateRenewalAge {
		return min(longest, promptLeaseDuration)
	}
	return longest
}

// leaseDuration returns the length of the leases granted to workers, which shorten longer ones.
func (t *term) leaseDuration() time.Duration { return min(workerLeaseDuration, t.Bounds.MaxLease) }

// applyJobRows adds accepted jobs, with their recorded progress, and applies cancellation requests; the caller holds the term's mutex.
func (t *term) applyJobRows(rows []platform.Row, recorded map[string]registrar.Progress) {
	now := time.Now()
	var cancelled []string
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		if id, ok := registrar.CancelledJobID(row.Key); ok {
			cancelled = append(cancelled, id)
			continue
		}
		if t.arranger.HasJob(row.Key) {
			continue
		}
		job, err := registrar.Decode[registrar.Job](row)
		if err != nil {
			t.Logger.Error("job unreadable", "job", row.Key, "error", err.Error())
			continue
		}
		if policy, ok := t.policies[job.Queue]; ok {
			job.Policy = policy
		}
		progress := recorded[job.ID]
		record := jobRecord{queue: job.Queue, organisation: job.Organisation, numbered: progress.DoneTasks != "" || progress.Counts != ""}
		if progress.EndedMillis > 0 {
			record.endedAt = time.UnixMilli(progress.EndedMillis)
		}
		t.records[job.ID] = record
		t.arranger.AddJob(now, job.Job, progress.Progress, row.Version <= t.inheritedVersion)
		t.Logger.Info("job taken in", "job", job.ID, "queue", job.Queue, "row", row.Version, "state", progress.State, "age", now.Sub(job.Accepted).String())
	}
	for _, id := range cancelled {
		t.arranger.CancelJob(id)
	}
}

// applyConfig applies the current configuration if it has changed; the caller holds the term's mutex.
func (t *term) applyConfig() {
	snapshot := t.Config.Current()
	if snapshot == nil || (t.snapshot != nil && t.snapshot.Version == snapshot.Version) {
		return
	}
	t.snapshot = snapshot
	guaranteed := map[string]int{}
	for _, o := range snapshot.Organisations {
		guaranteed[o.Name] = o.Guaranteed
	}
	t.arranger.SetGuarantees(guaranteed)
	t.policies = make(map[string]arranger.Policy, len(snapshot.Queues))
	for _, q := range snapshot.Queues {
		t.policies[q.Name] = acceptor.PolicyOf(q)
	}
	t.arranger.SetPolicies(t.policies)
	t.arranger.SetColdStarts(coldStarts(snapshot))
}

// planLoop makes a plan and sends its requests whenever one is requested, and every maxPlanInterval.
func (t *term) planLoop(ctx context.Context) {
	ticker := time.NewTicker(maxPlanInterval)
	defer ticker.Stop()
	pause := planBatchDelay
	watch := planWatch{logger: t.Logger, epoch: t.lease.Epoch}
	defer t.setGauges(arranger.Waits{}, arranger.Counts{})
	defer t.setEvacuatedZones(0)
	defer t.setForecastGauges(0, 0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.planRequested:
			sleeper.Sleep(ctx, pause)
		case <-ticker.C:
		}
		if !t.maySendRequests() {
			now := t.now()
			watch.hold(now, now-t.writer.renewedAt())
			continue
		}
		startedAt := t.now()
		t.mu.Lock()
		watch.begin(t.now())
		t.applyConfig()
		t.applyEvacuation()
		t.arranger.Plan(time.Now())
		t.dispatch(ctx)
		waits, counts := t.arranger.Waits(), t.arranger.Counts()
		t.noteFirstPlan()
		estimated, declared := t.arranger.RunTimes().ForecastErrors()
		t.mu.Unlock()
		t.setGauges(waits, counts)
		t.setForecastGauges(estimated, declared)
		if took := watch.end(t.now()); t.ObserveDuration != nil {
			t.ObserveDuration(planHistogram, took)
		}
		pause = min(max(planBatchDelay, planPauseFactor*(t.now()-startedAt)), maxPlanInterval)
	}
}

// noteFirstPlan reports the cost of the change of owner after the first plan for which a worker has reported; the caller holds the term's mutex.
func (t *term) noteFirstPlan() {
	if t.handover.done {
		return
	}
	reported := 0
	for _, s := range t.sessions {
		if s.responded {
			reported++
		}
	}
	if cost, first := t.handover.firstPlan(t.now(), reported, len(t.sessions)); first && t.SetGauge != nil {
		t.SetGauge("owner.handover.millis", cost.Milliseconds())
	}
}
