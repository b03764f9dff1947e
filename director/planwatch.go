package director

import (
	"log/slog"
	"time"

	"github.com/snipelift/snipelift/arranger"
)

const (
	// maxPlanTime is the time that a plan with the sending of its requests may take before it counts as slow.
	maxPlanTime = time.Second
	// maxPlanDelay is the time after which a plan that is due counts as late.
	maxPlanDelay = time.Second
	// planHistogram is the name of the histogram of the time that plans take.
	planHistogram = "owner.plan.micros"
)

// planWatch logs when plans are held up and when that ends; only the plan loop uses it.
type planWatch struct {
	logger *slog.Logger
	epoch  int64
	// dueAt is when the next plan is due at the latest, begunAt when the present one began.
	dueAt, begunAt time.Duration
	// heldAt is when no plan was made for the first time since the lease was not renewed in time.
	heldAt           time.Duration
	held, late, slow bool
}

// hold records that no plan is made, since the last renewal of the lease is too old.
func (w *planWatch) hold(now, renewalAge time.Duration) {
	if !w.held {
		w.held, w.heldAt = true, now
		w.logger.Warn("no plans: lease not renewed in time", "epoch", w.epoch, "age", renewalAge.String())
	}
	w.dueAt = now + maxPlanInterval
}

// begin records that a plan begins.
func (w *planWatch) begin(now time.Duration) {
	if w.held {
		w.held = false
		w.logger.Info("plans are made again: lease renewed", "epoch", w.epoch, "after", (now - w.heldAt).String())
	}
	w.begunAt = now
	delay := now - w.dueAt
	late := w.dueAt > 0 && delay > maxPlanDelay
	if late != w.late {
		w.late = late
		if late {
			w.logger.Warn("plans are late", "epoch", w.epoch, "delay", delay.String())
		} else {
			w.logger.Info("plans are on time again", "epoch", w.epoch)
		}
	}
}

// end records that the plan has ended and returns the time that it took.
func (w *planWatch) end(now time.Duration) time.Duration {
	w.dueAt = now + maxPlanInterval
	took := now - w.begunAt
	if slow := took > maxPlanTime; slow != w.slow {
		w.slow = slow
		if slow {
			w.logger.Warn("plans are slow", "epoch", w.epoch, "took", took.String())
		} else {
			w.logger.Info("plans are fast again", "epoch", w.epoch, "took", took.String())
		}
	}
	return took
}

// setGauges publishes what the arranger last found to wait and what it has counted in this term.
func (d *Director) setGauges(waits arranger.Waits, counts arranger.Counts) {
	if d.SetGauge == nil {
		return
	}
	e := waits.Exclusions
	for _, gauge := range []struct {
		name  string
		value int64
	}{
		{"owner.waiting.stages", int64(waits.Stages)},
		{"owner.waiting.longestMillis", waits.Longest.Milliseconds()},
		{"owner.waiting.deferred", int64(waits.Deferred)},
		{"owner.workers.schedulable", int64(e.Schedulable)},
		{"owner.workers.notReported", int64(e.NotReported)},
		{"owner.workers.unreachable", int64(e.Unreachable)},
		{"owner.workers.draining", int64(e.Draining)},
		{"owner.workers.evacuated", int64(e.Evacuated)},
		{"owner.workers.cold", int64(e.Cold)},
		{"owner.workers.orphanOfUnknownSize", int64(e.OrphanOfUnknownSize)},
		{"owner.workers.blocked", int64(e.Blocked)},
		{"owner.workers.quarantined", int64(e.Quarantined)},
		{"owner.reports.awaited", int64(e.AwaitedReports)},
		{"owner.starts.pending", int64(e.PendingStarts)},
		{"owner.starts.refused", counts.StartsRefused},
		{"owner.starts.unknown", counts.StartsUnknown},
		{"owner.starts.timedOut", counts.StartsTimedOut},
		{"owner.claims.timedOut", counts.ClaimsTimedOut},
		{"owner.runs.awaited", counts.RunsAwaited},
		{"owner.runs.overdue", counts.RunsOverdue},
		{"owner.quarantines", counts.Quarantines},
		{"owner.workers.restarted", counts.WorkersRestarted},
		{"owner.speeds.rated", counts.WorkersRated},
		{"owner.speeds.notAverage", counts.WorkersNotAverage},
		{"owner.speeds.changes", counts.SpeedChanges},
	} {
		d.SetGauge(gauge.name, gauge.value)
	}
}
