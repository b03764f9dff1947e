package director

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

// loadPause is the time between tries to load the state.
const loadPause = 150 * time.Millisecond

// loaded are the versions of the store from which jobs and workers are followed.
type loaded struct{ jobs, workers int64 }

// load reads all jobs, what is recorded of them, and the fleet.
func (t *term) load(ctx context.Context) (loaded, bool) {
	for ctx.Err() == nil {
		from, err := t.loadOnce(ctx)
		if err == nil {
			return from, true
		}
		t.Logger.Warn("state not loaded", "error", err.Error())
		sleeper.Sleep(ctx, loadPause)
	}
	return loaded{}, false
}

func (t *term) loadOnce(ctx context.Context) (loaded, error) {
	var progress, listed, known platform.Page
	var jobs jobRead
	// A slow store takes a quarter of a second for each reading.
	err := together(
		func() (err error) {
			progress, err = t.Store.Range(ctx, registrar.ProgressTable, registrar.OwnerPartition, "", "")
			return err
		},
		func() (err error) {
			from, to := registrar.WorkerShardKeys()
			known, err = t.Store.Range(ctx, registrar.FleetTable, registrar.OwnerPartition, from, to)
			return err
		},
		func() (err error) {
			listed, err = t.Store.Range(ctx, platform.WorkerTable, "", "", "")
			return err
		},
		func() (err error) {
			jobs, err = t.readJobs(ctx)
			return err
		},
	)
	if err != nil {
		return loaded{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyConfig()
	recorded := t.decodeProgress(progress.Rows)
	t.restoreWorkers(known.Rows, listed.Rows)
	t.applyJobRows(jobs.rows, recorded)
	for id, p := range recorded {
		if p.EndedMillis > 0 && !t.arranger.HasJob(id) {
			// An earlier owner removed the job's row and ended before it removed this one.
			t.writer.remove([]string{id})
		}
	}
	t.Logger.Info("state loaded", "epoch", t.lease.Epoch, "jobs", len(jobs.rows), "progress", len(recorded), "from", jobs.from, "workers", len(listed.Rows))
	return loaded{jobs: jobs.from, workers: listed.Version}, nil
}

func (t *term) decodeProgress(rows []platform.Row) map[string]registrar.Progress {
	recorded := map[string]registrar.Progress{}
	for _, row := range rows {
		p, err := registrar.Decode[registrar.Progress](row)
		if err != nil {
			t.Logger.Error("progress unreadable", "job", row.Key, "error", err.Error())
			continue
		}
		recorded[row.Key] = p
	}
	return recorded
}

// jobRead is the job table as it was read, true as of the version from at least.
type jobRead struct {
	rows []platform.Row
	from int64
}

// readJobs reads all parts of the job table.
func (t *term) readJobs(ctx context.Context) (jobRead, error) {
	parts := registrar.Partitions()
	pages := make([]platform.Page, len(parts))
	reads := make([]func() error, len(parts))
	for i, part := range parts {
		reads[i] = func() (err error) {
			pages[i], err = t.Store.Range(ctx, registrar.JobTable, part, "", "")
			return err
		}
	}
	if err := together(reads...); err != nil {
		return jobRead{}, err
	}
	read := jobRead{from: pages[0].Version}
	for _, page := range pages {
		read.from = min(read.from, page.Version)
		read.rows = append(read.rows, page.Rows...)
	}
	return read, nil
}

// together calls the functions at the same time and joins their errors.
func together(calls ...func() error) error {
	errs := make([]error, len(calls))
	var group sync.WaitGroup
	for i, call := range calls {
		group.Go(func() { errs[i] = call() })
	}
	group.Wait()
	return errors.Join(errs...)
}
