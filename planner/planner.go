package planner

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
)

// ErrInvalid is wrapped by every error about an invalid state.
var ErrInvalid = errors.New("invalid state")

// State is a snapshot of workers, running jobs and waiting jobs; see docs/PLAN.md.
type State struct {
	Workers []scheduler.Worker `json:"workers"`
	Running []Running          `json:"running,omitempty"`
	Waiting []Waiting          `json:"waiting,omitempty"`
}

// Running is a job and the workers that it runs on.
type Running struct {
	Waiting

	Members    []scheduler.Member `json:"members"`
	RanSeconds int                `json:"ranSeconds,omitempty"`
}

// Waiting is a submitted job.
type Waiting struct {
	ID            string       `json:"id"`
	Organisation  string       `json:"organisation"`
	Class         string       `json:"class"`
	Shape         packer.Shape `json:"shape"`
	WaitedSeconds int          `json:"waitedSeconds,omitempty"`
}

// Step is one action of the scheduler, with its reason also as a sentence.
type Step struct {
	Action  string             `json:"action"`
	Job     string             `json:"job,omitempty"`
	Members []scheduler.Member `json:"members,omitempty"`
	Why     string             `json:"why"`
	Reason  scheduler.Reason   `json:"reason"`
}

// Decode parses a state from JSON; errors wrap ErrInvalid.
func Decode(data []byte) (State, error) {
	var s State
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, fmt.Errorf("%w: %s", ErrInvalid, strings.TrimPrefix(err.Error(), "json: "))
	}
	for i, r := range s.Running {
		if len(r.Members) == 0 {
			return s, fmt.Errorf("%w: running[%d].members: a running job has at least one", ErrInvalid, i)
		}
	}
	return s, nil
}

// planTime is the current time in every plan; only differences of time matter.
var planTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Plan returns the scheduler's actions in order, by running a scheduler on the state.
func Plan(d documenter.Document, state State) []Step {
	s := scheduler.New(d, scheduler.Options{})
	var steps []Step
	apply := func(e scheduler.Event) {
		for _, decision := range s.Apply(planTime, e) {
			steps = append(steps, newStep(decision))
		}
	}
	for _, w := range state.Workers {
		s.Apply(planTime, scheduler.WorkerReported{Worker: w})
	}
	for _, r := range state.Running {
		apply(scheduler.JobAdopted{
			Job:     r.job(),
			Attempt: 1,
			Members: r.Members,
			Started: planTime.Add(-time.Duration(r.RanSeconds) * time.Second),
		})
	}
	for _, w := range state.Waiting {
		apply(scheduler.JobSubmitted{Job: w.job()})
	}
	for _, w := range state.Waiting {
		if view, ok := s.Job(w.ID); ok && view.Phase == "waiting" {
			steps = append(steps, Step{Action: "wait", Job: w.ID, Why: view.Reason.Sentence(), Reason: view.Reason})
		}
	}
	return withoutAdmissions(steps)
}

func (w Waiting) job() scheduler.Job {
	return scheduler.Job{
		ID:           w.ID,
		Organisation: w.Organisation,
		Class:        w.Class,
		Shape:        w.Shape.WithDefaults(),
		Submitted:    planTime.Add(-time.Duration(w.WaitedSeconds) * time.Second),
	}
}

const actionAdmit = "admit"

func withoutAdmissions(steps []Step) []Step {
	kept := steps[:0]
	for _, s := range steps {
		if s.Action != actionAdmit {
			kept = append(kept, s)
		}
	}
	return kept
}

func newStep(d scheduler.Decision) Step {
	step := Step{Reason: d.Why(), Why: d.Why().Sentence()}
	switch d := d.(type) {
	case scheduler.Admitted:
		step.Action, step.Job = actionAdmit, d.ID
	case scheduler.Refused:
		step.Action, step.Job = "refuse", d.ID
	case scheduler.Started:
		step.Action, step.Job, step.Members = "start", d.Job.ID, d.Members
	case scheduler.Stopped:
		step.Action, step.Job, step.Members = "stop", d.ID, d.Members
	case scheduler.Requeued:
		step.Action, step.Job = "requeue", d.ID
	case scheduler.Ended:
		step.Action, step.Job = "end", d.ID
	case scheduler.Throttled:
		step.Action, step.Job = "throttle", d.ID
	case scheduler.WorkerChanged:
		step.Action = "worker"
	case scheduler.GuaranteeChanged:
		step.Action = "guarantee"
	}
	return step
}
