package scheduler

import (
	"time"

	"github.com/snipelift/snipelift/packer"
)

// Decision is a result of Apply that the caller must carry out or publish.
type Decision interface{ Why() Reason }

// Admitted reports that a job was admitted.
type Admitted struct {
	ID     string
	Reason Reason
}

// Refused rejects a job before its admission; the job did not run.
type Refused struct {
	ID         string
	RetryAfter time.Duration
	Reason     Reason
}

// Started requests the start of an attempt on all its members or on none.
type Started struct {
	Job        Job
	Attempt    int
	Members    []Member
	Lent       bool
	Checkpoint bool
	Reason     Reason
}

// Stopped requests the stop of an attempt on the given members, with a checkpoint if Checkpoint is set.
type Stopped struct {
	ID         string
	Attempt    int
	Members    []Member
	Checkpoint bool
	Reason     Reason
}

// Requeued reports that a job waits again.
type Requeued struct {
	ID     string
	Moves  int
	Reason Reason
}

// Ended reports the outcome of a job.
type Ended struct {
	ID      string
	Outcome Outcome
	Ran     Ran
	Reason  Reason
}

// Throttled requests that a worker slow a job down.
type Throttled struct {
	ID     string
	Worker string
	Reason Reason
}

// WorkerChanged reports that a worker became usable or unusable.
type WorkerChanged struct {
	Worker string
	Usable bool
	Reason Reason
}

// GuaranteeChanged reports how many cells of an organisation's guarantee do not fit the usable workers.
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
