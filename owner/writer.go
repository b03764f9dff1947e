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
	// maxTransaction is the largest number of rows in one transaction of the platform.
	maxTransaction = 100
	// breakerPause is how long writes are refused unsent after one has found the table away.
	breakerPause = time.Second
)

// writer merges the writes of one owner into transactions that hold only while its epoch is the last.
type writer struct {
	options  Options
	requests chan writeRequest
	// changed is called when the table goes away and when it is back.
	changed func(away bool)

	mu     sync.Mutex
	away   bool
	openAt time.Time
}

type writeRequest struct {
	changes []storer.Change
	result  chan error
}

func newWriter(options Options, changed func(away bool)) *writer {
	return &writer{options: options, changed: changed, requests: make(chan writeRequest, inboxSize)}
}

// setAway notes whether the table answers, and tells of a change.
func (w *writer) setAway(away bool) {
	w.mu.Lock()
	before := w.away
	w.away = away
	w.openAt = time.Time{}
	if away {
		w.openAt = time.Now().Add(breakerPause)
	}
	w.mu.Unlock()
	if before != away {
		w.changed(away)
	}
}

// refuses reports whether the table was found away moments ago, so that a write is better not sent.
func (w *writer) refuses() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.openAt)
}

func (w *writer) isAway() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.away
}

// probe looks for the table while it is away.
func (w *writer) probe(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, time.Duration(float64(breakerPause)*(0.5+w.options.Random())))
		if !w.isAway() {
			continue
		}
		if _, err := w.options.Table.Read(ctx, recorder.KeyEpoch); err == nil {
			w.setAway(false)
		}
	}
}

// write applies the changes if the owner has not been superseded; errors are those of storer.Table.
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

// run sends one transaction at a time, made of all that waited meanwhile.
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

func (w *writer) collect(first writeRequest) []writeRequest {
	batch := []writeRequest{first}
	rows := len(first.changes) + 1
	seen := keysOf(first.changes, map[string]bool{})
	for {
		select {
		case next := <-w.requests:
			batch = append(batch, next)
			rows += len(next.changes)
			if rows > maxTransaction-4 || overlaps(next.changes, seen) {
				return batch
			}
			keysOf(next.changes, seen)
		default:
			return batch
		}
	}
}

func keysOf(changes []storer.Change, into map[string]bool) map[string]bool {
	for _, c := range changes {
		into[c.Key] = true
	}
	return into
}

func overlaps(changes []storer.Change, seen map[string]bool) bool {
	for _, c := range changes {
		if seen[c.Key] {
			return true
		}
	}
	return false
}

// send writes the batch as one transaction; if a row of it conflicts, each request is written on its own.
func (w *writer) send(ctx context.Context, batch []writeRequest) {
	if w.refuses() {
		w.reply(batch, fmt.Errorf("%w: it was away moments ago", storer.ErrUnavailable))
		return
	}
	last := batch[len(batch)-1]
	if len(batch) > 1 && w.overlapping(batch) {
		w.send(ctx, batch[:len(batch)-1])
		w.send(ctx, []writeRequest{last})
		return
	}
	var changes []storer.Change
	for _, r := range batch {
		changes = append(changes, r.changes...)
	}
	err := w.commit(ctx, changes)
	if errors.Is(err, storer.ErrConflict) && len(batch) > 1 {
		for _, r := range batch {
			w.send(ctx, []writeRequest{r})
		}
		return
	}
	w.reply(batch, err)
}

// overlapping reports whether the last request touches a row of the others, which one transaction may not do.
func (w *writer) overlapping(batch []writeRequest) bool {
	seen := map[string]bool{}
	for _, r := range batch[:len(batch)-1] {
		keysOf(r.changes, seen)
	}
	return overlaps(batch[len(batch)-1].changes, seen)
}

func (w *writer) reply(batch []writeRequest, err error) {
	for _, r := range batch {
		r.result <- err
	}
}

func (w *writer) commit(ctx context.Context, changes []storer.Change) error {
	fenced := append([]storer.Change{{Key: recorder.KeyEpoch, Expect: w.options.Epoch, CheckOnly: true}}, changes...)
	err := w.options.Table.WriteSettled(ctx, w.options.NewID(), fenced)
	w.setAway(errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrOutcomeUnknown))
	return err //nolint:wrapcheck // The sentinel errors of storer.Table are the contract.
}
