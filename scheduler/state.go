package scheduler

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/packer"
)

// phase is the progress of a job.
type phase uint8

const (
	phaseWaiting phase = iota
	// phaseClaiming means that the job has claimed workers and waits until other jobs have left them.
	phaseClaiming
	phaseStarting
	phaseRunning
	phaseStopping
)

// allocation is the kind of capacity that a job occupies.
type allocation uint8

const (
	allocationNone allocation = iota
	// allocationGuaranteed is capacity in a cell that the document guarantees to the job's organisation.
	allocationGuaranteed
	// allocationLent is capacity that others can reclaim; the job can be stopped at any time.
	allocationLent
	// allocationSpare is capacity that no guarantee needs; the job keeps it until it ends.
	allocationSpare
)

// member is the part of a job on one worker; mask is zero until the attempt starts.
type member struct {
	worker *worker
	count  int
	mask   uint64
}

type job struct {
	Job
	class documenter.Class
	// rank is the position of the class in the document; lower ranks come first.
	rank           int
	phase          phase
	allocation     allocation
	cell           *cell
	members        []member
	attempt        int
	moves          int
	started        time.Time
	checkpointedAt time.Time
	checkpoint     bool
	mayHaveRun     bool
	failedOn       map[string]bool
	// refusedOn holds the workers that refused a start since the job last ran.
	refusedOn map[string]bool
	// notBefore is the end of the delay of a job that waits outside the queue.
	notBefore time.Time
	reason    Reason
	// stop is the reason for stopping the current attempt.
	stop      Reason
	throttled bool
	sequence  int
}

// accelerators returns how many units of capacity the job takes: its accelerators, or one slot if it needs none.
func (j *job) accelerators() int { return max(1, j.Shape.Accelerators) }

// memberList returns the job's members on workers that are not lost.
func (j *job) memberList() []Member {
	members := make([]Member, 0, len(j.members))
	for _, m := range j.members {
		members = append(members, Member{Worker: m.worker.ID, Accelerators: indexes(m)})
	}
	return members
}

func indexes(m member) []int {
	list := []int{}
	if m.worker.Accelerators == 0 {
		return list
	}
	for mask := m.mask; mask != 0; mask &= mask - 1 {
		list = append(list, bits.TrailingZeros64(mask))
	}
	return list
}

type workerState uint8

const (
	workerUp workerState = iota
	workerLeaving
	workerQuarantined
	workerProbing
	workerSilent
)

// worker is an upstream that runs tasks, with its scheduling state.
type worker struct {
	Worker
	// index identifies the worker in the tracker and in cells.
	index int
	rack  int
	state workerState
	// capacity is the number of units: accelerators or, on a worker without any, slots.
	capacity int
	occupied uint64
	// vacating is the number of occupied units whose jobs are being stopped.
	vacating int
	// claimed is the number of units that jobs in phaseClaiming wait for.
	claimed int
	jobs    map[string]*job
	claims  []*job
	// failedJobs holds the jobs that failed on the worker since its last success.
	failedJobs     map[string]bool
	quarantineTime time.Duration
	// probeJob is the job that tests the worker after a quarantine.
	probeJob string
	// wasQuarantined reports whether a silent worker was quarantined or being probed before.
	wasQuarantined bool
}

// free returns the number of units that no job occupies.
func (w *worker) free() int { return w.capacity - bits.OnesCount64(w.occupied) }

// available returns the number of units that are free or being vacated, and not claimed.
func (w *worker) available() int { return w.free() + w.vacating - w.claimed }

// freeNow returns the number of units that a job can take without waiting for another job to stop.
func (w *worker) freeNow() int { return min(w.free(), w.available()) }

func (w *worker) usable() bool { return w.state == workerUp }

// occupy marks count free units as occupied and returns their mask.
func (w *worker) occupy(count int) uint64 {
	var mask uint64
	for i := 0; i < w.capacity && count > 0; i++ {
		bit := uint64(1) << i
		if w.occupied&bit == 0 {
			mask |= bit
			count--
		}
	}
	w.occupied |= mask
	return mask
}

// sortedJobs returns the jobs that occupy the worker, sorted by ID.
func (w *worker) sortedJobs() []*job {
	list := make([]*job, 0, len(w.jobs))
	for _, j := range w.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// cell is one instance of a guaranteed shape; it is bound to workers while jobs of its organisation run in it.
type cell struct {
	organisation string
	shape        packer.Shape
	// guarantee is the index of the guarantee, number the index among the cells of equal shape.
	guarantee int
	number    int
	// members is the number of workers, perWorker the number of accelerators on each.
	members   int
	perWorker int
	workers   []*worker
	// used holds the accelerators in use by worker index.
	used map[int]int
	jobs int
	// broken means that the cell does not fit the usable workers.
	broken bool
}

func (c *cell) bound() bool { return c.workers != nil }

// unusedOn returns how many of the cell's accelerators on the worker are not in use.
func (c *cell) unusedOn(w *worker) int { return c.perWorker - c.used[w.index] }

// unusedBlockAt returns the size of the largest unused block of the cell that a job on the worker would split.
func (c *cell) unusedBlockAt(w *worker) int {
	if c.used[w.index] > 0 {
		return c.unusedOn(w)
	}
	unused := c.members
	for _, other := range c.workers {
		if c.used[other.index] > 0 {
			unused--
		}
	}
	return unused * c.perWorker
}

func (c *cell) covers(w *worker) bool { return slices.Contains(c.workers, w) }
