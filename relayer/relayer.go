package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/snipelift/snipelift/limiter"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// fallbackShare is the share of a request's remaining time that is reserved for the fallback through a peer.
	fallbackShare = 0.5
	// maxFallbackReserve limits the time reserved for the fallback; a peer in another availability zone responds within a few milliseconds.
	maxFallbackReserve = 700 * time.Millisecond
	// probeInterval is the pause before each probe of an unavailable store.
	probeInterval = 400 * time.Millisecond
	// responsiveWindow is how long after a direct response the store counts as slow rather than unresponsive; at 60 times its normal latency a read takes 0.25 s, and a read is always in progress.
	responsiveWindow = 500 * time.Millisecond
	// maxBodyBytes limits the body of one request; a transaction has 1 MB before encoding.
	maxBodyBytes = 4 << 20
)

// Relayer is the HTTP transport for requests to the store, and the handler of store requests that peers forward to this VM.
type Relayer struct {
	// Store is the address of the store; requests to other addresses are always sent directly.
	Store string
	// Direct sends a request without a peer.
	Direct http.RoundTripper
	// Probe requests the store directly and returns nil if it serves this VM.
	Probe  func(ctx context.Context) error
	Logger *slog.Logger
	// CountEvent is called with the metric name of each counted event; it may be nil.
	CountEvent func(name string)
	// Now returns the monotonic time; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	selector selector
	// lastResponse is when bytes of a response to a direct request last arrived from the store.
	lastResponse time.Time
	probes       sync.WaitGroup
	// probeContext ends with the process.
	probeContext context.Context //nolint:containedctx // Probing outlives the request that found the store unavailable.
}

// Start enables probing of an unavailable store; the returned function stops it.
func (r *Relayer) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.probeContext = ctx
	r.mu.Unlock()
	return func() {
		cancel()
		r.probes.Wait()
	}
}

// SetPeers replaces the addresses of the peers.
func (r *Relayer) SetPeers(peers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.setPeers(peers)
}

// StoreUnavailable reports whether the store does not serve this VM directly.
func (r *Relayer) StoreUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.storeUnavailable
}

// The metric names of counted events.
const (
	// countSent counts requests of this VM that were sent to a peer, and countFailed those of them that failed or were rejected.
	countSent   = "relay.sent"
	countFailed = "relay.failed"
	// countServed counts requests of peers that were forwarded to the store.
	countServed = "relay.served"
)

func (r *Relayer) count(name string) {
	if r.CountEvent != nil {
		r.CountEvent(name)
	}
}

func (r *Relayer) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

// RoundTrip implements http.RoundTripper.
//
// A failed request is retried, directly or through a peer, only if the first
// attempt was definitely not executed or if the request is a read.
func (r *Relayer) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Host != r.Store {
		return r.Direct.RoundTrip(request)
	}
	body, err := readBody(request)
	if err != nil {
		return nil, err
	}
	if r.StoreUnavailable() {
		if response, err := r.viaPeer(request, body); final(request, response, err) {
			return response, err
		}
	}
	response, err := r.sendDirect(request, body)
	served := err == nil && !rejected(response)
	if request.Context().Err() == nil || served {
		r.recordDirect(served, response, err)
	}
	if served || !repeatable(request, err) {
		return response, err
	}
	if second, secondErr := r.viaPeer(request, body); secondErr == nil || outcomeUnknown(request, secondErr) {
		return second, secondErr
	}
	return response, err
}

// outcomeUnknown reports whether a failed request through a peer may have been executed, or still may be, and is not a read.
func outcomeUnknown(request *http.Request, err error) bool {
	return !errors.Is(err, errNoPeer) && request.Method != http.MethodGet && !platform.NotSent(err)
}

func readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer func() { _ = request.Body.Close() }()
	// The length is known for requests of package platform; a buffer that grows would be copied several times.
	body := make([]byte, 0, min(max(request.ContentLength, 0), maxBodyBytes)+bytes.MinRead)
	buffer := bytes.NewBuffer(body)
	if _, err := buffer.ReadFrom(io.LimitReader(request.Body, maxBodyBytes)); err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	return buffer.Bytes(), nil
}

// rejected reports whether the store refused the request without executing it.
func rejected(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
}

// repeatable reports whether a request that was not served directly may be retried.
func repeatable(request *http.Request, err error) bool {
	return err == nil || request.Method == http.MethodGet || platform.NotSent(err)
}

// final reports whether the result of a request through a peer must be returned without a direct attempt.
func final(request *http.Request, response *http.Response, err error) bool {
	if err == nil {
		return !rejected(response)
	}
	return outcomeUnknown(request, err)
}

// sendDirect sends the request to the store directly; if a peer is usable, it reserves time for the fallback.
func (r *Relayer) sendDirect(request *http.Request, body []byte) (*http.Response, error) {
	ctx := request.Context()
	r.mu.Lock()
	_, hasPeer := r.selector.choose(r.now(), 0)
	r.mu.Unlock()
	if deadline, ok := platform.TransferDeadline(ctx); ok && hasPeer {
		left := time.Until(deadline)
		limited, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := r.cancelIfUnresponsive(left-min(maxFallbackReserve, time.Duration(fallbackShare*float64(left))), cancel)
		defer stop()
		ctx = limited
	}
	return send(ctx, r.Direct, request, request.URL.Host, body, r.recordProgress)
}

// recordProgress records that bytes of a response of the store arrive, which other requests may have to wait for.
func (r *Relayer) recordProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponse = r.now()
}

// cancelIfUnresponsive cancels a request after the given time if the store has not responded to other requests recently either; a slow store would be as slow for a peer.
func (r *Relayer) cancelIfUnresponsive(after time.Duration, cancel func()) (stop func()) {
	done := make(chan struct{})
	timer := time.NewTimer(after)
	go func() {
		defer timer.Stop()
		for {
			select {
			case <-done:
				return
			case <-timer.C:
			}
			r.mu.Lock()
			elapsed := r.now().Sub(r.lastResponse)
			r.mu.Unlock()
			if elapsed >= responsiveWindow {
				cancel()
				return
			}
			timer.Reset(responsiveWindow - elapsed)
		}
	}()
	return func() { close(done) }
}

// errNoPeer means that no peer is usable.
var errNoPeer = errors.New("no usable peer")

// viaPeer sends the request through a peer.
func (r *Relayer) viaPeer(request *http.Request, body []byte) (*http.Response, error) {
	r.mu.Lock()
	peer, ok := r.selector.choose(r.now(), rand.Float64()) //nolint:gosec // The choice of a peer needs no cryptographic randomness.
	r.mu.Unlock()
	if !ok {
		return nil, errNoPeer
	}
	response, err := send(request.Context(), r.Direct, request, peer, body, nil)
	served := err == nil && !rejected(response)
	r.count(countSent)
	if !served {
		r.count(countFailed)
	}
	r.mu.Lock()
	r.selector.recordPeer(r.now(), peer, served)
	r.mu.Unlock()
	return response, err
}

// send sends one request to a host and reads the whole response; onProgress is called with each read, and may be nil.
func send(ctx context.Context, transport http.RoundTripper, request *http.Request, host string, body []byte, onProgress func()) (*http.Response, error) {
	response, err := open(ctx, transport, request, host, body)
	if err != nil {
		return nil, err
	}
	reader := io.Reader(response.Body)
	if onProgress != nil {
		reader = &observedReader{response.Body, onProgress}
	}
	data, err := platform.ReadResponse(ctx, reader)
	_ = response.Body.Close()
	if err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	return response, nil
}

// open sends one request to a host and returns the response while its body may still be arriving.
func open(ctx context.Context, transport http.RoundTripper, request *http.Request, host string, body []byte) (*http.Response, error) {
	outgoing := request.Clone(ctx)
	outgoing.URL.Host = host
	outgoing.Host = ""
	outgoing.RequestURI = ""
	outgoing.Body = http.NoBody
	outgoing.ContentLength = int64(len(body))
	if len(body) > 0 {
		outgoing.Body = io.NopCloser(platform.ProgressReader(ctx, bytes.NewReader(body)))
	}
	return transport.RoundTrip(outgoing)
}

// observedReader calls onRead after each read of at least one byte.
type observedReader struct {
	reader io.Reader
	onRead func()
}

// Read implements io.Reader.
func (o *observedReader) Read(b []byte) (int, error) {
	n, err := o.reader.Read(b)
	if n > 0 {
		o.onRead()
	}
	return n, err
}

// recordDirect records the result of a direct request and starts probing when the store becomes unavailable.
func (r *Relayer) recordDirect(served bool, response *http.Response, err error) {
	r.mu.Lock()
	changed := r.selector.recordDirect(served)
	if served {
		r.lastResponse = r.now()
	}
	probeContext, peers := r.probeContext, len(r.selector.peers)
	r.mu.Unlock()
	if !changed {
		return
	}
	if served {
		r.Logger.Info("store available again")
		return
	}
	reason := "no response"
	if err != nil {
		reason = err.Error()
	} else if response != nil {
		reason = response.Status
	}
	r.Logger.Warn("store unavailable; sending requests through peers", "peers", peers, "error", reason)
	if probeContext != nil && r.Probe != nil {
		r.probes.Go(func() { r.probeUntilAvailable(probeContext) })
	}
}

// probeUntilAvailable probes the store until it serves this VM again.
func (r *Relayer) probeUntilAvailable(ctx context.Context) {
	for r.StoreUnavailable() && ctx.Err() == nil {
		sleeper.Sleep(ctx, probeInterval)
		if err := r.Probe(ctx); err == nil {
			r.recordDirect(true, nil, nil)
		}
	}
}

// ServeHTTP implements http.Handler: it forwards a request of a peer to the store.
//
// It responds with 503 if the request was definitely not executed. If the
// outcome is unknown, it aborts the connection, so that the outcome is unknown
// to the peer as well.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.StoreUnavailable() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := limiter.ReadBody(request, maxBodyBytes)
	switch {
	case errors.Is(err, limiter.ErrOverloaded):
		limiter.Refuse(w)
		return
	case errors.Is(err, limiter.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	request.URL.Scheme = "http"
	r.count(countServed)
	response, err := open(request.Context(), r.Direct, request, r.Store, body)
	switch {
	case err == nil:
	case platform.NotSent(err):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
		r.Logger.Info("request of a peer has an unknown outcome", "path", request.URL.Path, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	// The body is passed on as it arrives, so that the peer can tell a slow transfer from none.
	if _, err := io.Copy(w, response.Body); err != nil {
		r.Logger.Info("response to a peer is incomplete", "path", request.URL.Path, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
}
