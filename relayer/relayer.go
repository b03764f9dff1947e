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

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// fallbackShare is the part of a call's time that is kept for a second way.
	fallbackShare = 0.5
	// maxFallbackReserve bounds the time that is kept for a second way; a peer in another availability zone answers within some milliseconds.
	maxFallbackReserve = 700 * time.Millisecond
	// probeInterval is the time between looks whether the store serves this VM again.
	probeInterval = 400 * time.Millisecond
	// responsiveWindow is the time since the last direct answer in which the store counts as slow and not as silent; at 60 times its usual time a reading takes 0.25 s, and one is always under way.
	responsiveWindow = 500 * time.Millisecond
	// maxBodyBytes bounds one call and one answer; a page of the store has 1 MB before its encoding.
	maxBodyBytes = 4 << 20
)

// Relayer is the transport of calls to the store, and the handler of those that peers cannot bring there themselves.
type Relayer struct {
	// Store is the store's address; calls to other addresses go there directly.
	Store string
	// Direct makes a call without a peer.
	Direct http.RoundTripper
	// Probe asks the store directly whether it serves this VM.
	Probe  func(ctx context.Context) error
	Logger *slog.Logger
	// CountEvent takes the name of each event that is worth a metric; nil means that nobody counts.
	CountEvent func(name string)
	// Now is the steady time; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	selector selector
	// lastResponse is when the store last served a direct call.
	lastResponse time.Time
	probes       sync.WaitGroup
	// probeContext ends with the process.
	probeContext context.Context //nolint:containedctx // A lost store is looked after beyond the call that noticed it.
}

// Start lets the relayer look after a lost store; the returned function ends that.
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

// SetPeers replaces the addresses of the peers that may be asked.
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

// The events that are counted.
const (
	// countSent and countFailed are calls of this VM that went to a peer, and those of them that brought no answer.
	countSent   = "relay.sent"
	countFailed = "relay.failed"
	// countServed are calls of peers that were brought to the store.
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
// A call takes its second way only if the first one surely did nothing, or if
// the call reads.
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

// outcomeUnknown reports whether a call through a peer that failed may have changed something, or still may.
func outcomeUnknown(request *http.Request, err error) bool {
	return !errors.Is(err, errNoPeer) && request.Method != http.MethodGet && !platform.NotSent(err)
}

func readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer func() { _ = request.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	return body, nil
}

// rejected reports whether the store did nothing for a call.
func rejected(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
}

// repeatable reports whether a call that was not served may be sent again.
func repeatable(request *http.Request, err error) bool {
	return err == nil || request.Method == http.MethodGet || platform.NotSent(err)
}

// final reports whether a call through a peer needs no second way.
func final(request *http.Request, response *http.Response, err error) bool {
	if err == nil {
		return !rejected(response)
	}
	return outcomeUnknown(request, err)
}

// sendDirect calls the store itself and leaves time for a second way if there is one.
func (r *Relayer) sendDirect(request *http.Request, body []byte) (*http.Response, error) {
	ctx := request.Context()
	r.mu.Lock()
	_, hasPeer := r.selector.choose(r.now(), 0)
	r.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok && hasPeer {
		left := time.Until(deadline)
		limited, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := r.cancelIfUnresponsive(left-min(maxFallbackReserve, time.Duration(fallbackShare*float64(left))), cancel)
		defer stop()
		ctx = limited
	}
	return send(ctx, r.Direct, request, request.URL.Host, body)
}

// cancelIfUnresponsive ends a call after the time given if the store has answered no other call lately; a slow store is as slow for the peers.
func (r *Relayer) cancelIfUnresponsive(after time.Duration, end func()) (stop func()) {
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
			silence := r.now().Sub(r.lastResponse)
			r.mu.Unlock()
			if silence >= responsiveWindow {
				end()
				return
			}
			timer.Reset(responsiveWindow - silence)
		}
	}()
	return func() { close(done) }
}

// errNoPeer means that no peer could be asked.
var errNoPeer = errors.New("no peer to ask")

// viaPeer sends the call to a peer.
func (r *Relayer) viaPeer(request *http.Request, body []byte) (*http.Response, error) {
	r.mu.Lock()
	peer, ok := r.selector.choose(r.now(), rand.Float64()) //nolint:gosec // A choice of peers needs no secrecy.
	r.mu.Unlock()
	if !ok {
		return nil, errNoPeer
	}
	response, err := send(request.Context(), r.Direct, request, peer, body)
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

// send makes one call at a host and reads its whole answer.
func send(ctx context.Context, transport http.RoundTripper, request *http.Request, host string, body []byte) (*http.Response, error) {
	call := request.Clone(ctx)
	call.URL.Host = host
	call.Host = ""
	call.RequestURI = ""
	call.Body = http.NoBody
	call.ContentLength = int64(len(body))
	if len(body) > 0 {
		call.Body = io.NopCloser(bytes.NewReader(body))
	}
	response, err := transport.RoundTrip(call)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	_ = response.Body.Close()
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	return response, nil
}

// recordDirect takes in what the store did for this VM and looks after a store that was lost.
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
		r.Logger.Info("store serves this VM again")
		return
	}
	reason := "no answer"
	if err != nil {
		reason = err.Error()
	} else if response != nil {
		reason = response.Status
	}
	r.Logger.Warn("store does not serve this VM, asking peers", "peers", peers, "error", reason)
	if probeContext != nil && r.Probe != nil {
		r.probes.Go(func() { r.probeUntilAvailable(probeContext) })
	}
}

// probeUntilAvailable asks the store directly until it serves this VM again.
func (r *Relayer) probeUntilAvailable(ctx context.Context) {
	for r.StoreUnavailable() && ctx.Err() == nil {
		sleeper.Sleep(ctx, probeInterval)
		if err := r.Probe(ctx); err == nil {
			r.recordDirect(true, nil, nil)
		}
	}
}

// ServeHTTP implements http.Handler: it brings a peer's call to the store.
//
// A call that surely did nothing is answered with 503; the connection of one
// whose outcome is unknown is cut, so that the peer does not know either.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.StoreUnavailable() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := readBody(request)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	request.URL.Scheme = "http"
	r.count(countServed)
	response, err := send(request.Context(), r.Direct, request, r.Store, body)
	switch {
	case err == nil:
	case platform.NotSent(err):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
		r.Logger.Info("call of a peer has an unknown outcome", "path", request.URL.Path, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	// A peer that has gone gets no answer.
	_, _ = io.Copy(w, response.Body)
}
