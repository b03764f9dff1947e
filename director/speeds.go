package director

import (
	"maps"
	"math"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// minSpeedsInterval is the minimum time between two writes of the rated speeds of the workers.
const minSpeedsInterval = 3 * time.Second

const (
	// errorStep is the resolution of the recorded error of a rating in percent.
	errorStep    = 5
	percentOfOne = 100
)

// addSpeeds adds the rated speeds of the workers, so that the next owner need not learn them anew; if the write fails,
// they are written with their next change.
func (t *term) addSpeeds(b *batch) {
	w := &t.writer
	now := t.now()
	if now-w.speedsWrittenAt < minSpeedsInterval || w.singleRows && len(b.puts) > 0 || w.isSetAside(b, registrar.SpeedsKey) {
		return
	}
	w.speedsWrittenAt = now
	speeds := map[string]registrar.WorkerSpeed{}
	notAverage := 0
	for id, rating := range t.arranger.Speeds() {
		if s := t.sessions[id]; s != nil {
			speeds[id] = registrar.WorkerSpeed{Incarnation: s.worker.Incarnation, Steps: rating.Steps, ErrorPercent: errorPercent(rating.Error)}
			notAverage += min(1, max(rating.Steps, -rating.Steps))
		}
	}
	if maps.Equal(speeds, w.speeds) {
		return
	}
	row := registrar.SpeedsRow(speeds)
	if len(row.Value) > registrar.MaxValueBytes {
		t.Logger.Warn("speeds of workers too large to be recorded", "workers", len(speeds), "bytes", len(row.Value))
		return
	}
	if b.add(row, maxBatchRows+1) {
		w.speeds = speeds
		t.Logger.Info("speeds of workers to be recorded", "workers", len(t.sessions), "rated", len(speeds), "notAverage", notAverage, "bytes", len(row.Value))
	}
}

// errorPercent returns the error of a rating in percent, in steps that keep the row from changing with each observation.
func errorPercent(logError float64) int {
	return errorStep * int(math.Ceil(percentOfOne*logError/errorStep))
}

// restoreSpeeds applies the speeds that a previous owner recorded, for the incarnations of workers that it rated; the caller holds the term's mutex.
func (t *term) restoreSpeeds(row platform.Row) {
	speeds, err := registrar.DecodeSpeeds(row)
	if err != nil {
		t.Logger.Error("speeds of workers unreadable", "key", row.Key, "error", err.Error())
		return
	}
	restored := 0
	for id, s := range t.sessions {
		if speed, ok := speeds.Of(id, s.worker.Incarnation); ok {
			t.arranger.RestoreSpeed(id, arranger.Rating{Steps: speed.Steps, Error: float64(speed.ErrorPercent) / percentOfOne})
			restored++
		}
	}
	t.Logger.Info("speeds of workers restored", "recorded", speeds.Len(), "restored", restored)
}
