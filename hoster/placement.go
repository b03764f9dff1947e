package hoster

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/snipelift/snipelift/acceptor"
	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/director"
	"github.com/snipelift/snipelift/limiter"
	"github.com/snipelift/snipelift/platform"
)

const (
	// explainTimeout limits the read of the lease by a VM that is not the owner.
	explainTimeout = 2 * time.Second
	// explainedJobID is the ID of the job in the question; it cannot be that of an accepted one.
	explainedJobID = "placement"
)

// operatorHandler serves the metrics at any path, and explanations of placements for POST requests to /placement.
func operatorHandler(m *metricSet, placement *placementHandler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /placement", placement)
	mux.Handle("/", m)
	return mux
}

// placementHandler answers where a job would be placed now, without accepting it.
type placementHandler struct {
	accept  *acceptor.Acceptor
	explain func(ctx context.Context, job arranger.Job) (arranger.Explanation, error)
}

// placementRefusal is the body of a response without an explanation.
type placementRefusal struct {
	Error string `json:"error"`
	// Owner is the node to ask instead; empty if it is not known.
	Owner string `json:"owner,omitempty"`
}

// ServeHTTP implements http.Handler.
func (h *placementHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job, status, err := h.jobOf(r)
	if err != nil {
		h.respond(w, status, placementRefusal{Error: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	e, err := h.explain(ctx, job)
	var notOwner *director.NotOwnerError
	switch {
	case errors.As(err, &notOwner):
		h.respond(w, http.StatusMisdirectedRequest, placementRefusal{Error: err.Error(), Owner: notOwner.Owner})
	case err != nil:
		h.respond(w, http.StatusServiceUnavailable, placementRefusal{Error: err.Error()})
	default:
		h.respond(w, http.StatusOK, e)
	}
}

var (
	errNoConfig           = errors.New("no configuration yet")
	errNoSuchQueue        = errors.New("no such queue")
	errNoSuchOrganisation = errors.New("no such organisation")
	errCutShort           = errors.New("body cut short")
)

// jobOf returns the job that the request describes, or the status and the reason of its refusal.
func (h *placementHandler) jobOf(r *http.Request) (arranger.Job, int, error) {
	snapshot := h.accept.Config.Current()
	if snapshot == nil {
		return arranger.Job{}, http.StatusServiceUnavailable, errNoConfig
	}
	query := r.URL.Query()
	name, organisation := query.Get("queue"), query.Get("organisation")
	i := slices.IndexFunc(snapshot.Queues, func(q platform.Queue) bool { return q.Name == name })
	if i < 0 {
		return arranger.Job{}, http.StatusBadRequest, errNoSuchQueue
	}
	queue := snapshot.Queues[i]
	if !queue.Public && !slices.ContainsFunc(snapshot.Organisations, func(o platform.Organisation) bool { return o.Name == organisation }) {
		return arranger.Job{}, http.StatusBadRequest, errNoSuchOrganisation
	}
	body, err := limiter.ReadBody(r, acceptor.MaxBody(snapshot))
	switch {
	case errors.Is(err, limiter.ErrOverloaded):
		return arranger.Job{}, http.StatusServiceUnavailable, limiter.ErrOverloaded
	case errors.Is(err, limiter.ErrTooLarge):
		return arranger.Job{}, http.StatusRequestEntityTooLarge, limiter.ErrTooLarge
	case err != nil:
		return arranger.Job{}, http.StatusBadRequest, errCutShort
	}
	submission, err := h.accept.DecodeJob(body)
	if err != nil {
		return arranger.Job{}, http.StatusBadRequest, err //nolint:wrapcheck // The client is told the reason as it is for a submission.
	}
	return acceptor.NewJob(explainedJobID, queue, organisation, submission, h.accept.Now()), 0, nil
}

// respond sends a value as JSON.
func (h *placementHandler) respond(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		h.accept.Logger.Warn("explanation of a placement not sent", "status", status, "error", err.Error())
	}
}
