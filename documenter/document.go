package documenter

import (
	"time"

	"github.com/snipelift/snipelift/packer"
)

// Document says which organisations hold which guarantees and which work comes first; the order of both lists is their priority.
type Document struct {
	Service       string         `json:"service"`
	Workers       []WorkerGroup  `json:"workers"`
	Organisations []Organisation `json:"organisations"`
	Classes       []Class        `json:"classes"`
}

// WorkerGroup describes equal racks of equal workers in one availability zone.
type WorkerGroup struct {
	Zone           string `json:"zone"`
	Racks          int    `json:"racks"`
	WorkersPerRack int    `json:"workersPerRack"`
	Accelerators   int    `json:"accelerators"`
}

// Organisation holds the shapes that can be reclaimed for it at any time.
type Organisation struct {
	Name       string      `json:"name"`
	KeySHA256  string      `json:"keySha256,omitempty"`
	Guarantees []Guarantee `json:"guarantees"`
}

// Guarantee is a shape and how many of it an organisation always gets.
type Guarantee struct {
	packer.Shape
	Count int `json:"count"`
}

// Class is a kind of work with its rules and limits.
type Class struct {
	Name               string `json:"name"`
	StartWithinSeconds int    `json:"startWithinSeconds,omitempty"`
	Idempotent         bool   `json:"idempotent"`
	Checkpointable     bool   `json:"checkpointable"`
	Borrows            bool   `json:"borrows"`
	Limits             Limits `json:"limits"`
}

// Limits bounds what one organisation may ask of a class.
type Limits struct {
	Queued     int `json:"queued"`
	Retries    int `json:"retries"`
	RunSeconds int `json:"runSeconds"`
}

// Urgent reports whether the class has a bound on its start.
func (c Class) Urgent() bool { return c.StartWithinSeconds > 0 }

// Reclaimable reports whether running work of the class can be stopped without loss or doubt.
func (c Class) Reclaimable() bool { return c.Checkpointable || c.Idempotent }

// StartWithin returns the bound on the start of urgent work, or zero.
func (c Class) StartWithin() time.Duration { return time.Duration(c.StartWithinSeconds) * time.Second }

// RunLimit returns the longest time that one attempt may run, or zero for no bound.
func (c Class) RunLimit() time.Duration { return time.Duration(c.Limits.RunSeconds) * time.Second }

// WorkerSize returns the accelerators of the largest worker, the building block of shapes within a rack.
func (d Document) WorkerSize() int {
	unit := 0
	for _, g := range d.Workers {
		unit = max(unit, g.Accelerators)
	}
	return unit
}

// Class returns the class of that name and its position, or false.
func (d Document) Class(name string) (Class, int, bool) {
	for i, c := range d.Classes {
		if c.Name == name {
			return c, i, true
		}
	}
	return Class{}, 0, false
}

// Organisation returns the organisation of that name and its position, or false.
func (d Document) Organisation(name string) (Organisation, int, bool) {
	for i, o := range d.Organisations {
		if o.Name == name {
			return o, i, true
		}
	}
	return Organisation{}, 0, false
}
