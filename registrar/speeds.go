package registrar

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"

	"github.com/snipelift/snipelift/platform"
)

// On a fleet of 1,100 workers whose ratings change with each observation, a row that names all of them would near the
// limit of a row. The row lists those that are not of average speed by name, as earlier versions of the program do, and
// all of them in a compact form; the named ones are left out where the row would be too large.

const (
	// compactSpeedsKey is the key of the compact form in the map of the row; it is no ID of a worker, and earlier
	// versions ignore it.
	compactSpeedsKey = ""
	// compactSpeedBytes is the size of a worker in the compact form: a hash of four bytes, the steps, and the error.
	compactSpeedBytes = 6
	// unknownErrorPercent is the error of ratings that earlier versions recorded.
	unknownErrorPercent = 15
)

// WorkerSpeed is the rated speed of an incarnation of a worker.
type WorkerSpeed struct {
	Incarnation int64 `json:"born"`
	// Steps is the number of rating steps above the average speed.
	Steps int `json:"steps"`
	// ErrorPercent is the standard error of the natural logarithm of the speed, in hundredths; earlier versions omit it.
	ErrorPercent int `json:"error,omitempty"`
}

// storedSpeed is an entry of the row; Compact is set in that of compactSpeedsKey only.
type storedSpeed struct {
	WorkerSpeed

	Compact []byte `json:"compact,omitempty"`
}

// SpeedsRow returns the row of the speeds, given by the ID of the worker.
func SpeedsRow(speeds map[string]WorkerSpeed) platform.Row {
	row := platform.Row{Table: FleetTable, Partition: OwnerPartition, Key: SpeedsKey}
	stored := map[string]storedSpeed{}
	compact := make([]byte, 0, compactSpeedBytes*len(speeds))
	for id, speed := range speeds {
		if speed.Steps != 0 {
			stored[id] = storedSpeed{WorkerSpeed: speed}
		}
		compact = binary.BigEndian.AppendUint32(compact, speedHash(id, speed.Incarnation))
		compact = append(compact, byte(int8(max(math.MinInt8, min(speed.Steps, math.MaxInt8)))), byte(max(0, min(speed.ErrorPercent, math.MaxUint8)))) //nolint:gosec // Both are within the range.
	}
	stored[compactSpeedsKey] = storedSpeed{Compact: compact}
	row.Value = Encode(stored)
	if len(row.Value) > MaxValueBytes {
		row.Value = Encode(map[string]storedSpeed{compactSpeedsKey: stored[compactSpeedsKey]})
	}
	return row
}

// Speeds are the recorded speeds of workers.
type Speeds struct {
	named   map[string]storedSpeed
	compact map[uint32]WorkerSpeed
}

// DecodeSpeeds decodes the row of the speeds, by this version or an earlier one.
func DecodeSpeeds(row platform.Row) (Speeds, error) {
	named, err := Decode[map[string]storedSpeed](row)
	if err != nil {
		return Speeds{}, err
	}
	compact := named[compactSpeedsKey].Compact
	delete(named, compactSpeedsKey)
	if len(compact)%compactSpeedBytes != 0 {
		return Speeds{}, fmt.Errorf("decode row %s/%s: compact form of %d bytes", row.Table, row.Key, len(compact))
	}
	s := Speeds{named: named, compact: map[uint32]WorkerSpeed{}}
	for ; len(compact) > 0; compact = compact[compactSpeedBytes:] {
		s.compact[binary.BigEndian.Uint32(compact)] = WorkerSpeed{Steps: int(int8(compact[4])), ErrorPercent: int(compact[5])} //nolint:gosec // The byte holds a signed number.
	}
	return s, nil
}

// Len returns the number of recorded workers.
func (s Speeds) Len() int { return max(len(s.named), len(s.compact)) }

// Of returns the recorded speed of an incarnation of a worker, or false if there is none.
func (s Speeds) Of(id string, incarnation int64) (WorkerSpeed, bool) {
	if speed, ok := s.compact[speedHash(id, incarnation)]; ok {
		speed.Incarnation = incarnation
		return speed, true
	}
	speed, ok := s.named[id]
	if !ok || speed.Incarnation != incarnation {
		return WorkerSpeed{}, false
	}
	if speed.ErrorPercent == 0 {
		speed.ErrorPercent = unknownErrorPercent
	}
	return speed.WorkerSpeed, true
}

func speedHash(id string, incarnation int64) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s@%d", id, incarnation)
	return h.Sum32()
}
