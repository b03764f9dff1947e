package scheduler

import (
	"time"

	"github.com/snipelift/snipelift/packer"
)

// Decision is something that the caller of Apply must carry out or make known.
type Decision interface{ Why() Reason }

// AdmitJob admits a job.
type AdmitJob struct {
	ID     string
	Reason Reason
}

// RefuseJob turns a job away that was never admitted; it did not run.
type RefuseJob struct {
	ID         string
	RetryAfter time.Duration
	Reason     Reason
}

// StartAttempt asks to start an attempt on all its members or on none.
type StartAttempt struct {
	Job        Job
	Attempt    int
	Members    []Member
	Lent       bool
	Checkpoint bool
	Reason     Reason
}

// StopAttempt asks to stop an attempt on the members named, saving a checkpoint where asked.
type StopAttempt struct {
	ID         string
	Attempt    int
	Members    []Member
	Checkpoint bool
	Reason     Reason
}

// RequeueJob tells that a job waits again.
type RequeueJob struct {
	ID     string
	Moves  int
	Reason Reason
}

// EndJob tells the outcome of a job.
type EndJob struct {
	ID      string
	Outcome Outcome
	Ran     RunStatus
	Reason  Reason
}

// ThrottleJob asks a worker to slow down a job.
type ThrottleJob struct {
	ID     string
	Worker string
	Reason Reason
}

// WorkerChanged tells that a worker was put in or out of use.
type WorkerChanged struct {
	Worker string
	Usable bool
	Reason Reason
}

// GuaranteeChanged tells that guaranteed cells of an organisation no longer pack, or pack again.
type GuaranteeChanged struct {
	Organisation string
	Shape        packer.Shape
	Missing      int
	Reason       Reason
}

// Why returns the reason of the decision.
func (d AdmitJob) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d RefuseJob) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d StartAttempt) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d StopAttempt) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d RequeueJob) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d EndJob) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d ThrottleJob) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d WorkerChanged) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d GuaranteeChanged) Why() Reason { return d.Reason }
