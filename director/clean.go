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
	// cleanInterval is the time between two removals of rows that are no longer needed.
	cleanInterval = 10 * time.Second
	// retentionMargin is how much longer than promised the state of an ended job is kept, for requests and repeated submissions in transit.
	retentionMargin = 30 * time.Second
	// cleanBatchSize is the maximum number of jobs removed in one transaction.
	cleanBatchSize = 40
)

// cleanLoop removes the rows of jobs whose retention time has passed; the progress row is removed after the job's own row, since a job without progress would run again.
func (t *term) cleanLoop(ctx context.Context) {
	if t.Bounds.StatusRetention == 0 {
		return
	}
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, cleanInterval)
		for partition, ids := range t.expiredJobs(time.Now()) {
			for len(ids) > 0 && ctx.Err() == nil {
				n := min(len(ids), cleanBatchSize)
				t.removeJobRows(ctx, partition, ids[:n])
				ids = ids[n:]
			}
		}
	}
}

// expiredJobs returns the IDs of the jobs whose retention time has passed, by partition.
func (t *term) expiredJobs(now time.Time) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	byPartition := map[string][]string{}
	for id, record := range t.records {
		if !record.endedAt.IsZero() && now.Sub(record.endedAt) > t.Bounds.StatusRetention+retentionMargin {
			partition := registrar.Partition(id)
			byPartition[partition] = append(byPartition[partition], id)
		}
	}
	return byPartition
}

// removeJobRows removes the rows of jobs of one partition, and schedules the removal of their progress rows.
func (t *term) removeJobRows(ctx context.Context, partition string, ids []string) {
	var transaction platform.Transaction
	for _, id := range ids {
		transaction.Remove = append(transaction.Remove, registrar.JobRow(id, 0), registrar.CancelRow(id))
	}
	if _, err := t.Store.Transact(ctx, transaction); err != nil {
		if !errors.Is(err, context.Canceled) {
			t.Logger.Warn("rows of ended jobs not removed, trying again later", "part", partition, "jobs", len(ids), "error", err.Error())
		}
		return
	}
	t.mu.Lock()
	for _, id := range ids {
		delete(t.records, id)
		t.arranger.RemoveJob(id)
	}
	t.mu.Unlock()
	t.writer.removeProgress(ids)
	t.Logger.Info("rows of ended jobs removed", "part", partition, "jobs", len(ids))
}
