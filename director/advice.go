package director

import (
	"context"
	"time"

	"github.com/snipelift/snipelift/arranger"
)

// ask puts questions to the advice service, one after another.
func (t *term) ask(ctx context.Context, questions []arranger.AdviceRequest) {
	for _, q := range questions {
		t.Logger.Info("advice asked for", "step", q.Step, "workers", len(q.Workers), "epoch", t.lease.Epoch)
		t.spawn(func() {
			t.adviceMu.Lock()
			defer t.adviceMu.Unlock()
			if ctx.Err() == nil {
				t.askOne(ctx, q)
			}
		})
	}
}

func (t *term) askOne(ctx context.Context, q arranger.AdviceRequest) {
	if t.Advisor == nil {
		t.Logger.Error("queue wants advice, but the settings name no advice service", "step", q.Step)
		t.mu.Lock()
		t.arranger.AdviceFailed(time.Now(), q)
		t.mu.Unlock()
		return
	}
	advised, err := t.Advisor.RequestAdvice(ctx, q.Step, q.Workers)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.Logger.Warn("no advice", "step", q.Step, "error", err.Error())
		t.arranger.AdviceFailed(time.Now(), q)
		return
	}
	answer := arranger.AdviceResponse{AdviceRequest: q, Tickets: map[string]string{}, ExpiresAt: time.Now().Add(advised.Validity)}
	for _, ticket := range advised.Tickets {
		answer.Tickets[ticket.Worker] = ticket.Value
	}
	t.arranger.HandleAdvice(answer)
	t.requestPlan()
}
