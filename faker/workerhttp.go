package faker

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/snipelift/snipelift/dispatcher"
)

// ServeHTTP implements the worker protocol of docs/WORKERS.md and PUT /faults.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.trackConnection(r.RemoteAddr) {
		leaveUnanswered(r)
		return
	}
	r.Body = http.MaxBytesReader(rw, r.Body, maxRequestBytes)
	switch r.URL.Path {
	case dispatcher.PathReserve:
		serveCommand(w, rw, r, w.Reserve)
	case dispatcher.PathStart:
		serveCommand(w, rw, r, w.Start)
	case dispatcher.PathStop:
		serveCommand(w, rw, r, w.Stop)
	case dispatcher.PathThrottle:
		serveCommand(w, rw, r, w.Throttle)
	case dispatcher.PathSync:
		serveCommand(w, rw, r, w.Sync)
	case "/faults":
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.SetFaults(f)
	default:
		http.NotFound(rw, r)
	}
}

func serveCommand[Request, Response any](w *Worker, rw http.ResponseWriter, r *http.Request, command func(context.Context, Request) (Response, error)) {
	var request Request
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	response, err := command(r.Context(), request)
	switch {
	case errors.Is(err, dispatcher.ErrStaleEpoch):
		writeAmazonJSON(rw, http.StatusConflict, dispatcher.Refusal{Reason: dispatcher.ReasonStaleEpoch})
	case errors.Is(err, dispatcher.ErrRefused):
		writeAmazonJSON(rw, http.StatusConflict, dispatcher.Refusal{Reason: err.Error()})
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		w.respond(rw, response)
	}
}

// respond sends the response, truncated to its first half if TruncateAnswers is set.
func (w *Worker) respond(rw http.ResponseWriter, response any) {
	data, err := json.Marshal(response)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	rw.Header()["Date"] = nil
	if w.truncate() {
		data = data[:len(data)/2]
	}
	_, _ = rw.Write(data)
}
