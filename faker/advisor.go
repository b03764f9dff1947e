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

// Advisor stands in for the operated platform's advice service, which allows only some workers to run a step.
type Advisor struct {
	// Allowed are the workers that may run anything; Validity is how long a ticket holds.
	Allowed  []string
	Validity time.Duration
	// DelayPerWorker is what the answer takes for each worker.
	DelayPerWorker time.Duration

	mu      sync.Mutex
	issued  map[string]time.Time
	asked   int
	rejects int
}

// RejectNext turns away that many questions.
func (v *Advisor) RejectNext(count int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rejects = count
}

// RequestCount returns the number of questions so far.
func (v *Advisor) RequestCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.asked
}

// valid reports whether a ticket allows the worker to run the task now.
func (v *Advisor) valid(ticket, worker, task string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	until, ok := v.issued[ticket]
	step := task[:max(0, strings.LastIndex(task, "."))]
	return ok && time.Now().Before(until) && ticket == ticketText(step, worker)
}

func ticketText(step, worker string) string { return fmt.Sprintf("%s/%s", step, worker) }

// ServeHTTP implements http.Handler.
func (v *Advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var question struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&question); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	v.asked++
	turnedAway := v.rejects > 0
	if turnedAway {
		v.rejects--
	}
	v.mu.Unlock()
	if turnedAway {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(time.Duration(len(question.Workers)) * v.DelayPerWorker)
	good := [][]string{}
	v.mu.Lock()
	if v.issued == nil {
		v.issued = map[string]time.Time{}
	}
	for _, worker := range question.Workers {
		if slices.Contains(v.Allowed, worker) {
			ticket := ticketText(question.Step, worker)
			v.issued[ticket] = time.Now().Add(v.Validity)
			good = append(good, []string{worker, ticket})
		}
	}
	v.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"good": good, "validityMs": v.Validity.Milliseconds()})
}
