package director

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// leavingDelay is the time from the signal to shut down to the choice of a successor, in which VMs that are shut down at the same time record that.
	leavingDelay = 150 * time.Millisecond
	// announcementTime is how long a successor is announced before the lease is released; every VM polls the lease once in this time, of 600 ms at most.
	announcementTime = 700 * time.Millisecond
	// defaultGrace is the grace period if the settings contain none.
	defaultGrace = 6 * time.Second
	// releaseTimeout bounds the last writes of an owner that shuts down; a slow store takes a quarter of a second for each. It is at most a quarter
	// of the grace period.
	releaseTimeout = 1500 * time.Millisecond
	// maxReleaseWrites is the number of writes of an owner that shuts down, the first of which releases the lease.
	maxReleaseWrites = 3
	// lastWriteTimeout bounds the wait for a write in progress before the release. It is at most a twelfth of the grace period.
	lastWriteTimeout = 500 * time.Millisecond
	// successorHeadStart is how much longer than the named successor other VMs wait for a released lease.
	successorHeadStart = 300 * time.Millisecond
	// successorPollInterval is the time between two polls of the lease by the announced successor, of which there are about 35 in announcementTime.
	successorPollInterval = 20 * time.Millisecond
)

// handOver announces a successor, while the owner continues to plan, so that the successor awaits the release. The lease is kept while the store does not
// respond, since no other VM can acquire it then, until the context ends.
func (t *term) handOver(ctx context.Context) {
	sleeper.Sleep(ctx, leavingDelay)
	announced := ""
	for ctx.Err() == nil {
		page, err := t.Store.Range(ctx, registrar.EntryTable, registrar.EntryPartition, "", "")
		if err != nil {
			t.Logger.Warn("no successor chosen, records of entry VMs not read", "epoch", t.lease.Epoch, "error", err.Error())
			sleeper.Sleep(ctx, loadRetryDelay)
			continue
		}
		successor := chooseSuccessor(t.Node, announced, page.Rows, time.Now())
		if successor == announced {
			return
		}
		t.Logger.Info("successor chosen", "epoch", t.lease.Epoch, "successor", successor, "before", announced, "records", len(page.Rows))
		announced = successor
		if !t.announce(ctx, successor) || successor == "" {
			return
		}
		sleeper.Sleep(ctx, announcementTime)
	}
}

// limitHandover returns a context that ends with the term, or the hand-over limit after the end of the parent context.
func (t *term) limitHandover(ctx, parent context.Context) context.Context {
	limited, cancel := context.WithCancel(ctx)
	t.spawn(func() {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-parent.Done():
			sleeper.Sleep(ctx, t.handoverLimit())
		}
	})
	return limited
}

// gracePeriod returns the time from the signal to shut down to the kill of the process.
func (t *term) gracePeriod() time.Duration { return cmp.Or(t.Bounds.GracePeriod, defaultGrace) }

// handoverLimit returns how long an owner that shuts down may go on: half of the grace period, since the listeners close then.
func (t *term) handoverLimit() time.Duration { return t.gracePeriod() / 2 }

// announce writes the name of the successor with the next renewal of the lease and reports whether that was confirmed in time.
func (t *term) announce(ctx context.Context, successor string) bool {
	written := make(chan struct{})
	t.announcement.Store(&announcement{successor: successor, written: written})
	t.writer.signal()
	select {
	case <-written:
		return true
	case <-ctx.Done():
		return false
	}
}

// announcement is the successor to be named in the lease; written is closed once the store holds it.
type announcement struct {
	successor string
	written   chan struct{}
}

// isWritten reports whether the store holds the announcement, or there is none.
func (a *announcement) isWritten() bool {
	if a == nil {
		return true
	}
	select {
	case <-a.written:
		return true
	default:
		return false
	}
}

// confirmAnnouncement records that a lease that names the successor was written; only the goroutine that writes calls it.
func (t *term) confirmAnnouncement(successor string) {
	if a := t.announcement.Load(); a != nil && a.successor == successor && !a.isWritten() {
		close(a.written)
	}
}

// releaseLease writes the remaining changes and releases the lease, so that another VM can acquire it at once. Changes that do not fit are left to the next
// owner, which learns them from the workers.
func (t *term) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), min(releaseTimeout, t.gracePeriod()/4))
	defer cancel()
	t.lease.Released = true
	for written := 0; written < maxReleaseWrites && ctx.Err() == nil; {
		b := t.nextBatch()
		_, err := t.writeBatch(ctx, b)
		switch {
		case err == nil && b.complete:
			t.Logger.Info("lease released", "epoch", t.lease.Epoch, "successor", t.lease.Successor)
			return
		case err == nil:
			written++
		case errors.Is(err, errLeaseLost), errors.Is(err, platform.ErrRejected):
			t.Logger.Warn("lease not released", "epoch", t.lease.Epoch, "error", err.Error())
			return
		default:
			t.requeueBatch(b)
			if !errors.Is(err, errBatchNotWritten) {
				t.Logger.Warn("lease not released yet", "epoch", t.lease.Epoch, "error", err.Error())
				sleeper.Sleep(ctx, writeRetryDelay)
			}
		}
	}
}

// handoverCost measures the time without plans at a change of the owner, from the release of the lease or the last renewal before its loss to the
// first plan of the next owner for which a worker has reported; only the plan loop uses it after the start.
type handoverCost struct {
	logger *slog.Logger
	epoch  int64
	// previous is the lease of the previous owner.
	previous registrar.Lease
	// before is the time from the end of the previous owner until this one acquired the lease, at acquiredAt.
	before, acquiredAt time.Duration
	done               bool
}

// newHandoverCost returns the cost up to the acquisition of the lease, whose transaction was sent at sentAt and executed at storeTime by the store's clock.
func newHandoverCost(d *Director, epoch int64, previous registrar.Lease, sentAt, storeTime time.Duration) handoverCost {
	h := handoverCost{logger: d.Logger, epoch: epoch, previous: previous, acquiredAt: sentAt}
	ended := time.Duration(previous.RenewedMillis) * time.Millisecond
	if ended == 0 || storeTime == 0 {
		// An owner of the earlier version records no time, and the first owner has none before it.
		h.done = true
		return h
	}
	h.before = max(0, storeTime-ended)
	return h
}

// firstPlan logs the cost once a plan had workers that have reported, or there are none, and returns it; the second result is false for later plans.
func (h *handoverCost) firstPlan(now time.Duration, reported, workers int) (time.Duration, bool) {
	if h.done || reported == 0 && workers > 0 {
		return 0, false
	}
	h.done = true
	cost := h.before + now - h.acquiredAt
	h.logger.Info("plans after a change of the owner", "epoch", h.epoch, "before", h.previous.Node, "released", h.previous.Released, "named", h.previous.Successor,
		"withoutLease", h.before.String(), "withoutPlans", cost.String(), "reported", reported, "workers", workers)
	return cost, true
}
