package faker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
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
	w := newStream()
	go w.serve(h, r)
	select {
	case <-w.started:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	if w.status == 0 {
		return nil, errAborted
	}
	response := &http.Response{StatusCode: w.status, Status: http.StatusText(w.status), Header: w.sent, Body: &streamBody{w, r.Context()}, ContentLength: -1, Request: r}
	if rate > 0 {
		response.Body = &limitedBody{ReadCloser: response.Body, ctx: r.Context(), rate: rate}
	}
	return response, nil
}

// errAborted means that a handler aborted the connection.
var errAborted = errors.New("connection aborted")

// stream is a response writer whose response can be read while the handler still writes it.
type stream struct {
	// started is closed when the header has been sent.
	started chan struct{}
	header  http.Header
	// sent is the header as of its sending.
	sent http.Header
	// status is 0 if the handler aborted the connection before the header.
	status int

	mu sync.Mutex
	// data holds the bytes that have not been read, and err the end of the response; changed is closed and replaced at each change.
	data    []byte
	err     error
	changed chan struct{}
}

func newStream() *stream {
	return &stream{started: make(chan struct{}), header: http.Header{}, changed: make(chan struct{})}
}

// serve runs the handler; like net/http, it recovers from http.ErrAbortHandler, and the handler sees no values of the client's context.
func (s *stream) serve(h http.Handler, r *http.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(r.Context(), cancel)()
	r = r.WithContext(ctx)
	end := io.EOF
	defer func() {
		if p := recover(); p == http.ErrAbortHandler { //nolint:errorlint // net/http compares the value itself.
			end = errAborted
		} else if p != nil {
			panic(p)
		}
		s.append(nil, end)
		switch {
		case end == io.EOF: //nolint:errorlint // It is assigned above.
			s.WriteHeader(http.StatusOK)
		case s.status == 0:
			close(s.started)
		}
	}()
	h.ServeHTTP(s, r)
}

// Header implements http.ResponseWriter.
func (s *stream) Header() http.Header { return s.header }

// WriteHeader implements http.ResponseWriter.
func (s *stream) WriteHeader(status int) {
	if s.status == 0 {
		s.status, s.sent = status, s.header.Clone()
		close(s.started)
	}
}

// Write implements http.ResponseWriter.
func (s *stream) Write(b []byte) (int, error) {
	s.WriteHeader(http.StatusOK)
	s.append(b, nil)
	return len(b), nil
}

func (s *stream) append(b []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data, s.err = append(s.data, b...), err
	close(s.changed)
	s.changed = make(chan struct{})
}

// take moves bytes that have not been read into b, and otherwise returns the channel that is closed at the next change, or the end of the response.
func (s *stream) take(b []byte) (int, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := copy(b, s.data)
	s.data = s.data[n:]
	if n > 0 {
		return n, nil, nil
	}
	return 0, s.changed, s.err
}

type streamBody struct {
	stream *stream
	ctx    context.Context //nolint:containedctx // It is that of the request, as in net/http.
}

// Read implements io.Reader.
func (s *streamBody) Read(b []byte) (int, error) {
	for {
		n, changed, err := s.stream.take(b)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			return 0, s.ctx.Err()
		}
	}
}

// Close implements io.Closer.
func (s *streamBody) Close() error { return nil }

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
