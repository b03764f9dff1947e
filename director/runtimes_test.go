package director

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/estimator"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// TestTheNextOwnerKnowsTheRunTimes guards against learning anew at each change of owner, against a row that the store rejects
// for its size, and against one that cannot be read.
func TestTheNextOwnerKnowsTheRunTimes(t *testing.T) {
	began := time.Now()
	previous := newFleetTerm(t, began, 1)
	step := func(queue, job int) estimator.Step {
		return estimator.Step{Job: fmt.Sprintf("%016x", job), Queue: fmt.Sprintf("queue-%048d", queue), Tasks: 1, Accelerators: 1, Declared: time.Second}
	}
	const queues, jobs = 300, 4
	for queue := range queues {
		for job := range jobs {
			r := previous.arranger.RunTimes().Runs(step(queue, queue*jobs+job))
			r.Observe(began, estimator.Sample{Work: 3 * time.Second}, nil)
			r.Conclude(began, 0, nil)
		}
	}
	var b batch
	previous.addRunTimes(&b)
	if len(b.puts) != 1 || b.puts[0].Key != registrar.RunTimesKey || len(b.puts[0].Value) > registrar.MaxValueBytes {
		t.Fatalf("got %d rows, want one with the run times of at most %d bytes", len(b.puts), registrar.MaxValueBytes)
	}
	if previous.addRunTimes(&b); len(b.puts) != 1 {
		t.Error("run times recorded again without a change")
	}
	next := newFleetTerm(t, began, 1)
	next.restoreWorkers(platform.Page{Rows: b.puts}, nil)
	restored := 0
	for queue := range queues {
		if e := next.arranger.RunTimes().Runs(step(queue, -1)).Estimate(began, nil); e.Source != estimator.SourceDeclared {
			restored++
		}
	}
	if restored < 40 {
		t.Errorf("run times of %d queues restored, want those observed last", restored)
	}
	unreadable := newFleetTerm(t, began, 1)
	for _, value := range []string{`{"queues":`, `{"queues":[{"queue":"q","ratio":{"n":-1}}]}`} {
		unreadable.restoreRunTimes(platform.Row{Key: registrar.RunTimesKey, Value: []byte(value)})
	}
	if got := unreadable.arranger.RunTimes().Changes(); got != 0 {
		t.Errorf("%d changes after unreadable rows, want none", got)
	}
}

// TestTheLogTellsWhenARunIsExpectedToEnd guards against a line without the forecast by which a run was placed.
func TestTheLogTellsWhenARunIsExpectedToEnd(t *testing.T) {
	o := arranger.StartOrder{Estimate: &estimator.Estimate{Median: time.Second, High: 2 * time.Second, Source: estimator.SourceShape, Samples: 7}, Slowdown: 1.5}
	want := "[endsIn 1.5s endsInHigh 3s source shape samples 7 sourceAge 0s]"
	if got := fmt.Sprint(forecastDetails(o)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := forecastDetails(arranger.StartOrder{}); got != nil {
		t.Errorf("got %v without an estimate, want nothing", got)
	}
}
