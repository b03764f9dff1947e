package scheduler

import (
	"time"

	"github.com/snipelift/snipelift/packer"
)

// Job describes the work that a caller submitted.
type Job struct {
	ID              string        `json:"id"`
	Organisation    string        `json:"organisation"`
	Class           string        `json:"class"`
	Shape           packer.Shape  `json:"shape"`
	Submitted       time.Time     `json:"submitted"`
	Deadline        time.Time     `json:"deadline,omitzero"`
	DeclaredRunTime time.Duration `json:"declared,omitempty"`
	MemoryMB        int           `json:"memoryMb,omitempty"`
}

// Member is the part of a job that runs on one worker.
type Member struct {
	Worker       string `json:"worker"`
	Accelerators []int  `json:"accelerators"`
}

// Worker is an upstream that runs tasks, as it describes itself.
type Worker struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Incarnation  string `json:"incarnation,omitempty"`
	Accelerators int    `json:"accelerators"`
	Slots        int    `json:"slots"`
	MemoryMB     int    `json:"memoryMb"`
}

// capacity returns the accelerators of the worker, or its slots if it has none.
func (w Worker) capacity() int {
	if w.Accelerators > 0 {
		return w.Accelerators
	}
	return w.Slots
}

// Outcome is how a job ended.
type Outcome string

const (
	// OutcomeSucceeded means that the worker returned a result.
	OutcomeSucceeded Outcome = "succeeded"
	// OutcomeFailed means that the job ran and failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled means that the caller cancelled the job.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeExpired means that the deadline passed before the job could start.
	OutcomeExpired Outcome = "expired"
	// OutcomeRefused means that the job was not admitted.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that it cannot be determined whether the job ran.
	OutcomeUnknown Outcome = "unknown"
)

// Ran says whether any part of a job is known to have run.
type Ran string

const (
	// NotRun means that certainly no attempt started.
	NotRun Ran = "notRun"
	// DidRun means that an attempt started.
	DidRun Ran = "ran"
	// RanUnknown means that an attempt may have started.
	RanUnknown Ran = "unknown"
)
