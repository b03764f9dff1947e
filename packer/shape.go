package packer

import (
	"errors"
	"fmt"
	"math/bits"
)

// Within is the locality of a shape: the worker or rack that all its accelerators must share.
type Within string

const (
	// WithinWorker requires all accelerators on one worker.
	WithinWorker Within = "worker"
	// WithinRack requires whole workers of one rack.
	WithinRack Within = "rack"
)

// ErrShape is wrapped by every error about an invalid shape.
var ErrShape = errors.New("impossible shape")

// Shape is a number of accelerators and their locality; zero accelerators stand for one slot of a worker that has none.
type Shape struct {
	Accelerators int    `json:"accelerators"`
	Within       Within `json:"within"`
}

// String returns a readable form such as "32 within a rack".
func (s Shape) String() string {
	if s.Accelerators == 0 {
		return "one slot without accelerators"
	}
	return fmt.Sprintf("%d within a %s", s.Accelerators, s.Within)
}

// WithDefaults returns the shape with an empty locality replaced by WithinWorker.
func (s Shape) WithDefaults() Shape {
	if s.Within == "" {
		s.Within = WithinWorker
	}
	return s
}

// Members returns how many workers the shape spans and how many accelerators it needs on each, for workers of workerSize accelerators.
func (s Shape) Members(workerSize int) (members, perWorker int) {
	if s.Within != WithinRack || workerSize <= 0 {
		return 1, s.Accelerators
	}
	return s.Accelerators / workerSize, workerSize
}

// Validate returns an error that wraps ErrShape unless the shape is one slot, a power of two of accelerators that fits a worker, or at least two whole workers in a power of two.
func (s Shape) Validate(workerSize int) error {
	switch s.Within {
	case WithinWorker:
		return s.validateWithinWorker(workerSize)
	case WithinRack:
		return s.validateWithinRack(workerSize)
	default:
		return fmt.Errorf("%w: within is %q, accepted are %q and %q", ErrShape, s.Within, WithinWorker, WithinRack)
	}
}

func (s Shape) validateWithinWorker(workerSize int) error {
	if s.Accelerators == 0 {
		return nil
	}
	if !isPowerOfTwo(s.Accelerators) {
		return fmt.Errorf("%w: %d accelerators within a worker, accepted are 1, 2, 4 and so on up to %d", ErrShape, s.Accelerators, workerSize)
	}
	if s.Accelerators > workerSize {
		return fmt.Errorf("%w: %d accelerators within a worker, the largest worker has %d", ErrShape, s.Accelerators, workerSize)
	}
	return nil
}

func (s Shape) validateWithinRack(workerSize int) error {
	if workerSize <= 0 || s.Accelerators%workerSize != 0 || !isPowerOfTwo(s.Accelerators/workerSize) || s.Accelerators < 2*workerSize {
		return fmt.Errorf("%w: %d accelerators within a rack, accepted are 2, 4, 8 and so on whole workers of %d", ErrShape, s.Accelerators, workerSize)
	}
	return nil
}

func isPowerOfTwo(n int) bool { return n > 0 && n&(n-1) == 0 }

func log2(n int) int { return bits.Len(uint(n)) - 1 }
