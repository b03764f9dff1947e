package hoster

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestTheOwnersMetricsAreServed(t *testing.T) {
	m := newMetrics()
	m.setGauge("owner.waiting.stages", 2)
	m.setGauge("owner.waiting.stages", 3)
	m.observeDuration("owner.plan.micros", 4*time.Millisecond)
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, nil)
	words := strings.Join(strings.Fields(recorder.Body.String()), " ")
	for _, want := range []string{"gauge owner.waiting.stages value: 3", "histogram owner.plan.micros count: 1 min: 4000"} {
		if !strings.Contains(words, want) {
			t.Errorf("no %q in %s", want, words)
		}
	}
}
