package director

import (
	"context"
	"errors"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// jobFeedTimeout bounds one wait for new jobs, so that a dead connection is detected.
	jobFeedTimeout = 800 * time.Millisecond
	// jobFeedBatchDelay is the delay before the next feed request, so that one response holds several jobs.
	jobFeedBatchDelay = 8 * time.Millisecond
	// renewalPollInterval is the time between two checks of the lease's renewal while new jobs wait for it.
	renewalPollInterval = 20 * time.Millisecond
)

// followJobs applies the jobs and cancellation requests that were written after version from.
func (t *term) followJobs(ctx context.Context, from int64) {
	for ctx.Err() == nil {
		page, err := t.Store.Feed(ctx, registrar.JobTable, from, jobFeedTimeout)
		if errors.Is(err, platform.ErrHistoryGone) {
			from = t.reloadJobs(ctx, from)
			continue
		}
		if err != nil {
			sleeper.Sleep(ctx, loadRetryDelay)
			continue
		}
		if len(page.Rows) > 0 && !t.awaitExclusiveLease(ctx) {
			return
		}
		t.applyNewJobRows(page.Rows)
		from = max(from, page.Version)
		sleeper.Sleep(ctx, jobFeedBatchDelay)
	}
}

// awaitExclusiveLease waits until it is certain that no other VM held the lease when it was called, and returns false if the context ends first: a job written after the next owner acquired the lease must not be started here.
func (t *term) awaitExclusiveLease(ctx context.Context) bool {
	readAt := t.now()
	for ctx.Err() == nil {
		lastRenewal := t.writer.renewedAt()
		if lastRenewal >= readAt || t.now()-lastRenewal < exclusiveRenewalAge {
			return true
		}
		sleeper.Sleep(ctx, renewalPollInterval)
	}
	return false
}

// applyNewJobRows applies rows without recorded progress and requests a plan.
func (t *term) applyNewJobRows(rows []platform.Row) {
	if len(rows) == 0 {
		return
	}
	t.mu.Lock()
	t.applyConfig()
	t.applyJobRows(rows, nil)
	t.mu.Unlock()
	t.writer.signal()
	t.requestPlan()
}

// newerThan returns the rows that changed after the version.
//
// Earlier rows have been applied, and some of their jobs may be removed while
// the table is read: such a job would be added again without its progress, and
// would run again.
func newerThan(rows []platform.Row, version int64) []platform.Row {
	newer := rows[:0:0]
	for _, row := range rows {
		if row.Version > version {
			newer = append(newer, row)
		}
	}
	return newer
}

// reloadJobs reads the whole table once its history is gone and returns the version from which to follow changes.
func (t *term) reloadJobs(ctx context.Context, from int64) int64 {
	t.Logger.Info("history of the job table gone, reloading it", "from", from)
	snapshot, err := t.readJobs(ctx)
	if err != nil {
		t.Logger.Warn("jobs not reloaded", "error", err.Error())
		sleeper.Sleep(ctx, loadRetryDelay)
		return from
	}
	if t.awaitExclusiveLease(ctx) {
		t.applyNewJobRows(newerThan(snapshot.rows, from))
	}
	return snapshot.from
}
