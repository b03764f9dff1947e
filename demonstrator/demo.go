package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/snipelift/snipelift/examples"
	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/server"
)

// burst is a number of identical jobs that are submitted at the same time after the start.
type burst struct {
	after        time.Duration
	count        int
	organisation string
	class        string
	shape        packer.Shape
	run          time.Duration
}

// Row is the result of one job of the demo; Why is the summary of its explanation.
type Row struct {
	Service      string
	Organisation string
	Class        string
	Shape        packer.Shape
	Job          server.Job
	Why          string
	Err          error
}

const (
	demoWait         = 40 * time.Second
	demoLimit        = 50 * time.Second
	progressInterval = time.Second
)

func withinWorker(n int) packer.Shape {
	return packer.Shape{Accelerators: n, Within: packer.WithinWorker}
}

func withinRack(n int) packer.Shape { return packer.Shape{Accelerators: n, Within: packer.WithinRack} }

// berkepBursts fill the fleet with batch jobs on lent accelerators and then submit jobs within guarantees.
var berkepBursts = []burst{
	{0, 96, "researchers", "imputation-batch", withinWorker(4), 6 * time.Second},
	{2 * time.Second, 2, "unions", "weighting-run", withinRack(32), 5 * time.Second},
	{2 * time.Second, 1, "statistics-office", "weighting-run", withinRack(64), 4 * time.Second},
	{3 * time.Second, 12, "unions", "lookup", withinWorker(1), 300 * time.Millisecond},
	{3 * time.Second, 1, "county-offices", "weighting-run", withinRack(16), 3 * time.Second},
}

// qurumBursts combine long gang jobs with many short urgent jobs and previews.
var qurumBursts = []burst{
	{0, 1, "design", "strain-model", withinRack(64), 8 * time.Second},
	{0, 3, "design", "strain-model", withinRack(32), 5 * time.Second},
	{time.Second, 24, "shop-floor", "cut-list", withinWorker(1), 400 * time.Millisecond},
	{time.Second, 12, "web-shop", "weave-preview", withinWorker(1), time.Second},
	{2 * time.Second, 2, "weavers", "strain-model", withinWorker(4), 2 * time.Second},
}

// Run runs the demo of both services one after the other and returns a row for each job; it writes progress to out.
func Run(ctx context.Context, out, logs io.Writer) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	var all []Row
	for _, part := range []struct {
		document []byte
		bursts   []burst
	}{{examples.Berkep, berkepBursts}, {examples.Qurum, qurumBursts}} {
		rows, err := runService(ctx, part.document, part.bursts, out, logs)
		if err != nil {
			return all, err
		}
		all = append(all, rows...)
	}
	return all, nil
}

// runService starts a service, submits its bursts and waits until all jobs have been answered.
func runService(ctx context.Context, document []byte, bursts []burst, out, logs io.Writer) ([]Row, error) {
	s, cleanUp, err := Start(ctx, document, logs)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	_, _ = fmt.Fprintf(out, "%s: %d entries, %d workers\n", s.Document.Service, len(s.Callers), len(s.Workers))
	total := 0
	for _, w := range bursts {
		total += w.count
	}
	rows := make([]Row, total)
	var done atomic.Int64
	var group sync.WaitGroup
	next := 0
	for _, w := range bursts {
		for range w.count {
			i := next
			next++
			group.Go(func() {
				sleeper.Sleep(ctx, w.after)
				rows[i] = s.submitAndExplain(ctx, w, i)
				done.Add(1)
			})
		}
	}
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	s.showProgress(ctx, out, &done, total, finished)
	<-finished
	return rows, ctx.Err()
}

// submitAndExplain submits a job through one entry and requests its explanation through the next.
func (s *Service) submitAndExplain(ctx context.Context, w burst, i int) Row {
	row := Row{Service: s.Document.Service, Organisation: w.organisation, Class: w.class, Shape: w.shape}
	payload, err := json.Marshal(faker.Payload{RunMillis: int(w.run.Milliseconds())})
	if err != nil {
		row.Err = fmt.Errorf("encode payload: %w", err)
		return row
	}
	entry := s.Callers[i%len(s.Callers)]
	entry.Organisation = w.organisation
	request := server.SubmitRequest{Class: w.class, Shape: w.shape, Payload: payload}
	row.Job, row.Err = entry.Submit(ctx, fmt.Sprintf("demo-%d", i), request, demoWait)
	if row.Err != nil {
		return row
	}
	other := s.Callers[(i+1)%len(s.Callers)]
	other.Organisation = w.organisation
	if e, err := other.Explain(ctx, row.Job.ID); err == nil {
		row.Why = summarise(e)
	}
	return row
}

// summarise joins the sentences of the reasons for which the job was placed or moved.
func summarise(e server.Explanation) string {
	why := ""
	for _, r := range e.Reasons {
		switch r.Reason.Rule {
		case scheduler.RuleGuaranteed, scheduler.RuleLent, scheduler.RuleSpare, scheduler.RuleProbe, scheduler.RuleDirect,
			scheduler.RuleReclaimed, scheduler.RulePreemptedByUrgent, scheduler.RulePreemptedByGang:
			if why != "" {
				why += " "
			}
			why += r.Sentence
		default:
		}
	}
	return why
}

// showProgress writes a line on the jobs and accelerators at intervals until finished is closed or the context ends.
func (s *Service) showProgress(ctx context.Context, out io.Writer, done *atomic.Int64, total int, finished chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-finished:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status, err := s.Callers[0].Status(ctx)
		if err != nil || status.View == nil {
			continue
		}
		busy, lent := 0, 0
		for _, o := range status.View.Organisations {
			busy += o.InUse + o.Borrowed
			lent += o.Borrowed
		}
		_, _ = fmt.Fprintf(out, "  %3d of %d jobs answered, %d accelerators busy, %d of them lent\n", done.Load(), total, busy, lent)
	}
}
