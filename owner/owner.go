package owner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/storer"
)

var (
	// ErrNotOwner means that this owner has ended or has not taken over yet; nothing was done.
	ErrNotOwner = errors.New("not the owner")
	// ErrKeyReused means that the idempotency key belongs to a different request.
	ErrKeyReused = errors.New("idempotency key was used for a different request")
	// ErrNoJob means that no job has this ID.
	ErrNoJob = errors.New("no such job")
)

// Options configure an Owner.
type Options struct {
	// Entry is the ID of the entry that this owner runs on.
	Entry string
	// Epoch is the epoch of the lease; workers and the table reject requests with an older one.
	Epoch    int64
	Document documenter.Document
	Table    storer.Table
	Objects  storer.Objects
	Workers  dispatcher.Client
	List     lister.List
	// MayHoldLease reports whether this entry holds the lease, or was its last holder and knows of no later one.
	MayHoldLease func() bool
	// OnSuperseded is called when a worker has rejected the epoch as stale, or an attempt was not sent because MayHoldLease returned false.
	OnSuperseded func()
	// Random returns numbers in [0, 1) for jitter.
	Random func() float64
	// NewID returns the ID of a write.
	NewID func() string
	// Checked makes the scheduler check its invariants after every event.
	Checked bool
	Logger  *slog.Logger
	Tracer  Tracer
}

// Owner serves as the owner of a service for one term, from acquiring the lease to losing or releasing it.
type Owner struct {
	options    Options
	inbox      chan func()
	ctx        context.Context //nolint:containedctx // The context of the term ends everything that was started during the term.
	cancel     context.CancelFunc
	ready      chan struct{}
	goroutines sync.WaitGroup

	// The fields below are used only by the takeover and the event loop, except for
	// addresses and writer, which are safe for concurrent use.
	scheduler *scheduler.Scheduler
	jobs      map[string]*jobState
	inFlight  map[string]*inFlight
	answers   *answerCache
	addresses sync.Map
	watches   map[string]*watch
	writer    *writer
	timer     *time.Timer
	counts    Counts
	inDoubt   map[string]*inDoubt
	events    []scheduler.Event
	applying  bool
}

// Counts are the numbers of decisions and job events in one term.
type Counts struct {
	Decisions int64
	Accepted  int64
	Refused   int64
	Started   int64
	Stopped   int64
	Ended     int64
}

const inboxSize = 1024

// New returns an Owner, which does nothing until Run is called.
func New(options Options) *Owner {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Owner{
		options:  options,
		inbox:    make(chan func(), inboxSize),
		ready:    make(chan struct{}),
		jobs:     map[string]*jobState{},
		inFlight: map[string]*inFlight{},
		answers:  newAnswerCache(answerCacheBytes),
		watches:  map[string]*watch{},
		inDoubt:  map[string]*inDoubt{},
	}
}

// Run takes over the service, then serves until the context ends; it returns after all its goroutines have ended.
func (o *Owner) Run(ctx context.Context) {
	o.ctx, o.cancel = context.WithCancel(ctx)
	defer o.cancel()
	o.writer = newWriter(o.options, o.storeChanged)
	o.spawn(o.writer.run)
	o.spawn(o.writer.probe)
	o.scheduler = scheduler.New(o.options.Document, scheduler.Options{
		Random:  o.options.Random,
		Checked: o.options.Checked,
	})
	if !o.takeOver() {
		o.goroutines.Wait()
		return
	}
	o.timer = time.NewTimer(0)
	defer o.timer.Stop()
	o.spawn(o.pollVMList)
	close(o.ready)
	o.loop()
	o.cancel()
	o.goroutines.Wait()
	o.wakeWaiters()
}

// loop is the event loop: it runs posted functions and the scheduler's timer one at a time.
func (o *Owner) loop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.inbox:
			f()
		case <-o.timer.C:
			o.apply(scheduler.Ticked{})
		}
	}
}

// spawn runs f in a goroutine; f must return when the owner's context ends.
func (o *Owner) spawn(f func(ctx context.Context)) {
	o.goroutines.Go(func() { f(o.ctx) })
}

// post queues f for the event loop; it returns false if the owner has ended.
func (o *Owner) post(f func()) bool {
	select {
	case o.inbox <- f:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// runInLoop runs f in the event loop and waits for it; it returns ErrNotOwner if the owner has ended, or if ctx ends before f is queued.
func (o *Owner) runInLoop(ctx context.Context, f func()) error {
	select {
	case <-o.ready:
	case <-ctx.Done():
		return fmt.Errorf("%w: taking over: %w", ErrNotOwner, ctx.Err())
	}
	done := make(chan struct{})
	wrapped := func() {
		defer close(done)
		f()
	}
	select {
	case o.inbox <- wrapped:
	case <-o.ctx.Done():
		return ErrNotOwner
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotOwner, ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-o.ctx.Done():
		return ErrNotOwner
	}
}

// apply passes an event to the scheduler and executes its decisions; events applied in the process are queued and follow in order.
func (o *Owner) apply(event scheduler.Event) {
	o.events = append(o.events, event)
	if o.applying {
		return
	}
	o.applying = true
	defer func() { o.applying = false }()
	now := time.Now()
	for len(o.events) > 0 {
		next := o.events[0]
		o.events = o.events[1:]
		for _, d := range o.scheduler.Apply(now, next) {
			o.counts.Decisions++
			o.execute(now, d)
		}
	}
	o.setTimer(now)
}

// setTimer sets the timer to the scheduler's next one.
func (o *Owner) setTimer(now time.Time) {
	if o.timer == nil {
		return
	}
	at, ok := o.scheduler.NextTimer()
	if !ok {
		return
	}
	o.timer.Reset(max(0, at.Sub(now)))
}

// execute carries out one decision of the scheduler.
func (o *Owner) execute(now time.Time, d scheduler.Decision) {
	switch d := d.(type) {
	case scheduler.Admitted:
		o.addNote(d.ID, now, d.Reason)
	case scheduler.Refused:
		o.counts.Refused++
	case scheduler.Started:
		o.counts.Started++
		o.addNote(d.Job.ID, now, d.Reason)
		o.startAttempt(now, d)
	case scheduler.Stopped:
		o.counts.Stopped++
		o.addNote(d.ID, now, d.Reason)
		o.stopAttempt(d)
	case scheduler.Requeued:
		o.addNote(d.ID, now, d.Reason)
		o.options.Logger.Info("job requeued", "job", d.ID, "epoch", o.options.Epoch, "why", d.Reason.Sentence())
		o.retireAttempt(d.ID)
		if t := o.jobs[d.ID]; t != nil {
			t.record.Moves = d.Moves
		}
	case scheduler.Ended:
		o.counts.Ended++
		o.addNote(d.ID, now, d.Reason)
		o.endJob(now, d)
	case scheduler.Throttled:
		o.throttle(d)
	case scheduler.WorkerChanged:
		o.options.Logger.Warn("worker changed", "worker", d.Worker, "usable", d.Usable, "why", d.Reason.Sentence())
	case scheduler.GuaranteeChanged:
		o.options.Logger.Warn("guarantee changed", "organisation", d.Organisation, "shape", d.Shape.String(), "missing", d.Missing, "why", d.Reason.Sentence())
	}
}

// addNote adds the reason of a decision to the notes of the job.
func (o *Owner) addNote(id string, now time.Time, reason scheduler.Reason) {
	if t := o.jobs[id]; t != nil {
		t.record.Notes = recorder.AddNote(t.record.Notes, now, reason)
	}
}

// storeChanged tells the scheduler whether the table is unavailable; meanwhile it starts no work that must be recorded first.
func (o *Owner) storeChanged(unavailable bool) {
	o.options.Logger.Warn("table availability changed", "away", unavailable, "epoch", o.options.Epoch)
	o.post(func() { o.apply(scheduler.StoreChanged{Unavailable: unavailable}) })
}

// SetDocument makes a later version of the document the current one.
func (o *Owner) SetDocument(ctx context.Context, d documenter.Document) error {
	return o.runInLoop(ctx, func() { o.apply(scheduler.DocumentChanged{Document: d}) })
}

// Counts returns the counts of this term so far.
func (o *Owner) Counts(ctx context.Context) (Counts, error) {
	var counts Counts
	err := o.runInLoop(ctx, func() { counts = o.counts })
	return counts, err
}
