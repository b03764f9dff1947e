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
	// startTries is the number of times that a start is sent before it counts as unanswered.
	startTries = 2
	// stopTries is the number of times that a stop is sent; the arranger orders it again later.
	stopTries = 3
	// orderRetry is the time between two tries of an order.
	orderRetry = 60 * time.Millisecond
)

// dispatch carries out the orders that were decided; the term's lock is held.
func (t *term) dispatch(ctx context.Context) {
	orders := t.arranger.TakeOrders()
	for _, o := range orders.Starts {
		s := t.sessions[o.Worker]
		if s == nil || !s.responded {
			t.arranger.StartRefused(time.Now(), o.Task, o.Run)
			continue
		}
		start := platform.StartOrder{
			Task: o.Task.String(), Run: o.Run, Spec: o.Payload, LeaseUntil: s.extendLease(), Fence: t.lease.Epoch, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		}
		t.Logger.Info("start ordered", "job", o.Task.Job, "task", start.Task, "run", o.Run, "worker", o.Worker,
			"checkpoint", o.Checkpoint, "reason", o.Reason, "epoch", t.lease.Epoch, "heardAgo", (t.now() - s.respondedAt).String())
		t.spawn(func() { t.start(ctx, s, o, start) })
	}
	t.ask(ctx, orders.AdviceRequests)
	for _, o := range orders.Stops {
		s := t.sessions[o.Worker]
		if s == nil {
			continue
		}
		t.Logger.Info("stop ordered", "task", o.Task, "run", o.Run, "worker", o.Worker, "reason", o.Reason, "epoch", t.lease.Epoch)
		t.spawn(func() { t.stop(ctx, s, o) })
	}
}

// errMayNotAct means that the order was not sent, since the lease has not been renewed for too long.
var errMayNotAct = fmt.Errorf("%w: lease not renewed in time", platform.ErrNotExecuted)

// start sends a start until its outcome is known, or gives up on it.
func (t *term) start(ctx context.Context, s *session, o arranger.StartOrder, start platform.StartOrder) {
	var err error
	lost := false
	for range startTries {
		if ctx.Err() != nil {
			return
		}
		if !t.maySendRequests() {
			err = errMayNotAct
			break
		}
		_, err = t.Workers.Start(ctx, s.worker.ID, s.worker.Address, start)
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			break
		}
		lost = true
		sleeper.Sleep(ctx, orderRetry)
	}
	if ctx.Err() != nil {
		return
	}
	if lost && err != nil && !errors.Is(err, platform.ErrFenced) && !errors.Is(err, platform.ErrInstanceMismatch) {
		// An earlier try may have been carried out, or may still be.
		err = fmt.Errorf("%w, then: %w", platform.ErrOutcomeUnknown, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settleStart(s, o, err)
	t.requestPlan()
	t.writer.signal()
}

// settleStart tells the arranger what became of a start; the term's lock is held.
func (t *term) settleStart(s *session, o arranger.StartOrder, err error) {
	now := time.Now()
	if err != nil {
		t.Logger.Warn("start not carried out", "job", o.Task.Job, "task", o.Task.String(), "run", o.Run, "worker", o.Worker, "error", err.Error())
	}
	switch {
	case err == nil:
		t.arranger.StartConfirmed(now, o.Task, o.Run)
	case errors.Is(err, platform.ErrFenced):
		t.cancel()
	case errors.Is(err, platform.ErrInstanceMismatch):
		t.closeSession(s, "another worker at its address")
	case errors.Is(err, platform.ErrOutcomeUnknown):
		t.arranger.StartOutcomeUnknown(o.Task, o.Run)
	case errors.Is(err, platform.ErrInvalidTicket):
		t.arranger.TicketRefused(o.Task, o.Worker)
		t.arranger.StartRefused(now, o.Task, o.Run)
	default:
		t.arranger.StartRefused(now, o.Task, o.Run)
	}
}

// stop sends a stop until the worker has taken it.
func (t *term) stop(ctx context.Context, s *session, o arranger.StopOrder) {
	for range stopTries {
		if ctx.Err() != nil || !t.maySendRequests() {
			return
		}
		err := t.Workers.Stop(ctx, s.worker.ID, s.worker.Address, o.Task, o.Run, t.lease.Epoch)
		if err == nil {
			t.mu.Lock()
			t.arranger.StopConfirmed(time.Now(), o.Task, o.Run, o.Worker)
			t.mu.Unlock()
			return
		}
		if errors.Is(err, platform.ErrFenced) {
			t.cancel()
			return
		}
		t.Logger.Warn("stop not carried out", "task", o.Task, "run", o.Run, "worker", o.Worker, "error", err.Error())
		sleeper.Sleep(ctx, orderRetry)
	}
}
