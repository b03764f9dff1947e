package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/storer"
)

// Admission is the outcome of a submission.
type Admission struct {
	// Accepted means that the job is recorded and will have an answer.
	Accepted bool `json:"accepted"`
	// Unrecorded means that the job will run at once without a record, because the table is unavailable.
	Unrecorded bool `json:"unrecorded,omitempty"`
	// Unknown means that the job may or may not have been recorded.
	Unknown bool `json:"unknown,omitempty"`
	// KeyReused means that the idempotency key belongs to a different request.
	KeyReused bool `json:"keyReused,omitempty"`
	// Reason tells why the job was refused, and RetryAfter how long to wait before the next try; a refused job did not run.
	Reason     scheduler.Reason `json:"reason,omitzero"`
	RetryAfter time.Duration    `json:"retryAfter,omitempty"`
}

// retryAfterOutage is the retry delay for callers while the table is unavailable.
const retryAfterOutage = 5 * time.Second

// inFlight is a submission whose job is being recorded.
type inFlight struct {
	fingerprint string
	done        chan struct{}
	admission   Admission
}

// Submit admits a job, records it and passes it to the scheduler; it is idempotent.
func (o *Owner) Submit(ctx context.Context, record recorder.OpenJob) (Admission, error) {
	var pending *inFlight
	var decided *Admission
	err := o.runInLoop(ctx, func() { pending, decided = o.beginSubmission(record) })
	if err != nil {
		return Admission{}, err
	}
	if decided != nil {
		return *decided, nil
	}
	select {
	case <-pending.done:
		return pending.admission, nil
	case <-ctx.Done():
		return Admission{Unknown: true}, nil
	case <-o.ctx.Done():
		return Admission{Unknown: true}, nil
	}
}

// beginSubmission returns the admission if it is known at once; otherwise it starts to record the job, or joins a submission in flight.
func (o *Owner) beginSubmission(record recorder.OpenJob) (*inFlight, *Admission) {
	id := record.Job.ID
	if t := o.jobs[id]; t != nil {
		return nil, o.duplicateAdmission(t.record.Fingerprint, record)
	}
	if answer, ok := o.answers.get(id); ok {
		return nil, o.duplicateAdmission(answer.Fingerprint, record)
	}
	if pending := o.inFlight[id]; pending != nil {
		if pending.fingerprint != record.Fingerprint {
			return nil, &Admission{KeyReused: true}
		}
		return pending, nil
	}
	if refusal, ok := o.scheduler.CheckAdmission(time.Now(), record.Job); ok {
		o.counts.Refused++
		return nil, &Admission{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	pending := &inFlight{fingerprint: record.Fingerprint, done: make(chan struct{})}
	o.inFlight[id] = pending
	traits := o.traitsOf(record.Job.Class)
	o.spawn(func(ctx context.Context) { o.record(ctx, record, traits, pending) })
	return pending, nil
}

// traitsOf returns the traits of a class in the current document.
func (o *Owner) traitsOf(name string) classTraits {
	class, _, _ := o.scheduler.Document().Class(name)
	return classTraits{idempotent: class.Idempotent, urgent: class.Urgent()}
}

// duplicateAdmission returns the admission of a job that is already known under the fingerprint.
func (o *Owner) duplicateAdmission(fingerprint string, record recorder.OpenJob) *Admission {
	if fingerprint != record.Fingerprint {
		return &Admission{KeyReused: true}
	}
	return &Admission{Accepted: true}
}

// record writes the open row, or reads the existing row if the table already has the job.
func (o *Owner) record(ctx context.Context, record recorder.OpenJob, traits classTraits, pending *inFlight) {
	err := o.writer.write(ctx, []storer.Change{
		{Key: recorder.DoneKey(record.Job.ID), Expect: 0, CheckOnly: true},
		{Key: recorder.OpenKey(record.Job.ID), Expect: 0, Value: recorder.Encode(record)},
	})
	version := int64(1)
	var known *recorder.Answer
	if errors.Is(err, storer.ErrConflict) {
		record, version, known, err = o.readExisting(ctx, record)
	}
	o.post(func() {
		o.finishSubmission(record, traits, version, known, err, pending)
	})
}

// readExisting reads the row that a new one conflicted with: the answer if the job has ended, else the open row.
func (o *Owner) readExisting(ctx context.Context, record recorder.OpenJob) (recorder.OpenJob, int64, *recorder.Answer, error) {
	id := record.Job.ID
	row, err := o.options.Table.Read(ctx, recorder.DoneKey(id))
	if err == nil {
		answer, err := recorder.Decode[recorder.Answer](row)
		return record, 0, &answer, err
	}
	row, err = o.options.Table.Read(ctx, recorder.OpenKey(id))
	if err != nil {
		return record, 0, nil, fmt.Errorf("%w: read back: %w", storer.ErrOutcomeUnknown, err)
	}
	known, err := recorder.Decode[recorder.OpenJob](row)
	if err == nil && known.Fingerprint != record.Fingerprint {
		return known, row.Version, nil, ErrKeyReused
	}
	return known, row.Version, nil, err
}

// finishSubmission sets the admission of a submission in flight and tracks the job if it will run.
func (o *Owner) finishSubmission(record recorder.OpenJob, traits classTraits, version int64, known *recorder.Answer, err error, pending *inFlight) {
	delete(o.inFlight, record.Job.ID)
	defer close(pending.done)
	switch {
	case known != nil:
		o.answers.put(*known)
		pending.admission = *o.duplicateAdmission(known.Fingerprint, recorder.OpenJob{Fingerprint: pending.fingerprint})
	case err == nil:
		pending.admission = Admission{Accepted: true}
		o.track(record, traits, version)
	case errors.Is(err, ErrKeyReused):
		pending.admission = Admission{KeyReused: true}
	case traits.idempotent && traits.urgent:
		pending.admission = Admission{Unrecorded: true}
		o.track(record, traits, 0)
	case errors.Is(err, storer.ErrUnavailable):
		pending.admission = Admission{Reason: scheduler.Reason{Rule: scheduler.RuleStoreUnavailable}, RetryAfter: retryAfterOutage}
	default:
		pending.admission = Admission{Unknown: true}
	}
}

// track starts to track a job and submits it to the scheduler.
//
// Urgent idempotent work may already have run without a record: directly on an entry
// without an owner, or under an owner while the table was unavailable.
func (o *Owner) track(record recorder.OpenJob, traits classTraits, version int64) {
	o.counts.Accepted++
	o.jobs[record.Job.ID] = newJobState(record, traits, version)
	o.apply(scheduler.JobSubmitted{Job: record.Job, Recorded: true, MayHaveRun: traits.idempotent && traits.urgent})
}
