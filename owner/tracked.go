package owner

import (
	"time"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
)

// jobState is a job that has not been answered yet.
type jobState struct {
	record recorder.Open
	class  classTraits
	// version is that of the open row, or 0 if the job has none.
	version int64
	attempt *attempt
	// retired are earlier attempts that the workers must still remember.
	retired []*attempt
	// answer is set once the job has ended; done is closed once the answer may be told.
	answer    *recorder.Answer
	done      chan struct{}
	startedAt time.Time
}

// classTraits are the rules of a class that outlive a change of the document for a job that was taken under them.
type classTraits struct {
	idempotent bool
	urgent     bool
}

func newJobState(record recorder.Open, traits classTraits, version int64) *jobState {
	return &jobState{record: record, class: traits, version: version, done: make(chan struct{})}
}

// attempt is one try to run a job, with what each member's worker says of it.
type attempt struct {
	number             int
	members            []scheduler.Member
	statuses           []dispatcher.Status
	lost               []bool
	startReported      bool
	checkpointReported bool
	stopping           bool
	ended              bool
}

func newAttempt(number int, members []scheduler.Member) *attempt {
	return &attempt{
		number:   number,
		members:  members,
		statuses: make([]dispatcher.Status, len(members)),
		lost:     make([]bool, len(members)),
	}
}

func (a *attempt) indexOf(worker string) int {
	for i, m := range a.members {
		if m.Worker == worker {
			return i
		}
	}
	return -1
}

// memberCounts counts the states of the members that are not lost.
type memberCounts struct {
	notLost      int
	final        int
	running      int
	succeeded    int
	failed       int
	neverStarted int
	checkpoints  int
	failedOn     string
	refusedBy    string
}

func (a *attempt) memberCounts() memberCounts {
	var t memberCounts
	for i, s := range a.statuses {
		if a.lost[i] {
			continue
		}
		t.notLost++
		t.add(s, a.members[i].Worker)
	}
	return t
}

func (t *memberCounts) add(s dispatcher.Status, worker string) {
	if s.Checkpoint {
		t.checkpoints++
	}
	switch s.State {
	case dispatcher.StateRunning:
		t.running++
	case dispatcher.StateSucceeded:
		t.succeeded++
		t.final++
	case dispatcher.StateFailed:
		t.failed++
		t.final++
		t.failedOn = worker
	case dispatcher.StateStopped:
		t.final++
	case dispatcher.StateNeverStarted:
		t.neverStarted++
		t.final++
		t.refusedBy = worker
	case dispatcher.StateReserved:
	}
}

func (t *jobState) traits(s *scheduler.Scheduler) classTraits {
	class, _, ok := s.Document().Class(t.record.Job.Class)
	if !ok {
		return t.class
	}
	return classTraits{idempotent: class.Idempotent, urgent: class.Urgent()}
}
