package arranger

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func advisedJob(id string, steps ...Step) Job {
	j := jobOf(id, 0, steps...)
	j.Policy.Advised = true
	return j
}

// allow answers a question with tickets for some of the workers.
func (b *bench) allow(q AdviceRequest, validity time.Duration, workers ...string) {
	answer := AdviceResponse{AdviceRequest: q, Tickets: map[string]string{}, ExpiresAt: b.now.Add(validity)}
	for _, id := range workers {
		if slices.Contains(q.Workers, id) {
			answer.Tickets[id] = "ticket of " + id
		}
	}
	b.HandleAdvice(answer)
}

func TestAnAdvisedGangStartsOnAllowedWorkersOnly(t *testing.T) {
	b := newBench(t, 1, 8)
	b.AddJob(b.now, advisedJob("gang", gang(2, 8)), Progress{}, false)
	o := b.pass(0)
	if len(o.Starts) != 0 || len(o.AdviceRequests) != 1 || o.AdviceRequests[0].Step != "gang.0.0" || len(o.AdviceRequests[0].Workers) != 8 {
		t.Fatalf("got %+v, want one question after all workers", o)
	}
	if again := b.pass(time.Second); len(again.AdviceRequests) != 0 {
		t.Fatalf("got %+v while the first question is under way", again.AdviceRequests)
	}
	b.allow(o.AdviceRequests[0], 3*time.Second, "w0-2", "w0-5")
	o = b.pass(0)
	if len(o.Starts) != 2 {
		t.Fatalf("%d starts, want the gang", len(o.Starts))
	}
	for _, s := range o.Starts {
		if s.Ticket != "ticket of "+s.Worker || s.Worker != "w0-2" && s.Worker != "w0-5" {
			t.Errorf("start on %s with %q", s.Worker, s.Ticket)
		}
	}
}

func TestWorkersAreAskedAboutInTurn(t *testing.T) {
	b := newBench(t, 10, 8)
	b.AddJob(b.now, advisedJob("job", single(1, 1)), Progress{}, false)
	asked := map[string]int{}
	for round := range 4 {
		o := b.pass(time.Second)
		if round < 3 != (len(o.AdviceRequests) == 1) {
			t.Fatalf("round %d: got %d questions", round, len(o.AdviceRequests))
		}
		for _, q := range o.AdviceRequests {
			if len(q.Workers) > maxAdviceWorkers {
				t.Fatalf("a question after %d workers", len(q.Workers))
			}
			for _, id := range q.Workers {
				asked[id]++
			}
			b.allow(q, time.Second)
		}
	}
	if len(asked) != 80 || asked["w0-0"] != 1 {
		t.Errorf("%d workers asked about, w0-0 %d times, want all once", len(asked), asked["w0-0"])
	}
}

func TestTicketsAreRenewedAndEndWithTheWorkersLife(t *testing.T) {
	b := newBench(t, 1, 2)
	b.AddJob(b.now, advisedJob("job", single(3, 8)), Progress{}, false)
	b.allow(b.pass(0).AdviceRequests[0], time.Second, "w0-0")
	o := b.pass(0)
	if len(o.Starts) != 1 || len(o.AdviceRequests) != 0 {
		t.Fatalf("got %+v, want one start and no question", o)
	}
	b.confirm(o)
	o2 := b.pass(2 * time.Second)
	if len(o2.AdviceRequests) != 1 || !slices.Equal(o2.AdviceRequests[0].Workers, []string{"w0-0"}) {
		t.Fatalf("got %+v, want the allowed worker asked about again", o2.AdviceRequests)
	}
	b.AdviceFailed(b.now, o2.AdviceRequests[0])
	if o := b.pass(adviceRetryDelay / 2); len(o.AdviceRequests) != 0 {
		t.Fatalf("asked again after %s", adviceRetryDelay/2)
	}
	o2 = b.pass(adviceRetryDelay)
	b.allow(o2.AdviceRequests[0], time.Minute, "w0-0")
	b.SetWorker(Worker{ID: "w0-0", Incarnation: 2, Service: "tabulator", Rack: "r1-0", Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}})
	b.HandleReport(b.now, Report{Worker: "w0-0", RequestedAt: b.now})
	o = b.pass(time.Second)
	if len(o.Starts) != 0 || len(o.AdviceRequests) != 1 {
		t.Fatalf("got %+v, want a question after the new life", o)
	}
}

func TestARefusedTicketIsAskedForAgain(t *testing.T) {
	b := newBench(t, 1, 1)
	b.AddJob(b.now, advisedJob("job", single(1, 8)), Progress{}, false)
	b.allow(b.pass(0).AdviceRequests[0], time.Minute, "w0-0")
	start := b.pass(0).Starts[0]
	b.TicketRefused(start.Task, start.Worker)
	b.StartRefused(b.now, start.Task, start.Run)
	if o := b.pass(time.Second); len(o.AdviceRequests) != 1 {
		t.Fatalf("got %+v, want another question", o)
	}
}

// Other work must not wait because an advised step of the same size found no allowed worker.
func TestAnAdvisedStepWithoutTicketsHoldsNobodyUp(t *testing.T) {
	b := newBench(t, 1, 2)
	for i := range 2 {
		b.AddJob(b.now, advisedJob(fmt.Sprintf("advised-%d", i), single(1, 1)), Progress{}, false)
	}
	b.AddJob(b.now, jobOf("plain", 0, single(1, 1)), Progress{}, false)
	if o := b.pass(0); len(o.Starts) != 1 || o.Starts[0].Task.Job != "plain" {
		t.Fatalf("got %+v, want the plain job started", o.Starts)
	}
}
