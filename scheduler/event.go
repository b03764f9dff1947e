package scheduler

import (
	"time"

	"github.com/snipelift/snipelift/documenter"
)

// Event is something that happened outside and that the scheduler must take into account.
type Event interface{ event() }

// JobSubmitted asks for admission of a job; one that was Recorded after its admission, or Restored by a new owner, is not held to the limits again.
type JobSubmitted struct {
	Job        Job
	Recorded   bool
	Restored   bool
	Attempt    int
	Moves      int
	Checkpoint bool
	// MayHaveRun tells that earlier attempts may have started that nobody recorded.
	MayHaveRun bool
}

// JobAdopted tells of an attempt that was found running when this scheduler took over.
type JobAdopted struct {
	Job        Job
	Attempt    int
	Members    []Member
	Started    time.Time
	Moves      int
	Checkpoint bool
}

// JobCancelled tells that the caller no longer wants the job.
type JobCancelled struct{ ID string }

// AttemptStarted tells that all members of an attempt run.
type AttemptStarted struct {
	ID      string
	Attempt int
}

// AttemptRefused tells that no member of an attempt started and that none can any more.
type AttemptRefused struct {
	ID      string
	Attempt int
	Worker  string
}

// AttemptCheckpointed tells that an attempt saved its progress as a whole.
type AttemptCheckpointed struct {
	ID      string
	Attempt int
}

// AttemptStopped tells that no member of an attempt runs any more after a stop, and whether a checkpoint was saved.
type AttemptStopped struct {
	ID         string
	Attempt    int
	Checkpoint bool
}

// AttemptFinished tells how an attempt ended by itself; Worker names the member that failed.
type AttemptFinished struct {
	ID      string
	Attempt int
	Outcome Outcome
	Worker  string
}

// WorkerReported tells that a worker answers and what it says of itself.
type WorkerReported struct {
	Worker  Worker
	Leaving bool
}

// WorkerSilent tells that a worker does not answer; what runs there goes on under its lease.
type WorkerSilent struct{ ID string }

// WorkerLost tells that every lease on the worker has lapsed, so that nothing of ours runs there.
type WorkerLost struct{ ID string }

// UsageReported tells what memory a job uses on a worker, which may be seconds old.
type UsageReported struct {
	ID       string
	Worker   string
	MemoryMB int
}

// DocumentChanged puts a document in force.
type DocumentChanged struct{ Document documenter.Document }

// StoreChanged tells whether attempts can be recorded; without that, work that must not run twice is not started.
type StoreChanged struct{ Unavailable bool }

// Ticked tells that time has passed.
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
