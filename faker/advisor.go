package faker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Advisor is a fake of the platform's advice service, which decides which workers may run a step and issues a ticket for each.
//
// The exported fields are set before the first request.
type Advisor struct {
	// Allowed are the workers that may run any step.
	Allowed []string
	// Validity is the lifetime of a ticket.
	Validity time.Duration
	// DelayPerWorker is the response time per worker that a request names.
	DelayPerWorker time.Duration

	mu sync.Mutex
	// expiries are the expiry times of the issued tickets.
	expiries map[string]time.Time
	requests int
	rejects  int
}

// RejectNext makes the fake reject the next count requests with status 429.
func (v *Advisor) RejectNext(count int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rejects = count
}

// RequestCount returns the number of requests so far, with the rejected ones.
func (v *Advisor) RequestCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.requests
}

// valid reports whether the ticket was expiries for the worker and the step of the task and has not expired.
func (v *Advisor) valid(ticket, worker, task string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	expiry, ok := v.expiries[ticket]
	step := task[:max(0, strings.LastIndex(task, "."))]
	return ok && time.Now().Before(expiry) && ticket == encodeTicket(step, worker)
}

func encodeTicket(step, worker string) string { return fmt.Sprintf("%s/%s", step, worker) }

// ServeHTTP implements http.Handler.
func (v *Advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	v.requests++
	rejected := v.rejects > 0
	if rejected {
		v.rejects--
	}
	v.mu.Unlock()
	if rejected {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(time.Duration(len(request.Workers)) * v.DelayPerWorker)
	allowed := [][]string{}
	v.mu.Lock()
	if v.expiries == nil {
		v.expiries = map[string]time.Time{}
	}
	for _, worker := range request.Workers {
		if slices.Contains(v.Allowed, worker) {
			ticket := encodeTicket(request.Step, worker)
			v.expiries[ticket] = time.Now().Add(v.Validity)
			allowed = append(allowed, []string{worker, ticket})
		}
	}
	v.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"good": allowed, "validityMs": v.Validity.Milliseconds()})
}
