package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"go.opentelemetry.io/otel/propagation"

	"github.com/snipelift/snipelift/limiter"
	"github.com/snipelift/snipelift/owner"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/router"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/tracer"
)

const (
	// HeaderIdempotencyKey carries the key under which a repeated request counts as the same request.
	HeaderIdempotencyKey = "Idempotency-Key"
	maxBodyBytes         = 256 << 10
	maxKeyBytes          = 200
	defaultWait          = 10 * time.Second
	maxWait              = 60 * time.Second
	// minOwnerTimeout is the least time allowed for a submission or a cancellation to reach an owner, however
	// short the caller's wait is.
	minOwnerTimeout = 5 * time.Second
)

// SubmitRequest is the body of POST /v1/jobs.
type SubmitRequest struct {
	Organisation    string          `json:"organisation,omitempty"`
	Class           string          `json:"class"`
	Shape           packer.Shape    `json:"shape"`
	Payload         json.RawMessage `json:"payload,omitempty"`
	DeclaredSeconds int             `json:"declaredSeconds,omitempty"`
	DeadlineSeconds int             `json:"deadlineSeconds,omitempty"`
	MemoryMB        int             `json:"memoryMb,omitempty"`
}

// Job is the body of responses about a job.
type Job struct {
	ID       string             `json:"id"`
	Class    string             `json:"class"`
	State    string             `json:"state"`
	Outcome  scheduler.Outcome  `json:"outcome,omitempty"`
	Ran      scheduler.Ran      `json:"ran,omitempty"`
	Result   json.RawMessage    `json:"result,omitempty"`
	Error    string             `json:"error,omitempty"`
	Why      string             `json:"why,omitempty"`
	Members  []scheduler.Member `json:"members,omitempty"`
	Waited   float64            `json:"waitedSeconds,omitempty"`
	Moves    int                `json:"moves,omitempty"`
	Location string             `json:"location,omitempty"`
}

// StateDone is the state of a job that has a recorded answer.
const StateDone = "done"

// withRemoteTrace returns the request's context with the trace context from its headers.
func withRemoteTrace(c *gin.Context) context.Context {
	carrier := propagation.HeaderCarrier(c.Request.Header)
	return propagation.TraceContext{}.Extract(c.Request.Context(), carrier)
}

func (s *server) submit(c *gin.Context) {
	record, ok := s.decodeSubmit(c)
	if !ok {
		return
	}
	wait, ok := parseWait(c)
	if !ok {
		return
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(c.Request.Context(), max(wait, minOwnerTimeout))
	defer cancel()
	result, err := s.options.Service.Submit(ctx, record)
	if err != nil {
		writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Detail: err.Error(), Ran: scheduler.RanUnknown})
		return
	}
	s.writeSubmitResult(c, record, result, wait-time.Since(start))
}

func (s *server) writeSubmitResult(c *gin.Context, record recorder.OpenJob, result router.SubmitResult, remaining time.Duration) {
	switch {
	case result.Answer != nil:
		s.writeAnswer(c, *result.Answer)
	case result.KeyReused:
		writeProblem(c, Problem{Status: http.StatusUnprocessableEntity, Detail: owner.ErrKeyReused.Error(), Ran: scheduler.NotRun, Rule: "keyReused"})
	case result.Unknown:
		writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Detail: "the request may or may not have been taken; repeat it with the same Idempotency-Key to learn its outcome", Ran: scheduler.RanUnknown})
	case result.Unrecorded:
		s.waitForUnrecorded(c, record, max(remaining, minOwnerTimeout))
	case result.Accepted:
		s.writeJob(c, record.Job.ID, remaining, http.StatusAccepted)
	default:
		writeRefusal(c, result.Reason, result.RetryAfter)
	}
}

// waitForUnrecorded waits for a job that runs without a record. It doesn't respond with 202 Accepted,
// since a later GET might not find the answer.
func (s *server) waitForUnrecorded(c *gin.Context, record recorder.OpenJob, remaining time.Duration) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), remaining)
	defer cancel()
	progress, err := s.options.Service.Wait(ctx, record.Job.ID)
	if err == nil && progress.Answer != nil {
		s.writeAnswer(c, *progress.Answer)
		return
	}
	writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Detail: "the table is away and the work has not ended yet; repeat it with the same Idempotency-Key", Ran: scheduler.RanUnknown})
}

func (s *server) decodeSubmit(c *gin.Context) (recorder.OpenJob, bool) {
	var request SubmitRequest
	key := c.GetHeader(HeaderIdempotencyKey)
	if key == "" || len(key) > maxKeyBytes {
		return recorder.OpenJob{}, badRequest(c, fmt.Sprintf("header %s: %d bytes, accepted are 1 to %d", HeaderIdempotencyKey, len(key), maxKeyBytes))
	}
	body, err := limiter.ReadBody(c.Request, maxBodyBytes)
	if errors.Is(err, limiter.ErrOverloaded) {
		writeOverloaded(c, err)
		return recorder.OpenJob{}, false
	}
	if err != nil {
		writeProblem(c, Problem{Status: http.StatusRequestEntityTooLarge, Detail: fmt.Sprintf("body: at most %d bytes are accepted", maxBodyBytes), Ran: scheduler.NotRun})
		return recorder.OpenJob{}, false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return recorder.OpenJob{}, badRequest(c, "body: "+strings.TrimPrefix(err.Error(), "json: "))
	}
	if request.DeclaredSeconds < 0 || request.DeadlineSeconds < 0 || request.MemoryMB < 0 {
		return recorder.OpenJob{}, badRequest(c, "body: declaredSeconds, deadlineSeconds and memoryMb must not be negative")
	}
	organisation := s.options.Auth.organisation(c, request.Organisation)
	if organisation == "" {
		return recorder.OpenJob{}, false
	}
	return newRecord(c.Request.Context(), request, organisation, key, body), true
}

func badRequest(c *gin.Context, detail string) bool {
	writeProblem(c, Problem{Status: http.StatusBadRequest, Detail: detail, Ran: scheduler.NotRun})
	return false
}

func newRecord(ctx context.Context, request SubmitRequest, organisation, key string, body []byte) recorder.OpenJob {
	now := time.Now().UTC()
	fingerprint := sha256.New()
	fingerprint.Write([]byte(organisation + "\x00"))
	fingerprint.Write(body)
	record := recorder.OpenJob{
		Job: scheduler.Job{
			ID:              recorder.JobID(organisation, key),
			Organisation:    organisation,
			Class:           request.Class,
			Shape:           request.Shape.WithDefaults(),
			Submitted:       now,
			DeclaredRunTime: time.Duration(request.DeclaredSeconds) * time.Second,
			MemoryMB:        request.MemoryMB,
		},
		Payload:     request.Payload,
		Fingerprint: hex.EncodeToString(fingerprint.Sum(nil)),
		Traceparent: tracer.Traceparent(ctx),
	}
	if request.DeadlineSeconds > 0 {
		record.Job.Deadline = now.Add(time.Duration(request.DeadlineSeconds) * time.Second)
	}
	return record
}

// parseWait returns how long the caller wants to wait, from the Prefer header or the query parameter waitSeconds.
func parseWait(c *gin.Context) (time.Duration, bool) {
	text := c.Query("waitSeconds")
	for part := range strings.SplitSeq(c.GetHeader("Prefer"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "wait="); ok {
			text = value
		}
	}
	if text == "" {
		return defaultWait, true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 {
		return 0, badRequest(c, fmt.Sprintf("wait: %q, accepted are seconds from 0", text))
	}
	return min(time.Duration(seconds*float64(time.Second)), maxWait), true
}

func (s *server) get(c *gin.Context) {
	organisation := s.options.Auth.organisation(c, "")
	if organisation == "" {
		return
	}
	wait, ok := parseWait(c)
	if !ok {
		return
	}
	c.Set("organisation", organisation)
	s.writeJob(c, c.Param("id"), wait, http.StatusOK)
}

// writeJob responds with the answer of a job. If there is none when the wait is over or the entry VM
// drains, it responds with the job's progress and pendingStatus.
func (s *server) writeJob(c *gin.Context, id string, wait time.Duration, pendingStatus int) {
	progress, ok := s.await(c, id, wait)
	if !ok {
		return
	}
	if progress.Answer != nil {
		s.writeAnswer(c, *progress.Answer)
		return
	}
	job := Job{ID: id, State: "accepted", Location: "/v1/jobs/" + id}
	if progress.Job != nil {
		job.State = progress.Job.Phase
		job.Class = progress.Job.Class
		job.Why = progress.Job.Reason.Sentence()
		job.Members = progress.Job.Members
		job.Moves = progress.Job.Moves
	}
	c.Header("Location", job.Location)
	c.JSON(pendingStatus, job)
}

func (s *server) await(c *gin.Context, id string, wait time.Duration) (owner.Progress, bool) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), max(wait, 0))
	defer cancel()
	release := s.cancelOnDrain(ctx, cancel)
	defer release()
	progress, err := s.options.Service.Wait(ctx, id)
	switch {
	case errors.Is(err, owner.ErrNoJob) || !s.visible(c, progress):
		writeProblem(c, Problem{Status: http.StatusNotFound, Detail: "no such job"})
		return progress, false
	case err != nil && c.Request.Method == http.MethodGet:
		writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Detail: "the job's state cannot be read now: " + err.Error()})
		return progress, false
	default:
		return progress, true
	}
}

// visible reports whether the job belongs to the requesting organisation.
func (s *server) visible(c *gin.Context, p owner.Progress) bool {
	organisation := c.GetString("organisation")
	switch {
	case organisation == "":
		return true
	case p.Answer != nil:
		return p.Answer.Job.Organisation == organisation
	case p.Job != nil:
		return p.Job.Organisation == organisation
	default:
		return true
	}
}

// cancelOnDrain cancels a wait when the entry VM shuts down, so that the caller can retry at another one.
func (s *server) cancelOnDrain(ctx context.Context, cancel context.CancelFunc) (release func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-s.options.Service.Draining:
			cancel()
		case <-ctx.Done():
		case <-done:
		}
	}()
	return func() { close(done) }
}

// writeAnswer responds with the recorded answer. A large result is fetched from the object store and
// returned only if its digest matches, so that a caller never gets a part of it.
func (s *server) writeAnswer(c *gin.Context, answer recorder.Answer) {
	if answer.Outcome == scheduler.OutcomeRefused {
		writeRefusal(c, answer.Reason, 0)
		return
	}
	result := answer.Result
	if answer.ResultObject != "" {
		data, err := s.options.Service.Result(c.Request.Context(), answer.ResultObject)
		sum := sha256.Sum256(data)
		if err != nil || hex.EncodeToString(sum[:]) != answer.Digest {
			writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Detail: "the job has ended but its result cannot be read whole now; ask again", Ran: scheduler.DidRun})
			return
		}
		result = data
	}
	c.JSON(http.StatusOK, Job{
		ID:      answer.Job.ID,
		Class:   answer.Job.Class,
		State:   StateDone,
		Outcome: answer.Outcome,
		Ran:     answer.Ran,
		Result:  result,
		Error:   answer.Error,
		Why:     answer.Reason.Sentence(),
		Members: answer.Members,
		Waited:  waitedSeconds(answer),
	})
}

func waitedSeconds(answer recorder.Answer) float64 {
	if answer.Started.IsZero() {
		return 0
	}
	return answer.Started.Sub(answer.Job.Submitted).Seconds()
}

func (s *server) cancel(c *gin.Context) {
	organisation := s.options.Auth.organisation(c, "")
	if organisation == "" {
		return
	}
	c.Set("organisation", organisation)
	id := c.Param("id")
	progress, ok := s.await(c, id, 0)
	if !ok {
		return
	}
	if progress.Answer != nil {
		s.writeAnswer(c, *progress.Answer)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), minOwnerTimeout)
	defer cancel()
	if err := s.options.Service.Cancel(ctx, id); err != nil && !errors.Is(err, owner.ErrNoJob) {
		writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Detail: "the cancellation may or may not have been taken: " + err.Error(), Ran: scheduler.RanUnknown})
		return
	}
	s.writeJob(c, id, defaultWait, http.StatusAccepted)
}

// Explanation is the body of GET /v1/jobs/ID/explanation: the reasons for what happened to a job, in order.
type Explanation struct {
	ID      string           `json:"id"`
	State   string           `json:"state"`
	Reasons []ReasonSentence `json:"reasons"`
	Now     string           `json:"now,omitempty"`
}

// ReasonSentence is a reason with its text, its time and how often it occurred.
type ReasonSentence struct {
	At       time.Time        `json:"at"`
	Sentence string           `json:"sentence"`
	Times    int              `json:"times,omitempty"`
	Reason   scheduler.Reason `json:"reason"`
}

func (s *server) explain(c *gin.Context) {
	organisation := s.options.Auth.organisation(c, "")
	if organisation == "" {
		return
	}
	c.Set("organisation", organisation)
	progress, ok := s.await(c, c.Param("id"), 0)
	if !ok {
		return
	}
	e := Explanation{ID: c.Param("id"), State: StateDone}
	notes := progress.Notes
	if progress.Answer != nil {
		notes = progress.Answer.Notes
	} else if progress.Job != nil {
		e.State = progress.Job.Phase
		e.Now = progress.Job.Reason.Sentence()
	}
	for _, n := range notes {
		e.Reasons = append(e.Reasons, ReasonSentence{At: n.At, Sentence: n.Reason.Sentence(), Times: n.Times, Reason: n.Reason})
	}
	c.JSON(http.StatusOK, e)
}
