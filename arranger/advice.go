package arranger

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// maxAdviceWorkers is the maximum number of workers in a request; each one makes the response take longer.
	maxAdviceWorkers = 30
	// adviceRetryDelay is the delay before a failed request is repeated.
	adviceRetryDelay = 300 * time.Millisecond
	// ticketMargin is the remaining validity that a ticket needs, so that it has not expired when the start
	// reaches the worker.
	ticketMargin = 200 * time.Millisecond
)

// AdviceRequest asks the advice service which of the workers may run the tasks of a step.
type AdviceRequest struct {
	// Step has the form ID.OCCURRENCE.STEP.
	Step    string
	Workers []string
}

// AdviceResponse holds the tickets, by worker ID, of the workers that may run the step.
type AdviceResponse struct {
	AdviceRequest AdviceRequest
	Tickets       map[string]string
	ExpiresAt     time.Time
}

// ticket permits one incarnation of a worker to run the tasks of a step.
type ticket struct {
	incarnation int64
	value       string
	expiresAt   time.Time
}

// advice is the state of the advice requests for a stage. The set of permitted workers does not change, but
// tickets expire.
type advice struct {
	// requested maps each worker in an answered request to its incarnation at the time.
	requested map[string]int64
	tickets   map[string]ticket
	// inFlight means that a request awaits its response; retryAt is when a failed one may be repeated.
	inFlight bool
	retryAt  time.Time
}

// ticketFor returns the ticket for a worker, or false if there is none that is valid for long enough.
func (s *stage) ticketFor(w *worker, now time.Time) (string, bool) {
	if s.advice == nil {
		return "", false
	}
	t, ok := s.advice.tickets[w.ID]
	return t.value, ok && t.incarnation == w.Incarnation && now.Add(ticketMargin).Before(t.expiresAt)
}

// mayRunOn reports whether the queue's policy permits the worker, as far as is known.
func (s *stage) mayRunOn(w *worker, now time.Time) bool {
	if !s.job.Policy.Advised {
		return true
	}
	_, ok := s.ticketFor(w, now)
	return ok
}

// forbidden reports whether the queue's policy is known not to permit the worker.
func (s *stage) forbidden(w *worker) bool {
	if !s.job.Policy.Advised || s.advice == nil {
		return false
	}
	incarnation, requested := s.advice.requested[w.ID]
	_, permitted := s.advice.tickets[w.ID]
	return requested && !permitted && incarnation == w.Incarnation
}

// stepName returns the name of the stage in advice requests.
func (s *stage) stepName() string {
	return s.job.ID + "." + strconv.Itoa(s.occurrence) + "." + strconv.Itoa(s.stepNumber)
}

// requestAdvice requests advice for the advised stages that still wait after a planning pass.
func (a *Arranger) requestAdvice(now time.Time, units []unit) {
	for _, u := range units {
		s := u.stage
		if !s.job.Policy.Advised || !s.waiting() {
			continue
		}
		if s.advice == nil {
			s.advice = &advice{requested: map[string]int64{}, tickets: map[string]ticket{}}
		}
		if s.advice.inFlight || now.Before(s.advice.retryAt) {
			continue
		}
		if workers := a.workersToRequest(now, s); len(workers) > 0 {
			s.advice.inFlight = true
			a.orders.AdviceRequests = append(a.orders.AdviceRequests, AdviceRequest{Step: s.stepName(), Workers: workers})
		}
	}
}

// workersToRequest returns the workers for the next request, those with the most free capacity first: workers
// without a response and permitted ones whose ticket has expired.
func (a *Arranger) workersToRequest(now time.Time, s *stage) []string {
	var workers []*worker
	for _, w := range a.sortedWorkers {
		if w.Service != s.job.Policy.Service || !w.has(s.step.Requires) || !w.Capacity.Covers(s.step.Need) || !w.schedulable(now) {
			continue
		}
		incarnation, requested := s.advice.requested[w.ID]
		known, permitted := s.advice.tickets[w.ID]
		if requested && incarnation == w.Incarnation && (!permitted || now.Add(ticketMargin).Before(known.expiresAt)) {
			continue
		}
		workers = append(workers, w)
	}
	slices.SortStableFunc(workers, func(x, y *worker) int {
		return -cmp.Compare(x.free().FitCount(s.step.Need), y.free().FitCount(s.step.Need))
	})
	ids := make([]string, 0, maxAdviceWorkers)
	for _, w := range workers[:min(len(workers), maxAdviceWorkers)] {
		ids = append(ids, w.ID)
	}
	return ids
}

// HandleAdvice stores the tickets of a response.
func (a *Arranger) HandleAdvice(response AdviceResponse) {
	s := a.findStage(response.AdviceRequest.Step)
	if s == nil || s.advice == nil {
		return
	}
	s.advice.inFlight = false
	a.changed = true
	for _, id := range response.AdviceRequest.Workers {
		w := a.workers[id]
		if w == nil {
			continue
		}
		s.advice.requested[id] = w.Incarnation
		delete(s.advice.tickets, id)
		if value, ok := response.Tickets[id]; ok {
			s.advice.tickets[id] = ticket{incarnation: w.Incarnation, value: value, expiresAt: response.ExpiresAt}
		}
	}
	a.options.Log("advice received", "job", s.job.ID, "step", response.AdviceRequest.Step,
		"asked", len(response.AdviceRequest.Workers), "allowed", len(response.Tickets), "until", response.ExpiresAt)
}

// AdviceFailed records that a request failed; it is repeated after a delay.
func (a *Arranger) AdviceFailed(now time.Time, r AdviceRequest) {
	if s := a.findStage(r.Step); s != nil && s.advice != nil {
		s.advice.inFlight = false
		s.advice.retryAt = now.Add(adviceRetryDelay)
	}
}

// TicketRefused records that a worker rejected the ticket of a start, so that a new one is requested.
func (a *Arranger) TicketRefused(name TaskName, workerID string) {
	if t := a.findTask(name.String()); t != nil && t.stage.advice != nil {
		delete(t.stage.advice.tickets, workerID)
		delete(t.stage.advice.requested, workerID)
	}
}

// findStage returns the stage with the given name, or nil.
func (a *Arranger) findStage(step string) *stage {
	if t := a.findTask(step + ".0"); t != nil {
		return t.stage
	}
	return nil
}
