package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/propagation"
)

const (
	maxResponseBytes = 8 << 20
	commandTimeout   = 2 * time.Second
)

// Refusal is the response body of a worker that refuses a command with status 409.
type Refusal struct {
	Reason string `json:"reason"`
	Epoch  int64  `json:"epoch,omitempty"`
}

// ReasonStaleEpoch is the reason for refusing a command of a previous owner, whose epoch is older than the worker's.
const ReasonStaleEpoch = "staleEpoch"

type httpClient struct{ client *http.Client }

// NewHTTP returns a client for the HTTP interface of workers described in docs/WORKERS.md.
func NewHTTP(client *http.Client) Client {
	h := &httpClient{client: client}
	return Client{
		Reserve: func(ctx context.Context, address string, r ReserveRequest) (Status, error) {
			return post[Status](ctx, h, address+PathReserve, r, commandTimeout)
		},
		Start: func(ctx context.Context, address string, r StartRequest) (Status, error) {
			return post[Status](ctx, h, address+PathStart, r, commandTimeout)
		},
		Stop: func(ctx context.Context, address string, r StopRequest) (Status, error) {
			return post[Status](ctx, h, address+PathStop, r, commandTimeout)
		},
		Throttle: func(ctx context.Context, address string, r ThrottleRequest) (Status, error) {
			return post[Status](ctx, h, address+PathThrottle, r, commandTimeout)
		},
		Sync: func(ctx context.Context, address string, r SyncRequest) (SyncResponse, error) {
			pollTimeout := time.Duration(r.PollMillis) * time.Millisecond
			return post[SyncResponse](ctx, h, address+PathSync, r, pollTimeout+commandTimeout)
		},
	}
}

func post[T any](ctx context.Context, h *httpClient, url string, body any, timeout time.Duration) (T, error) {
	var result T
	data, err := json.Marshal(body)
	if err != nil {
		return result, fmt.Errorf("encode command: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(data))
	if err != nil {
		return result, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, err := h.client.Do(request)
	if err != nil {
		return result, classifyError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return decode[T](response)
}

// decode reads a response; it returns ErrOutcomeUnknown for one that is truncated, cannot be parsed or has an unexpected status.
func decode[T any](response *http.Response) (T, error) {
	var result T
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if response.StatusCode == http.StatusConflict {
		return result, parseRefusal(data)
	}
	if response.StatusCode != http.StatusOK {
		return result, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, response.StatusCode)
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return result, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return result, nil
}

func parseRefusal(data []byte) error {
	var refusal Refusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if refusal.Reason == ReasonStaleEpoch {
		return fmt.Errorf("%w: worker obeys epoch %d", ErrStaleEpoch, refusal.Epoch)
	}
	return fmt.Errorf("%w: %s", ErrRefused, refusal.Reason)
}

// classifyError returns ErrUnreachable if no connection could be opened, so that the command was not sent, and ErrOutcomeUnknown otherwise.
func classifyError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}
