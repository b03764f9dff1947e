package messenger

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/snipelift/snipelift/owner"
	"github.com/snipelift/snipelift/recorder"
)

// JSON-RPC methods between entries.
const (
	MethodSubmit          = "job.submit"
	MethodWait            = "job.wait"
	MethodCancel          = "job.cancel"
	MethodView            = "service.view"
	MethodPing            = "entry.ping"
	MethodDocument        = "document.get"
	MethodDocumentChanged = "document.changed"
	MethodLeaseReleased   = "lease.released"
)

// JSON-RPC error codes that are mapped back to errors of package owner.
const (
	codeNotOwner = 1
	codeNoJob    = 2
	// codeOverloaded means that the call was not run for lack of memory.
	codeOverloaded = 3
)

// ErrOutcomeUnknown means that a call may have been executed by the other entry.
var ErrOutcomeUnknown = errors.New("no answer from entry")

// ErrUnreachable means that no connection could be opened, so the call was not sent.
var ErrUnreachable = errors.New("entry unreachable")

// errOverloaded means that the other entry had no memory for the call and did not run it.
var errOverloaded = fmt.Errorf("%w: overloaded", ErrUnreachable)

// SubmitParams are the parameters of MethodSubmit; the result is owner.Admission.
type SubmitParams struct {
	Record recorder.OpenJob `json:"record"`
}

// WaitParams are the parameters of MethodWait; the result is owner.Progress.
type WaitParams struct {
	ID         string `json:"id"`
	WaitMillis int64  `json:"waitMillis"`
}

// CancelParams are the parameters of MethodCancel.
type CancelParams struct {
	ID string `json:"id"`
}

// ViewParams are the parameters of MethodView; the result is scheduler.View.
type ViewParams struct {
	WithJobs bool `json:"withJobs,omitempty"`
}

// Ping is the status of an entry; it is both the parameters and the result of MethodPing.
type Ping struct {
	Entry           string `json:"entry"`
	Incarnation     string `json:"incarnation"`
	Zone            string `json:"zone"`
	DocumentVersion int64  `json:"documentVersion"`
	// Confirmed means that the entry has read the table successfully within spreader.MaxStaleness.
	Confirmed bool  `json:"confirmed,omitempty"`
	Epoch     int64 `json:"epoch,omitempty"`
	Ready     bool  `json:"ready,omitempty"`
}

// DocumentMessage is a version of the document, with its text as it was submitted; Version is 0 if the entry has no document.
type DocumentMessage struct {
	Version int64           `json:"version"`
	Text    json.RawMessage `json:"text,omitempty"`
}

// errorCode returns the JSON-RPC code of an error, or 0 if the error has none of its own.
func errorCode(err error) int64 {
	switch {
	case errors.Is(err, owner.ErrNotOwner):
		return codeNotOwner
	case errors.Is(err, owner.ErrNoJob):
		return codeNoJob
	default:
		return 0
	}
}

// errorFromCode returns the error that errorCode encodes as code, or nil if there is none.
func errorFromCode(code int64) error {
	switch code {
	case codeNotOwner:
		return owner.ErrNotOwner
	case codeNoJob:
		return owner.ErrNoJob
	case codeOverloaded:
		return errOverloaded
	default:
		return nil
	}
}
