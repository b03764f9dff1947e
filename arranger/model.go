package arranger

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Resources are what a task needs or a worker has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU          int `json:"cpu,omitempty"`
	MemoryMB     int `json:"memoryMb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Covers reports whether need fits into r.
func (r Resources) Covers(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Max returns the larger of both in each kind of resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// FitCount returns how many times need fits into r.
func (r Resources) FitCount(need Resources) int {
	const unbounded = 1 << 20
	count := unbounded
	for _, pair := range [][2]int{{r.CPU, need.CPU}, {r.MemoryMB, need.MemoryMB}, {r.Accelerators, need.Accelerators}} {
		if pair[1] > 0 {
			count = min(count, max(0, pair[0])/pair[1])
		}
	}
	return count
}

// coresPerAccelerator is the weight of an accelerator in cores, as the users price lost work.
const coresPerAccelerator = 8

// cores returns the weight of the resources in cores.
func (r Resources) cores() float64 {
	const thousandths = 1000
	return float64(r.CPU)/thousandths + coresPerAccelerator*float64(r.Accelerators)
}

// Step is a group of equal tasks.
type Step struct {
	Count    int           `json:"count"`
	Need     Resources     `json:"need"`
	Estimate time.Duration `json:"estimate,omitempty"`
	// After are the numbers of the steps that must be done first.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang tasks run together or not at all.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slowed down when they run on several racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Requires is a label that the worker must have.
	Requires string `json:"requires,omitempty"`
	// DataRack is the rack outside of which the tasks are slowed down.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no bound.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// MaxUnavailable is how many lasting tasks may be unavailable at a time through our doing; 0 sets no bound.
	MaxUnavailable int `json:"mayMiss,omitempty"`
	// LatencySensitive tells that the tasks serve users of their own, whose response times suffer from tasks that fill.
	LatencySensitive bool `json:"serves,omitempty"`
	// BestEffort tells that the tasks use what processor time the others on their worker leave.
	BestEffort bool `json:"fills,omitempty"`
}

// Job is what a caller submitted, with the rules of its queue.
type Job struct {
	ID           string    `json:"id"`
	Queue        string    `json:"queue"`
	Organisation string    `json:"organisation"`
	Payload      string    `json:"payload"`
	Steps        []Step    `json:"steps"`
	Accepted     time.Time `json:"accepted"`
	// Occurrences is the number of occurrences, the first due at First; 0 means one occurrence, due at once.
	Occurrences int           `json:"times,omitempty"`
	FirstDue    time.Time     `json:"first,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
	Policy      Policy        `json:"policy"`
	// RowVersion is the version of the store at which the job was accepted.
	RowVersion int64 `json:"-"`
}

// Policy is what a queue says of its jobs.
type Policy struct {
	Service     string `json:"service"`
	Priority    int    `json:"priority"`
	MaxAttempts int    `json:"maxAttempts"`
	// Stretch times the longest chain of work, and Objective more, is the time in which a job is to be done.
	Stretch   float64       `json:"stretch"`
	Objective time.Duration `json:"objective"`
	// Advised tells that only workers that the advice service allows may run a step.
	Advised bool `json:"advised,omitempty"`
}

// Worker is an upstream, as it describes itself.
type Worker struct {
	ID          string
	Incarnation int64
	Service     string
	Address     string
	Rack        string
	Labels      []string
	Capacity    Resources
	Draining    bool
	// LeavesAt is the earliest time at which a draining worker leaves; zero if that is not known.
	LeavesAt time.Time
}

func (w Worker) has(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// TaskName names a task; its text form is ID.OCCURRENCE.STEP.INDEX.
type TaskName struct {
	Job         string
	Occurrence  int
	Step, Index int
}

// String returns the text form.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// ErrBadTaskName means that a text is not the name of a task.
var ErrBadTaskName = errors.New("not a task name")

// ParseTaskName reads the text form.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	const fields = 4
	if len(parts) != fields {
		return TaskName{}, fmt.Errorf("%w: %q", ErrBadTaskName, text)
	}
	numbers := [3]int{}
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskName{}, fmt.Errorf("%w: %q", ErrBadTaskName, text)
		}
		numbers[i] = n
	}
	return TaskName{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// State is how far a job has come.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Succeeded || s == Failed || s == Cancelled }

// Outcome says in which way a run ended.
type Outcome int

// The ways in which a run ends.
const (
	// EndedDone means that the task is complete.
	EndedDone Outcome = iota
	// EndedFailed counts against the task's attempts.
	EndedFailed
	// EndedInterrupted covers stops, lapsed leases and gangs that lost a member.
	EndedInterrupted
)

// String returns the way in words.
func (h Outcome) String() string {
	switch h {
	case EndedDone:
		return "done"
	case EndedFailed:
		return "failed"
	case EndedInterrupted:
	}
	return "cut short"
}

// StartOrder asks to start a task on a worker.
type StartOrder struct {
	Task       TaskName
	Run        int64
	Worker     string
	Payload    string
	Checkpoint string
	// Ticket shows that the advice service allows the worker; empty where it is not asked.
	Ticket string
	Reason string
}

// StopOrder asks to stop a run on a worker.
type StopOrder struct {
	Task   string
	Run    int64
	Worker string
	Reason string
}

// Orders are what the caller has to carry out.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	// AdviceRequests go to the advice service.
	AdviceRequests []AdviceRequest
}
