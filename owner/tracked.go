package owner

import (
	"time"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
)

// jobState is what the owner keeps of a job without a recorded answer.
type jobState struct {
	record recorder.OpenJob
	// class has the traits at the time of acceptance, see traits.
	class classTraits
	// version is the version of the open row, or 0 if the job has none.
	version int64
	attempt *attempt
	// retired are the earlier attempts that the workers must still remember.
	retired []*attempt
	// answer is set once the job has ended; done is closed once the answer may be returned to callers.
	answer    *recorder.Answer
	done      chan struct{}
	startedAt time.Time
}

// classTraits are the rules of a class that a job keeps if a later document no longer has the class.
type classTraits struct {
	idempotent bool
	urgent     bool
}

func newJobState(record recorder.OpenJob, traits classTraits, version int64) *jobState {
	return &jobState{record: record, class: traits, version: version, done: make(chan struct{})}
}

// attempt is one attempt to run a job, with the last status of each member.
type attempt struct {
	number   int
	members  []scheduler.Member
	statuses []dispatcher.Status
	lost     []bool
	// startReported, checkpointReported and ended are set once the scheduler knows.
	startReported      bool
	checkpointReported bool
	// stopping is set once the members have been told to stop.
	stopping bool
	ended    bool
}

func newAttempt(number int, members []scheduler.Member) *attempt {
	return &attempt{
		number:   number,
		members:  members,
		statuses: make([]dispatcher.Status, len(members)),
		lost:     make([]bool, len(members)),
	}
}

// indexOf returns the index of the member on the worker, or -1.
func (a *attempt) indexOf(worker string) int {
	for i, m := range a.members {
		if m.Worker == worker {
			return i
		}
	}
	return -1
}

// memberCounts are the numbers of members in each state, not counting lost members.
type memberCounts struct {
	notLost      int
	final        int
	running      int
	succeeded    int
	failed       int
	neverStarted int
	checkpoints  int
	// failedOn is the worker of the last member that failed, refusedBy that of the last one that never started.
	failedOn  string
	refusedBy string
}

func (a *attempt) memberCounts() memberCounts {
	var c memberCounts
	for i, s := range a.statuses {
		if a.lost[i] {
			continue
		}
		c.notLost++
		c.add(s, a.members[i].Worker)
	}
	return c
}

func (c *memberCounts) add(s dispatcher.Status, worker string) {
	if s.Checkpoint {
		c.checkpoints++
	}
	switch s.State {
	case dispatcher.StateRunning:
		c.running++
	case dispatcher.StateSucceeded:
		c.succeeded++
		c.final++
	case dispatcher.StateFailed:
		c.failed++
		c.final++
		c.failedOn = worker
	case dispatcher.StateStopped:
		c.final++
	case dispatcher.StateNeverStarted:
		c.neverStarted++
		c.final++
		c.refusedBy = worker
	case dispatcher.StateReserved:
	}
}

// traits returns the traits of the job's class in the current document, or those at the time of acceptance if the class is gone.
func (t *jobState) traits(s *scheduler.Scheduler) classTraits {
	class, _, ok := s.Document().Class(t.record.Job.Class)
	if !ok {
		return t.class
	}
	return classTraits{idempotent: class.Idempotent, urgent: class.Urgent()}
}
