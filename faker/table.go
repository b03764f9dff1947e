package faker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/snipelift/snipelift/storer"
)

// Table is an in-memory table with transactional writes.
type Table struct {
	faultInjector
	mu     sync.Mutex
	rows   map[string]storer.Row
	reads  int
	writes int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]storer.Row{}} }

// Counts returns how many rows were read and written so far; a read that finds no row counts as one.
func (t *Table) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Client returns a client of the table that calls it in process.
func (t *Table) Client() storer.Table {
	return storer.Table{Read: t.Read, Range: t.Range, Write: t.Write}
}

// Read returns the row with the key, or storer.ErrNotFound.
func (t *Table) Read(ctx context.Context, key string) (storer.Row, error) {
	if err := t.injectFaults(ctx); err != nil {
		return storer.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.rows[key]
	if !ok {
		return row, storer.ErrNotFound
	}
	return row, nil
}

// Range returns the rows whose keys start with prefix, in the order of their keys.
func (t *Table) Range(ctx context.Context, prefix string) ([]storer.Row, error) {
	if err := t.injectFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var matches []storer.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			matches = append(matches, row)
		}
	}
	t.reads += max(1, len(matches))
	slices.SortFunc(matches, func(a, b storer.Row) int { return strings.Compare(a.Key, b.Key) })
	return matches, nil
}

// Write applies all changes, or none if one of them expects another version of its row.
func (t *Table) Write(ctx context.Context, writeID string, changes []storer.Change) error {
	if err := t.injectFaults(ctx); err != nil {
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("%w: %w", storer.ErrOutcomeUnknown, err)
		}
		return err
	}
	if err := t.apply(writeID, changes); err != nil {
		return err
	}
	if t.loseReply() {
		return fmt.Errorf("%w: reply lost", storer.ErrOutcomeUnknown)
	}
	return nil
}

func (t *Table) injectFaults(ctx context.Context) error {
	if err := t.delay(ctx); err != nil {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	}
	if t.CurrentFaults().Down {
		return fmt.Errorf("%w: told to be down", storer.ErrUnavailable)
	}
	return nil
}

func (t *Table) apply(writeID string, changes []storer.Change) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes += len(changes)
	for _, c := range changes {
		if c.Expect != storer.AnyVersion && t.rows[c.Key].Version != c.Expect {
			return fmt.Errorf("%w: %s is at version %d, expected %d", storer.ErrConflict, c.Key, t.rows[c.Key].Version, c.Expect)
		}
	}
	for _, c := range changes {
		switch {
		case c.CheckOnly:
		case c.Delete:
			delete(t.rows, c.Key)
		default:
			version := max(c.Expect, 0) + 1
			t.rows[c.Key] = storer.Row{Key: c.Key, Version: version, WriteID: writeID, Value: slices.Clone(c.Value)}
		}
	}
	return nil
}
