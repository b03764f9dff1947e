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
	// JobTable holds accepted jobs and cancellation requests, partitioned by job ID.
	JobTable = "jobs"
	// ProgressTable holds the progress of jobs; its rows share a partition with the lease, so that one transaction can check the lease and write them.
	ProgressTable = "progress"
	// TombstoneTable holds the cancellations of jobs that had not been accepted, in one row for each partition of the job table.
	TombstoneTable = "tombstones"
	// TombstoneKey is the key of these rows; it cannot be a job ID, which is hexadecimal.
	TombstoneKey = "cancelled"
	// LeaseTable holds the row of the owner's lease.
	LeaseTable = "lease"
	// FleetTable holds the workers that an owner may have sent requests to, and the numbers of pending jobs.
	FleetTable = "fleet"
	// EntryTable holds a record of each entry VM, a VM that accepts client requests, with its address for requests of its peers.
	EntryTable = "entries"
	// EntryPartition is the partition of the rows of entry VMs.
	EntryPartition = "entries"
	// OwnerPartition is the partition of all rows that only the owner writes.
	OwnerPartition = "owner"
	// LeaseKey is the key of the row of the lease.
	LeaseKey = "lease"
	// PendingKey is the key of the row with the number of pending jobs of each queue.
	PendingKey = "pending"
	// SpeedsKey is the key of the row with the rated speeds of the workers.
	SpeedsKey = "speeds"
	// RunTimesKey is the key of the row with the learned run times of tasks, an estimator.State.
	RunTimesKey = "runtimes"
)

const (
	// workerShards is the number of rows among which the known workers are divided, so that no row nears the size limit: with 5,000 workers a row has 6 KB.
	workerShards = 64
	// workerShardPrefix is the prefix of the keys of these rows, and workerShardEnd sorts after all of them.
	workerShardPrefix = "workers-"
	workerShardEnd    = "workers."
)

const (
	// pendingShards is the number of rows among which the numbers of waiting jobs are divided if a single one would be too large.
	pendingShards = 32
	// pendingShardsKey stands for the number of these rows in the row PendingKey; it is no name of a queue.
	pendingShardsKey = "\x00shards"
)

// MaxValueBytes is the maximum size of a row value in the store.
const MaxValueBytes = 64 << 10

const (
	// partitionCount is the number of partitions of the job table; each partition applies its transactions one by one, so several allow jobs to be accepted in parallel.
	partitionCount = 8
	// cancelSuffix ends the key of a cancellation request; it cannot occur in a job ID, which is hexadecimal.
	cancelSuffix = "!cancel"
)

// Partition returns the partition of the rows of a job in the job table.
func Partition(jobID string) string {
	return fmt.Sprintf("s%d", hash(jobID)%partitionCount)
}

func hash(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

// Partitions returns all partitions of the job table.
func Partitions() []string {
	partitions := make([]string, partitionCount)
	for i := range partitions {
		partitions[i] = fmt.Sprintf("s%d", i)
	}
	return partitions
}

// JobRow returns the row of an accepted job with the given expected version.
func JobRow(jobID string, version int64) platform.Row {
	return platform.Row{Table: JobTable, Partition: Partition(jobID), Key: jobID, Version: version}
}

// CancelRow returns the row of a request to cancel a job.
func CancelRow(jobID string) platform.Row {
	return platform.Row{Table: JobTable, Partition: Partition(jobID), Key: jobID + cancelSuffix}
}

// TombstoneRow returns the row of the tombstones of a partition of the job table with the given expected version.
func TombstoneRow(partition string, version int64) platform.Row {
	return platform.Row{Table: TombstoneTable, Partition: partition, Key: TombstoneKey, Version: version}
}

// ProgressRow returns the row of a job's progress.
func ProgressRow(jobID string) platform.Row {
	return platform.Row{Table: ProgressTable, Partition: OwnerPartition, Key: jobID}
}

// CancelledJobID returns the job ID in the key of a cancellation request, or false for any other key.
func CancelledJobID(key string) (string, bool) { return strings.CutSuffix(key, cancelSuffix) }

// Job is the record of an accepted job.
type Job struct {
	arranger.Job

	// Digest distinguishes a repeated submission from a different one with the same job ID.
	Digest string `json:"digest"`
}

// Tombstone is the record of the cancellation of a job that had not been accepted.
type Tombstone struct {
	JobID        string `json:"id"`
	Queue        string `json:"queue"`
	Organisation string `json:"organisation,omitempty"`
	// Public means that the queue was public, so that the cancellation applies to the jobs of all organisations.
	Public bool `json:"public,omitempty"`
	// CancelledMillis is the reading of the store's steady clock, or 0 if that was not known.
	CancelledMillis int64 `json:"at"`
}

// Progress is the record of the progress of a job.
type Progress struct {
	arranger.Progress

	Organisation string `json:"organisation"`
	Queue        string `json:"queue"`
	// EndedMillis is the Unix time in milliseconds at which the job ended, or 0.
	EndedMillis int64 `json:"endedMillis,omitempty"`
}

// Lease is the record of the process that owns the service.
type Lease struct {
	Node string `json:"node"`
	// Incarnation distinguishes the processes of one VM.
	Incarnation string `json:"incarnation"`
	// Epoch is the fencing token of the owner's requests to workers; those to later incarnations of a worker have higher ones, below the next owner's epoch.
	Epoch    int64 `json:"epoch"`
	Released bool  `json:"released,omitempty"`
	// Renewal increases with each write of this owner.
	Renewal int64 `json:"renewal"`
	// WorkersRecorded means that the progress row of each job lists all workers on which its runs may exist.
	WorkersRecorded bool `json:"workersRecorded,omitempty"`
	// LeasesLimited means that the leases of workers end soon after the owner's last renewal, however long it goes on without one.
	LeasesLimited bool `json:"leasesLimited,omitempty"`
	// Successor is the name of the VM that an owner that shuts down wants to be followed by, first announced and then kept in the released lease; empty if there is none.
	Successor string `json:"successor,omitempty"`
	// RenewedMillis is the reading of the store's steady clock at which the owner sent this write, or 0 if that was not known.
	RenewedMillis int64 `json:"renewedMillis,omitempty"`
}

// KnownWorker is a worker that an owner may have sent requests to.
type KnownWorker struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Incarnation int64  `json:"born"`
	// LeaseEndMillis is the reading of the store's steady clock at which all leases granted to a silent worker have expired, or 0. The owner
	// removes it before it grants another lease.
	LeaseEndMillis int64 `json:"leaseEnd,omitempty"`
}

// WorkerShard returns the number of the shard that lists the worker.
func WorkerShard(workerID string) int { return int(hash(workerID) % workerShards) }

// WorkerShardRow returns the row of a shard of the known workers.
func WorkerShardRow(shard int) platform.Row {
	return platform.Row{Table: FleetTable, Partition: OwnerPartition, Key: fmt.Sprintf("%s%02d", workerShardPrefix, shard)}
}

// PendingRows returns the rows of the numbers of waiting jobs by queue: one, or several if that would be too large.
func PendingRows(counts map[string]int) []platform.Row {
	row := platform.Row{Table: FleetTable, Partition: OwnerPartition, Key: PendingKey, Value: Encode(counts)}
	if len(row.Value) <= MaxValueBytes {
		return []platform.Row{row}
	}
	shards := make([]map[string]int, pendingShards)
	for queue, count := range counts {
		shard := &shards[hash(queue)%pendingShards]
		if *shard == nil {
			*shard = map[string]int{}
		}
		(*shard)[queue] = count
	}
	var rows []platform.Row
	for i, shard := range shards {
		rows = append(rows, platform.Row{Table: FleetTable, Partition: OwnerPartition, Key: pendingShardKey(i), Value: Encode(shard)})
	}
	// The first row comes last, since it makes the others valid.
	row.Value = Encode(map[string]int{pendingShardsKey: pendingShards})
	return append(rows, row)
}

// PendingShardKey returns the key of the row that holds the number of waiting jobs of the queue, given the content of the row PendingKey; that is
// PendingKey itself unless there are several rows.
func PendingShardKey(counts map[string]int, queue string) string {
	shards := counts[pendingShardsKey]
	if shards <= 0 {
		return PendingKey
	}
	return pendingShardKey(int(hash(queue)) % shards)
}

// IsPendingKey reports whether the key is that of a row of the numbers of waiting jobs.
func IsPendingKey(key string) bool { return strings.HasPrefix(key, PendingKey) }

func pendingShardKey(shard int) string { return fmt.Sprintf("%s-%02d", PendingKey, shard) }

// WorkerKeys returns the half-open range [from, to) of the keys of the known workers, of their speeds and of the learned run times.
func WorkerKeys() (from, to string) { return RunTimesKey, workerShardEnd }

// Entry is the record that an entry VM periodically writes about itself.
type Entry struct {
	// PeerEndpoint is the address at which the entry VM accepts requests of its peers.
	PeerEndpoint string `json:"link"`
	// SeenMillis is the Unix time in milliseconds at which the record was written.
	SeenMillis int64 `json:"seenMillis"`
	// ProgressForms is the number of forms of the progress of jobs that the VM can read; earlier versions of the program, which can read one, omit it.
	ProgressForms int `json:"progressForms,omitempty"`
	// StartedMillis is the reading of the store's steady clock at which the process started, or 0 if that was not known.
	StartedMillis int64 `json:"startedMillis,omitempty"`
	// Cores is the number of cores that the process may use, or 0 if that is not known.
	Cores float64 `json:"cores,omitempty"`
	// Leaving means that the process shuts down.
	Leaving bool `json:"leaving,omitempty"`
}

// ProgressForms is the number of forms of the progress of jobs that this version of the program can read.
const ProgressForms = 3

// EntryRow returns the row of an entry VM; its key starts with a hash of the name, so that the rows after any key are a random sample across availability zones.
func EntryRow(node string) platform.Row {
	return platform.Row{Table: EntryTable, Partition: EntryPartition, Key: EntryKeyPrefix(hash(node)) + "-" + node}
}

// EntryNode returns the name of the VM in the key of its row, or false for any other key.
func EntryNode(key string) (string, bool) {
	_, node, ok := strings.Cut(key, "-")
	return node, ok && EntryRow(node).Key == key
}

// EntryKeyPrefix formats the hash with which the key of an entry VM starts; a random number gives a key at which to start a sample.
func EntryKeyPrefix(prefix uint32) string { return fmt.Sprintf("%08x", prefix) }

// Encode encodes the value of a row; it panics if the record cannot be encoded.
func Encode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic("registrar: encode record: " + err.Error())
	}
	return data
}

// Decode decodes the value of a row.
func Decode[T any](row platform.Row) (T, error) {
	var record T
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, fmt.Errorf("decode row %s/%s: %w", row.Table, row.Key, err)
	}
	return record, nil
}
