package documenter

import (
	"time"

	"github.com/snipelift/snipelift/packer"
)

// Document is the configuration of a service; the order of Organisations and of Classes is their priority, highest first.
type Document struct {
	Service       string         `json:"service"`
	Workers       []WorkerGroup  `json:"workers"`
	Organisations []Organisation `json:"organisations"`
	Classes       []Class        `json:"classes"`
}

// WorkerGroup describes identical racks of identical workers in one availability zone.
type WorkerGroup struct {
	Zone           string `json:"zone"`
	Racks          int    `json:"racks"`
	WorkersPerRack int    `json:"workersPerRack"`
	Accelerators   int    `json:"accelerators"`
}

// Organisation submits jobs and has guaranteed shapes; accelerators lent to others are reclaimed for it when it needs them.
type Organisation struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the organisation's API key in hex, or empty.
	KeySHA256  string      `json:"keySha256,omitempty"`
	Guarantees []Guarantee `json:"guarantees"`
}

// Guarantee is a shape and the number of its instances that an organisation can always use.
type Guarantee struct {
	packer.Shape
	Count int `json:"count"`
}

// Class is a class of jobs with common scheduling rules and limits.
type Class struct {
	Name string `json:"name"`
	// StartWithinSeconds makes the class urgent: its jobs should start within this time; 0 means no limit.
	StartWithinSeconds int  `json:"startWithinSeconds,omitempty"`
	Idempotent         bool `json:"idempotent"`
	Checkpointable     bool `json:"checkpointable"`
	// Borrows lets jobs use free accelerators beyond the guarantees of their organisation.
	Borrows bool   `json:"borrows"`
	Limits  Limits `json:"limits"`
}

// Limits are the limits of a class.
type Limits struct {
	// Queued limits the waiting jobs of one organisation.
	Queued int `json:"queued"`
	// Retries limits the retries of a job after failures.
	Retries int `json:"retries"`
	// RunSeconds limits the run time of one attempt.
	RunSeconds int `json:"runSeconds"`
}

// Urgent reports whether the class limits the time until its jobs start.
func (c Class) Urgent() bool { return c.StartWithinSeconds > 0 }

// Reclaimable reports whether running jobs of the class can be stopped for others, because they can resume at a checkpoint or run again.
func (c Class) Reclaimable() bool { return c.Checkpointable || c.Idempotent }

// StartWithin returns the time within which urgent jobs should start, or 0 if the class is not urgent.
func (c Class) StartWithin() time.Duration { return time.Duration(c.StartWithinSeconds) * time.Second }

// RunLimit returns the maximum run time of one attempt, or 0 for no limit.
func (c Class) RunLimit() time.Duration { return time.Duration(c.Limits.RunSeconds) * time.Second }

// WorkerSize returns the number of accelerators of the largest worker; shapes within a rack consist of whole workers of this size.
func (d Document) WorkerSize() int {
	size := 0
	for _, g := range d.Workers {
		size = max(size, g.Accelerators)
	}
	return size
}

// Class returns the class with the name and its index in Classes, or false.
func (d Document) Class(name string) (Class, int, bool) {
	for i, c := range d.Classes {
		if c.Name == name {
			return c, i, true
		}
	}
	return Class{}, 0, false
}

// Organisation returns the organisation with the name and its index in Organisations, or false.
func (d Document) Organisation(name string) (Organisation, int, bool) {
	for i, o := range d.Organisations {
		if o.Name == name {
			return o, i, true
		}
	}
	return Organisation{}, 0, false
}
