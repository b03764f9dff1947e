package acceptor

import (
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

// A write without a response may be executed seconds later, so that a job can
// come into being after its cancellation was answered. Each cancellation of a
// job that does not exist therefore leaves a tombstone. The tombstones of a
// partition share a row, and each write of jobs expects its version: a
// cancellation makes all earlier writes fail, whoever sent them, and a later
// attempt sees the tombstone.

const (
	// tombstoneRetention is how long a job that was cancelled before it was accepted is refused.
	tombstoneRetention = 2 * time.Minute
	// maxTombstonesPerOrganisation limits the tombstones of an organisation in one partition.
	maxTombstonesPerOrganisation = 100
)

// identity names a job as its callers do: the same ID in another queue or of another organisation is another job.
type identity struct {
	id, queue, organisation string
	// public means that the queue is public, so that its jobs belong to all organisations.
	public bool
}

// owns reports whether a job with this ID that was accepted for the queue and organisation is the one that is named.
func (i identity) owns(queue, organisation string) bool {
	return queue == i.queue && (i.public || organisation == i.organisation)
}

// buriedBy reports whether the tombstone is that of the job.
func (i identity) buriedBy(t registrar.Tombstone) bool {
	return t.JobID == i.id && (i.owns(t.Queue, t.Organisation) || t.Public && t.Queue == i.queue)
}

// tombstones are the cancellations of jobs that had not been accepted, in one partition.
type tombstones struct {
	version int64
	list    []registrar.Tombstone
	// storeTime is the reading of the store's clock at readAt or shortly before, or 0 if it is not known.
	storeTime time.Duration
	readAt    time.Time
}

// newTombstones decodes the row of the tombstones; an unreadable row counts as empty, since its version alone keeps earlier writes from being executed.
func newTombstones(row platform.Row, storeTime time.Duration, now time.Time, logger *slog.Logger) tombstones {
	t := tombstones{version: row.Version, storeTime: storeTime, readAt: now}
	if row.Version == 0 {
		return t
	}
	list, err := registrar.Decode[[]registrar.Tombstone](row)
	if err != nil {
		logger.Error("tombstones unreadable", "part", row.Partition, "version", row.Version, "error", err.Error())
	}
	t.list = list
	return t
}

// remaining returns how long the tombstone still applies, or a negative duration.
func (t tombstones) remaining(s registrar.Tombstone, now time.Time) time.Duration {
	if t.storeTime == 0 || s.CancelledMillis == 0 {
		return tombstoneRetention
	}
	return tombstoneRetention - (t.storeTime + now.Sub(t.readAt) - time.Duration(s.CancelledMillis)*time.Millisecond)
}

// cover reports whether the job was cancelled before it was accepted.
func (t tombstones) cover(job identity, now time.Time) bool {
	return slices.ContainsFunc(t.list, func(s registrar.Tombstone) bool { return job.buriedBy(s) && t.remaining(s, now) > 0 })
}

// fullError means that a partition holds too many tombstones, the first of which expires after retryAfter.
type fullError struct{ retryAfter time.Duration }

// Error implements error.
func (fullError) Error() string { return "too many cancellations of unknown jobs" }

// with returns the value of the row with a tombstone for the job and without those that no longer apply; the error is a fullError.
func (t tombstones) with(job identity, now time.Time) ([]byte, error) {
	list := []registrar.Tombstone{}
	first, own := tombstoneRetention, 0
	for _, s := range t.list {
		remaining := t.remaining(s, now)
		if remaining <= 0 || s.JobID == job.id && s.Queue == job.queue && s.Organisation == job.organisation {
			continue
		}
		list = append(list, s)
		first = min(first, remaining)
		if s.Organisation == job.organisation {
			own++
		}
	}
	list = append(list, registrar.Tombstone{
		JobID: job.id, Queue: job.queue, Organisation: job.organisation, Public: job.public, CancelledMillis: t.storeTime.Milliseconds(),
	})
	value := registrar.Encode(list)
	if own >= maxTombstonesPerOrganisation || len(value) > registrar.MaxValueBytes {
		return nil, fullError{retryAfter: first}
	}
	return value, nil
}

// errAccepted means that the job has been accepted.
var errAccepted = errors.New("job accepted")

// bury makes sure that a job that does not exist is not accepted later; errAccepted means that it exists after all.
func (a *Acceptor) bury(c call) error {
	ctx, partition := c.r.Context(), registrar.Partition(c.id)
	jobRow, err := a.Store.Get(ctx, registrar.JobTable, partition, c.id)
	if err != nil {
		return err
	}
	page, err := a.Store.Range(ctx, registrar.TombstoneTable, partition, registrar.TombstoneKey, registrar.TombstoneKey+"\x00")
	if err != nil {
		return err
	}
	buried := newTombstones(existingRows(page.Rows)[registrar.TombstoneKey], page.StoreTime, time.Now(), a.Logger)
	for {
		accepted, err := c.wasAccepted(jobRow)
		if err != nil {
			return err
		}
		if accepted {
			return errAccepted
		}
		value, err := buried.with(c.identity(), time.Now())
		if err != nil {
			return err
		}
		// The ID may belong to a job of another organisation, after whose removal a late write of this one could be executed.
		expected := []platform.Row{registrar.JobRow(c.id, jobRow.Version), registrar.TombstoneRow(partition, buried.version)}
		row := registrar.TombstoneRow(partition, 0)
		row.Value = value
		result, err := a.Store.Transact(ctx, platform.Transaction{Expect: expected, Put: []platform.Row{row}})
		switch {
		case err == nil:
			a.Logger.Info("job cancelled before it was accepted", "job", c.id, "queue", c.queue.Name, "organisation", c.organisation,
				"version", result.Version, "bytes", len(value))
			return nil
		case errors.Is(err, platform.ErrConflict):
			existing := existingRows(result.Rows)
			jobRow = existing[c.id]
			buried = newTombstones(existing[registrar.TombstoneKey], result.StoreTime, time.Now(), a.Logger)
		case errors.Is(err, platform.ErrOutcomeUnknown) && ctx.Err() == nil:
			sleeper.Sleep(ctx, unknownRetryDelay)
		default:
			return err
		}
	}
}

// wasAccepted reports whether the row is that of the job of the call.
func (c call) wasAccepted(row platform.Row) (bool, error) {
	if row.Version == 0 {
		return false, nil
	}
	job, err := registrar.Decode[registrar.Job](row)
	return err == nil && c.identity().owns(job.Queue, job.Organisation), err
}

// identity returns the identity of the job of the call.
func (c call) identity() identity {
	return identity{id: c.id, queue: c.queue.Name, organisation: c.organisation, public: c.queue.Public}
}

// serveCancel cancels a job, or makes sure that it is not accepted later if it does not exist; only then it responds with 410.
func (a *Acceptor) serveCancel(c call) {
	for {
		jobState, err := a.jobState(c)
		if errors.Is(err, errNoJob) {
			if err = a.bury(c); errors.Is(err, errAccepted) {
				continue
			}
			if err == nil {
				err = errNoJob
			}
		}
		if err == nil && !jobState.Terminal() {
			err = a.requestCancellation(c)
		}
		if err != nil {
			a.respondWithError(c, err)
			return
		}
		a.Logger.Info("cancellation recorded", "job", c.id, "state", jobState)
		platform.WriteStatus(c.w, http.StatusOK)
		return
	}
}

// requestCancellation records the cancellation of an accepted job, and repeats the write until its outcome is known or the context ends.
func (a *Acceptor) requestCancellation(c call) error {
	ctx := c.r.Context()
	row := registrar.CancelRow(c.id)
	row.Value = registrar.Encode(struct{}{})
	for {
		_, err := a.Store.Transact(ctx, platform.Transaction{Put: []platform.Row{row}})
		if err == nil || !errors.Is(err, platform.ErrOutcomeUnknown) || ctx.Err() != nil {
			return err
		}
	}
}
