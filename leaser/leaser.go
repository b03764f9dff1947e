package leaser

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/storer"
)

// ErrSuperseded is the cause with which an owner's context ends when a later owner has claimed the lease.
var ErrSuperseded = errors.New("a later owner holds the lease")

// Options configure a Leaser; only Table, Holder and Address have no default.
type Options struct {
	Table   storer.Table
	Holder  string
	Address string
	// Duration is how long a lease holds after the last renewal.
	Duration time.Duration
	// RenewInterval is the time between renewals, and between reads of a lease that another entry holds.
	RenewInterval time.Duration
	// Random returns numbers from 0 up to 1 for jitter.
	Random func() float64
	// NewID returns IDs for writes.
	NewID  func() string
	Logger *slog.Logger
}

const (
	defaultDuration = 5 * time.Second
	defaultRenewal  = time.Second
)

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.RenewInterval == 0 {
		o.RenewInterval = defaultRenewal
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// Leaser is one entry's view of the lease.
type Leaser struct {
	options Options
	wake    chan struct{}

	mu        sync.Mutex
	lease     recorder.Lease
	version   int64
	changedAt time.Time
	seenAt    time.Time
	epoch     int64
	heldUntil time.Time
}

// New returns a leaser that does nothing until Run.
func New(options Options) *Leaser {
	return &Leaser{options: options.withDefaults(), wake: make(chan struct{}, 1)}
}

// Current returns the lease as last seen and whether the table has answered within the lease's duration.
func (l *Leaser) Current() (lease recorder.Lease, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease, !l.seenAt.IsZero() && time.Since(l.seenAt) < l.options.Duration
}

// MayHoldLease reports whether this entry holds the lease, or was its last holder and the table has not answered since the lease expired.
//
// It compares times of the monotonic clock. Another entry can acquire an expired
// lease only through the table. If this entry is partitioned from the table or its
// process was paused, the result may be wrong; commands and writes with its old
// epoch are then rejected.
func (l *Leaser) MayHoldLease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 {
		return false
	}
	return time.Now().Before(l.heldUntil) || !l.seenAt.After(l.heldUntil)
}

// Nudge makes the leaser look at the lease at once.
func (l *Leaser) Nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run claims the lease whenever it is free, and calls own with the epoch for as long as no later owner is known.
//
// The context given to own outlives the lease while the table is away: nobody else can
// claim it then, and workers refuse an owner that has been superseded.
func (l *Leaser) Run(ctx context.Context, own func(ctx context.Context, epoch int64)) {
	for ctx.Err() == nil {
		epoch, ok := l.claim(ctx)
		if ok {
			l.hold(ctx, epoch, own)
			continue
		}
		l.pause(ctx, l.options.RenewInterval)
	}
}

// ReportSuperseded makes the leaser read the lease at once, because a worker has rejected this entry's epoch.
func (l *Leaser) ReportSuperseded() { l.Nudge() }

func (l *Leaser) pause(ctx context.Context, d time.Duration) {
	jittered := time.Duration(float64(d) * (0.8 + 0.4*l.options.Random()))
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wake:
	case <-ctx.Done():
	}
}

// look reads the lease and notes when its version last changed.
func (l *Leaser) look(ctx context.Context) error {
	row, err := l.options.Table.Read(ctx, recorder.KeyLease)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return fmt.Errorf("read lease: %w", err)
	}
	var lease recorder.Lease
	if err == nil {
		lease, err = recorder.Decode[recorder.Lease](row)
		if err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seenAt = time.Now()
	if row.Version != l.version || l.changedAt.IsZero() {
		l.changedAt = l.seenAt
	}
	l.lease = lease
	l.version = row.Version
	return nil
}

// free reports whether the lease may be claimed: it never was, was released, or has not been renewed for its duration.
func (l *Leaser) free() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version == 0 || l.lease.Released {
		return true
	}
	return l.seenAt.Sub(l.changedAt) >= l.options.Duration
}

func (l *Leaser) claim(ctx context.Context) (int64, bool) {
	if err := l.look(ctx); err != nil {
		l.options.Logger.Debug("lease not readable", "error", err)
		return 0, false
	}
	if !l.free() {
		return 0, false
	}
	l.mu.Lock()
	before := l.lease
	version := l.version
	l.mu.Unlock()
	sent := time.Now()
	lease := recorder.Lease{Holder: l.options.Holder, Address: l.options.Address, Epoch: before.Epoch + 1}
	err := l.options.Table.WriteSettled(ctx, l.options.NewID(), []storer.Change{
		{Key: recorder.KeyLease, Expect: version, Value: recorder.Encode(lease)},
		{Key: recorder.KeyEpoch, Expect: before.Epoch, Value: recorder.Encode(lease)},
	})
	if err != nil {
		l.options.Logger.Debug("lease not claimed", "error", err)
		return 0, false
	}
	l.note(lease, version+1, sent)
	l.options.Logger.Info("lease claimed", "epoch", lease.Epoch)
	return lease.Epoch, true
}

func (l *Leaser) note(lease recorder.Lease, version int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = lease
	l.version = version
	l.changedAt = sent
	l.seenAt = time.Now()
	l.epoch = lease.Epoch
	l.heldUntil = sent.Add(l.options.Duration)
}

// hold renews the lease until another holds it or the context ends, then gives it up.
func (l *Leaser) hold(ctx context.Context, epoch int64, own func(ctx context.Context, epoch int64)) {
	owning, cancel := context.WithCancelCause(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		own(owning, epoch)
	}()
	for {
		l.pause(owning, l.options.RenewInterval)
		if ctx.Err() != nil {
			<-done
			l.release()
			break
		}
		if !l.renew(owning, epoch) {
			cancel(ErrSuperseded)
			<-done
			break
		}
	}
	cancel(nil)
	l.mu.Lock()
	l.epoch = 0
	l.mu.Unlock()
}

// renew extends the lease; it returns false only when another owner is certain.
func (l *Leaser) renew(ctx context.Context, epoch int64) bool {
	l.mu.Lock()
	lease := l.lease
	version := l.version
	l.mu.Unlock()
	lease.Renewals++
	sent := time.Now()
	err := l.options.Table.WriteSettled(ctx, l.options.NewID(), []storer.Change{
		{Key: recorder.KeyLease, Expect: version, Value: recorder.Encode(lease)},
	})
	switch {
	case err == nil:
		l.note(lease, version+1, sent)
		return true
	case errors.Is(err, storer.ErrConflict):
		return l.rereadOwn(ctx, epoch)
	default:
		l.options.Logger.Debug("lease not renewed", "epoch", epoch, "error", err)
		return true
	}
}

// rereadOwn finds out after a conflict whether the lease still shows this owner's epoch.
func (l *Leaser) rereadOwn(ctx context.Context, epoch int64) bool {
	if err := l.look(ctx); err != nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.Epoch == epoch {
		return true
	}
	l.options.Logger.Info("lease lost", "epoch", epoch, "holder", l.lease.Holder, "laterEpoch", l.lease.Epoch)
	return false
}

// release lets others claim at once.
func (l *Leaser) release() {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.RenewInterval)
	defer cancel()
	l.mu.Lock()
	lease := l.lease
	version := l.version
	l.mu.Unlock()
	lease.Released = true
	err := l.options.Table.WriteSettled(ctx, l.options.NewID(), []storer.Change{
		{Key: recorder.KeyLease, Expect: version, Value: recorder.Encode(lease)},
	})
	if err != nil {
		l.options.Logger.Warn("lease not released", "error", err)
	}
}
