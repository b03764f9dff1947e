package scheduler

import (
	"time"

	"github.com/snipelift/snipelift/packer"
)

// Decision is something that the caller of Apply must carry out or make known.
type Decision interface{ Why() Reason }

// Admitted admits a job.
type Admitted struct {
	ID     string
	Reason Reason
}

// Refused turns a job away that was never admitted; it did not run.
type Refused struct {
	ID         string
	RetryAfter time.Duration
	Reason     Reason
}

// Started asks to start an attempt on all its members or on none.
type Started struct {
	Job        Job
	Attempt    int
	Members    []Member
	Lent       bool
	Checkpoint bool
	Reason     Reason
}

// Stopped asks to stop an attempt on the members named, saving a checkpoint where asked.
type Stopped struct {
	ID         string
	Attempt    int
	Members    []Member
	Checkpoint bool
	Reason     Reason
}

// Requeued tells that a job waits again.
type Requeued struct {
	ID     string
	Moves  int
	Reason Reason
}

// Ended tells the outcome of a job.
type Ended struct {
	ID      string
	Outcome Outcome
	Ran     Ran
	Reason  Reason
}

// Throttled asks a worker to slow down a job.
type Throttled struct {
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
func (d Admitted) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d Refused) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d Started) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d Stopped) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d Requeued) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d Ended) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d Throttled) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d WorkerChanged) Why() Reason { return d.Reason }

// Why returns the reason of the decision.
func (d GuaranteeChanged) Why() Reason { return d.Reason }
