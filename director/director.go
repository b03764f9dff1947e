package director

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// leasePollInterval is the mean time between two polls of a lease that is being renewed.
	leasePollInterval = 400 * time.Millisecond
	// fastLeasePollInterval is the time between two polls of a lease whose renewal is overdue.
	fastLeasePollInterval = 100 * time.Millisecond
	// maxLeasePollGap is the time between two successful polls after which the lease timeout starts again, since the store may have been unreachable for the owner as well.
	maxLeasePollGap = 900 * time.Millisecond
	// configPollInterval is the time between two checks whether the first configuration has been read.
	configPollInterval = 20 * time.Millisecond
	// leaseTimeout is how long a lease must stay unchanged before another VM acquires it; a store that is 60 times slower than usual shows renewals within 0.9 s.
	leaseTimeout = 1100 * time.Millisecond
	// smallVMCores is the number of cores below which a VM delays its attempt to acquire the lease in favour of larger VMs.
	smallVMCores = 0.4
	// smallVMDelay is how much longer a small VM waits; a larger one polls twice in that time.
	smallVMDelay = 1200 * time.Millisecond
	// maxRenewalAge is how long an owner continues without a renewal, so that a short outage of the store does not stop the service.
	maxRenewalAge = 6 * time.Second
	// exclusiveRenewalAge is the age of the last renewal up to which no other VM can have acquired the lease.
	exclusiveRenewalAge = 800 * time.Millisecond
)

// Director takes part in the election of the owner and acts as the owner while it holds the lease.
type Director struct {
	// Node is the name of the VM, and Incarnation identifies this process of it.
	Node        string
	Incarnation string
	Store       *platform.Store
	Workers     *platform.Workers
	// Advisor is the client of the advice service, which decides which workers may run the steps of some queues; nil if the settings name none.
	Advisor *platform.Advisor
	Config  *follower.Follower
	Bounds  platform.Bounds
	// Cores is the number of cores that the process may use; 0 counts as enough for an owner.
	Cores  float64
	Logger *slog.Logger
	// Clock returns a monotonic time that includes suspends of the VM; nil means the kernel's time since boot.
	Clock func() time.Duration
	// SetGauge and ObserveDuration are called with the name and the value of a metric; they may be nil.
	SetGauge        func(name string, value int64)
	ObserveDuration func(name string, took time.Duration)

	// current is the term whose state has been loaded, nil while there is none.
	current atomic.Pointer[term]
}

// Run takes part in the election until the context ends, then releases the lease if it holds it.
func (d *Director) Run(ctx context.Context) {
	monitor := leaseMonitor{takeoverDelay: d.takeoverDelay()}
	for ctx.Err() == nil {
		page, err := d.Store.Range(ctx, registrar.LeaseTable, registrar.OwnerPartition, registrar.LeaseKey, registrar.LeaseKey+"\x00")
		now := d.now()
		if err != nil {
			sleeper.Sleep(ctx, leasePollInterval)
			continue
		}
		state := d.decodeLease(page)
		if monitor.canAcquire(now, state, d.Node) {
			if d.Config.Current() == nil {
				sleeper.Sleep(ctx, configPollInterval)
				continue
			}
			if d.runTerm(ctx, state, monitor.inheritedVersion(state, d.isPreviousProcess(state.lease))) {
				monitor = leaseMonitor{takeoverDelay: d.takeoverDelay()}
				continue
			}
		}
		sleeper.Sleep(ctx, monitor.pollDelay(now, rand.Float64())) //nolint:gosec // Jitter needs no secrecy.
	}
}

// leaseState is the lease as it was read, with the version of the store at that time.
type leaseState struct {
	row          platform.Row
	lease        registrar.Lease
	storeVersion int64
}

// decodeLease returns the lease in the page; a missing or unreadable row gives an empty lease.
func (d *Director) decodeLease(page platform.Page) leaseState {
	state := leaseState{storeVersion: page.Version, row: platform.Row{Table: registrar.LeaseTable, Partition: registrar.OwnerPartition, Key: registrar.LeaseKey}}
	if len(page.Rows) == 0 {
		return state
	}
	state.row = page.Rows[0]
	lease, err := registrar.Decode[registrar.Lease](state.row)
	if err != nil {
		d.Logger.Error("lease unreadable", "error", err.Error())
	}
	state.lease = lease
	return state
}

// isPreviousProcess reports whether the lease belongs to an earlier process of this VM, which has ended.
//
// A lease of this process itself was acquired by a write that got no response, and does not identify the previous owner.
func (d *Director) isPreviousProcess(lease registrar.Lease) bool {
	return lease.Node == d.Node && lease.Incarnation != d.Incarnation
}

// takeoverDelay returns how much longer than larger VMs this VM waits before it acquires the lease.
func (d *Director) takeoverDelay() time.Duration {
	if isSmall(d.Cores) {
		return smallVMDelay
	}
	return 0
}

// leaseMonitor decides when the lease may be acquired; the caller passes in the time.
type leaseMonitor struct {
	rowVersion     int64
	unchangedSince time.Duration
	polledAt       time.Duration
	// takeoverDelay is how much longer than larger VMs this VM waits for a free lease.
	takeoverDelay time.Duration
	// firstStoreVersion is the version of the store at the first poll of this process.
	firstStoreVersion int64
	// named means that the lease named this VM as the successor at the last poll.
	named bool
	// freeAt is when a released lease may be acquired, or 0 for one that is held.
	freeAt time.Duration
}

// canAcquire evaluates a poll of the lease and reports whether the lease is free: never acquired, released, held by an earlier process of this VM, or not renewed within the lease timeout.
func (m *leaseMonitor) canAcquire(now time.Duration, state leaseState, node string) bool {
	row, lease := state.row, state.lease
	if m.firstStoreVersion == 0 {
		m.firstStoreVersion = state.storeVersion
	}
	if row.Version != m.rowVersion || m.polledAt == 0 || now-m.polledAt > maxLeasePollGap {
		m.rowVersion = row.Version
		m.unchangedSince = now
	}
	m.polledAt = now
	m.named = lease.Successor != "" && lease.Successor == node
	m.freeAt = 0
	unchangedFor := now - m.unchangedSince
	if row.Version == 0 || lease.Released {
		delay := m.takeoverDelay
		switch {
		case m.named:
			delay = 0
		case lease.Successor != "":
			delay += successorHeadStart
		}
		m.freeAt = m.unchangedSince + delay
		return now >= m.freeAt
	}
	return lease.Node == node || unchangedFor >= leaseTimeout+m.takeoverDelay
}

// inheritedVersion returns the version of the store up to which the holder of the lease may have read jobs, or 0 if the holder may read jobs until the lease is acquired.
func (m *leaseMonitor) inheritedVersion(state leaseState, previousProcess bool) int64 {
	switch {
	case state.lease.Released:
		return state.row.Version
	case previousProcess:
		// The earlier process had ended before the first poll.
		return m.firstStoreVersion
	default:
		return 0
	}
}

// pollDelay returns the time until the next poll, given a random number from 0 to 1.
func (m *leaseMonitor) pollDelay(now time.Duration, random float64) time.Duration {
	if m.named {
		return successorPollInterval
	}
	if m.freeAt > now {
		return min(m.freeAt-now, fastLeasePollInterval)
	}
	if now-m.unchangedSince > 2*renewalInterval {
		return fastLeasePollInterval
	}
	return time.Duration((0.5 + random) * float64(leasePollInterval))
}

// runTerm tries to acquire the lease, acts as the owner until the lease is lost, and reports whether it was acquired.
//
// Jobs written after inheritedVersion were not read by a previous owner; 0 means that this version is not known.
func (d *Director) runTerm(ctx context.Context, state leaseState, inheritedVersion int64) bool {
	acquiredAt := d.now()
	row, previous := state.row, state.lease
	lease := registrar.Lease{
		Node: d.Node, Incarnation: d.Incarnation, Epoch: nextEpoch(previous.Epoch),
		WorkersRecorded: row.Version == 0 || previous.WorkersRecorded, LeasesLimited: true,
		// An owner that is lost before its first renewal passes on when the one before it was.
		RenewedMillis: previous.RenewedMillis,
	}
	renewed := row
	renewed.Value = registrar.Encode(lease)
	reading, stopReading := context.WithCancel(ctx)
	defer stopReading()
	read := d.startPrefetch(reading, previous)
	// A process that shuts down awaits the response, since it has to release a lease that it has acquired.
	result, err := d.Store.Transact(context.WithoutCancel(ctx), platform.Transaction{Expect: []platform.Row{row}, Put: []platform.Row{renewed}})
	if err != nil {
		stopReading()
		read.await()
		if !errors.Is(err, platform.ErrConflict) {
			d.Logger.Warn("lease not acquired", "epoch", lease.Epoch, "error", err.Error())
		}
		return false
	}
	d.Logger.Info("lease taken", "epoch", lease.Epoch, "version", result.Version, "before", previous.Node, "released", previous.Released)
	t := newTerm(d, lease, result.Version, acquiredAt)
	if inheritedVersion != 0 {
		t.inheritedVersion = inheritedVersion
	}
	t.restartedOwner, t.firstOwner, t.previous = d.isPreviousProcess(previous), previous.Epoch == 0, previous
	t.prefetch = read
	t.writer.noteStoreTime(acquiredAt, result.StoreTime)
	t.handover = newHandoverCost(d, lease.Epoch, previous, acquiredAt, result.StoreTime)
	t.run(ctx)
	return true
}
