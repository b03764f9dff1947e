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
	// cleanInterval is the time between two looks for rows that are no longer needed.
	cleanInterval = 10 * time.Second
	// cleanSlack is how much longer than promised the state of an ended job is kept, for questions and repeated submissions on their way.
	cleanSlack = 30 * time.Second
	// cleanBatch is the number of jobs removed in one transaction.
	cleanBatch = 40
)

// clean removes the rows of jobs that ended long ago; the job's own row goes first, since a job without progress would run again.
func (t *term) clean(ctx context.Context) {
	if t.Bounds.StatusRetention == 0 {
		return
	}
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, cleanInterval)
		for part, ids := range t.outlived(time.Now()) {
			for len(ids) > 0 && ctx.Err() == nil {
				n := min(len(ids), cleanBatch)
				t.cleanPart(ctx, part, ids[:n])
				ids = ids[n:]
			}
		}
	}
}

// outlived returns the jobs whose state need not be known any more, by part.
func (t *term) outlived(now time.Time) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	byPart := map[string][]string{}
	for id, record := range t.records {
		if !record.endedAt.IsZero() && now.Sub(record.endedAt) > t.Bounds.StatusRetention+cleanSlack {
			part := registrar.Partition(id)
			byPart[part] = append(byPart[part], id)
		}
	}
	return byPart
}

func (t *term) cleanPart(ctx context.Context, part string, ids []string) {
	var transaction platform.Transaction
	for _, id := range ids {
		transaction.Remove = append(transaction.Remove, registrar.JobRow(id, 0), registrar.CancelRow(id))
	}
	if _, err := t.Store.Transact(ctx, transaction); err != nil {
		if !errors.Is(err, context.Canceled) {
			t.Logger.Warn("rows of ended jobs not removed, trying again later", "part", part, "jobs", len(ids), "error", err.Error())
		}
		return
	}
	t.mu.Lock()
	for _, id := range ids {
		delete(t.records, id)
		t.arranger.RemoveJob(id)
	}
	t.mu.Unlock()
	t.writer.remove(ids)
	t.Logger.Info("rows of ended jobs removed", "part", part, "jobs", len(ids))
}
