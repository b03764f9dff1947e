package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/messenger"
	"github.com/snipelift/snipelift/owner"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/storer"
)

// SubmitResult is what became of a request: an admission, and an answer if it was placed without an owner.
type SubmitResult struct {
	owner.Admission

	Answer *recorder.Answer
}

// Submit brings a job to the owner; it may be repeated with the same ID at any entry.
//
// A call whose reply was lost is repeated, since the owner knows the job by its
// ID. When time is up, a refusal that was written to the table first is
// certain; without that the outcome is unknown.
func (r *Router) Submit(ctx context.Context, record recorder.Open) (SubmitResult, error) {
	if !r.spreader.Fresh() {
		return refusedFor(scheduler.RuleDocumentUnconfirmed), nil
	}
	began := time.Now()
	sent, mayHaveRun := false, false
	for {
		admission, err := r.submitOnce(ctx, record)
		if err == nil && !admission.Unknown {
			return SubmitResult{Admission: certain(admission, mayHaveRun)}, nil
		}
		if err == nil || errors.Is(err, messenger.ErrOutcomeUnknown) {
			sent = true
			mayHaveRun = mayHaveRun || r.mayRunUnrecorded(record.Job)
		}
		if time.Since(began) >= directAfter && r.mayPlaceDirectly(record.Job) {
			answer, started := r.placeDirectly(ctx, record)
			if answer != nil {
				return SubmitResult{Admission: owner.Admission{Unrecorded: true}, Answer: answer}, nil
			}
			mayHaveRun = mayHaveRun || started
		}
		if ctx.Err() != nil && mayHaveRun {
			return SubmitResult{Admission: owner.Admission{Unknown: true}}, nil
		}
		if ctx.Err() != nil {
			return r.giveUp(record, sent), nil
		}
		sleeper.Sleep(ctx, routePause)
	}
}

// certain turns a refusal into an unknown outcome if an earlier try may have run without a record.
func certain(a owner.Admission, mayHaveRun bool) owner.Admission {
	if mayHaveRun && !a.Accepted && !a.Unrecorded && !a.KeyReused {
		return owner.Admission{Unknown: true}
	}
	return a
}

func refusedFor(rule scheduler.Rule) SubmitResult {
	return SubmitResult{Admission: owner.Admission{Reason: scheduler.Reason{Rule: rule}, RetryAfter: callTimeout}}
}

// submitTimeout bounds one try to submit.
const submitTimeout = 3 * time.Second

func (r *Router) submitOnce(ctx context.Context, record recorder.Open) (owner.Admission, error) {
	w, ok := r.route()
	if !ok {
		r.leaser.Nudge()
		return owner.Admission{}, ErrNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return w.submit(ctx, record)
}

// giveUp makes a refusal certain where it can; work that an owner may run without a record leaves no refusal behind, since that could be untrue.
func (r *Router) giveUp(record recorder.Open, sent bool) SubmitResult {
	if !sent {
		return refusedFor(scheduler.RuleNoOwner)
	}
	if r.mayRunUnrecorded(record.Job) {
		return SubmitResult{Admission: owner.Admission{Unknown: true}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	refusal := recorder.Answer{
		Job:         record.Job,
		Fingerprint: record.Fingerprint,
		Outcome:     scheduler.OutcomeRefused,
		Ran:         scheduler.NotRun,
		Reason:      scheduler.Reason{Rule: scheduler.RuleNoOwner},
		Finished:    time.Now(),
	}
	err := r.options.Table.WriteSettled(ctx, r.options.NewID(), []storer.Change{
		{Key: recorder.DoneKey(record.Job.ID), Expect: 0, Value: recorder.Encode(refusal)},
		{Key: recorder.OpenKey(record.Job.ID), Expect: 0, CheckOnly: true},
	})
	switch {
	case err == nil:
		return SubmitResult{Answer: &refusal}
	case errors.Is(err, storer.ErrConflict):
		return SubmitResult{Admission: owner.Admission{Accepted: true}}
	default:
		return SubmitResult{Admission: owner.Admission{Unknown: true}}
	}
}

func (r *Router) class(job scheduler.Job) (documenter.Class, bool) {
	v, err := r.spreader.Current()
	if err != nil {
		return documenter.Class{}, false
	}
	class, _, ok := v.Document.Class(job.Class)
	return class, ok
}

// mayRunUnrecorded reports whether an owner could run the job without a record while the table is away.
func (r *Router) mayRunUnrecorded(job scheduler.Job) bool {
	class, ok := r.class(job)
	return ok && class.Urgent() && class.Idempotent
}

// mayPlaceDirectly reports whether the job is idempotent, urgent and small enough to be placed without an owner.
func (r *Router) mayPlaceDirectly(job scheduler.Job) bool {
	shape := job.Shape.WithDefaults()
	return r.mayRunUnrecorded(job) && shape.Within == packer.WithinWorker && shape.Accelerators > 0
}

// Wait returns the job's answer as soon as there is one, or how far it has come when the context ends; owner.ErrNoJob if nobody knows it.
func (r *Router) Wait(ctx context.Context, id string) (owner.Progress, error) {
	var last owner.Progress
	known := false
	for {
		progress, err := r.waitOnce(ctx, id)
		if err == nil {
			last, known = progress, true
			if progress.Answer != nil {
				return progress, nil
			}
		}
		if errors.Is(err, owner.ErrNoJob) && !known {
			return last, err
		}
		if ctx.Err() != nil {
			if known {
				return last, nil
			}
			return last, fmt.Errorf("%w: %w", ErrNoOwner, ctx.Err())
		}
		if err != nil {
			sleeper.Sleep(ctx, routePause)
		}
	}
}

// waitOnce asks the owner, then the table.
func (r *Router) waitOnce(ctx context.Context, id string) (owner.Progress, error) {
	asked := ErrNoOwner
	if w, ok := r.route(); ok {
		progress, err := w.wait(ctx, id, waitChunk)
		if err == nil {
			return progress, nil
		}
		asked = err
	}
	read, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	row, err := r.options.Table.Read(read, recorder.DoneKey(id))
	if err == nil {
		answer, err := recorder.Decode[recorder.Answer](row)
		return owner.Progress{Answer: &answer}, err
	}
	if !errors.Is(err, storer.ErrNotFound) {
		return owner.Progress{}, fmt.Errorf("read answer: %w", err)
	}
	return r.readOpen(read, id, asked)
}

func (r *Router) readOpen(ctx context.Context, id string, asked error) (owner.Progress, error) {
	row, err := r.options.Table.Read(ctx, recorder.OpenKey(id))
	if errors.Is(err, storer.ErrNotFound) && errors.Is(asked, owner.ErrNoJob) {
		return owner.Progress{}, owner.ErrNoJob
	}
	if errors.Is(err, storer.ErrNotFound) {
		return owner.Progress{}, fmt.Errorf("job not in table: %w", asked)
	}
	if err != nil {
		return owner.Progress{}, fmt.Errorf("read job: %w", err)
	}
	open, err := recorder.Decode[recorder.Open](row)
	if err != nil {
		return owner.Progress{}, err
	}
	view := scheduler.JobView{
		ID: id, Organisation: open.Job.Organisation, Class: open.Job.Class,
		Shape: open.Job.Shape, Phase: "waiting", Attempt: open.Attempt, Submitted: open.Job.Submitted,
	}
	return owner.Progress{Job: &view, Notes: open.Notes}, fmt.Errorf("owner not reachable: %w", asked)
}

// Cancel asks the owner to end a job.
func (r *Router) Cancel(ctx context.Context, id string) error {
	for {
		err := ErrNoOwner
		if w, ok := r.route(); ok {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			err = w.cancel(call, id)
			cancel()
		}
		if err == nil || errors.Is(err, owner.ErrNoJob) {
			return err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("cancel: %w", err)
		}
		sleeper.Sleep(ctx, routePause)
	}
}
