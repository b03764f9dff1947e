package logger

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// writeRecorder records the size of the largest write.
type writeRecorder struct {
	bytes.Buffer

	largest int
}

func (p *writeRecorder) Write(data []byte) (int, error) {
	p.largest = max(p.largest, len(data))
	return p.Buffer.Write(data)
}

func TestLinesAreWrittenWholeAndDroppedLinesAreCounted(t *testing.T) {
	out := &writeRecorder{}
	before := DroppedLines()
	log, stop := New(out, slog.LevelInfo, "node", "n")
	const lines = maxBufferedLines + 10
	for i := range lines {
		log.Info("line", "number", i)
	}
	stop()
	written := strings.Split(strings.TrimSpace(out.String()), "\n")
	for _, line := range written {
		if !json.Valid([]byte(line)) {
			t.Fatalf("invalid JSON line %q", line)
		}
	}
	if out.largest > maxWriteBytes {
		t.Errorf("a write of %d bytes exceeds the limit", out.largest)
	}
	if lost := DroppedLines() - before; lost > 0 && !strings.Contains(written[len(written)-1], "log lines dropped") {
		t.Errorf("%d lines were dropped without a warning in the last line", lost)
	}
}
