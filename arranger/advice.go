package arranger

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// maxAdviceWorkers is the number of workers in one question; each one lengthens the answer.
	maxAdviceWorkers = 30
	// adviceRetryDelay is the time before a question is asked again that was not answered.
	adviceRetryDelay = 300 * time.Millisecond
	// ticketMargin is the part of a ticket's life that is kept for the way of a start to its worker.
	ticketMargin = 200 * time.Millisecond
)

// AdviceRequest asks the advice service which of the workers may run the tasks of a step.
type AdviceRequest struct {
	// Step is named ID.OCCURRENCE.STEP.
	Step    string
	Workers []string
}

// AdviceResponse is the answer to a question: tickets of the workers that may run the step, by ID.
type AdviceResponse struct {
	AdviceRequest AdviceRequest
	Tickets       map[string]string
	ExpiresAt     time.Time
}

// ticket allows one life of a worker to run a step.
type ticket struct {
	incarnation int64
	value       string
	until       time.Time
}

// advice is what is known of the workers that may run a stage; which these are does not change.
type advice struct {
	// requested holds the lives of the workers that were requested about.
	requested map[string]int64
	tickets   map[string]ticket
	// inFlight tells that a question is under way, retryAt when one that failed is repeated.
	inFlight bool
	retryAt  time.Time
}

// ticketFor returns the ticket for a worker, or false if it has none that holds long enough.
func (s *stage) ticketFor(w *worker, now time.Time) (string, bool) {
	if s.advice == nil {
		return "", false
	}
	t, ok := s.advice.tickets[w.ID]
	return t.value, ok && t.incarnation == w.Incarnation && now.Add(ticketMargin).Before(t.until)
}

// mayRunOn reports whether the queue's policy allows the worker, as far as is known.
func (s *stage) mayRunOn(w *worker, now time.Time) bool {
	if !s.job.Policy.Advised {
		return true
	}
	_, ok := s.ticketFor(w, now)
	return ok
}

// stepName names the stage in questions.
func (s *stage) stepName() string {
	return s.job.ID + "." + strconv.Itoa(s.occurrence) + "." + strconv.Itoa(s.stepNumber)
}

// requestAdvice asks about workers for the stages that still wait after a plan.
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

// workersToRequest returns the workers to ask about next: those with the most room first, among those not asked about and those whose tickets have run out.
func (a *Arranger) workersToRequest(now time.Time, s *stage) []string {
	var workers []*worker
	for _, w := range a.sortedWorkers {
		if w.Service != s.job.Policy.Service || !w.has(s.step.Requires) || !w.Capacity.Covers(s.step.Need) || !w.schedulable(now) {
			continue
		}
		incarnation, requested := s.advice.requested[w.ID]
		known, good := s.advice.tickets[w.ID]
		if requested && incarnation == w.Incarnation && (!good || now.Add(ticketMargin).Before(known.until)) {
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

// HandleAdvice takes in the answer to a question.
func (a *Arranger) HandleAdvice(answer AdviceResponse) {
	s := a.findStage(answer.AdviceRequest.Step)
	if s == nil || s.advice == nil {
		return
	}
	s.advice.inFlight = false
	a.changed = true
	for _, id := range answer.AdviceRequest.Workers {
		w := a.workers[id]
		if w == nil {
			continue
		}
		s.advice.requested[id] = w.Incarnation
		delete(s.advice.tickets, id)
		if value, ok := answer.Tickets[id]; ok {
			s.advice.tickets[id] = ticket{incarnation: w.Incarnation, value: value, until: answer.ExpiresAt}
		}
	}
	a.options.Log("advice taken in", "job", s.job.ID, "step", answer.AdviceRequest.Step,
		"asked", len(answer.AdviceRequest.Workers), "allowed", len(answer.Tickets), "until", answer.ExpiresAt)
}

// AdviceFailed tells that a question got no answer; it is asked again after a pause.
func (a *Arranger) AdviceFailed(now time.Time, q AdviceRequest) {
	if s := a.findStage(q.Step); s != nil && s.advice != nil {
		s.advice.inFlight = false
		s.advice.retryAt = now.Add(adviceRetryDelay)
	}
}

// TicketRefused tells that a worker did not take the ticket of a start.
func (a *Arranger) TicketRefused(name TaskName, workerID string) {
	if t := a.findTask(name.String()); t != nil && t.stage.advice != nil {
		delete(t.stage.advice.tickets, workerID)
		delete(t.stage.advice.requested, workerID)
	}
}

// findStage returns the stage with the name, or nil.
func (a *Arranger) findStage(step string) *stage {
	if t := a.findTask(step + ".0"); t != nil {
		return t.stage
	}
	return nil
}
