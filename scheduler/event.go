package scheduler

import (
	"time"

	"github.com/snipelift/snipelift/documenter"
)

// Event is an external change to which the scheduler responds.
type Event interface{ event() }

// JobSubmitted asks for admission of a job, without another check of the limits if it was Recorded after its admission or Restored by a new owner.
type JobSubmitted struct {
	Job        Job
	Recorded   bool
	Restored   bool
	Attempt    int
	Moves      int
	Checkpoint bool
	// MayHaveRun reports that earlier attempts may have started without being recorded.
	MayHaveRun bool
}

// JobAdopted reports an attempt that was already running when this scheduler took over.
type JobAdopted struct {
	Job        Job
	Attempt    int
	Members    []Member
	Started    time.Time
	Moves      int
	Checkpoint bool
}

// JobCancelled reports that the caller cancelled the job.
type JobCancelled struct{ ID string }

// AttemptStarted reports that all members of an attempt are running.
type AttemptStarted struct {
	ID      string
	Attempt int
}

// AttemptRefused reports that no member of an attempt started and that none can start any more.
type AttemptRefused struct {
	ID      string
	Attempt int
	Worker  string
}

// AttemptCheckpointed reports that an attempt saved a checkpoint that covers all its members.
type AttemptCheckpointed struct {
	ID      string
	Attempt int
}

// AttemptStopped reports that no member of an attempt runs any more after a stop, and whether a checkpoint was saved.
type AttemptStopped struct {
	ID         string
	Attempt    int
	Checkpoint bool
}

// AttemptFinished reports how an attempt ended without being stopped; Worker is the member that failed.
type AttemptFinished struct {
	ID      string
	Attempt int
	Outcome Outcome
	Worker  string
}

// WorkerReported reports that a worker answered and how it describes itself.
type WorkerReported struct {
	Worker  Worker
	Leaving bool
}

// WorkerSilent reports that a worker does not answer; its tasks continue until their leases expire.
type WorkerSilent struct{ ID string }

// WorkerLost reports that all leases on the worker have expired, so that none of the service's tasks runs there.
type WorkerLost struct{ ID string }

// UsageReported reports how much memory a job uses on a worker; the figure may be seconds old.
type UsageReported struct {
	ID       string
	Worker   string
	MemoryMB int
}

// DocumentChanged replaces the document in force.
type DocumentChanged struct{ Document documenter.Document }

// StoreChanged reports whether attempts can be recorded; while they cannot, non-idempotent jobs are not started.
type StoreChanged struct{ Unavailable bool }

// Ticked reports that time has passed.
type Ticked struct{}

func (JobSubmitted) event()        {}
func (JobAdopted) event()          {}
func (JobCancelled) event()        {}
func (AttemptStarted) event()      {}
func (AttemptRefused) event()      {}
func (AttemptCheckpointed) event() {}
func (AttemptStopped) event()      {}
func (AttemptFinished) event()     {}
func (WorkerReported) event()      {}
func (WorkerSilent) event()        {}
func (WorkerLost) event()          {}
func (UsageReported) event()       {}
func (DocumentChanged) event()     {}
func (StoreChanged) event()        {}
func (Ticked) event()              {}
