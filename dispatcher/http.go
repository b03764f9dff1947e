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

// Refusal is the body of a worker's refusal (status 409).
type Refusal struct {
	Reason string `json:"reason"`
	Epoch  int64  `json:"epoch,omitempty"`
}

// ReasonStaleEpoch is a worker's word for a command of an earlier owner.
const ReasonStaleEpoch = "staleEpoch"

type httpClient struct{ client *http.Client }

// NewHTTP returns a client that speaks the interface of docs/WORKERS.md.
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
			hold := time.Duration(r.HoldMillis) * time.Millisecond
			return post[SyncResponse](ctx, h, address+PathSync, r, hold+commandTimeout)
		},
	}
}

func post[T any](ctx context.Context, h *httpClient, url string, body any, timeout time.Duration) (T, error) {
	var answer T
	data, err := json.Marshal(body)
	if err != nil {
		return answer, fmt.Errorf("encode command: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(data))
	if err != nil {
		return answer, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, err := h.client.Do(request)
	if err != nil {
		return answer, classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	return decode[T](response)
}

// decode reads a whole answer; one that is cut short counts as no answer.
func decode[T any](response *http.Response) (T, error) {
	var answer T
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return answer, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if response.StatusCode == http.StatusConflict {
		return answer, refusalOf(data)
	}
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, response.StatusCode)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return answer, nil
}

func refusalOf(data []byte) error {
	var refusal Refusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if refusal.Reason == ReasonStaleEpoch {
		return fmt.Errorf("%w: worker obeys epoch %d", ErrStaleEpoch, refusal.Epoch)
	}
	return fmt.Errorf("%w: %s", ErrRefused, refusal.Reason)
}

func classify(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}
