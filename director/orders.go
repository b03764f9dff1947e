package director

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// maxStartAttempts is the number of times that a start request is sent before its outcome counts as unknown.
	maxStartAttempts = 2
	// maxStopAttempts is the number of times that a stop request is sent; the arranger requests the stop again later.
	maxStopAttempts = 3
	// firstAttemptTimeout limits the first attempt of a start or stop request: workers respond within milliseconds and
	// requests are idempotent, so one that was lost or is delayed is repeated soon. The other attempts have the full
	// timeout of requests to workers.
	firstAttemptTimeout = 300 * time.Millisecond
	// requestRetryDelay is the time between two attempts of a request.
	requestRetryDelay = 60 * time.Millisecond
)

// dispatch sends the requests that the arranger decided on; the caller holds the term's mutex.
func (t *term) dispatch(ctx context.Context) {
	orders := t.arranger.TakeOrders()
	t.recordStarts(orders.Starts)
	t.requestAdvice(ctx, orders.AdviceRequests)
	if len(orders.Stops) > 0 {
		// Claims on the capacity that becomes free are to be recorded meanwhile.
		t.writer.signal()
	}
	for _, order := range orders.Stops {
		s := t.sessions[order.Worker]
		if s == nil || t.withdrawStart(order) {
			continue
		}
		t.Logger.Info("stop ordered", "task", order.Task, "run", order.Run, "worker", order.Worker, "reason", order.Reason, "fence", s.fence)
		t.spawn(func() { t.stop(s, order) })
	}
}

// sendStart sends a start request to a worker; the caller holds the term's mutex.
func (t *term) sendStart(order arranger.StartOrder) {
	s := t.sessions[order.Worker]
	if s == nil || !s.responded || !s.mayGrant() {
		t.arranger.StartRefused(time.Now(), order.Task, order.Run)
		return
	}
	start := platform.StartOrder{
		Task: order.Task.String(), Run: order.Run, Spec: order.Payload, LeaseUntil: s.extendLease(), Fence: s.fence, Checkpoint: order.Checkpoint, Ticket: order.Ticket,
	}
	t.Logger.Info("start ordered", append([]any{
		"job", order.Task.Job, "task", start.Task, "run", order.Run, "worker", order.Worker,
		"checkpoint", order.Checkpoint, "speed", order.Speed, "reason", order.Reason, "fence", s.fence, "heardAgo", (t.now() - s.respondedAt).String(),
	}, forecastDetails(order)...)...)
	t.spawn(func() { t.start(s, order, start) })
}

// errRenewalOverdue means that a request was not sent, since the lease was not renewed in time.
var errRenewalOverdue = fmt.Errorf("%w: lease not renewed in time", platform.ErrNotExecuted)

// start sends a start request until its outcome is known, up to maxStartAttempts times, and passes the result to the arranger. It ends with the
// session, since the next incarnation of the worker would execute another attempt; what becomes of the run is then for that one to report.
func (t *term) start(s *session, order arranger.StartOrder, start platform.StartOrder) {
	var err error
	ctx, outcomeUnknown := s.ctx, false
	for attempt := range maxStartAttempts {
		if ctx.Err() != nil {
			break
		}
		if !t.maySendRequests() {
			err = errRenewalOverdue
			break
		}
		if !t.mayStartIn(order.Zone) {
			err = errZoneEvacuated
			break
		}
		attemptCtx, cancel := attemptContext(ctx, attempt)
		_, err = t.Workers.Start(attemptCtx, s.worker.ID, s.worker.Address, start)
		cancel()
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			break
		}
		outcomeUnknown = true
		sleeper.Sleep(ctx, requestRetryDelay)
	}
	if ctx.Err() != nil {
		t.Logger.Info("start abandoned with its session", "task", start.Task, "run", order.Run, "worker", order.Worker, "fence", start.Fence)
		return
	}
	if outcomeUnknown && err != nil && !errors.Is(err, platform.ErrFenced) {
		// An earlier attempt may have been executed, or may yet be.
		err = fmt.Errorf("%w, then: %w", platform.ErrOutcomeUnknown, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handleStartResult(s, order, err)
	t.requestPlan()
	t.writer.signal()
}

// attemptContext returns the context of an attempt of a request, and its clean-up function.
func attemptContext(ctx context.Context, attempt int) (context.Context, context.CancelFunc) {
	if attempt > 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, firstAttemptTimeout)
}

// handleStartResult passes the result of a start request to the arranger; the caller holds the term's mutex.
func (t *term) handleStartResult(s *session, order arranger.StartOrder, err error) {
	now := time.Now()
	if err != nil {
		t.Logger.Warn("start request failed", "job", order.Task.Job, "task", order.Task.String(), "run", order.Run, "worker", order.Worker, "error", err.Error())
	}
	switch {
	case err == nil:
		t.arranger.StartConfirmed(now, order.Task, order.Run)
	case errors.Is(err, platform.ErrFenced):
		t.cancel()
	case errors.Is(err, platform.ErrInstanceMismatch):
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			// The run cannot have crashed the incarnation that it was meant for.
			t.arranger.StartRefused(now, order.Task, order.Run)
		}
		t.closeSession(s, "another worker at its address", t.removeReplaced)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		t.arranger.StartOutcomeUnknown(order.Task, order.Run)
	case errors.Is(err, platform.ErrInvalidTicket):
		t.arranger.TicketRefused(order.Task, order.Worker)
		t.arranger.StartRefused(now, order.Task, order.Run)
	default:
		t.arranger.StartRefused(now, order.Task, order.Run)
	}
}

// stop sends a stop request until the worker confirms it, up to maxStopAttempts times.
func (t *term) stop(s *session, order arranger.StopOrder) {
	ctx := s.ctx
	for attempt := range maxStopAttempts {
		if !t.maySendRequests() {
			return
		}
		attemptCtx, cancel := attemptContext(ctx, attempt)
		err := t.Workers.Stop(attemptCtx, s.worker.ID, s.worker.Address, order.Task, order.Run, s.fence)
		cancel()
		if ctx.Err() != nil {
			// A later session may have fenced the request off.
			return
		}
		if err == nil {
			t.mu.Lock()
			t.arranger.StopConfirmed(time.Now(), order.Task, order.Run, order.Worker)
			t.mu.Unlock()
			return
		}
		if errors.Is(err, platform.ErrFenced) {
			t.cancel()
			return
		}
		t.Logger.Warn("stop request failed", "task", order.Task, "run", order.Run, "worker", order.Worker, "error", err.Error())
		sleeper.Sleep(ctx, requestRetryDelay)
	}
}
