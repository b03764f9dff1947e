package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/snipelift/snipelift/scheduler"
)

// The paths of a worker's HTTP interface, for POST requests with JSON bodies in both directions; see docs/WORKERS.md.
const (
	PathReserve  = "/v1/reserve"
	PathStart    = "/v1/start"
	PathStop     = "/v1/stop"
	PathThrottle = "/v1/throttle"
	PathSync     = "/v1/sync"
)

var (
	// ErrRefused means that the worker has not executed the command and will not execute it later.
	ErrRefused = errors.New("worker refused")
	// ErrStaleEpoch means that the worker has accepted commands of a newer owner.
	ErrStaleEpoch = errors.New("owner's epoch is stale")
	// ErrUnreachable means that the command was not sent, since no connection could be opened.
	ErrUnreachable = errors.New("worker unreachable")
	// ErrOutcomeUnknown means that the worker may have executed the command.
	ErrOutcomeUnknown = errors.New("no answer from worker")
)

// Attempt identifies one attempt to run a job.
type Attempt struct {
	Job    string `json:"job"`
	Number int    `json:"number"`
	// Direct is the ID of the entry that placed the attempt without an owner, or empty.
	Direct string `json:"direct,omitempty"`
}

// Task is what a worker needs to run one member of a job.
type Task struct {
	Spec         scheduler.Job `json:"spec"`
	Member       int           `json:"member"`
	Members      int           `json:"members"`
	Accelerators []int         `json:"accelerators"`
	// Lent means that the accelerators can be reclaimed while the task runs.
	Lent bool `json:"lent,omitempty"`
	// Resume means that the task continues from the job's last checkpoint.
	Resume      bool            `json:"resume,omitempty"`
	Payload     json.RawMessage `json:"payload,omitempty"`
	Traceparent string          `json:"traceparent,omitempty"`
}

// ReserveRequest reserves accelerators for an attempt until it is started or the reservation expires.
type ReserveRequest struct {
	Epoch         int64   `json:"epoch"`
	Attempt       Attempt `json:"attempt"`
	Task          Task    `json:"task"`
	ExpireSeconds int     `json:"expireSeconds"`
	// AnyAccelerators lets the worker choose the accelerators, as many as Task.Spec.Shape requires.
	AnyAccelerators bool `json:"anyAccelerators,omitempty"`
}

// StartRequest starts a reserved attempt; it is idempotent.
type StartRequest struct {
	Epoch   int64   `json:"epoch"`
	Attempt Attempt `json:"attempt"`
}

// StopRequest stops an attempt, or keeps it from starting later if the worker does not know it; it is idempotent.
type StopRequest struct {
	Epoch   int64   `json:"epoch"`
	Attempt Attempt `json:"attempt"`
	// Checkpoint makes the task save a checkpoint before it stops.
	Checkpoint bool `json:"checkpoint"`
}

// ThrottleRequest slows down an attempt that uses more than its share of the worker's memory.
type ThrottleRequest struct {
	Epoch   int64   `json:"epoch"`
	Attempt Attempt `json:"attempt"`
}

// State is the state of a task on a worker.
type State string

const (
	// StateReserved is a task that has accelerators and has not started.
	StateReserved State = "reserved"
	// StateRunning is a task that has started.
	StateRunning State = "running"
	// StateSucceeded is a task that has completed with a result.
	StateSucceeded State = "succeeded"
	// StateFailed is a task that has started and failed.
	StateFailed State = "failed"
	// StateStopped is a task that was stopped while it ran.
	StateStopped State = "stopped"
	// StateNeverStarted is a task that has not started and can no longer start.
	StateNeverStarted State = "neverStarted"
)

// Final reports whether a task in the state has ended.
func (s State) Final() bool {
	switch s {
	case StateSucceeded, StateFailed, StateStopped, StateNeverStarted:
		return true
	case StateReserved, StateRunning:
		return false
	}
	return false
}

// Status is a worker's report on one task.
type Status struct {
	Attempt    Attempt         `json:"attempt"`
	Task       Task            `json:"task"`
	State      State           `json:"state"`
	Checkpoint bool            `json:"checkpoint,omitempty"`
	RunSeconds float64         `json:"runSeconds,omitempty"`
	MemoryMB   int             `json:"memoryMb,omitempty"`
	Result     json.RawMessage `json:"result,omitempty"`
	Digest     string          `json:"digest,omitempty"`
	Error      string          `json:"error,omitempty"`
}

// SyncRequest renews the lease of all tasks on the worker and long-polls for changes; the worker then refuses commands of earlier epochs.
type SyncRequest struct {
	// Epoch is the epoch of the owner, or 0 from an entry that has placed tasks without an owner.
	Epoch int64 `json:"epoch"`
	// LeaseSeconds is the duration of the new lease, or 0 to leave the lease as it is.
	LeaseSeconds int `json:"leaseSeconds"`
	// Incarnation is the last incarnation of the worker that the sender knows, or empty.
	Incarnation string `json:"incarnation,omitempty"`
	// Since is the sequence number of the last response that the sender has handled.
	Since int64 `json:"since"`
	// PollMillis is how long the worker may wait for changes before it responds.
	PollMillis int64 `json:"holdMillis"`
	// Forget lists ended attempts that the worker need not report any more.
	Forget []Attempt `json:"forget,omitempty"`
}

// SyncResponse reports the tasks that changed after SyncRequest.Since, or all tasks if the sender does not know the incarnation.
type SyncResponse struct {
	// Incarnation changes when the worker restarts; a restarted worker has lost the state of its tasks.
	Incarnation string `json:"incarnation"`
	// Worker is set only if the sender does not know the incarnation.
	Worker scheduler.Worker `json:"worker,omitzero"`
	// Leaving means that the worker is about to shut down and must get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Epoch is the highest epoch that the worker has accepted.
	Epoch    int64    `json:"epoch"`
	Sequence int64    `json:"sequence"`
	Tasks    []Status `json:"tasks,omitempty"`
}

// Client sends commands to the worker at an address of the form IP:port; each function can be replaced separately.
type Client struct {
	Reserve  func(ctx context.Context, address string, r ReserveRequest) (Status, error)
	Start    func(ctx context.Context, address string, r StartRequest) (Status, error)
	Stop     func(ctx context.Context, address string, r StopRequest) (Status, error)
	Throttle func(ctx context.Context, address string, r ThrottleRequest) (Status, error)
	Sync     func(ctx context.Context, address string, r SyncRequest) (SyncResponse, error)
}

const (
	// ReservationExpiry is how long a worker reserves accelerators for an attempt that has not started.
	ReservationExpiry = 15 * time.Second
	// TaskLease is how long a worker keeps tasks running after the last lease renewal by an entry.
	TaskLease = 30 * time.Second
)
