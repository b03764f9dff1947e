package owner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/storer"
)

const (
	// answerCacheBytes limits the memory of the answer cache.
	answerCacheBytes = 2 << 20
	// answerOverheadBytes is the size that the cache assumes for an answer without its result.
	answerOverheadBytes = 1 << 10
	// minRecordBackoff and maxRecordBackoff limit the exponential backoff of attempts to record an answer.
	minRecordBackoff = 200 * time.Millisecond
	maxRecordBackoff = 5 * time.Second
)

// answerCache keeps the most recent answers in memory; the table has all of them.
type answerCache struct {
	limit int
	bytes int
	byID  map[string]recorder.Answer
	order []string
}

func newAnswerCache(limit int) *answerCache {
	return &answerCache{limit: limit, byID: map[string]recorder.Answer{}}
}

func (c *answerCache) get(id string) (recorder.Answer, bool) {
	answer, ok := c.byID[id]
	return answer, ok
}

// put adds an answer unless the cache has one for the job, and evicts the oldest answers beyond the limit; the newest one always stays.
func (c *answerCache) put(answer recorder.Answer) {
	if _, ok := c.byID[answer.Job.ID]; ok {
		return
	}
	c.byID[answer.Job.ID] = answer
	c.order = append(c.order, answer.Job.ID)
	c.bytes += cachedBytes(answer)
	for c.bytes > c.limit && len(c.order) > 1 {
		oldest := c.order[0]
		c.bytes -= cachedBytes(c.byID[oldest])
		delete(c.byID, oldest)
		c.order = c.order[1:]
	}
}

func cachedBytes(answer recorder.Answer) int { return answerOverheadBytes + len(answer.Result) }

// digestMatches reports whether the result in a status has the digest that the worker sent with it.
func digestMatches(s dispatcher.Status) bool {
	sum := sha256.Sum256(s.Result)
	return s.Digest == hex.EncodeToString(sum[:])
}

// endJob creates the answer of a job that has ended and starts to record it; the answer of an urgent idempotent job without a row is published at once.
func (o *Owner) endJob(now time.Time, d scheduler.Ended) {
	t := o.jobs[d.ID]
	if t == nil {
		return
	}
	answer := recorder.Answer{
		Job:         t.record.Job,
		Fingerprint: t.record.Fingerprint,
		Outcome:     d.Outcome,
		Ran:         d.Ran,
		Reason:      d.Reason,
		Members:     t.record.Members,
		Started:     t.startedAt,
		Finished:    now,
		Notes:       t.record.Notes,
	}
	if t.attempt != nil {
		addResult(&answer, t.attempt)
	}
	t.answer = &answer
	traits := t.traits(o.scheduler)
	if t.version == 0 && traits.idempotent && traits.urgent {
		o.publishAnswer(answer)
	}
	o.options.Logger.Info("job ended",
		"job", d.ID,
		"attempt", t.record.Attempt,
		"organisation", t.record.Job.Organisation,
		"epoch", o.options.Epoch,
		"outcome", string(d.Outcome),
		"why", d.Reason.Sentence(),
	)
	o.spawn(func(ctx context.Context) { o.recordAnswer(ctx, answer) })
}

// addResult adds the result of the first member if the job succeeded, and the last error of any member.
func addResult(answer *recorder.Answer, a *attempt) {
	for i, s := range a.statuses {
		if s.Error != "" {
			answer.Error = s.Error
		}
		if i == 0 && answer.Outcome == scheduler.OutcomeSucceeded {
			answer.Result = s.Result
			answer.Digest = s.Digest
		}
	}
}

// recordAnswer records the answer, retrying until the owner ends, then publishes the recorded answer, which may be an earlier one.
func (o *Owner) recordAnswer(ctx context.Context, answer recorder.Answer) {
	backoff := minRecordBackoff
	for ctx.Err() == nil {
		recorded, err := o.tryRecordAnswer(ctx, answer)
		if err == nil {
			o.post(func() { o.publishAnswer(recorded) })
			return
		}
		o.options.Logger.Debug("cannot record answer; retrying", "job", answer.Job.ID, "error", err)
		sleeper.Sleep(ctx, time.Duration(float64(backoff)*(0.5+o.options.Random())))
		backoff = min(backoff*2, maxRecordBackoff)
	}
}

// tryRecordAnswer stores a large result as an object and replaces the open row by the answer; it returns the existing answer if there is one.
func (o *Owner) tryRecordAnswer(ctx context.Context, answer recorder.Answer) (recorder.Answer, error) {
	id := answer.Job.ID
	if len(answer.Result) > recorder.MaxInlineResult {
		if err := o.options.Objects.Put(ctx, recorder.ResultKey(id), answer.Result); err != nil {
			return answer, fmt.Errorf("store result: %w", err)
		}
		answer.ResultObject = recorder.ResultKey(id)
		answer.Result = nil
	}
	err := o.writer.write(ctx, []storer.Change{
		{Key: recorder.DoneKey(id), Expect: 0, Value: recorder.Encode(answer)},
		{Key: recorder.OpenKey(id), Expect: storer.AnyVersion, Delete: true},
	})
	if !errors.Is(err, storer.ErrConflict) {
		return answer, err
	}
	row, readErr := o.options.Table.Read(ctx, recorder.DoneKey(id))
	if readErr != nil {
		return answer, fmt.Errorf("record answer: %w", err)
	}
	if err := o.writer.write(ctx, []storer.Change{{Key: recorder.OpenKey(id), Expect: storer.AnyVersion, Delete: true}}); err != nil {
		return answer, fmt.Errorf("delete open row of a recorded answer: %w", err)
	}
	return recorder.Decode[recorder.Answer](row)
}

// publishAnswer returns the answer to the callers that wait for it and lets the workers forget the job.
func (o *Owner) publishAnswer(answer recorder.Answer) {
	id := answer.Job.ID
	o.answers.put(answer)
	t := o.jobs[id]
	if t == nil {
		return
	}
	o.retireAttempt(id)
	o.forgetRetired(id, t)
	close(t.done)
	delete(o.jobs, id)
}

// wakeWaiters wakes the callers that wait for jobs when the term has ended.
func (o *Owner) wakeWaiters() {
	for _, t := range o.jobs {
		close(t.done)
	}
	o.jobs = map[string]*jobState{}
}

// Progress is the answer of a job, or its current state and notes if it has no answer yet.
type Progress struct {
	Answer *recorder.Answer   `json:"answer,omitempty"`
	Job    *scheduler.JobView `json:"job,omitempty"`
	Notes  []recorder.Note    `json:"notes,omitempty"`
}

// Wait returns the answer as soon as there is one, or the job's progress when the context ends; it returns ErrNoJob if this owner does not know the job.
func (o *Owner) Wait(ctx context.Context, id string) (Progress, error) {
	for {
		progress, done, err := o.progress(id)
		if err != nil || progress.Answer != nil {
			return progress, err
		}
		select {
		case <-done:
			if o.ctx.Err() != nil {
				return progress, ErrNotOwner
			}
		case <-ctx.Done():
			progress, _, err = o.progress(id)
			return progress, err
		case <-o.ctx.Done():
			return progress, ErrNotOwner
		}
	}
}

func (o *Owner) progress(id string) (progress Progress, done chan struct{}, err error) {
	known := false
	err = o.runInLoop(o.ctx, func() {
		if answer, ok := o.answers.get(id); ok {
			progress.Answer = &answer
			known = true
			return
		}
		t := o.jobs[id]
		if t == nil {
			return
		}
		known = true
		done = t.done
		progress.Notes = t.record.Notes
		if view, ok := o.scheduler.Job(id); ok {
			progress.Job = &view
		}
	})
	if err == nil && !known {
		err = ErrNoJob
	}
	return progress, done, err
}

// Cancel requests the cancellation of a job; the answer tells its outcome.
func (o *Owner) Cancel(ctx context.Context, id string) error {
	known := false
	err := o.runInLoop(ctx, func() {
		known = o.jobs[id] != nil
		if _, ok := o.answers.get(id); ok {
			known = true
		}
		o.apply(scheduler.JobCancelled{ID: id})
	})
	if err == nil && !known {
		return ErrNoJob
	}
	return err
}

// View returns the state of the service, with its jobs if withJobs is set.
func (o *Owner) View(ctx context.Context, withJobs bool) (scheduler.View, error) {
	var view scheduler.View
	err := o.runInLoop(ctx, func() { view = o.scheduler.View(withJobs) })
	return view, err
}
