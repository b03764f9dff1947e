package storer

import (
	"context"
	"errors"
)

var (
	// ErrNotFound means that there is no row or object under the key.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a row was not at the expected version, so that nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the service surely did not take the request.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect, now or later.
	ErrOutcomeUnknown = errors.New("outcome of write unknown")
)

// AnyVersion as an expected version writes the row whatever is there.
const AnyVersion int64 = -1

// Row is a value with the version and the ID of the write that put it there; versions start at 1.
type Row struct {
	Key     string
	Version int64
	WriteID string
	Value   []byte
}

// Change is one row of a transaction: Expect is the row's current version, 0 for none, or AnyVersion.
type Change struct {
	Key    string
	Expect int64
	Value  []byte
	Delete bool
	// CheckOnly asserts Expect without writing.
	CheckOnly bool
}

// Table is the transactional table service; each field may be replaced on its own.
type Table struct {
	// Read returns a row, ErrNotFound or ErrUnavailable.
	Read func(ctx context.Context, key string) (Row, error)
	// Range returns all rows whose key starts with prefix, in order of key.
	Range func(ctx context.Context, prefix string) ([]Row, error)
	// Write applies all changes or none; it returns ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	Write func(ctx context.Context, writeID string, changes []Change) error
}

// Objects is the object store; each field may be replaced on its own.
type Objects struct {
	// Put stores the object whole or not at all.
	Put func(ctx context.Context, key string, data []byte) error
	// Get returns the object, ErrNotFound or ErrUnavailable.
	Get func(ctx context.Context, key string) ([]byte, error)
}
