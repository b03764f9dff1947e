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

// pieces notes the size of each write.
type pieces struct {
	bytes.Buffer

	largest int
}

func (p *pieces) Write(data []byte) (int, error) {
	p.largest = max(p.largest, len(data))
	return p.Buffer.Write(data)
}

func TestLinesAreWrittenWholeAndTheRestIsCounted(t *testing.T) {
	out := &pieces{}
	before := Dropped()
	log, stop := New(out, slog.LevelInfo, "node", "n")
	const lines = maxQueued + 10
	for i := range lines {
		log.Info("line", "number", i)
	}
	stop()
	written := strings.Split(strings.TrimSpace(out.String()), "\n")
	for _, line := range written {
		if !json.Valid([]byte(line)) {
			t.Fatalf("broken line %q", line)
		}
	}
	if out.largest > maxWrite {
		t.Errorf("a write of %d bytes", out.largest)
	}
	if lost := Dropped() - before; lost > 0 && !strings.Contains(written[len(written)-1], "log lines dropped") {
		t.Errorf("%d lines were dropped and nothing says so", lost)
	}
}
