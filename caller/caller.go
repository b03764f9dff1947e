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
	// ErrNotRun means that the request was refused and that the work surely did not run.
	ErrNotRun = errors.New("refused, not run")
	// ErrOutcomeUnknown means that the work may have run.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrRefused means that the entry did not do what was asked.
	ErrRefused = errors.New("refused")
)

// Client calls one entry, or the balancer before all of them.
type Client struct {
	// BaseURL is the URL of the entry VM or the load balancer, as in http://10.0.0.1:8080.
	BaseURL string
	// Organisation is who the requests act for, where callers are trusted.
	Organisation string
	// Key is the caller's or operator's key, where keys are needed.
	Key  string
	HTTP *http.Client
	// Tracer makes a span for each call; nil makes none.
	Tracer trace.Tracer
}

const (
	maxAnswerBytes = 64 << 20
	// grace is added to the wait of a request before it is given up.
	grace = 15 * time.Second
)

// Document is a version of the service's document.
type Document struct {
	Version int64
	Text    []byte
}

// Submit sends a job under an idempotency key and waits for its answer for a while.
func (c Client) Submit(ctx context.Context, key string, request server.SubmitRequest, wait time.Duration) (server.Job, error) {
	var job server.Job
	body, err := json.Marshal(request)
	if err != nil {
		return job, fmt.Errorf("encode request: %w", err)
	}
	header := http.Header{
		server.HeaderIdempotencyKey: {key},
		"Prefer":                    {"wait=" + seconds(wait)},
	}
	_, err = c.do(ctx, http.MethodPost, "/v1/jobs", header, body, wait, &job)
	return job, err
}

// Get waits for the answer of a job for a while.
func (c Client) Get(ctx context.Context, id string, wait time.Duration) (server.Job, error) {
	var job server.Job
	_, err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?waitSeconds="+seconds(wait), nil, nil, wait, &job)
	return job, err
}

// Cancel asks for the end of a job and returns what became of it.
func (c Client) Cancel(ctx context.Context, id string) (server.Job, error) {
	var job server.Job
	_, err := c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, 0, &job)
	return job, err
}

// Explain returns the reasons of what happened to a job.
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

// GetDocument returns the document in force.
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

// PutDocument makes an edit of version base the next version; base 0 asks for a first document.
func (c Client) PutDocument(ctx context.Context, base int64, text []byte, editID, editor string) (int64, error) {
	header := http.Header{server.HeaderEditID: {editID}, server.HeaderEditor: {editor}}
	if base == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", `"`+strconv.FormatInt(base, 10)+`"`)
	}
	var answer struct {
		Version int64 `json:"version"`
	}
	_, err := c.do(ctx, http.MethodPut, "/v1/document", header, text, 0, &answer)
	return answer.Version, err
}

// History returns the accepted versions of the document, the oldest first.
func (c Client) History(ctx context.Context) ([]spreader.Edit, error) {
	var edits []spreader.Edit
	_, err := c.do(ctx, http.MethodGet, "/v1/document/history", nil, nil, 0, &edits)
	return edits, err
}

func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

func (c Client) do(ctx context.Context, method, path string, header http.Header, body []byte, wait time.Duration, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: answer cut short: %w", ErrOutcomeUnknown, err)
	}
	if response.Header.Get("Content-Type") == server.ContentTypeProblem || response.StatusCode >= http.StatusBadRequest {
		return response.Header, problemOf(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return nil, fmt.Errorf("%w: decode answer: %w", ErrOutcomeUnknown, err)
	}
	return response.Header, nil
}

// span starts the caller's span, if it makes any, and returns how to end it.
func (c Client) span(ctx context.Context, method string) (context.Context, func()) {
	if c.Tracer == nil {
		return ctx, func() {}
	}
	ctx, span := c.Tracer.Start(ctx, "caller "+method, trace.WithSpanKind(trace.SpanKindClient))
	return ctx, func() { span.End() }
}

func problemOf(status int, data []byte) error {
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
