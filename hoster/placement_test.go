package hoster

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/acceptor"
	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/director"
	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
)

// TestPlacementsAreExplainedOnTheMetricsListener guards against statuses that do not tell a wrong question from a wrong VM, and unbounded bodies.
func TestPlacementsAreExplainedOnTheMetricsListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := faker.NewRowStore()
		rows.Put(platform.OperatorTable, platform.ConfigKey, map[string]any{
			"version": 7, "limits": map[string]any{"maxBodyBytes": 1000}, "tenants": []any{map[string]any{"name": "unions"}},
			"routes": []any{map[string]any{"name": "lookups", "host": "a.example", "prefix": "/l/", "service": "tabulator", "priority": 1}},
		})
		board := faker.NewHTTPNetwork()
		board.Handle("store:1", rows)
		store := &platform.Store{Client: board.Client("self"), Address: "store:1", Timeout: time.Second}
		config := &follower.Follower{Store: store, Logger: slog.New(slog.DiscardHandler)}
		go config.Run(t.Context())
		time.Sleep(100 * time.Millisecond)
		var asked arranger.Job
		var answer error
		h := operatorHandler(newMetrics(), &placementHandler{
			accept: acceptor.New(store, config, slog.New(slog.DiscardHandler)),
			explain: func(_ context.Context, job arranger.Job) (arranger.Explanation, error) {
				asked = job
				return arranger.Explanation{Steps: []arranger.StepExplanation{{Tasks: 2, Placed: 2}}}, answer
			},
		})
		const job, path = `{"spec":"x","steps":[{"count":2,"gpu":8,"estimateMs":1500}]}`, "/placement?queue=lookups&organisation=unions"
		for _, test := range []struct {
			method, path, body string
			answer             error
			status             int
			want               string
		}{
			{http.MethodPost, path, job, nil, http.StatusOK, `"placed":2`},
			{http.MethodPost, path, job, &director.NotOwnerError{Owner: "front-2"}, http.StatusMisdirectedRequest, `"owner":"front-2"`},
			{http.MethodPost, path, job, errors.New("store down"), http.StatusServiceUnavailable, "store down"}, //nolint:err113 // A stand-in.
			{http.MethodPost, path, "{", nil, http.StatusBadRequest, `"error"`},
			{http.MethodPost, path, strings.Repeat(" ", 1001), nil, http.StatusRequestEntityTooLarge, `"error"`},
			{http.MethodPost, "/placement?queue=none&organisation=unions", job, nil, http.StatusBadRequest, "no such queue"},
			{http.MethodPost, "/placement?queue=lookups&organisation=none", job, nil, http.StatusBadRequest, "no such organisation"},
			{http.MethodGet, "/metrics", "", nil, http.StatusOK, "log.droppedLines"},
		} {
			answer = test.answer
			recorder := httptest.NewRecorder()
			h.ServeHTTP(recorder, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
			if recorder.Code != test.status || !strings.Contains(recorder.Body.String(), test.want) {
				t.Errorf("%s %s: got %d %s, want %d with %s", test.method, test.path, recorder.Code, recorder.Body, test.status, test.want)
			}
		}
		if asked.Queue != "lookups" || asked.Organisation != "unions" || asked.Policy.Priority != 1 || asked.Steps[0].Estimate != 1500*time.Millisecond {
			t.Errorf("asked about %+v", asked)
		}
	})
}
