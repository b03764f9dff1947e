package messenger

import (
	"encoding/json"
	"errors"

	"github.com/snipelift/snipelift/owner"
	"github.com/snipelift/snipelift/recorder"
)

// The methods that entries call on each other.
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

// The codes of errors that callers tell apart.
const (
	codeNotOwner = 1
	codeNoJob    = 2
)

// ErrOutcomeUnknown means that a call may have been carried out.
var ErrOutcomeUnknown = errors.New("no answer from entry")

// ErrUnreachable means that a call surely did not reach the other entry.
var ErrUnreachable = errors.New("entry unreachable")

// SubmitParams are the parameters of MethodSubmit; the result is owner.Admission.
type SubmitParams struct {
	Record recorder.Open `json:"record"`
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

// Ping tells who an entry is and what it knows; it is both the parameter and the result of MethodPing.
type Ping struct {
	Entry           string `json:"entry"`
	Incarnation     string `json:"incarnation"`
	Zone            string `json:"zone"`
	DocumentVersion int64  `json:"documentVersion"`
	// Confirmed tells that the entry has confirmed its document with the table within the bound.
	Confirmed bool  `json:"confirmed,omitempty"`
	Epoch     int64 `json:"epoch,omitempty"`
	Ready     bool  `json:"ready,omitempty"`
}

// DocumentMessage is a version of the document as it was accepted.
type DocumentMessage struct {
	Version int64           `json:"version"`
	Text    json.RawMessage `json:"text,omitempty"`
}

// errorCode returns the code that stands for the error on the wire.
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

// errorOf returns the error that a code stands for, or nil.
func errorOf(code int64) error {
	switch code {
	case codeNotOwner:
		return owner.ErrNotOwner
	case codeNoJob:
		return owner.ErrNoJob
	default:
		return nil
	}
}
