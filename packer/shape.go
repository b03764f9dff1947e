package packer

import (
	"errors"
	"fmt"
	"math/bits"
)

// Within names the part of the fleet that all accelerators of a shape share.
type Within string

const (
	// WithinWorker asks for all accelerators on one worker.
	WithinWorker Within = "worker"
	// WithinRack asks for whole workers of one rack.
	WithinRack Within = "rack"
)

// ErrShape is wrapped by every refusal of a malformed shape.
var ErrShape = errors.New("impossible shape")

// Shape is a number of adjacent accelerators; zero accelerators ask for one slot of a worker without accelerators.
type Shape struct {
	Accelerators int    `json:"accelerators"`
	Within       Within `json:"within"`
}

// String renders the shape for people, as in "32 within a rack".
func (s Shape) String() string {
	if s.Accelerators == 0 {
		return "one slot without accelerators"
	}
	return fmt.Sprintf("%d within a %s", s.Accelerators, s.Within)
}

// WithDefaults returns the shape with an empty adjacency replaced by WithinWorker.
func (s Shape) WithDefaults() Shape {
	if s.Within == "" {
		s.Within = WithinWorker
	}
	return s
}

// Members returns how many workers the shape spans and how many accelerators it takes on each, for workers of unit accelerators.
func (s Shape) Members(unit int) (members, each int) {
	if s.Within != WithinRack || unit <= 0 {
		return 1, s.Accelerators
	}
	return s.Accelerators / unit, unit
}

// Validate returns an error that wraps ErrShape unless the shape is a power of two that fits a worker, or a power of two of whole workers.
func (s Shape) Validate(unit int) error {
	switch s.Within {
	case WithinWorker:
		return s.validateWithinWorker(unit)
	case WithinRack:
		return s.validateWithinRack(unit)
	default:
		return fmt.Errorf("%w: within is %q, accepted are %q and %q", ErrShape, s.Within, WithinWorker, WithinRack)
	}
}

func (s Shape) validateWithinWorker(unit int) error {
	if s.Accelerators == 0 {
		return nil
	}
	if !isPowerOfTwo(s.Accelerators) {
		return fmt.Errorf("%w: %d accelerators within a worker, accepted are 1, 2, 4 and so on up to %d", ErrShape, s.Accelerators, unit)
	}
	if s.Accelerators > unit {
		return fmt.Errorf("%w: %d accelerators within a worker, the largest worker has %d", ErrShape, s.Accelerators, unit)
	}
	return nil
}

func (s Shape) validateWithinRack(unit int) error {
	if unit <= 0 || s.Accelerators%unit != 0 || !isPowerOfTwo(s.Accelerators/unit) || s.Accelerators < 2*unit {
		return fmt.Errorf("%w: %d accelerators within a rack, accepted are 2, 4, 8 and so on whole workers of %d", ErrShape, s.Accelerators, unit)
	}
	return nil
}

func isPowerOfTwo(n int) bool { return n > 0 && n&(n-1) == 0 }

func log2(n int) int { return bits.Len(uint(n)) - 1 }
