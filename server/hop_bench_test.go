package server_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/snipelift/snipelift/demonstrator"
	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/examples"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/server"
)

// BenchmarkHop measures a small job submitted through an entry VM and the same task started directly on a
// worker, in the same run, and reports p50 and p99 of the former and their ratios to the latter.
func BenchmarkHop(b *testing.B) {
	s, cleanUp, err := demonstrator.Start(context.Background(), examples.Berkep, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	defer cleanUp()
	vms, err := s.Platform.List(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	direct := dispatcher.NewHTTP(&http.Client{})
	var viaEntry, viaWorker []float64
	i := 0
	for b.Loop() {
		i++
		viaEntry = append(viaEntry, measure(b, func() error { return submitToEntry(s, i) }))
		viaWorker = append(viaWorker, measure(b, func() error { return runOnWorker(direct, vms[40].Address, i) }))
	}
	report(b, viaEntry, viaWorker)
}

func measure(b *testing.B, f func() error) float64 {
	b.Helper()
	start := time.Now()
	if err := f(); err != nil {
		b.Fatal(err)
	}
	return float64(time.Since(start).Microseconds())
}

func submitToEntry(s *demonstrator.Service, i int) error {
	entry := s.Callers[0]
	entry.Organisation = "unions"
	request := server.SubmitRequest{Class: "lookup", Shape: packer.Shape{Accelerators: 1}, Payload: []byte(`{"runMillis":0}`)}
	_, err := entry.Submit(context.Background(), fmt.Sprintf("hop-%d", i), request, 10*time.Second)
	return err
}

// runOnWorker reserves, starts and polls a task until it has ended.
func runOnWorker(c dispatcher.Client, address string, i int) error {
	ctx := context.Background()
	attempt := dispatcher.Attempt{Job: fmt.Sprintf("direct-%d", i), Number: 1, Direct: "benchmark"}
	task := dispatcher.Task{
		Spec:    scheduler.Job{ID: attempt.Job, Shape: packer.Shape{Accelerators: 1, Within: packer.WithinWorker}},
		Payload: []byte(`{"runMillis":0}`),
	}
	if _, err := c.Reserve(ctx, address, dispatcher.ReserveRequest{Attempt: attempt, Task: task, ExpireSeconds: 5, AnyAccelerators: true}); err != nil {
		return err
	}
	for {
		status, err := c.Start(ctx, address, dispatcher.StartRequest{Attempt: attempt})
		if err != nil || status.State.Final() {
			return err
		}
	}
}

func report(b *testing.B, viaEntry, viaWorker []float64) {
	b.Helper()
	slices.Sort(viaEntry)
	slices.Sort(viaWorker)
	percentile := func(list []float64, quantile float64) float64 { return list[int(quantile*float64(len(list)-1))] }
	for _, q := range []struct {
		name     string
		quantile float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		b.ReportMetric(percentile(viaEntry, q.quantile), q.name+"-us")
		b.ReportMetric(percentile(viaEntry, q.quantile)/percentile(viaWorker, q.quantile), q.name+"-ratio")
	}
}
