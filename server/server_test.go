package server_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/messenger"
	"github.com/snipelift/snipelift/owner"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/router"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/server"
	"github.com/snipelift/snipelift/spreader"
)

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newHandler returns the API handler of an entry VM whose service returns the given results.
func newHandler(result router.SubmitResult, progress owner.Progress, keys server.Auth) http.Handler {
	return server.NewHandler(server.Options{
		Service: server.Service{
			Submit:   func(context.Context, recorder.OpenJob) (router.SubmitResult, error) { return result, nil },
			Wait:     func(context.Context, string) (owner.Progress, error) { return progress, nil },
			Cancel:   func(context.Context, string) error { return nil },
			Ready:    func() bool { return true },
			Self:     func() messenger.Ping { return messenger.Ping{} },
			Document: spreader.New(spreader.Options{}),
		},
		Auth:     keys,
		Logger:   slog.New(slog.DiscardHandler),
		Tracer:   noop.NewTracerProvider().Tracer("test"),
		Registry: metrics.NewRegistry(),
	})
}

func serve(h http.Handler, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, request)
	return recorder
}

func decodeProblem(t *testing.T, r *httptest.ResponseRecorder) server.Problem {
	t.Helper()
	var p server.Problem
	if err := json.Unmarshal(r.Body.Bytes(), &p); err != nil {
		t.Fatalf("body %q: %v", r.Body, err)
	}
	return p
}

func TestProblemsReportWhetherTheJobRan(t *testing.T) {
	const body = `{"organisation":"unions","class":"lookup","shape":{"accelerators":1}}`
	for _, test := range []struct {
		name       string
		submission router.SubmitResult
		body       string
		key        string
		status     int
		ran        scheduler.Ran
	}{
		{"no idempotency key", router.SubmitResult{}, body, "", 400, scheduler.NotRun},
		{"an unknown field in the body", router.SubmitResult{}, `{"colour":"red"}`, "k", 400, scheduler.NotRun},
		{"no organisation", router.SubmitResult{}, `{"class":"lookup"}`, "k", 401, scheduler.NotRun},
		{"a body that is too large", router.SubmitResult{}, strings.Repeat(" ", 300<<10), "k", 413, scheduler.NotRun},
		{"a full queue", router.SubmitResult{Admission: owner.Admission{Reason: scheduler.Reason{Rule: scheduler.RuleQueueFull}, RetryAfter: 1}}, body, "k", 429, scheduler.NotRun},
		{"an unavailable table", router.SubmitResult{Admission: owner.Admission{Reason: scheduler.Reason{Rule: scheduler.RuleStoreUnavailable}, RetryAfter: 1}}, body, "k", 503, scheduler.NotRun},
		{"a shape that never fits", router.SubmitResult{Admission: owner.Admission{Reason: scheduler.Reason{Rule: scheduler.RuleNeverFits}}}, body, "k", 422, scheduler.NotRun},
		{"an unknown outcome", router.SubmitResult{Admission: owner.Admission{Unknown: true}}, body, "k", 503, scheduler.RanUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHandler(test.submission, owner.Progress{}, server.Auth{})
			r := serve(h, http.MethodPost, "/v1/jobs", test.body, map[string]string{server.HeaderIdempotencyKey: test.key})
			p := decodeProblem(t, r)
			if r.Code != test.status || p.Ran != test.ran || r.Header().Get("Content-Type") != server.ContentTypeProblem {
				t.Fatalf("got %d %+v, want %d %s", r.Code, p, test.status, test.ran)
			}
			if (r.Code == 429 || test.name == "an unavailable table") && r.Header().Get("Retry-After") == "" {
				t.Fatal("the refusal has no Retry-After header")
			}
		})
	}
}

func TestAnOrganisationSeesOnlyItsOwnJobs(t *testing.T) {
	keys := server.Auth{
		Required:       true,
		OperatorSHA256: hashKey("operator"),
		Document: func() documenter.Document {
			return documenter.Document{Organisations: []documenter.Organisation{
				{Name: "unions", KeySHA256: hashKey("unions-key")},
				{Name: "offices", KeySHA256: hashKey("offices-key")},
				{Name: "keyless"},
			}}
		},
	}
	answer := recorder.Answer{Job: scheduler.Job{ID: "j", Organisation: "unions"}, Outcome: scheduler.OutcomeSucceeded, Result: []byte(`"secret"`)}
	h := newHandler(router.SubmitResult{}, owner.Progress{Answer: &answer}, keys)
	for _, test := range []struct {
		name, method, path, key string
		status                  int
	}{
		{"its own job", http.MethodGet, "/v1/jobs/j", "unions-key", 200},
		{"another's job", http.MethodGet, "/v1/jobs/j", "offices-key", 404},
		{"the explanation of another's job", http.MethodGet, "/v1/jobs/j/explanation", "offices-key", 404},
		{"cancelling another's job", http.MethodDelete, "/v1/jobs/j", "offices-key", 404},
		{"a wrong key", http.MethodGet, "/v1/jobs/j", "guess", 401},
		{"no key", http.MethodGet, "/v1/jobs/j", "", 401},
		{"an organisation's key for an operator's request", http.MethodGet, "/v1/status", "unions-key", 401},
		{"an edit without the operators' key", http.MethodPut, "/v1/document", "unions-key", 401},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := serve(h, test.method, test.path, "", map[string]string{"Authorization": "Bearer " + test.key})
			if r.Code != test.status {
				t.Fatalf("got %d %s, want %d", r.Code, r.Body, test.status)
			}
			if test.status != 200 && strings.Contains(r.Body.String(), "secret") {
				t.Fatal("the response contains the result of another organisation's job")
			}
		})
	}
}

func TestAnEditNeedsItsBaseVersion(t *testing.T) {
	h := newHandler(router.SubmitResult{}, owner.Progress{}, server.Auth{})
	if r := serve(h, http.MethodPut, "/v1/document", "{}", nil); r.Code != http.StatusPreconditionRequired {
		t.Fatalf("got %d, want %d", r.Code, http.StatusPreconditionRequired)
	}
	r := serve(h, http.MethodPut, "/v1/document", "{}", map[string]string{"If-Match": `"1"`})
	if r.Code != http.StatusBadRequest {
		t.Fatalf("got %d without an edit ID, want %d", r.Code, http.StatusBadRequest)
	}
}
