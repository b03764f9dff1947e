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

// grantTickets answers a request with tickets for the given workers.
func (h *harness) grantTickets(r AdviceRequest, validity time.Duration, workers ...string) {
	response := AdviceResponse{AdviceRequest: r, Tickets: map[string]string{}, ExpiresAt: h.now.Add(validity)}
	for _, id := range workers {
		if slices.Contains(r.Workers, id) {
			response.Tickets[id] = "ticket of " + id
		}
	}
	h.HandleAdvice(response)
}

func TestAnAdvisedGangStartsOnPermittedWorkersOnly(t *testing.T) {
	h := newHarness(t, 1, 8)
	h.AddJob(h.now, advisedJob("gang", gang(2, 8)), Progress{}, false)
	o := h.planAfter(0)
	if len(o.Starts) != 0 || len(o.AdviceRequests) != 1 || o.AdviceRequests[0].Step != "gang.0.0" || len(o.AdviceRequests[0].Workers) != 8 {
		t.Fatalf("got %+v, want one request for all workers", o)
	}
	if again := h.planAfter(time.Second); len(again.AdviceRequests) != 0 {
		t.Fatalf("got %+v while the first request is in flight", again.AdviceRequests)
	}
	h.grantTickets(o.AdviceRequests[0], 3*time.Second, "w0-2", "w0-5")
	o = h.planAfter(0)
	if len(o.Starts) != 2 {
		t.Fatalf("%d starts, want the gang", len(o.Starts))
	}
	for _, s := range o.Starts {
		if s.Ticket != "ticket of "+s.Worker || s.Worker != "w0-2" && s.Worker != "w0-5" {
			t.Errorf("start on %s with %q", s.Worker, s.Ticket)
		}
	}
}

func TestAdviceRequestsCoverEachWorkerOnce(t *testing.T) {
	h := newHarness(t, 10, 8)
	h.AddJob(h.now, advisedJob("job", single(1, 1)), Progress{}, false)
	requested := map[string]int{}
	for round := range 4 {
		o := h.planAfter(time.Second)
		if round < 3 != (len(o.AdviceRequests) == 1) {
			t.Fatalf("round %d: got %d requests", round, len(o.AdviceRequests))
		}
		for _, r := range o.AdviceRequests {
			if len(r.Workers) > maxAdviceWorkers {
				t.Fatalf("a request for %d workers", len(r.Workers))
			}
			for _, id := range r.Workers {
				requested[id]++
			}
			h.grantTickets(r, time.Second)
		}
	}
	if len(requested) != 80 || requested["w0-0"] != 1 {
		t.Errorf("requests for %d workers, for w0-0 %d times, want all once", len(requested), requested["w0-0"])
	}
}

func TestTicketsAreRenewedAndBoundToTheIncarnation(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.AddJob(h.now, advisedJob("job", single(3, 8)), Progress{}, false)
	h.grantTickets(h.planAfter(0).AdviceRequests[0], time.Second, "w0-0")
	o := h.planAfter(0)
	if len(o.Starts) != 1 || len(o.AdviceRequests) != 0 {
		t.Fatalf("got %+v, want one start and no request", o)
	}
	h.confirmStarts(o)
	o2 := h.planAfter(2 * time.Second)
	if len(o2.AdviceRequests) != 1 || !slices.Equal(o2.AdviceRequests[0].Workers, []string{"w0-0"}) {
		t.Fatalf("got %+v, want a request for the permitted worker", o2.AdviceRequests)
	}
	h.AdviceFailed(h.now, o2.AdviceRequests[0])
	if o := h.planAfter(adviceRetryDelay / 2); len(o.AdviceRequests) != 0 {
		t.Fatalf("requested again after %s", adviceRetryDelay/2)
	}
	o2 = h.planAfter(adviceRetryDelay)
	h.grantTickets(o2.AdviceRequests[0], time.Minute, "w0-0")
	h.SetWorker(h.now, Worker{ID: "w0-0", Incarnation: 2, Service: "tabulator", Rack: "r1-0", Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}})
	h.HandleReport(h.now, Report{Worker: "w0-0", RequestedAt: h.now})
	o = h.planAfter(time.Second)
	if len(o.Starts) != 0 || len(o.AdviceRequests) != 1 {
		t.Fatalf("got %+v, want a request for the new incarnation", o)
	}
}

func TestARefusedTicketIsRequestedAgain(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.AddJob(h.now, advisedJob("job", single(1, 8)), Progress{}, false)
	h.grantTickets(h.planAfter(0).AdviceRequests[0], time.Minute, "w0-0")
	start := h.planAfter(0).Starts[0]
	h.TicketRefused(start.Task, start.Worker)
	h.StartRefused(h.now, start.Task, start.Run)
	if o := h.planAfter(time.Second); len(o.AdviceRequests) != 1 {
		t.Fatalf("got %+v, want another request", o)
	}
}

// A job must not wait because an advised step with the same needs has no permitted worker: both would share a
// class of units without capacity.
func TestAnAdvisedStepWithoutTicketsDoesNotDelayOtherJobs(t *testing.T) {
	h := newHarness(t, 1, 2)
	for i := range 2 {
		h.AddJob(h.now, advisedJob(fmt.Sprintf("advised-%d", i), single(1, 1)), Progress{}, false)
	}
	h.AddJob(h.now, jobOf("plain", 0, single(1, 1)), Progress{}, false)
	if o := h.planAfter(0); len(o.Starts) != 1 || o.Starts[0].Task.Job != "plain" {
		t.Fatalf("got %+v, want the plain job started", o.Starts)
	}
}
