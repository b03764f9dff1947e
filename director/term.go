package director

import (
	"context"
	"sync"
	"time"

	"github.com/snipelift/snipelift/acceptor"
	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// workerLease is the lease given to what runs on a worker; it outlasts a change of the owner after a loss of all VMs.
	workerLease = 9 * time.Second
	// clockTolerance is how much slower than ours a worker's clock may run.
	clockTolerance = 1.02
	// lapseSlack covers the way of an order to a worker.
	lapseSlack = 400 * time.Millisecond
	// runsPerEpoch separates the run numbers of successive owners.
	runsPerEpoch = 1 << 20
	// planPause lets several changes be planned for together.
	planPause = 3 * time.Millisecond
	// planShare times the length of a plan is the pause before the next, so that plans take a fifth of the time at most.
	planShare = 4
	// planInterval is the longest time between two plans.
	planInterval = 150 * time.Millisecond
)

// term is one time as owner.
type term struct {
	*Director

	// base ends with the term.
	base    context.Context //nolint:containedctx // Sessions are opened by events, under the term's context.
	lease   registrar.Lease
	version int64
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	kick    chan struct{}

	mu       sync.Mutex
	arranger *arranger.Arranger
	sessions map[string]*session
	// listed are the workers that the platform's list names.
	listed map[string]platform.Worker
	// early is the version up to which an earlier owner may have read jobs.
	early int64
	// records hold what the progress rows of all known jobs need beside the arranger's state.
	records map[string]jobRecord
	writer  writer
	// advising is held while the advice service answers; it takes one question of a VM at a time.
	advising sync.Mutex
	view     *follower.Snapshot
	// policies are those of the configuration in force, by queue.
	policies map[string]arranger.Policy
	// succeedsItself tells that the earlier owner was a process of this VM, which has ended.
	succeedsItself bool
}

// jobRecord is what is kept of a job for its progress row.
type jobRecord struct {
	queue, organisation string
	ended               time.Time
}

func newTerm(d *Director, lease registrar.Lease, version int64, taken time.Duration) *term {
	t := &term{
		Director: d, lease: lease, version: version, early: version,
		kick: make(chan struct{}, 1), sessions: map[string]*session{}, listed: map[string]platform.Worker{}, records: map[string]jobRecord{},
	}
	t.arranger = arranger.New(arranger.Options{
		RunBase: lease.Epoch * runsPerEpoch, StopTime: d.Bounds.StopTime, RemoteFactor: d.Bounds.RemoteFactor,
		Log: func(message string, details ...any) { d.Logger.Info(message, append(details, "epoch", lease.Epoch)...) },
	})
	t.writer.init(version, taken)
	return t
}

// run is the owner until the lease is lost or the context ends.
func (t *term) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	t.base, t.cancel = ctx, cancel
	defer cancel()
	t.spawn(func() { t.write(ctx) })
	from, ok := t.load(ctx)
	if ok {
		t.spawn(func() { t.followJobs(ctx, from.jobs) })
		t.spawn(func() { t.followWorkers(ctx, from.workers) })
		t.spawn(func() { t.plan(ctx) })
		t.spawn(func() { t.clean(ctx) })
	}
	<-ctx.Done()
	t.tasks.Wait()
	if parent.Err() != nil {
		t.release()
	}
	t.Logger.Info("lease given up", "epoch", t.lease.Epoch)
}

func (t *term) spawn(f func()) {
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		f()
	}()
}

// wake asks for a new plan.
func (t *term) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// mayAct reports whether orders may be given: the lease was renewed not too long ago.
func (t *term) mayAct() bool { return t.now()-t.writer.renewedAt() < maxRenewalAge }

// expectWorkers lists the workers that an earlier owner may have given orders to.
func (t *term) expectWorkers(known, listed []platform.Row) {
	lapsed := time.Now().Add(t.lastLease())
	recorded := map[string]bool{}
	for _, row := range known {
		workers, err := registrar.Decode[[]registrar.KnownWorker](row)
		if err != nil {
			t.Logger.Error("list of workers unreadable", "key", row.Key, "error", err.Error())
		}
		t.writer.noteRecorded(row)
		for _, w := range workers {
			// One that is no longer listed gets no new work, but what it runs and has ended counts.
			info := arranger.Worker{ID: w.ID, Address: w.Address, Incarnation: w.Incarnation, Draining: true}
			recorded[w.ID] = true
			t.openSession(info)
			t.arranger.SetWorker(info)
		}
	}
	t.takeWorkerRows(listed)
	for id, s := range t.sessions {
		// A worker that came last may have been given orders before it was recorded; one that drains and is not recorded was left empty.
		if recorded[id] || !s.worker.Draining {
			t.arranger.ExpectReport(id, lapsed)
		}
	}
}

// lastLease returns how long after the start of this term a lease of an earlier owner may still run.
func (t *term) lastLease() time.Duration {
	acts := maxRenewalAge - leaseTimeout
	if t.succeedsItself || t.lease.Epoch == 1 {
		acts = 0
	}
	return time.Duration(float64(acts+workerLease)*clockTolerance) + lapseSlack
}

// takeJobRows takes in accepted jobs and wishes to cancel them.
func (t *term) takeJobRows(rows []platform.Row, recorded map[string]registrar.Progress) {
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
		j, err := registrar.Decode[registrar.Job](row)
		if err != nil {
			t.Logger.Error("job unreadable", "job", row.Key, "error", err.Error())
			continue
		}
		j.RowVersion = row.Version
		if policy, ok := t.policies[j.Queue]; ok {
			j.Policy = policy
		}
		p := recorded[j.ID]
		record := jobRecord{queue: j.Queue, organisation: j.Organisation}
		if p.EndedMillis > 0 {
			record.ended = time.UnixMilli(p.EndedMillis)
		}
		t.records[j.ID] = record
		t.arranger.AddJob(now, j.Job, p.Progress, row.Version <= t.early)
		t.Logger.Info("job taken in", "job", j.ID, "queue", j.Queue, "row", row.Version, "state", p.State, "age", now.Sub(j.Accepted).String())
	}
	for _, id := range cancelled {
		t.arranger.CancelJob(id)
	}
}

// takeConfig applies the configuration in force.
func (t *term) takeConfig() {
	view := t.Config.Current()
	if view == nil || (t.view != nil && t.view.Version == view.Version) {
		return
	}
	t.view = view
	guaranteed := map[string]int{}
	for _, o := range view.Organisations {
		guaranteed[o.Name] = o.Guaranteed
	}
	t.arranger.SetGuarantees(guaranteed)
	t.policies = make(map[string]arranger.Policy, len(view.Queues))
	for _, q := range view.Queues {
		t.policies[q.Name] = acceptor.PolicyOf(q)
	}
	t.arranger.SetPolicies(t.policies)
}

// plan decides and gives orders whenever something has changed.
func (t *term) plan(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	pause := planPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.kick:
			sleeper.Sleep(ctx, pause)
		case <-ticker.C:
		}
		if !t.mayAct() {
			continue
		}
		began := t.now()
		t.mu.Lock()
		t.takeConfig()
		t.arranger.Plan(time.Now())
		t.dispatch(ctx)
		t.mu.Unlock()
		pause = min(max(planPause, planShare*(t.now()-began)), planInterval)
	}
}
