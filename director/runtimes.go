package director

import (
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/estimator"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

const (
	// minRunTimesInterval is the minimum time between two writes of the learned run times: with 30 queues the row has 20 KB.
	minRunTimesInterval = 5 * time.Second
	// runTimesRowLimit leaves room in a batch for the rows of pending jobs and of speeds, which come before.
	runTimesRowLimit = maxBatchRows + 2
)

// addRunTimes adds what was learned of the run times of tasks, so that the next owner need not learn it anew; if the write
// fails, it is written with the next observation.
func (t *term) addRunTimes(b *batch) {
	w := &t.writer
	now, learned := t.now(), t.arranger.RunTimes()
	if now-w.runTimesWrittenAt < minRunTimesInterval || learned.Changes() == w.runTimesChanges || w.singleRows && len(b.puts) > 0 || w.isSetAside(b, registrar.RunTimesKey) {
		return
	}
	w.runTimesWrittenAt = now
	row := platform.Row{Table: registrar.FleetTable, Partition: registrar.OwnerPartition, Key: registrar.RunTimesKey, Value: registrar.Encode(learned.State(time.Now()))}
	if len(row.Value) > registrar.MaxValueBytes {
		t.Logger.Warn("learned run times too large to be recorded", "bytes", len(row.Value))
		return
	}
	if b.add(row, runTimesRowLimit) {
		w.runTimesChanges = learned.Changes()
	}
}

// restoreRunTimes applies the run times that a previous owner learned; the caller holds the term's mutex.
func (t *term) restoreRunTimes(row platform.Row) {
	state, err := registrar.Decode[estimator.State](row)
	if err == nil {
		err = t.arranger.RunTimes().Restore(time.Now(), state)
	}
	if err != nil {
		t.Logger.Error("learned run times unreadable, learning anew", "key", row.Key, "error", err.Error())
		return
	}
	t.Logger.Info("learned run times restored", "queues", len(state.Queues), "shapes", len(state.Shapes), "steps", len(state.Steps))
}

// forecastDetails describes the expected end of a run that starts now, for the log.
func forecastDetails(o arranger.StartOrder) []any {
	e := o.Estimate
	if e == nil || e.Median == 0 {
		return nil
	}
	end := func(work time.Duration) string {
		return time.Duration(float64(work) * o.Slowdown).Round(time.Millisecond).String()
	}
	return []any{"endsIn", end(e.Median), "endsInHigh", end(e.High), "source", string(e.Source), "samples", e.Samples, "sourceAge", e.Age.Round(time.Millisecond).String()}
}

// setForecastGauges publishes the typical factors by which the estimates of placed runs and the declared ones were off.
func (d *Director) setForecastGauges(estimated, declared float64) {
	if d.SetGauge == nil {
		return
	}
	const percent = 100
	d.SetGauge("owner.estimates.offPercent", int64(percent*estimated))
	d.SetGauge("owner.estimates.declaredOffPercent", int64(percent*declared))
}
