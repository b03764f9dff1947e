package director

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

// loadRetryDelay is the delay before a failed read of the store is repeated.
const loadRetryDelay = 150 * time.Millisecond

// feedVersions are the versions of the store from which changes of jobs and workers are followed.
type feedVersions struct{ jobs, workers int64 }

// load reads all jobs, their recorded progress and the fleet, and repeats this until it succeeds; it returns false if the context ends first.
func (t *term) load(ctx context.Context) (feedVersions, bool) {
	state := t.prefetch.await()
	for ctx.Err() == nil {
		err := t.readState(ctx, state)
		if err == nil {
			return t.restore(state), true
		}
		t.Logger.Warn("state not loaded", "readsLeft", state.missing(), "error", err.Error())
		sleeper.Sleep(ctx, loadRetryDelay)
	}
	return feedVersions{}, false
}

// storedState is the state that a new owner reads.
type storedState struct {
	progress, known, listed pageRead
	// jobs are the partitions of the job table.
	jobs []pageRead
}

// pageRead is a range of a table that is read until it succeeds once.
type pageRead struct {
	table, partition, from, to string

	page platform.Page
	done bool
}

// ranges returns all ranges of the state.
func (s *storedState) ranges() []*pageRead {
	ranges := []*pageRead{&s.progress, &s.known, &s.listed}
	for i := range s.jobs {
		ranges = append(ranges, &s.jobs[i])
	}
	return ranges
}

// missing returns the number of ranges that have not been read.
func (s *storedState) missing() int {
	missing := 0
	for _, r := range s.ranges() {
		if !r.done {
			missing++
		}
	}
	return missing
}

// prefetch reads the stored state while the lease is being acquired, which saves the named successor of an owner one response of the store. That is safe
// only after a release: each later write of the previous owner changes the lease row, so that the lease could not be acquired.
type prefetch struct {
	state storedState
	done  chan struct{}
}

// startPrefetch starts to read the state if the released lease names this VM; the context ends the reads.
func (d *Director) startPrefetch(ctx context.Context, previous registrar.Lease) *prefetch {
	if !previous.Released || previous.Successor != d.Node {
		return nil
	}
	p := &prefetch{done: make(chan struct{})}
	go func() {
		defer close(p.done)
		if err := d.readState(ctx, &p.state); err != nil && ctx.Err() == nil {
			d.Logger.Warn("state not read ahead", "readsLeft", p.state.missing(), "error", err.Error())
		}
	}()
	return p
}

// await returns what was read, which may be incomplete; a nil prefetch has read nothing.
func (p *prefetch) await() *storedState {
	if p == nil {
		return &storedState{}
	}
	<-p.done
	return &p.state
}

// readState reads the ranges that are missing. What was read before stays valid: only this owner writes the progress and
// the known workers, and later changes of the other tables come with their feeds.
func (d *Director) readState(ctx context.Context, state *storedState) error {
	if state.jobs == nil {
		from, to := registrar.WorkerKeys()
		state.progress = pageRead{table: registrar.ProgressTable, partition: registrar.OwnerPartition}
		state.known = pageRead{table: registrar.FleetTable, partition: registrar.OwnerPartition, from: from, to: to}
		state.listed = pageRead{table: platform.WorkerTable}
		for _, partition := range registrar.Partitions() {
			state.jobs = append(state.jobs, pageRead{table: registrar.JobTable, partition: partition})
		}
	}
	var reads []func() error
	for _, r := range state.ranges() {
		if r.done {
			continue
		}
		reads = append(reads, func() error {
			page, err := d.Store.Range(ctx, r.table, r.partition, r.from, r.to)
			if err == nil {
				r.page, r.done = page, true
			}
			return err
		})
	}
	// The reads run concurrently, since a slow store takes a quarter of a second for each.
	return runConcurrently(reads...)
}

// restore applies the state that was read.
func (t *term) restore(state *storedState) feedVersions {
	progress, known, listed := state.progress.page, state.known.page, state.listed.page
	pages := make([]platform.Page, len(state.jobs))
	for i := range state.jobs {
		pages[i] = state.jobs[i].page
	}
	jobs := newJobSnapshot(pages)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyConfig()
	recorded := t.decodeProgress(progress.Rows)
	t.restoreWorkers(known, listed.Rows)
	t.applyJobRows(jobs.rows, recorded)
	t.loaded = true
	for id, p := range recorded {
		if p.EndedMillis > 0 && !t.arranger.HasJob(id) {
			// A previous owner removed the job's row, and its term ended before it removed the progress row.
			t.writer.removeProgress([]string{id})
		}
	}
	t.Logger.Info("state loaded", "epoch", t.lease.Epoch, "jobs", len(jobs.rows), "progress", len(recorded), "from", jobs.from, "workers", len(listed.Rows))
	return feedVersions{jobs: jobs.from, workers: listed.Version}
}

// decodeProgress returns the recorded progress by job ID.
func (t *term) decodeProgress(rows []platform.Row) map[string]registrar.Progress {
	recorded := map[string]registrar.Progress{}
	for _, row := range rows {
		p, err := registrar.Decode[registrar.Progress](row)
		if err != nil {
			t.Logger.Error("progress unreadable, waiting for all workers", "job", row.Key, "error", err.Error())
			recorded[row.Key] = registrar.Progress{Progress: arranger.Progress{WorkersUnknown: true}}
			continue
		}
		recorded[row.Key] = p
	}
	return recorded
}

// jobSnapshot holds all rows of the job table as they were at version from or later.
type jobSnapshot struct {
	rows []platform.Row
	from int64
}

// readJobs reads all partitions of the job table.
func (t *term) readJobs(ctx context.Context) (jobSnapshot, error) {
	partitions := registrar.Partitions()
	pages := make([]platform.Page, len(partitions))
	reads := make([]func() error, len(partitions))
	for i, partition := range partitions {
		reads[i] = func() (err error) {
			pages[i], err = t.Store.Range(ctx, registrar.JobTable, partition, "", "")
			return err
		}
	}
	if err := runConcurrently(reads...); err != nil {
		return jobSnapshot{}, err
	}
	return newJobSnapshot(pages), nil
}

// newJobSnapshot joins the pages of all partitions.
func newJobSnapshot(pages []platform.Page) jobSnapshot {
	snapshot := jobSnapshot{from: pages[0].Version}
	for _, page := range pages {
		snapshot.from = min(snapshot.from, page.Version)
		snapshot.rows = append(snapshot.rows, page.Rows...)
	}
	return snapshot
}

// runConcurrently calls the functions concurrently and joins their errors.
func runConcurrently(calls ...func() error) error {
	errs := make([]error, len(calls))
	var group sync.WaitGroup
	for i, call := range calls {
		group.Go(func() { errs[i] = call() })
	}
	group.Wait()
	return errors.Join(errs...)
}
