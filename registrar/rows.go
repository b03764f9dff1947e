package registrar

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
)

const (
	// JobTable holds accepted jobs and wishes to cancel them, spread over parts by the job's ID.
	JobTable = "jobs"
	// ProgressTable holds what the owner recorded of jobs; it shares its part with the lease, so that each write is fenced.
	ProgressTable = "progress"
	// LeaseTable holds the row that names the owner.
	LeaseTable = "lease"
	// FleetTable holds the workers that an owner has given orders to, and the numbers of waiting jobs.
	FleetTable = "fleet"
	// EntryTable holds the entry VMs with the addresses at which they take their peers' calls.
	EntryTable = "entries"
	// EntryPartition is the part of the rows of entry VMs.
	EntryPartition = "entries"
	// OwnerPartition is the part of all rows that only the owner writes.
	OwnerPartition = "owner"
	// LeaseKey names the row of the lease.
	LeaseKey = "lease"
	// PendingKey names the row with the numbers of waiting jobs.
	PendingKey = "pending"
)

const (
	// workerShards spreads the known workers over rows, so that no value nears its limit: 5,000 workers make rows of 6 KB.
	workerShards = 64
	// workerShardPrefix begins the keys of the rows with the workers that an owner has given orders to, workersEnd follows them all.
	workerShardPrefix = "workers-"
	workerShardEnd    = "workers."
)

// MaxValueBytes is the largest value of a row that the store takes, in bytes.
const MaxValueBytes = 64 << 10

const (
	// partitionCount spreads acceptance over parts, each of which applies one transaction after another.
	partitionCount = 8
	// cancelSuffix ends the key of a wish to cancel; job IDs are hexadecimal digits.
	cancelSuffix = "!cancel"
)

// Partition returns the part of a job's rows.
func Partition(jobID string) string {
	return fmt.Sprintf("s%d", hash(jobID)%partitionCount)
}

func hash(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

// Partitions returns all parts of the job table.
func Partitions() []string {
	partitions := make([]string, partitionCount)
	for i := range partitions {
		partitions[i] = fmt.Sprintf("s%d", i)
	}
	return partitions
}

// JobRow returns the row of an accepted job; the version is the one that it is expected to have.
func JobRow(jobID string, version int64) platform.Row {
	return platform.Row{Table: JobTable, Partition: Partition(jobID), Key: jobID, Version: version}
}

// CancelRow returns the row of the wish to cancel a job.
func CancelRow(jobID string) platform.Row {
	return platform.Row{Table: JobTable, Partition: Partition(jobID), Key: jobID + cancelSuffix}
}

// ProgressRow returns the row of a job's progress.
func ProgressRow(jobID string) platform.Row {
	return platform.Row{Table: ProgressTable, Partition: OwnerPartition, Key: jobID}
}

// CancelledJobID returns the job that a key of the job table asks to cancel, or false.
func CancelledJobID(key string) (string, bool) { return strings.CutSuffix(key, cancelSuffix) }

// Job is the record of an accepted job.
type Job struct {
	arranger.Job

	// Digest tells equal submissions from different ones under one ID.
	Digest string `json:"digest"`
}

// Progress is the record of how far a job has come.
type Progress struct {
	arranger.Progress

	Organisation string `json:"organisation"`
	Queue        string `json:"queue"`
	// EndedMillis is the Unix time at which the job ended, or 0.
	EndedMillis int64 `json:"endedMillis,omitempty"`
}

// Lease is the record of who owns the service; Epoch is the fencing token of its orders.
type Lease struct {
	Node string `json:"node"`
	// Incarnation tells processes of one VM apart.
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
	Released    bool   `json:"released,omitempty"`
	// Renewal rises with each write of this owner.
	Renewal int64 `json:"renewal"`
}

// KnownWorker is a worker that an owner may have given orders to.
type KnownWorker struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Incarnation int64  `json:"born"`
}

// WorkerShard returns the number of the row that lists the worker.
func WorkerShard(workerID string) int { return int(hash(workerID) % workerShards) }

// WorkerShardRow returns a row of the list of workers that an owner has given orders to.
func WorkerShardRow(shard int) platform.Row {
	return platform.Row{Table: FleetTable, Partition: OwnerPartition, Key: fmt.Sprintf("%s%02d", workerShardPrefix, shard)}
}

// WorkerShardKeys returns the range of keys of the list of workers, the second excluded.
func WorkerShardKeys() (from, to string) { return workerShardPrefix, workerShardEnd }

// Entry is an entry VM, as it describes itself from time to time.
type Entry struct {
	// PeerEndpoint is the address at which it takes calls of its peers.
	PeerEndpoint string `json:"link"`
	// SeenMillis is the Unix time of the description.
	SeenMillis int64 `json:"seenMillis"`
}

// EntryRow returns the row of an entry VM; the keys are in no order of names or availability zones, so that those that follow any key are a sample.
func EntryRow(node string) platform.Row {
	return platform.Row{Table: EntryTable, Partition: EntryPartition, Key: EntryKeyPrefix(hash(node)) + "-" + node}
}

// EntryKeyPrefix returns the key at which a sample of the entry VMs begins, given a random number.
func EntryKeyPrefix(random uint32) string { return fmt.Sprintf("%08x", random) }

// Encode returns the value of a row.
func Encode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic("registrar: record cannot be encoded: " + err.Error())
	}
	return data
}

// Decode reads the value of a row.
func Decode[T any](row platform.Row) (T, error) {
	var record T
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, fmt.Errorf("decode row %s/%s: %w", row.Table, row.Key, err)
	}
	return record, nil
}
