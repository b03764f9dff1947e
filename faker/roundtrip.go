package faker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// ErrUnreachable means that the caller is isolated or that no handler serves the address.
var ErrUnreachable = errors.New("unreachable")

// HTTPNetwork delivers HTTP requests to handlers in the same process, so that tests can run in virtual time.
type HTTPNetwork struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	isolated map[string]bool
	// rates holds the rates at which response bodies arrive at callers, in bytes per second.
	rates map[string]int
}

// NewHTTPNetwork returns a network without handlers.
func NewHTTPNetwork() *HTTPNetwork {
	return &HTTPNetwork{handlers: map[string]http.Handler{}, isolated: map[string]bool{}, rates: map[string]int{}}
}

// SetRate limits the rate at which the body of each response arrives at a caller, in bytes per second; 0 means no limit.
func (n *HTTPNetwork) SetRate(caller string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rates[caller] = rate
}

// Handle registers the handler of an address.
func (n *HTTPNetwork) Handle(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

// Isolate sets whether the requests of a caller are dropped; a dropped request blocks until its context ends.
func (n *HTTPNetwork) Isolate(caller string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[caller] = isolated
}

// Client returns an HTTP client that sends its requests as the named caller.
func (n *HTTPNetwork) Client(caller string) *http.Client {
	return &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) { return n.deliver(caller, r) })}
}

type roundTripper func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (n *HTTPNetwork) deliver(caller string, r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	h, isolated, rate := n.handlers[r.URL.Host], n.isolated[caller], n.rates[caller]
	n.mu.Unlock()
	if h == nil || isolated {
		<-r.Context().Done()
		return nil, fmt.Errorf("%w: %s to %s: %w", ErrUnreachable, caller, r.URL.Host, r.Context().Err())
	}
	done := make(chan *http.Response, 1)
	go func() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		done <- w.Result()
	}()
	select {
	case response := <-done:
		if r.Context().Err() != nil {
			return nil, r.Context().Err()
		}
		if rate > 0 {
			response.Body = &limitedBody{ReadCloser: response.Body, ctx: r.Context(), rate: rate}
		}
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// limitedBody is a response body that arrives at a limited rate, until the context of its request ends.
type limitedBody struct {
	io.ReadCloser
	ctx  context.Context //nolint:containedctx // It is that of the request, as in net/http.
	rate int
}

// segmentBytes is the largest number of bytes that arrive at a time.
const segmentBytes = 16 << 10

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.ReadCloser.Read(p[:min(len(p), segmentBytes)])
	select {
	case <-time.After(time.Duration(n) * time.Second / time.Duration(l.rate)):
		return n, err
	case <-l.ctx.Done():
		return 0, l.ctx.Err()
	}
}
