package faker

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
)

// ErrUnreachable means that the caller is isolated or that no handler serves the address.
var ErrUnreachable = errors.New("unreachable")

// HTTPNetwork delivers HTTP requests to handlers in the same process, so that tests can run in virtual time.
type HTTPNetwork struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	isolated map[string]bool
}

// NewHTTPNetwork returns a network without handlers.
func NewHTTPNetwork() *HTTPNetwork {
	return &HTTPNetwork{handlers: map[string]http.Handler{}, isolated: map[string]bool{}}
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
	h, isolated := n.handlers[r.URL.Host], n.isolated[caller]
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
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
