package director

import (
	"context"
	"time"

	"github.com/snipelift/snipelift/arranger"
)

// requestAdvice starts requests to the advice service, which are sent one at a time.
func (t *term) requestAdvice(ctx context.Context, requests []arranger.AdviceRequest) {
	for _, request := range requests {
		t.Logger.Info("advice requested", "step", request.Step, "workers", len(request.Workers), "epoch", t.lease.Epoch)
		t.spawn(func() {
			t.adviceMu.Lock()
			defer t.adviceMu.Unlock()
			if ctx.Err() == nil {
				t.requestAdviceFor(ctx, request)
			}
		})
	}
}

// requestAdviceFor sends one request to the advice service and passes the response to the arranger.
func (t *term) requestAdviceFor(ctx context.Context, request arranger.AdviceRequest) {
	if t.Advisor == nil {
		t.Logger.Error("queue needs advice, but the settings name no advice service", "step", request.Step)
		t.mu.Lock()
		t.arranger.AdviceFailed(time.Now(), request)
		t.mu.Unlock()
		return
	}
	result, err := t.Advisor.RequestAdvice(ctx, request.Step, request.Workers)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.Logger.Warn("advice request failed", "step", request.Step, "error", err.Error())
		t.arranger.AdviceFailed(time.Now(), request)
		return
	}
	response := arranger.AdviceResponse{AdviceRequest: request, Tickets: map[string]string{}, ExpiresAt: time.Now().Add(result.Validity)}
	for _, ticket := range result.Tickets {
		response.Tickets[ticket.Worker] = ticket.Value
	}
	t.arranger.HandleAdvice(response)
	t.requestPlan()
}
