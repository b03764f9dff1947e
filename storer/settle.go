package storer

import (
	"context"
	"errors"
	"fmt"
)

// settleTries bounds how often one call asks after the outcome of a write.
const settleTries = 3

// WriteIdempotent writes and, if the reply is lost, finds out what became of the write by its ID.
//
// All changes but deletes carry an expected version, so sending the same write again
// cannot apply it twice: the second is refused and the row then shows the ID of the first.
func (t Table) WriteIdempotent(ctx context.Context, writeID string, changes []Change) error {
	err := t.Write(ctx, writeID, changes)
	for range settleTries {
		if !errors.Is(err, ErrOutcomeUnknown) {
			return err
		}
		if ctx.Err() != nil {
			return err
		}
		err = t.settle(ctx, writeID, changes)
	}
	return err
}

func (t Table) settle(ctx context.Context, writeID string, changes []Change) error {
	applied, err := t.applied(ctx, writeID, changes)
	if err != nil {
		return fmt.Errorf("%w: read back failed: %w", ErrOutcomeUnknown, err)
	}
	if applied {
		return nil
	}
	err = t.Write(ctx, writeID, changes)
	if !errors.Is(err, ErrConflict) {
		return keepUnknown(err)
	}
	applied, readErr := t.applied(ctx, writeID, changes)
	if readErr != nil {
		return fmt.Errorf("%w: read back failed: %w", ErrOutcomeUnknown, readErr)
	}
	if applied {
		return nil
	}
	return err
}

// keepUnknown turns a sure failure of the second sending into an unknown outcome, since the first may still arrive.
func keepUnknown(err error) error {
	if errors.Is(err, ErrUnavailable) {
		return fmt.Errorf("%w: first reply lost, then %w", ErrOutcomeUnknown, err)
	}
	return err
}

// applied reports whether a row of the write shows the write's ID.
func (t Table) applied(ctx context.Context, writeID string, changes []Change) (bool, error) {
	for _, c := range changes {
		if c.Delete || c.CheckOnly {
			continue
		}
		row, err := t.Read(ctx, c.Key)
		if errors.Is(err, ErrNotFound) {
			return false, nil
		}
		if err != nil {
			return false, fmt.Errorf("read %s: %w", c.Key, err)
		}
		return row.WriteID == writeID, nil
	}
	return false, nil
}
