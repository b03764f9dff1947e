package storer

import (
	"context"
	"errors"
)

var (
	// ErrNotFound means that there is no row or object under the key.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a row did not have the expected version, so that nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that a request to the store failed; a table write that returns it was not executed.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write may have been executed, or may still be executed later.
	ErrOutcomeUnknown = errors.New("outcome of write unknown")
)

// AnyVersion as Change.Expect makes a change unconditional.
const AnyVersion int64 = -1

// Row is a stored value with its version, which starts at 1, and the ID of the write that stored it.
type Row struct {
	Key     string
	Version int64
	WriteID string
	Value   []byte
}

// Change is the change of one row in a transaction; Expect is the version that the row must have, 0 for a row that must not exist, or AnyVersion.
type Change struct {
	Key    string
	Expect int64
	Value  []byte
	Delete bool
	// CheckOnly checks Expect without changing the row.
	CheckOnly bool
}

// Table is a client of the transactional table service; each function can be replaced separately.
type Table struct {
	// Read returns a row, ErrNotFound or ErrUnavailable.
	Read func(ctx context.Context, key string) (Row, error)
	// Range returns all rows whose key starts with prefix, ordered by key.
	Range func(ctx context.Context, prefix string) ([]Row, error)
	// Write applies all changes or none; it returns ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	Write func(ctx context.Context, writeID string, changes []Change) error
}

// Objects is a client of the object store; each function can be replaced separately.
type Objects struct {
	// Put stores the object atomically.
	Put func(ctx context.Context, key string, data []byte) error
	// Get returns the object, ErrNotFound or ErrUnavailable.
	Get func(ctx context.Context, key string) ([]byte, error)
}
