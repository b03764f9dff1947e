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
	written, warned := 0, before
	for line := range strings.SplitSeq(strings.TrimSpace(out.String()), "\n") {
		var content struct {
			Message string `json:"msg"`
			Count   int64  `json:"count"`
		}
		if err := json.Unmarshal([]byte(line), &content); err != nil {
			t.Fatalf("invalid JSON line %q: %v", line, err)
		}
		if content.Message == "log lines dropped" {
			warned = content.Count
			continue
		}
		written++
	}
	if out.largest > maxWriteBytes {
		t.Errorf("a write of %d bytes exceeds the limit", out.largest)
	}
	lost := int(DroppedLines() - before)
	if written+lost != lines {
		t.Errorf("%d lines were written and %d dropped of %d", written, lost, lines)
	}
	// Lines may follow the warning, since the buffer is flushed while lines are logged.
	if warned != DroppedLines() {
		t.Errorf("the last warning counts %d dropped lines, want %d", warned, DroppedLines())
	}
}
