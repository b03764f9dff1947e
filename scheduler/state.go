package scheduler

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/packer"
)

// phase is how far a job has come.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseClaiming
	phaseStarting
	phaseRunning
	phaseStopping
)

// room says on whose account a job occupies accelerators.
type allocation uint8

const (
	allocationNone allocation = iota
	// allocationGuaranteed is inside a cell that the document guarantees to the job's organisation.
	allocationGuaranteed
	// allocationLent is anywhere; the job can be stopped at any time.
	allocationLent
	// allocationSpare is outside of what the guarantees need; the job stays to its end.
	allocationSpare
)

// member is a job's part on one worker; mask is empty until the attempt starts.
type member struct {
	worker *worker
	count  int
	mask   uint64
}

type job struct {
	Job
	class          documenter.Class
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
	refusedOn      map[string]bool
	notBefore      time.Time
	reason         Reason
	stop           Reason
	throttled      bool
	sequence       int
}

// accelerators returns how many units of capacity the job takes in all.
func (j *job) accelerators() int { return max(1, j.Shape.Accelerators) }

// memberList returns the job's members on workers that still exist.
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

// worker is an upstream with what occupies it.
type worker struct {
	Worker
	index          int
	rack           int
	state          workerState
	capacity       int
	occupied       uint64
	vacating       int
	claimed        int
	jobs           map[string]*job
	claims         []*job
	failedJobs     map[string]bool
	quarantineTime time.Duration
	probeJob       string
	// wasQuarantined tells that a silent worker was out of use already.
	wasQuarantined bool
}

// free returns the capacity that nothing occupies.
func (w *worker) free() int { return w.capacity - bits.OnesCount64(w.occupied) }

// available returns the capacity that is free, or being vacated, and not claimed.
func (w *worker) available() int { return w.free() + w.vacating - w.claimed }

// freeNow returns the capacity that a job could take without waiting for another to leave.
func (w *worker) freeNow() int { return min(w.free(), w.available()) }

func (w *worker) usable() bool { return w.state == workerUp }

// occupy takes count units and returns their mask.
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

// sortedJobs returns the jobs that occupy the worker, by ID.
func (w *worker) sortedJobs() []*job {
	list := make([]*job, 0, len(w.jobs))
	for _, j := range w.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// cell is one guaranteed shape; it is bound to workers while its organisation has work in it.
type cell struct {
	organisation string
	shape        packer.Shape
	guarantee    int
	number       int
	members      int
	perWorker    int
	workers      []*worker
	used         map[int]int
	jobs         int
	broken       bool
}

func (c *cell) bound() bool { return c.workers != nil }

// unusedOn returns how much of the cell is not in use on the worker.
func (c *cell) unusedOn(w *worker) int { return c.perWorker - c.used[w.index] }

// unusedBlockAt returns the largest unused part of the cell that taking accelerators of the worker would break.
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
