package director

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// watchPause is the mean time between two looks at a lease that is renewed.
	watchPause = 400 * time.Millisecond
	// watchSoon is the time between two looks at a lease that has not been renewed for longer than renewals take.
	watchSoon = 100 * time.Millisecond
	// watchGap is the time between two answered looks after which the wait for a silent owner begins anew, since the owner may have been kept from the store as well.
	watchGap = 900 * time.Millisecond
	// configPause is the time between looks whether the first configuration has been read.
	configPause = 20 * time.Millisecond
	// leaseSilence is how long a lease must stay unchanged before another takes it; a store that is 60 times as slow as usual shows renewals within 0.9 s.
	leaseSilence = 1100 * time.Millisecond
	// smallCores is the processor share below which a VM leaves the lease to larger ones.
	smallCores = 0.4
	// smallPatience is how much longer a small VM waits; two looks of a larger one fit in.
	smallPatience = 1200 * time.Millisecond
	// actLimit is how long an owner goes on without a renewal, so that an outage of the store does not stop the service.
	actLimit = 6 * time.Second
	// strictLimit is the age of a renewal at which nobody else can hold the lease yet.
	strictLimit = 800 * time.Millisecond
)

// Director takes part in the choice of the owner and is the owner while it holds the lease.
type Director struct {
	Node        string
	Incarnation string
	Store       *platform.Store
	Workers     *platform.Workers
	// Advisor tells which workers may run the steps of some queues; nil where there is none.
	Advisor *platform.Advisor
	Config  *follower.Follower
	Bounds  platform.Bounds
	// Cores is the processor share of the VM; 0 counts as enough for an owner.
	Cores  float64
	Logger *slog.Logger
	// Clock is a steady time that also counts while the VM is suspended; nil means the kernel's time since boot.
	Clock func() time.Duration
}

// Run takes part until the context ends, then releases the lease if it holds it.
func (d *Director) Run(ctx context.Context) {
	w := leaseWatch{patience: d.patience()}
	for ctx.Err() == nil {
		page, err := d.Store.Range(ctx, registrar.LeaseTable, registrar.OwnerPartition, registrar.LeaseKey, registrar.LeaseKey+"\x00")
		now := d.now()
		if err != nil {
			sleeper.Sleep(ctx, watchPause)
			continue
		}
		seen := d.decodeLease(page)
		if w.mayTake(now, seen, d.Node) {
			if d.Config.Current() == nil {
				sleeper.Sleep(ctx, configPause)
				continue
			}
			if d.reign(ctx, seen, w.bound(seen, d.isPredecessor(seen.lease))) {
				w = leaseWatch{patience: d.patience()}
				continue
			}
		}
		sleeper.Sleep(ctx, w.pause(now, rand.Float64())) //nolint:gosec // Jitter needs no secrecy.
	}
}

// leaseSeen is the lease as it was read when the store's version was at.
type leaseSeen struct {
	row   platform.Row
	lease registrar.Lease
	at    int64
}

func (d *Director) decodeLease(page platform.Page) leaseSeen {
	seen := leaseSeen{at: page.Version, row: platform.Row{Table: registrar.LeaseTable, Partition: registrar.OwnerPartition, Key: registrar.LeaseKey}}
	if len(page.Rows) == 0 {
		return seen
	}
	seen.row = page.Rows[0]
	lease, err := registrar.Decode[registrar.Lease](seen.row)
	if err != nil {
		d.Logger.Error("lease unreadable", "error", err.Error())
	}
	seen.lease = lease
	return seen
}

// isPredecessor reports whether the lease is that of an earlier process of this VM, which has ended.
//
// A lease of this process itself was taken without an answer and tells nothing of the owner before.
func (d *Director) isPredecessor(lease registrar.Lease) bool {
	return lease.Node == d.Node && lease.Incarnation != d.Incarnation
}

// patience returns how much longer than others this VM waits for the lease.
func (d *Director) patience() time.Duration {
	if d.Cores > 0 && d.Cores < smallCores {
		return smallPatience
	}
	return 0
}

// leaseWatch decides when a lease may be taken; it holds no clock of its own.
type leaseWatch struct {
	version   int64
	unchanged time.Duration
	looked    time.Duration
	// patience is how much longer than others this VM waits for a lease that is nobody's.
	patience time.Duration
	// firstSeen is the store's version at the first look of this process.
	firstSeen int64
}

// mayTake reports whether the lease, as read now, is free: nobody's, released, of an earlier process of this VM, or silent for long enough.
func (w *leaseWatch) mayTake(now time.Duration, seen leaseSeen, node string) bool {
	row, lease := seen.row, seen.lease
	if w.firstSeen == 0 {
		w.firstSeen = seen.at
	}
	if row.Version != w.version || w.looked == 0 || now-w.looked > watchGap {
		w.version = row.Version
		w.unchanged = now
	}
	w.looked = now
	quiet := now - w.unchanged
	if row.Version == 0 || lease.Released {
		return quiet >= w.patience
	}
	return lease.Node == node || quiet >= leaseSilence+w.patience
}

// bound returns the version of the store up to which the holder of the lease may have read jobs, or 0 if only taking the lease ends that.
func (w *leaseWatch) bound(seen leaseSeen, predecessor bool) int64 {
	switch {
	case seen.lease.Released:
		return seen.row.Version
	case predecessor:
		// It had ended before the first look.
		return w.firstSeen
	default:
		return 0
	}
}

// pause returns the time to the next look, given a random number from 0 to 1.
func (w *leaseWatch) pause(now time.Duration, random float64) time.Duration {
	if now-w.unchanged > 2*renewInterval {
		return watchSoon
	}
	return time.Duration((0.5 + random) * float64(watchPause))
}

// reign takes the lease and is the owner until it loses it; it reports whether it was.
//
// Jobs beyond the version early, if it is known, were not read by an earlier owner.
func (d *Director) reign(ctx context.Context, seen leaseSeen, early int64) bool {
	taken := d.now()
	row, old := seen.row, seen.lease
	lease := registrar.Lease{Node: d.Node, Incarnation: d.Incarnation, Epoch: old.Epoch + 1}
	next := row
	next.Value = registrar.Encode(lease)
	outcome, err := d.Store.Transact(ctx, platform.Transaction{Expect: []platform.Row{row}, Put: []platform.Row{next}})
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) {
			d.Logger.Warn("lease not taken", "epoch", lease.Epoch, "error", err.Error())
		}
		return false
	}
	d.Logger.Info("lease taken", "epoch", lease.Epoch, "version", outcome.Version, "before", old.Node, "released", old.Released)
	t := newTerm(d, lease, outcome.Version, taken)
	if early != 0 {
		t.early = early
	}
	t.succeedsItself = d.isPredecessor(old)
	t.run(ctx)
	return true
}
