package arranger

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/snipelift/snipelift/estimator"
)

// Resources are the resources that a task requests or a worker offers.
type Resources struct {
	// CPU is in millicores.
	CPU          int `json:"cpu,omitempty"`
	MemoryMB     int `json:"memoryMb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Covers reports whether r is at least need in each dimension.
func (r Resources) Covers(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Max returns the larger value of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// FitCount returns how many tasks that request need fit into r.
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

// coresPerAccelerator converts accelerators to cores; it is the ratio at which users price lost work.
const coresPerAccelerator = 8

// cores returns the weight of r in cores, with accelerators converted.
func (r Resources) cores() float64 {
	const millicores = 1000
	return float64(r.CPU)/millicores + coresPerAccelerator*float64(r.Accelerators)
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count    int           `json:"count"`
	Need     Resources     `json:"need"`
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the numbers of the steps that must complete first.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang means that all tasks of the step start together or not at all.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks run slower when they are spread over several racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Requires is a label that a worker must have to run the tasks.
	Requires string `json:"requires,omitempty"`
	// DataRack is the rack that stores the input data; tasks run slower on other racks.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker limits the number of the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled and are restarted when they end.
	LongRunning bool `json:"lasting,omitempty"`
	// MaxUnavailable is the number of long-running tasks that preemption may make unavailable at a time; 0
	// means no limit.
	MaxUnavailable int `json:"mayMiss,omitempty"`
	// LatencySensitive means that the tasks serve user requests, whose response times suffer from best-effort
	// tasks on the same worker.
	LatencySensitive bool `json:"serves,omitempty"`
	// BestEffort means that the tasks use only the CPU time that other tasks on their worker leave idle.
	BestEffort bool `json:"fills,omitempty"`
}

// Job is a submitted job with the policy of its queue.
type Job struct {
	ID           string    `json:"id"`
	Queue        string    `json:"queue"`
	Organisation string    `json:"organisation"`
	Payload      string    `json:"payload"`
	Steps        []Step    `json:"steps"`
	Accepted     time.Time `json:"accepted"`
	// Occurrences is the number of times that the job runs, Interval apart from FirstDue on; 0 means once,
	// immediately.
	Occurrences int           `json:"times,omitempty"`
	FirstDue    time.Time     `json:"first,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
	Policy      Policy        `json:"policy"`
}

// Policy is the scheduling policy of a queue.
type Policy struct {
	Service     string `json:"service"`
	Priority    int    `json:"priority"`
	MaxAttempts int    `json:"maxAttempts"`
	// Stretch and Objective set the deadline of a job: Stretch times the estimate of its critical path, plus
	// Objective, after its acceptance.
	Stretch   float64       `json:"stretch"`
	Objective time.Duration `json:"objective"`
	// Advised means that a step may only run on workers for which the advice service has issued a ticket.
	Advised bool `json:"advised,omitempty"`
}

// Worker describes an upstream that runs tasks.
type Worker struct {
	ID          string
	Incarnation int64
	Service     string
	Address     string
	// Zone is the worker's availability zone.
	Zone     string
	Rack     string
	Labels   []string
	Capacity Resources
	// Draining means that the worker gets no new tasks.
	Draining bool
	// Leaving means that the worker has announced that it will shut down.
	Leaving bool
	// LeavesAt is the earliest time at which a draining worker shuts down; zero if unknown.
	LeavesAt time.Time
	// ColdUntil is when the worker is no longer slow after its start; zero if it is not.
	ColdUntil time.Time
}

func (w Worker) has(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// TaskName identifies a task; its text form is ID.OCCURRENCE.STEP.INDEX.
type TaskName struct {
	Job         string
	Occurrence  int
	Step, Index int
}

// String returns the text form of the name.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// ErrBadTaskName means that a text is not a valid task name.
var ErrBadTaskName = errors.New("not a task name")

// ParseTaskName parses the text form of a task name.
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

// State is the lifecycle state of a job.
type State string

// The states of a job; Succeeded, Failed and Cancelled are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state never changes state again.
func (s State) Final() bool { return s == Succeeded || s == Failed || s == Cancelled }

// Outcome is the way in which a run ended.
type Outcome int

// The outcomes of a run.
const (
	// EndedDone means that the task completed.
	EndedDone Outcome = iota
	// EndedFailed means that the run failed, which counts against the task's attempts.
	EndedFailed
	// EndedInterrupted means that the run was stopped, its lease expired or its gang lost a member.
	EndedInterrupted
)

// String returns the outcome in words.
func (o Outcome) String() string {
	switch o {
	case EndedDone:
		return "done"
	case EndedFailed:
		return "failed"
	case EndedInterrupted:
	}
	return "cut short"
}

// StartOrder is an order to start a task on a worker.
type StartOrder struct {
	Task   TaskName
	Run    int64
	Worker string
	// Zone is the availability zone of the worker.
	Zone       string
	Payload    string
	Checkpoint string
	// Ticket is the advice service's permission for the worker; empty if the queue needs no advice.
	Ticket string
	// Speed is the rated speed of the worker relative to the average.
	Speed float64
	// Gang means that the task works only together with the other tasks of its step.
	Gang bool
	// Estimate is the estimated work of the task; nil if nothing is expected of it. Its run time on the worker is Slowdown
	// times as long.
	Estimate *estimator.Estimate
	Slowdown float64
	Reason   string
}

// StopOrder is an order to stop a run on a worker.
type StopOrder struct {
	Task   string
	Run    int64
	Worker string
	Reason string
}

// Orders are the decisions that the caller has to carry out.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	// AdviceRequests are to be sent to the advice service.
	AdviceRequests []AdviceRequest
}
