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

// SubmitResult is the outcome of Submit; Answer is set if the job was placed directly, or refused with a recorded answer.
type SubmitResult struct {
	owner.Admission

	Answer *recorder.Answer
}

// Submit forwards a job to the owner until the owner responds or the context ends.
//
// It is idempotent: the owner recognises a job by its ID, so a caller may retry at
// any entry, and Submit itself repeats a call whose response was lost. If no owner
// responds for directPlacementDelay, Submit places an urgent idempotent job
// directly. When the context ends after a call was sent, Submit reports a refusal
// only if it could record the refusal in the table; otherwise the outcome is
// unknown.
func (r *Router) Submit(ctx context.Context, record recorder.OpenJob) (SubmitResult, error) {
	if !r.spreader.Fresh() {
		return refusedBy(scheduler.RuleDocumentUnconfirmed), nil
	}
	start := time.Now()
	sent, mayHaveRun := false, false
	for {
		admission, err := r.submitOnce(ctx, record)
		if err == nil && !admission.Unknown {
			return SubmitResult{Admission: unknownIfMayHaveRun(admission, mayHaveRun)}, nil
		}
		if err == nil || errors.Is(err, messenger.ErrOutcomeUnknown) {
			sent = true
			mayHaveRun = mayHaveRun || r.mayRunUnrecorded(record.Job)
		}
		if time.Since(start) >= directPlacementDelay && r.mayPlaceDirectly(record.Job) {
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
			return r.resolveTimeout(record, sent), nil
		}
		sleeper.Sleep(ctx, routeRetryInterval)
	}
}

// unknownIfMayHaveRun turns a refusal into an unknown outcome if an earlier attempt may have run the job without a record.
func unknownIfMayHaveRun(a owner.Admission, mayHaveRun bool) owner.Admission {
	if mayHaveRun && !a.Accepted && !a.Unrecorded && !a.KeyReused {
		return owner.Admission{Unknown: true}
	}
	return a
}

func refusedBy(rule scheduler.Rule) SubmitResult {
	return SubmitResult{Admission: owner.Admission{Reason: scheduler.Reason{Rule: rule}, RetryAfter: callTimeout}}
}

// submitTimeout limits one call to the owner's Submit.
const submitTimeout = 3 * time.Second

func (r *Router) submitOnce(ctx context.Context, record recorder.OpenJob) (owner.Admission, error) {
	rt, ok := r.route()
	if !ok {
		r.leaser.Nudge()
		return owner.Admission{}, ErrNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return rt.submit(ctx, record)
}

// resolveTimeout returns the outcome of a submission whose context has ended.
//
// A job that was never sent to an owner is refused. Otherwise resolveTimeout
// records a refusal in the table, on condition that the job is not recorded there,
// so that no owner can accept the job afterwards; if the table has the job, it was
// accepted. For a job that an owner may have run without a record, it records no
// refusal, since that could be false.
func (r *Router) resolveTimeout(record recorder.OpenJob, sent bool) SubmitResult {
	if !sent {
		return refusedBy(scheduler.RuleNoOwner)
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
	err := r.options.Table.WriteIdempotent(ctx, r.options.NewID(), []storer.Change{
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

// mayRunUnrecorded reports whether an owner would run the job without recording it while the table is unavailable.
func (r *Router) mayRunUnrecorded(job scheduler.Job) bool {
	class, ok := r.class(job)
	return ok && class.Urgent() && class.Idempotent
}

// mayPlaceDirectly reports whether the job is urgent, idempotent and fits on one worker, so that it can be placed without an owner.
func (r *Router) mayPlaceDirectly(job scheduler.Job) bool {
	shape := job.Shape.WithDefaults()
	return r.mayRunUnrecorded(job) && shape.Within == packer.WithinWorker && shape.Accelerators > 0
}

// Wait waits for the job's answer and returns it.
//
// If the context ends first, Wait returns the job's last known progress. The error
// is owner.ErrNoJob if neither the owner nor the table knows the job.
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
			sleeper.Sleep(ctx, routeRetryInterval)
		}
	}
}

// waitOnce polls the owner and falls back to the table if that fails.
func (r *Router) waitOnce(ctx context.Context, id string) (owner.Progress, error) {
	ownerErr := ErrNoOwner
	if rt, ok := r.route(); ok {
		progress, err := rt.wait(ctx, id, longPollTimeout)
		if err == nil {
			return progress, nil
		}
		ownerErr = err
	}
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	row, err := r.options.Table.Read(readCtx, recorder.DoneKey(id))
	if err == nil {
		answer, err := recorder.Decode[recorder.Answer](row)
		return owner.Progress{Answer: &answer}, err
	}
	if !errors.Is(err, storer.ErrNotFound) {
		return owner.Progress{}, fmt.Errorf("read answer: %w", err)
	}
	return r.readOpenJob(readCtx, id, ownerErr)
}

func (r *Router) readOpenJob(ctx context.Context, id string, ownerErr error) (owner.Progress, error) {
	row, err := r.options.Table.Read(ctx, recorder.OpenKey(id))
	if errors.Is(err, storer.ErrNotFound) && errors.Is(ownerErr, owner.ErrNoJob) {
		return owner.Progress{}, owner.ErrNoJob
	}
	if errors.Is(err, storer.ErrNotFound) {
		return owner.Progress{}, fmt.Errorf("job not in table: %w", ownerErr)
	}
	if err != nil {
		return owner.Progress{}, fmt.Errorf("read job: %w", err)
	}
	open, err := recorder.Decode[recorder.OpenJob](row)
	if err != nil {
		return owner.Progress{}, err
	}
	view := scheduler.JobView{
		ID: id, Organisation: open.Job.Organisation, Class: open.Job.Class,
		Shape: open.Job.Shape, Phase: "waiting", Attempt: open.Attempt, Submitted: open.Job.Submitted,
	}
	return owner.Progress{Job: &view, Notes: open.Notes}, fmt.Errorf("owner not reachable: %w", ownerErr)
}

// Cancel asks the owner to cancel a job.
func (r *Router) Cancel(ctx context.Context, id string) error {
	for {
		err := ErrNoOwner
		if rt, ok := r.route(); ok {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err = rt.cancel(callCtx, id)
			cancel()
		}
		if err == nil || errors.Is(err, owner.ErrNoJob) {
			return err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("cancel: %w", err)
		}
		sleeper.Sleep(ctx, routeRetryInterval)
	}
}
