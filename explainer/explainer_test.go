package explainer

import (
	"io"
	"strings"
	"testing"
)

const entryLog = `  2.1 entry-a {"time":"2026-01-01T00:00:02Z","msg":"job accepted","node":"entry-a","job":"j1","config":3}
{"time":"2026-01-01T00:00:01Z","msg":"lease taken","node":"entry-b","epoch":1}
not a log line
`

const ownerLog = `{"time":"2026-01-01T00:00:04Z","msg":"run preempted","node":"entry-b","task":"j2.0.0.0","for":"j1"}
{"time":"2026-01-01T00:00:05Z","msg":"lease taken","node":"entry-c","epoch":2}
{"time":"2026-01-01T00:00:03Z","msg":"job taken in","node":"entry-b","job":"j2"}
{"time":"2026-01-01T00:00:06Z","msg":"start ordered","node":"entry-c","task":"j1.0.0.0","run":7}
{"time":"2026-01-01T00:00:09Z","msg":"lease taken","node":"entry-a","epoch":3}
`

func TestLinesOfAllLogsAreMergedByTime(t *testing.T) {
	var out strings.Builder
	count, err := Explain([]io.Reader{strings.NewReader(ownerLog), strings.NewReader(entryLog)}, "j1", &out)
	if err != nil || count != 3 {
		t.Fatalf("got %d lines, %v", count, err)
	}
	want := `00:00:02.000 entry-a                job accepted config=3 job=j1
00:00:04.000 entry-b                run preempted for=j1 task=j2.0.0.0
00:00:05.000 entry-c                lease taken epoch=2
00:00:06.000 entry-c                start ordered run=7 task=j1.0.0.0
`
	if out.String() != want {
		t.Fatalf("got\n%swant\n%s", out.String(), want)
	}
}

func TestAnUnknownJobHasNoLines(t *testing.T) {
	var out strings.Builder
	if count, err := Explain([]io.Reader{strings.NewReader(entryLog)}, "j9", &out); err != nil || count != 0 || out.Len() != 0 {
		t.Fatalf("got %d lines, %v, %q", count, err, out.String())
	}
}
