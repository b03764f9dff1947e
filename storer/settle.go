package storer

import (
	"context"
	"errors"
	"fmt"
)

// maxResolveAttempts limits how often one call tries to resolve the unknown outcome of a write.
const maxResolveAttempts = 3

// WriteIdempotent writes and, if the outcome is unknown, reads a row back to look for the write ID and repeats the write if it is missing.
//
// All changes except deletes have an expected version, so repeating a write cannot
// apply it twice: the second one fails with ErrConflict, and the row has the ID of the first.
func (t Table) WriteIdempotent(ctx context.Context, writeID string, changes []Change) error {
	err := t.Write(ctx, writeID, changes)
	for range maxResolveAttempts {
		if !errors.Is(err, ErrOutcomeUnknown) {
			return err
		}
		if ctx.Err() != nil {
			return err
		}
		err = t.resolve(ctx, writeID, changes)
	}
	return err
}

// resolve determines the outcome of an unknown write, repeating it if it has not been applied.
func (t Table) resolve(ctx context.Context, writeID string, changes []Change) error {
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

// keepUnknown turns ErrUnavailable of the repeated write into ErrOutcomeUnknown, since the first write may still be executed.
func keepUnknown(err error) error {
	if errors.Is(err, ErrUnavailable) {
		return fmt.Errorf("%w: first reply lost, then %w", ErrOutcomeUnknown, err)
	}
	return err
}

// applied reports whether the first row that the write puts has the write ID.
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
