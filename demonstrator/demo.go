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

// wave is a number of equal jobs that are sent together.
type wave struct {
	after        time.Duration
	count        int
	organisation string
	class        string
	shape        packer.Shape
	run          time.Duration
}

// Row is what became of one job.
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
	demoWait     = 40 * time.Second
	demoLimit    = 50 * time.Second
	progressTick = time.Second
)

func worker(n int) packer.Shape {
	return packer.Shape{Accelerators: n, Within: packer.WithinWorker}
}

func rack(n int) packer.Shape { return packer.Shape{Accelerators: n, Within: packer.WithinRack} }

// berkepWaves fill the fleet with lent batches, then ask for what is guaranteed.
var berkepWaves = []wave{
	{0, 96, "researchers", "imputation-batch", worker(4), 6 * time.Second},
	{2 * time.Second, 2, "unions", "weighting-run", rack(32), 5 * time.Second},
	{2 * time.Second, 1, "statistics-office", "weighting-run", rack(64), 4 * time.Second},
	{3 * time.Second, 12, "unions", "lookup", worker(1), 300 * time.Millisecond},
	{3 * time.Second, 1, "county-offices", "weighting-run", rack(16), 3 * time.Second},
}

var qurumWaves = []wave{
	{0, 1, "design", "strain-model", rack(64), 8 * time.Second},
	{0, 3, "design", "strain-model", rack(32), 5 * time.Second},
	{time.Second, 24, "shop-floor", "cut-list", worker(1), 400 * time.Millisecond},
	{time.Second, 12, "web-shop", "weave-preview", worker(1), time.Second},
	{2 * time.Second, 2, "weavers", "strain-model", worker(4), 2 * time.Second},
}

// Run plays the main job of both services and returns a row for each job; progress goes to out.
func Run(ctx context.Context, out, logs io.Writer) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	var all []Row
	for _, part := range []struct {
		document []byte
		waves    []wave
	}{{examples.Berkep, berkepWaves}, {examples.Qurum, qurumWaves}} {
		rows, err := play(ctx, part.document, part.waves, out, logs)
		if err != nil {
			return all, err
		}
		all = append(all, rows...)
	}
	return all, nil
}

func play(ctx context.Context, document []byte, waves []wave, out, logs io.Writer) ([]Row, error) {
	s, cleanUp, err := Start(ctx, document, logs)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	_, _ = fmt.Fprintf(out, "%s: %d entries, %d workers\n", s.Document.Service, len(s.Callers), len(s.Workers))
	total := 0
	for _, w := range waves {
		total += w.count
	}
	rows := make([]Row, total)
	var done atomic.Int64
	var group sync.WaitGroup
	next := 0
	for _, w := range waves {
		for range w.count {
			i := next
			next++
			group.Go(func() {
				sleeper.Sleep(ctx, w.after)
				rows[i] = s.send(ctx, w, i)
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

// send submits one job through one of the entries and asks for the reasons through the next.
func (s *Service) send(ctx context.Context, w wave, i int) Row {
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

// summarise returns the last reason for a place and how often the job was moved.
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

func (s *Service) showProgress(ctx context.Context, out io.Writer, done *atomic.Int64, total int, finished chan struct{}) {
	ticker := time.NewTicker(progressTick)
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
