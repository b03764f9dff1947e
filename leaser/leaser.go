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

// ErrSuperseded is the cancellation cause of an owner's context when a newer owner has acquired the lease.
var ErrSuperseded = errors.New("a newer owner holds the lease")

// Options configure a Leaser; Duration, RenewInterval and Logger have defaults.
type Options struct {
	Table storer.Table
	// Holder and Address are the ID and the peer address of this entry, as written to the lease.
	Holder  string
	Address string
	// Duration is how long a lease is valid after its last renewal.
	Duration time.Duration
	// RenewInterval is the time between renewals, and between reads of a lease that another entry holds.
	RenewInterval time.Duration
	// Random returns numbers in [0, 1) for jitter.
	Random func() float64
	// NewID returns the ID of a write.
	NewID  func() string
	Logger *slog.Logger
}

const (
	defaultDuration      = 5 * time.Second
	defaultRenewInterval = time.Second
)

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.RenewInterval == 0 {
		o.RenewInterval = defaultRenewInterval
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// Leaser is one entry's view of the lease of a service.
type Leaser struct {
	options Options
	wake    chan struct{}

	mu         sync.Mutex
	lease      recorder.Lease
	version    int64
	changedAt  time.Time // when a change of version was last observed
	answeredAt time.Time // when the table last answered
	epoch      int64     // 0 while this entry does not hold the lease
	expiresAt  time.Time
}

// New returns a Leaser, which does nothing until Run is called.
func New(options Options) *Leaser {
	return &Leaser{options: options.withDefaults(), wake: make(chan struct{}, 1)}
}

// Current returns the lease as last read or written, and whether the table has answered within the last lease duration.
func (l *Leaser) Current() (lease recorder.Lease, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease, !l.answeredAt.IsZero() && time.Since(l.answeredAt) < l.options.Duration
}

// MayHoldLease reports whether this entry holds the lease, or was its last holder and has had no response from the table since the lease expired.
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
	return time.Now().Before(l.expiresAt) || !l.answeredAt.After(l.expiresAt)
}

// Nudge wakes the leaser, which then reads or renews the lease at once.
func (l *Leaser) Nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run acquires the lease whenever it is free and then calls serve with its epoch; it returns when ctx ends.
//
// The context passed to serve ends with ctx, or when the table shows a newer owner.
// It does not end when the lease expires while the table is unavailable: no other
// entry can acquire the lease then, and workers reject a superseded owner.
func (l *Leaser) Run(ctx context.Context, serve func(ctx context.Context, epoch int64)) {
	for ctx.Err() == nil {
		epoch, ok := l.acquire(ctx)
		if ok {
			l.hold(ctx, epoch, serve)
			continue
		}
		l.wait(ctx, l.options.RenewInterval)
	}
}

// ReportSuperseded makes the leaser check the lease at once, because this entry's epoch may be stale.
func (l *Leaser) ReportSuperseded() { l.Nudge() }

// wait sleeps for d with a jitter of 20 %, until Nudge is called or the context ends.
func (l *Leaser) wait(ctx context.Context, d time.Duration) {
	jittered := time.Duration(float64(d) * (0.8 + 0.4*l.options.Random()))
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wake:
	case <-ctx.Done():
	}
}

// readLease reads the lease row and records when a change of its version was last observed.
func (l *Leaser) readLease(ctx context.Context) error {
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
	l.answeredAt = time.Now()
	if row.Version != l.version || l.changedAt.IsZero() {
		l.changedAt = l.answeredAt
	}
	l.lease = lease
	l.version = row.Version
	return nil
}

// canAcquire reports whether the lease was never held, was released, or has not been renewed for its duration.
//
// The duration counts from the last observed change of the row, by this entry's
// monotonic clock, so the clocks of the VMs need not agree.
func (l *Leaser) canAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version == 0 || l.lease.Released {
		return true
	}
	return l.answeredAt.Sub(l.changedAt) >= l.options.Duration
}

// acquire takes the lease with the next epoch if it is free.
func (l *Leaser) acquire(ctx context.Context) (int64, bool) {
	if err := l.readLease(ctx); err != nil {
		l.options.Logger.Debug("cannot read lease", "error", err)
		return 0, false
	}
	if !l.canAcquire() {
		return 0, false
	}
	l.mu.Lock()
	previous := l.lease
	version := l.version
	l.mu.Unlock()
	sent := time.Now()
	lease := recorder.Lease{Holder: l.options.Holder, Address: l.options.Address, Epoch: previous.Epoch + 1}
	err := l.options.Table.WriteIdempotent(ctx, l.options.NewID(), []storer.Change{
		{Key: recorder.KeyLease, Expect: version, Value: recorder.Encode(lease)},
		{Key: recorder.KeyEpoch, Expect: previous.Epoch, Value: recorder.Encode(lease)},
	})
	if err != nil {
		l.options.Logger.Debug("cannot acquire lease", "error", err)
		return 0, false
	}
	l.setHeld(lease, version+1, sent)
	l.options.Logger.Info("lease acquired", "epoch", lease.Epoch)
	return lease.Epoch, true
}

// setHeld records that this entry holds the lease; its validity counts from the time at which the write was sent.
func (l *Leaser) setHeld(lease recorder.Lease, version int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = lease
	l.version = version
	l.changedAt = sent
	l.answeredAt = time.Now()
	l.epoch = lease.Epoch
	l.expiresAt = sent.Add(l.options.Duration)
}

// hold runs serve and renews the lease until another entry holds it or ctx ends.
//
// When ctx ends, it waits for serve to return and then releases the lease.
func (l *Leaser) hold(ctx context.Context, epoch int64, serve func(ctx context.Context, epoch int64)) {
	serveCtx, cancel := context.WithCancelCause(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(serveCtx, epoch)
	}()
	for {
		l.wait(serveCtx, l.options.RenewInterval)
		if ctx.Err() != nil {
			<-done
			l.release()
			break
		}
		if !l.renew(serveCtx, epoch) {
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

// renew extends the lease; it returns false only if the table shows another owner.
func (l *Leaser) renew(ctx context.Context, epoch int64) bool {
	l.mu.Lock()
	lease := l.lease
	version := l.version
	l.mu.Unlock()
	lease.Renewals++
	sent := time.Now()
	err := l.options.Table.WriteIdempotent(ctx, l.options.NewID(), []storer.Change{
		{Key: recorder.KeyLease, Expect: version, Value: recorder.Encode(lease)},
	})
	switch {
	case err == nil:
		l.setHeld(lease, version+1, sent)
		return true
	case errors.Is(err, storer.ErrConflict):
		return l.stillHolds(ctx, epoch)
	default:
		l.options.Logger.Debug("cannot renew lease", "epoch", epoch, "error", err)
		return true
	}
}

// stillHolds rereads the lease after a conflict and reports whether it has this owner's epoch; it returns true if the table does not answer.
func (l *Leaser) stillHolds(ctx context.Context, epoch int64) bool {
	if err := l.readLease(ctx); err != nil {
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

// release marks the lease as released, so that another entry can acquire it without waiting for it to expire.
func (l *Leaser) release() {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.RenewInterval)
	defer cancel()
	l.mu.Lock()
	lease := l.lease
	version := l.version
	l.mu.Unlock()
	lease.Released = true
	err := l.options.Table.WriteIdempotent(ctx, l.options.NewID(), []storer.Change{
		{Key: recorder.KeyLease, Expect: version, Value: recorder.Encode(lease)},
	})
	if err != nil {
		l.options.Logger.Warn("cannot release lease", "error", err)
	}
}
