package director

import (
	"maps"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// minSpeedsInterval is the minimum time between two writes of the rated speeds of the workers.
const minSpeedsInterval = 3 * time.Second

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
	for id, steps := range t.arranger.Speeds() {
		if s := t.sessions[id]; s != nil {
			speeds[id] = registrar.WorkerSpeed{Incarnation: s.worker.Incarnation, Steps: steps}
		}
	}
	if maps.Equal(speeds, w.speeds) {
		return
	}
	row := platform.Row{Table: registrar.FleetTable, Partition: registrar.OwnerPartition, Key: registrar.SpeedsKey, Value: registrar.Encode(speeds)}
	if len(row.Value) > registrar.MaxValueBytes {
		t.Logger.Warn("speeds of workers too large to be recorded", "workers", len(speeds), "bytes", len(row.Value))
		return
	}
	if b.add(row, maxBatchRows+1) {
		w.speeds = speeds
		t.Logger.Info("speeds of workers to be recorded", "workers", len(t.sessions), "notAverage", len(speeds))
	}
}

// restoreSpeeds applies the speeds that a previous owner recorded, for the incarnations of workers that it rated; the caller holds the term's mutex.
func (t *term) restoreSpeeds(row platform.Row) {
	speeds, err := registrar.Decode[map[string]registrar.WorkerSpeed](row)
	if err != nil {
		t.Logger.Error("speeds of workers unreadable", "key", row.Key, "error", err.Error())
		return
	}
	restored := 0
	for id, speed := range speeds {
		if s := t.sessions[id]; s != nil && s.worker.Incarnation == speed.Incarnation {
			t.arranger.RestoreSpeed(id, speed.Steps)
			restored++
		}
	}
	t.Logger.Info("speeds of workers restored", "recorded", len(speeds), "restored", restored)
}
