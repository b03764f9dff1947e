package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/storer"
)

const (
	// maxTransactionRows is the platform's limit on the rows of one transaction.
	maxTransactionRows = 100
	// breakerCooldown is how long writes fail without being sent after one has found the table unavailable.
	breakerCooldown = time.Second
)

// writer batches the writes of one owner into transactions that succeed only while its epoch is the latest.
type writer struct {
	options  Options
	requests chan writeRequest
	// onChange is called when the table becomes unavailable and when it is available again.
	onChange func(unavailable bool)

	mu          sync.Mutex
	unavailable bool
	// retryAt is when the circuit breaker lets writes through again; it is zero while the table is available.
	retryAt time.Time
}

// writeRequest is one call of write; its changes always go into the same transaction.
type writeRequest struct {
	changes []storer.Change
	result  chan error
}

func newWriter(options Options, onChange func(unavailable bool)) *writer {
	return &writer{options: options, onChange: onChange, requests: make(chan writeRequest, inboxSize)}
}

// setUnavailable records whether the table is unavailable and calls onChange if that has changed.
func (w *writer) setUnavailable(unavailable bool) {
	w.mu.Lock()
	previous := w.unavailable
	w.unavailable = unavailable
	w.retryAt = time.Time{}
	if unavailable {
		w.retryAt = time.Now().Add(breakerCooldown)
	}
	w.mu.Unlock()
	if previous != unavailable {
		w.onChange(unavailable)
	}
}

// breakerOpen reports whether the table was found unavailable within the last breakerCooldown, so that writes fail without being sent.
func (w *writer) breakerOpen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.retryAt)
}

func (w *writer) isUnavailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unavailable
}

// probe reads a row at intervals while the table is unavailable, until it answers again.
func (w *writer) probe(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, time.Duration(float64(breakerCooldown)*(0.5+w.options.Random())))
		if !w.isUnavailable() {
			continue
		}
		if _, err := w.options.Table.Read(ctx, recorder.KeyEpoch); err == nil {
			w.setUnavailable(false)
		}
	}
}

// write applies the changes unless the owner has been superseded; the errors are those of storer.Table.
func (w *writer) write(ctx context.Context, changes []storer.Change) error {
	request := writeRequest{changes: changes, result: make(chan error, 1)}
	select {
	case w.requests <- request:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
	}
	select {
	case err := <-request.result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storer.ErrOutcomeUnknown, ctx.Err())
	}
}

// run sends one transaction at a time, each with the requests that were queued during the previous one.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.requests:
			w.send(ctx, w.collect(first))
		}
	}
}

// collect adds queued requests to the first one, until the transaction is nearly full or a request touches a row that is already in it.
//
// The margin of 4 rows leaves space for the request that exceeds it.
func (w *writer) collect(first writeRequest) []writeRequest {
	batch := []writeRequest{first}
	rows := len(first.changes) + 1
	seen := addKeys(first.changes, map[string]bool{})
	for {
		select {
		case next := <-w.requests:
			batch = append(batch, next)
			rows += len(next.changes)
			if rows > maxTransactionRows-4 || touchesAny(next.changes, seen) {
				return batch
			}
			addKeys(next.changes, seen)
		default:
			return batch
		}
	}
}

// addKeys adds the keys of the changes to into and returns it.
func addKeys(changes []storer.Change, into map[string]bool) map[string]bool {
	for _, c := range changes {
		into[c.Key] = true
	}
	return into
}

func touchesAny(changes []storer.Change, seen map[string]bool) bool {
	for _, c := range changes {
		if seen[c.Key] {
			return true
		}
	}
	return false
}

// send writes the batch as one transaction; if a row conflicts, it writes each request in a transaction of its own.
func (w *writer) send(ctx context.Context, batch []writeRequest) {
	if w.breakerOpen() {
		w.reply(batch, fmt.Errorf("%w: the last request failed moments ago", storer.ErrUnavailable))
		return
	}
	last := batch[len(batch)-1]
	if len(batch) > 1 && w.lastOverlaps(batch) {
		w.send(ctx, batch[:len(batch)-1])
		w.send(ctx, []writeRequest{last})
		return
	}
	var changes []storer.Change
	for _, r := range batch {
		changes = append(changes, r.changes...)
	}
	err := w.commitFenced(ctx, changes)
	if errors.Is(err, storer.ErrConflict) && len(batch) > 1 {
		for _, r := range batch {
			w.send(ctx, []writeRequest{r})
		}
		return
	}
	w.reply(batch, err)
}

// lastOverlaps reports whether the last request touches a row of the others; one transaction must not contain a row twice.
func (w *writer) lastOverlaps(batch []writeRequest) bool {
	seen := map[string]bool{}
	for _, r := range batch[:len(batch)-1] {
		addKeys(r.changes, seen)
	}
	return touchesAny(batch[len(batch)-1].changes, seen)
}

func (w *writer) reply(batch []writeRequest, err error) {
	for _, r := range batch {
		r.result <- err
	}
}

// commitFenced sends a transaction that also checks that the owner's epoch is the latest.
func (w *writer) commitFenced(ctx context.Context, changes []storer.Change) error {
	fenced := append([]storer.Change{{Key: recorder.KeyEpoch, Expect: w.options.Epoch, CheckOnly: true}}, changes...)
	err := w.options.Table.WriteIdempotent(ctx, w.options.NewID(), fenced)
	w.setUnavailable(errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrOutcomeUnknown))
	return err //nolint:wrapcheck // The sentinel errors of storer.Table are the contract.
}
