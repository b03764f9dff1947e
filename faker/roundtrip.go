package faker

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
)

// ErrCutOff means that a link of a switchboard does not carry the call.
var ErrCutOff = errors.New("cut off")

// Switchboard carries HTTP calls to handlers in the same process, so that tests run in virtual time.
type Switchboard struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[string]bool
}

// NewSwitchboard returns a switchboard without handlers.
func NewSwitchboard() *Switchboard {
	return &Switchboard{handlers: map[string]http.Handler{}, cut: map[string]bool{}}
}

// Handle puts a handler at an address.
func (b *Switchboard) Handle(address string, h http.Handler) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[address] = h
}

// Cut stops or allows the calls of a caller; they then go unanswered.
func (b *Switchboard) Cut(caller string, cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut[caller] = cut
}

// Client returns an HTTP client for the caller with the name.
func (b *Switchboard) Client(caller string) *http.Client {
	return &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) { return b.carry(caller, r) })}
}

type roundTripper func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (b *Switchboard) carry(caller string, r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	h, cut := b.handlers[r.URL.Host], b.cut[caller]
	b.mu.Unlock()
	if h == nil || cut {
		<-r.Context().Done()
		return nil, fmt.Errorf("%w: %s to %s: %w", ErrCutOff, caller, r.URL.Host, r.Context().Err())
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
