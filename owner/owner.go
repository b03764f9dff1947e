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
	Entry    string
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
	// Random returns numbers from 0 up to 1 for jitter.
	Random func() float64
	// NewID returns IDs for writes.
	NewID func() string
	// Checked asserts the scheduler's invariants after every event.
	Checked bool
	Logger  *slog.Logger
	Tracer  Tracer
}

// Owner is one tenure as owner of a service.
type Owner struct {
	options    Options
	inbox      chan func()
	ctx        context.Context //nolint:containedctx // The context of the tenure ends everything that the tenure has started.
	cancel     context.CancelFunc
	ready      chan struct{}
	goroutines sync.WaitGroup

	// The fields below belong to the loop.
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

// Counts are the events of one tenure.
type Counts struct {
	Decisions int64
	Accepted  int64
	Refused   int64
	Started   int64
	Stopped   int64
	Ended     int64
}

const inboxSize = 1024

// New returns an owner that does nothing until Run.
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

// Run takes over, then serves until the context ends; it returns when everything that it started has ended.
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

// spawn runs f until it returns; f must end with the owner's context.
func (o *Owner) spawn(f func(ctx context.Context)) {
	o.goroutines.Go(func() { f(o.ctx) })
}

// post runs f in the loop later; it reports false if the owner has ended.
func (o *Owner) post(f func()) bool {
	select {
	case o.inbox <- f:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// runInLoop runs f in the loop and waits for it.
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

// apply gives an event to the scheduler and carries out what it decides; events that arise meanwhile follow in order.
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
		o.options.Logger.Info("job waits again", "job", d.ID, "epoch", o.options.Epoch, "why", d.Reason.Sentence())
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

func (o *Owner) addNote(id string, now time.Time, reason scheduler.Reason) {
	if t := o.jobs[id]; t != nil {
		t.record.Notes = recorder.AddNote(t.record.Notes, now, reason)
	}
}

// storeChanged lets the scheduler hold back what must be recorded while the table is away.
func (o *Owner) storeChanged(unavailable bool) {
	o.options.Logger.Warn("table service changed", "away", unavailable, "epoch", o.options.Epoch)
	o.post(func() { o.apply(scheduler.StoreChanged{Unavailable: unavailable}) })
}

// SetDocument puts a later version of the document in force.
func (o *Owner) SetDocument(ctx context.Context, d documenter.Document) error {
	return o.runInLoop(ctx, func() { o.apply(scheduler.DocumentChanged{Document: d}) })
}

// Counts returns what this tenure has done so far.
func (o *Owner) Counts(ctx context.Context) (Counts, error) {
	var counts Counts
	err := o.runInLoop(ctx, func() { counts = o.counts })
	return counts, err
}
