package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/snipelift/snipelift/scheduler"
)

// The paths of a worker's HTTP interface; all are POST with JSON both ways, see docs/WORKERS.md.
const (
	PathReserve  = "/v1/reserve"
	PathStart    = "/v1/start"
	PathStop     = "/v1/stop"
	PathThrottle = "/v1/throttle"
	PathSync     = "/v1/sync"
)

var (
	// ErrRefused means that the worker affirms that it did not and will not carry out the command.
	ErrRefused = errors.New("worker refused")
	// ErrStaleEpoch means that the worker has obeyed a later owner.
	ErrStaleEpoch = errors.New("owner's epoch is stale")
	// ErrUnreachable means that the command surely did not reach the worker.
	ErrUnreachable = errors.New("worker unreachable")
	// ErrOutcomeUnknown means that the command may have reached the worker.
	ErrOutcomeUnknown = errors.New("no answer from worker")
)

// Attempt names one try to run a job on a worker.
type Attempt struct {
	Job    string `json:"job"`
	Number int    `json:"number"`
	// Direct is the ID of the entry that placed the attempt without an owner, or empty.
	Direct string `json:"direct,omitempty"`
}

// Task is what a member of a job needs to run.
type Task struct {
	Spec         scheduler.Job   `json:"spec"`
	Member       int             `json:"member"`
	Members      int             `json:"members"`
	Accelerators []int           `json:"accelerators"`
	Lent         bool            `json:"lent,omitempty"`
	Resume       bool            `json:"resume,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
	Traceparent  string          `json:"traceparent,omitempty"`
}

// ReserveRequest asks a worker to keep accelerators for an attempt until it is started or the reservation expires.
type ReserveRequest struct {
	Epoch         int64   `json:"epoch"`
	Attempt       Attempt `json:"attempt"`
	Task          Task    `json:"task"`
	ExpireSeconds int     `json:"expireSeconds"`
	// AnyAccelerators lets the worker choose which accelerators, as many as Task.Spec.Shape asks for.
	AnyAccelerators bool `json:"anyAccelerators,omitempty"`
}

// StartRequest starts a reserved attempt; it may be repeated.
type StartRequest struct {
	Epoch   int64   `json:"epoch"`
	Attempt Attempt `json:"attempt"`
}

// StopRequest stops an attempt, or fences it off if the worker does not know it; it may be repeated.
type StopRequest struct {
	Epoch      int64   `json:"epoch"`
	Attempt    Attempt `json:"attempt"`
	Checkpoint bool    `json:"checkpoint"`
}

// ThrottleRequest slows an attempt down to its share.
type ThrottleRequest struct {
	Epoch   int64   `json:"epoch"`
	Attempt Attempt `json:"attempt"`
}

// State is how far a worker's task has come.
type State string

const (
	// StateReserved has accelerators and has not started.
	StateReserved State = "reserved"
	// StateRunning has started.
	StateRunning State = "running"
	// StateSucceeded has a result.
	StateSucceeded State = "succeeded"
	// StateFailed ran and failed.
	StateFailed State = "failed"
	// StateStopped ran and was stopped.
	StateStopped State = "stopped"
	// StateNeverStarted did not start and no longer can.
	StateNeverStarted State = "neverStarted"
)

// Final reports whether a task in the state has nothing left to do.
func (s State) Final() bool {
	switch s {
	case StateSucceeded, StateFailed, StateStopped, StateNeverStarted:
		return true
	case StateReserved, StateRunning:
		return false
	}
	return false
}

// Status is what a worker says of one task.
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

// SyncRequest renews all leases on the worker, fences off earlier epochs and waits for news.
type SyncRequest struct {
	Epoch        int64     `json:"epoch"`
	LeaseSeconds int       `json:"leaseSeconds"`
	Incarnation  string    `json:"incarnation,omitempty"`
	Since        int64     `json:"since"`
	HoldMillis   int64     `json:"holdMillis"`
	Forget       []Attempt `json:"forget,omitempty"`
}

// SyncResponse tells what changed after Since; Incarnation changes when the worker has restarted and forgotten.
type SyncResponse struct {
	Incarnation string `json:"incarnation"`
	// Worker is only told to those who do not know the incarnation.
	Worker   scheduler.Worker `json:"worker,omitzero"`
	Leaving  bool             `json:"leaving,omitempty"`
	Epoch    int64            `json:"epoch"`
	Sequence int64            `json:"sequence"`
	Tasks    []Status         `json:"tasks,omitempty"`
}

// Client sends commands to the worker at an address of the form IP:port; each field may be replaced on its own.
type Client struct {
	Reserve  func(ctx context.Context, address string, r ReserveRequest) (Status, error)
	Start    func(ctx context.Context, address string, r StartRequest) (Status, error)
	Stop     func(ctx context.Context, address string, r StopRequest) (Status, error)
	Throttle func(ctx context.Context, address string, r ThrottleRequest) (Status, error)
	Sync     func(ctx context.Context, address string, r SyncRequest) (SyncResponse, error)
}

const (
	// ReservationExpiry is how long a worker keeps accelerators for an attempt that is not started.
	ReservationExpiry = 15 * time.Second
	// TaskLease is how long a worker goes on running tasks without hearing from any entry.
	TaskLease = 30 * time.Second
)
