package recorder

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/storer"
)

// The keys of the rows of one service; see docs/STATE.md.
const (
	KeyEpoch           = "epoch"
	KeyLease           = "lease"
	KeyDocument        = "document"
	KeyDocumentVersion = "documentVersion"
	PrefixOpen         = "open#"
	PrefixDone         = "done#"
	PrefixHistory      = "history#"
)

// MaxInlineResult is the largest result kept in a row, in bytes; larger ones go to the object store.
const MaxInlineResult = 16 << 10

// maxNotes bounds the reasons kept for one job.
const maxNotes = 16

// ErrCorrupt means that a row does not have the form this version writes.
var ErrCorrupt = errors.New("corrupt row")

// OpenKey returns the key of a job that has not ended.
func OpenKey(id string) string { return PrefixOpen + id }

// DoneKey returns the key of a job's answer.
func DoneKey(id string) string { return PrefixDone + id }

// HistoryKey returns the key of one version of the document.
func HistoryKey(version int64) string { return fmt.Sprintf("%s%010d", PrefixHistory, version) }

// JobID returns the ID of the job that an organisation asked for under an idempotency key.
func JobID(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:jobIDBytes])
}

// jobIDBytes is the length of a job's ID before it is written in hex.
const jobIDBytes = 12

// ResultKey returns the key of a large result in the object store.
func ResultKey(id string) string { return "results/" + id }

// Note is a reason with its time; equal reasons in a row are merged and counted.
type Note struct {
	At     time.Time        `json:"at"`
	Reason scheduler.Reason `json:"reason"`
	Times  int              `json:"times,omitempty"`
}

// AddNote returns the notes with one more, merged with the last if that has the same rule; the oldest but the first are dropped.
func AddNote(notes []Note, at time.Time, reason scheduler.Reason) []Note {
	if n := len(notes); n > 0 && notes[n-1].Reason.Rule == reason.Rule {
		merged := append([]Note(nil), notes...)
		merged[n-1].Reason = reason
		merged[n-1].Times = max(1, merged[n-1].Times) + 1
		return merged
	}
	added := append(append([]Note(nil), notes...), Note{At: at, Reason: reason})
	if len(added) > maxNotes {
		added = append(added[:1], added[len(added)-maxNotes+1:]...)
	}
	return added
}

// OpenJob is the row of a job that has not ended.
type OpenJob struct {
	Job         scheduler.Job   `json:"job"`
	Payload     json.RawMessage `json:"payload,omitempty"`
	Fingerprint string          `json:"fingerprint"`
	Traceparent string          `json:"traceparent,omitempty"`
	// Attempt is the number of the last attempt recorded before its dispatch, and Members where it went.
	Attempt int                `json:"attempt,omitempty"`
	Members []scheduler.Member `json:"members,omitempty"`
	// Incarnations are those of the members' workers; a worker with another one has forgotten what it ran.
	Incarnations map[string]string `json:"incarnations,omitempty"`
	Moves        int               `json:"moves,omitempty"`
	Checkpoint   bool              `json:"checkpoint,omitempty"`
	Notes        []Note            `json:"notes,omitempty"`
}

// Answer is the row of a job that has ended; the first one recorded is the answer for ever.
type Answer struct {
	Job          scheduler.Job      `json:"job"`
	Fingerprint  string             `json:"fingerprint"`
	Outcome      scheduler.Outcome  `json:"outcome"`
	Ran          scheduler.Ran      `json:"ran"`
	Reason       scheduler.Reason   `json:"reason"`
	Result       json.RawMessage    `json:"result,omitempty"`
	ResultObject string             `json:"resultObject,omitempty"`
	Digest       string             `json:"digest,omitempty"`
	Error        string             `json:"error,omitempty"`
	Members      []scheduler.Member `json:"members,omitempty"`
	Started      time.Time          `json:"started,omitzero"`
	Finished     time.Time          `json:"finished"`
	Notes        []Note             `json:"notes,omitempty"`
}

// Lease is the row that the owner of a service keeps renewing.
type Lease struct {
	Holder   string `json:"holder"`
	Address  string `json:"address"`
	Epoch    int64  `json:"epoch"`
	Renewals int64  `json:"renewals"`
	Released bool   `json:"released,omitempty"`
}

// Encode renders a row's value.
func Encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("recorder: encode %T: %v", value, err))
	}
	return data
}

// Decode parses a row's value; the error wraps ErrCorrupt.
func Decode[T any](row storer.Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("%w: %s: %w", ErrCorrupt, row.Key, err)
	}
	return value, nil
}
