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

// The keys and key prefixes of the rows of a service; see docs/STATE.md.
const (
	KeyEpoch           = "epoch"
	KeyLease           = "lease"
	KeyDocument        = "document"
	KeyDocumentVersion = "documentVersion"
	PrefixOpen         = "open#"
	PrefixDone         = "done#"
	PrefixHistory      = "history#"
)

// MaxInlineResult is the maximum size in bytes of a result stored in a row; larger results are stored as objects.
const MaxInlineResult = 16 << 10

// maxNotes is the maximum number of notes kept for one job.
const maxNotes = 16

// ErrCorrupt means that the value of a row cannot be decoded by this version.
var ErrCorrupt = errors.New("corrupt row")

// OpenKey returns the key of the OpenJob row of a job.
func OpenKey(id string) string { return PrefixOpen + id }

// DoneKey returns the key of the Answer row of a job.
func DoneKey(id string) string { return PrefixDone + id }

// HistoryKey returns the key of a version of the document in its history.
func HistoryKey(version int64) string { return fmt.Sprintf("%s%010d", PrefixHistory, version) }

// JobID derives the ID of a job from its organisation and idempotency key.
func JobID(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:jobIDBytes])
}

// jobIDBytes is the length of a job's ID in bytes before hex encoding.
const jobIDBytes = 12

// ResultKey returns the object store key of a job's result that exceeds MaxInlineResult.
func ResultKey(id string) string { return "results/" + id }

// Note is the reason of a decision about a job; consecutive notes of the same rule are merged and counted in Times.
type Note struct {
	At     time.Time        `json:"at"`
	Reason scheduler.Reason `json:"reason"`
	Times  int              `json:"times,omitempty"`
}

// AddNote returns a copy of the notes with the reason added, or merged into the last note if that has the same rule.
//
// Beyond the limit, it drops the oldest notes except the first. A merged note keeps
// the time of its first reason and the values of its last.
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
	// Attempt is the number of the last attempt, recorded before its dispatch, and Members are its workers.
	Attempt int                `json:"attempt,omitempty"`
	Members []scheduler.Member `json:"members,omitempty"`
	// Incarnations maps the members' workers to their incarnations; a worker that now has another one has restarted and lost its tasks.
	Incarnations map[string]string `json:"incarnations,omitempty"`
	Moves        int               `json:"moves,omitempty"`
	Checkpoint   bool              `json:"checkpoint,omitempty"`
	Notes        []Note            `json:"notes,omitempty"`
}

// Answer is the row of a job that has ended; once recorded, it is never replaced.
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

// Lease is the row of the owner lease of a service, which the owner renews periodically.
type Lease struct {
	Holder   string `json:"holder"`
	Address  string `json:"address"`
	Epoch    int64  `json:"epoch"`
	Renewals int64  `json:"renewals"`
	Released bool   `json:"released,omitempty"`
}

// Encode encodes the value of a row; it panics if the value cannot be encoded.
func Encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("recorder: encode %T: %v", value, err))
	}
	return data
}

// Decode decodes the value of a row; the error wraps ErrCorrupt.
func Decode[T any](row storer.Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("%w: %s: %w", ErrCorrupt, row.Key, err)
	}
	return value, nil
}
