package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/server"
	"github.com/snipelift/snipelift/spreader"
)

var (
	// ErrNotRun means that the job was refused and certainly did not run.
	ErrNotRun = errors.New("refused, not run")
	// ErrOutcomeUnknown means that the job may or may not have run.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrRefused means that the entry VM rejected a request, with no statement on whether a job ran.
	ErrRefused = errors.New("refused")
)

// Client calls the HTTP API of one entry VM, or of all through the load balancer.
type Client struct {
	// BaseURL is the URL of the entry VM or the load balancer, as in http://10.0.0.1:8080.
	BaseURL string
	// Organisation is the organisation that the requests act for, where callers are trusted.
	Organisation string
	// Key is the key of the organisation or of the operators, where keys are required.
	Key  string
	HTTP *http.Client
	// Tracer records a span for each request; nil records none.
	Tracer trace.Tracer
}

const (
	maxResponseBytes = 64 << 20
	// timeoutMargin is added to the wait of a request to get its timeout.
	timeoutMargin = 15 * time.Second
)

// Document is a version of the service's document.
type Document struct {
	Version int64
	Text    []byte
}

// Submit submits a job under an idempotency key and returns it once it has ended or the wait is over.
func (c Client) Submit(ctx context.Context, key string, request server.SubmitRequest, wait time.Duration) (server.Job, error) {
	var job server.Job
	body, err := json.Marshal(request)
	if err != nil {
		return job, fmt.Errorf("encode request: %w", err)
	}
	header := http.Header{
		server.HeaderIdempotencyKey: {key},
		"Prefer":                    {"wait=" + formatSeconds(wait)},
	}
	_, err = c.do(ctx, http.MethodPost, "/v1/jobs", header, body, wait, &job)
	return job, err
}

// Get returns a job once it has ended or the wait is over.
func (c Client) Get(ctx context.Context, id string, wait time.Duration) (server.Job, error) {
	var job server.Job
	_, err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?waitSeconds="+formatSeconds(wait), nil, nil, wait, &job)
	return job, err
}

// Cancel requests the cancellation of a job and returns its state.
func (c Client) Cancel(ctx context.Context, id string) (server.Job, error) {
	var job server.Job
	_, err := c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, 0, &job)
	return job, err
}

// Explain returns the reasons for what happened to a job.
func (c Client) Explain(ctx context.Context, id string) (server.Explanation, error) {
	var e server.Explanation
	_, err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/explanation", nil, nil, 0, &e)
	return e, err
}

// Status returns the state of the service.
func (c Client) Status(ctx context.Context) (server.Status, error) {
	var status server.Status
	_, err := c.do(ctx, http.MethodGet, "/v1/status", nil, nil, 0, &status)
	return status, err
}

// GetDocument returns the current version of the document.
func (c Client) GetDocument(ctx context.Context) (Document, error) {
	var text json.RawMessage
	header, err := c.do(ctx, http.MethodGet, "/v1/document", nil, nil, 0, &text)
	if err != nil {
		return Document{}, err
	}
	version, err := strconv.ParseInt(strings.Trim(header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return Document{}, fmt.Errorf("read version: %w", err)
	}
	return Document{Version: version, Text: text}, nil
}

// PutDocument replaces version base of the document and returns the new version; base 0 creates the first
// one. A repeated call with the same editID is the same edit.
func (c Client) PutDocument(ctx context.Context, base int64, text []byte, editID, editor string) (int64, error) {
	header := http.Header{server.HeaderEditID: {editID}, server.HeaderEditor: {editor}}
	if base == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", `"`+strconv.FormatInt(base, 10)+`"`)
	}
	var response struct {
		Version int64 `json:"version"`
	}
	_, err := c.do(ctx, http.MethodPut, "/v1/document", header, text, 0, &response)
	return response.Version, err
}

// History returns the accepted edits of the document, oldest first.
func (c Client) History(ctx context.Context) ([]spreader.Edit, error) {
	var edits []spreader.Edit
	_, err := c.do(ctx, http.MethodGet, "/v1/document/history", nil, nil, 0, &edits)
	return edits, err
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

func (c Client) do(ctx context.Context, method, path string, header http.Header, body []byte, wait time.Duration, result any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+timeoutMargin)
	defer cancel()
	ctx, end := c.span(ctx, method)
	defer end()
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set(server.HeaderOrganisation, c.Organisation)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: read response: %w", ErrOutcomeUnknown, err)
	}
	if response.Header.Get("Content-Type") == server.ContentTypeProblem || response.StatusCode >= http.StatusBadRequest {
		return response.Header, decodeProblem(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return nil, fmt.Errorf("%w: decode response: %w", ErrOutcomeUnknown, err)
	}
	return response.Header, nil
}

// span starts a client span if there is a tracer and returns the function that ends it.
func (c Client) span(ctx context.Context, method string) (context.Context, func()) {
	if c.Tracer == nil {
		return ctx, func() {}
	}
	ctx, span := c.Tracer.Start(ctx, "caller "+method, trace.WithSpanKind(trace.SpanKindClient))
	return ctx, func() { span.End() }
}

func decodeProblem(status int, data []byte) error {
	var p server.Problem
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
	}
	switch p.Ran {
	case scheduler.NotRun:
		return fmt.Errorf("%w: %s", ErrNotRun, p.Detail)
	case scheduler.RanUnknown, scheduler.DidRun:
		return fmt.Errorf("%w: %s", ErrOutcomeUnknown, p.Detail)
	}
	return fmt.Errorf("%w (status %d): %s", ErrRefused, status, p.Detail)
}
