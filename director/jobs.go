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
	// jobFeedWait bounds one wait for new jobs, so that a connection that went silent is noticed.
	jobFeedWait = 800 * time.Millisecond
	// jobFeedPause lets several jobs come in one answer.
	jobFeedPause = 8 * time.Millisecond
	// renewalCheck is the time between looks at the lease while new jobs wait for it.
	renewalCheck = 20 * time.Millisecond
)

// followJobs takes in jobs and cancellations as they are accepted.
func (t *term) followJobs(ctx context.Context, from int64) {
	for ctx.Err() == nil {
		page, err := t.Store.Feed(ctx, registrar.JobTable, from, jobFeedWait)
		if errors.Is(err, platform.ErrHistoryGone) {
			from = t.rereadJobs(ctx, from)
			continue
		}
		if err != nil {
			sleeper.Sleep(ctx, loadPause)
			continue
		}
		if len(page.Rows) > 0 && !t.awaitStrict(ctx) {
			return
		}
		t.takeNewRows(page.Rows)
		from = max(from, page.Version)
		sleeper.Sleep(ctx, jobFeedPause)
	}
}

// awaitStrict waits until it is certain that nobody else holds the lease: a job that came after the next owner's start must not be started here.
func (t *term) awaitStrict(ctx context.Context) bool {
	read := t.now()
	for ctx.Err() == nil {
		renewed := t.writer.renewedAt()
		if renewed >= read || t.now()-renewed < exclusiveRenewalAge {
			return true
		}
		sleeper.Sleep(ctx, renewalCheck)
	}
	return false
}

func (t *term) takeNewRows(rows []platform.Row) {
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
// Earlier ones have been taken in, and some may be removed while the table is
// read: a job taken in again without its progress would run again.
func newerThan(rows []platform.Row, version int64) []platform.Row {
	kept := rows[:0:0]
	for _, row := range rows {
		if row.Version > version {
			kept = append(kept, row)
		}
	}
	return kept
}

// rereadJobs reads the whole table after its history was dropped.
func (t *term) rereadJobs(ctx context.Context, from int64) int64 {
	t.Logger.Info("history of jobs gone, reading anew", "from", from)
	read, err := t.readJobs(ctx)
	if err != nil {
		t.Logger.Warn("jobs not read anew", "error", err.Error())
		sleeper.Sleep(ctx, loadPause)
		return from
	}
	if t.awaitStrict(ctx) {
		t.takeNewRows(newerThan(read.rows, from))
	}
	return read.from
}
