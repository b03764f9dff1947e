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
	// relayShare is the part of a call's time that is kept for a second way.
	relayShare = 0.5
	// maxReserve bounds the time that is kept for a second way; a peer in another availability zone answers within some milliseconds.
	maxReserve = 700 * time.Millisecond
	// checkPause is the time between looks whether the store serves this VM again.
	checkPause = 400 * time.Millisecond
	// aliveWindow is the time since the last direct answer in which the store counts as slow and not as silent; at 60 times its usual time a reading takes 0.25 s, and one is always under way.
	aliveWindow = 500 * time.Millisecond
	// maxBodyBytes bounds one call and one answer; a page of the store has 1 MB before its encoding.
	maxBodyBytes = 4 << 20
)

// Relayer is the transport of calls to the store, and the handler of those that peers cannot bring there themselves.
type Relayer struct {
	// Store is the store's address; calls to other addresses go there directly.
	Store string
	// Direct makes a call without a peer.
	Direct http.RoundTripper
	// Check asks the store directly whether it serves this VM.
	Check  func(ctx context.Context) error
	Logger *slog.Logger
	// Count takes the name of each event that is worth a metric; nil means that nobody counts.
	Count func(name string)
	// Now is the steady time; nil means time.Now.
	Now func() time.Time

	mu   sync.Mutex
	path path
	// answered is when the store last served a direct call.
	answered time.Time
	tasks    sync.WaitGroup
	// base ends with the process.
	base context.Context //nolint:containedctx // A lost store is looked after beyond the call that noticed it.
}

// Start lets the relayer look after a lost store; the returned function ends that.
func (r *Relayer) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.base = ctx
	r.mu.Unlock()
	return func() {
		cancel()
		r.tasks.Wait()
	}
}

// SetPeers replaces the addresses of the peers that may be asked.
func (r *Relayer) SetPeers(peers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.path.setPeers(peers)
}

// Lost reports whether the store does not serve this VM directly.
func (r *Relayer) Lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.path.lost
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
	if r.Count != nil {
		r.Count(name)
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
	if r.Lost() {
		if response, err := r.throughPeer(request, body); settled(request, response, err) {
			return response, err
		}
	}
	response, err := r.direct(request, body)
	served := err == nil && !turnedAway(response)
	if request.Context().Err() == nil || served {
		r.noteDirect(served, response, err)
	}
	if served || !repeatable(request, err) {
		return response, err
	}
	if second, secondErr := r.throughPeer(request, body); secondErr == nil || mayBeDone(request, secondErr) {
		return second, secondErr
	}
	return response, err
}

// mayBeDone reports whether a call through a peer that failed may have changed something, or still may.
func mayBeDone(request *http.Request, err error) bool {
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

// turnedAway reports whether the store did nothing for a call.
func turnedAway(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
}

// repeatable reports whether a call that was not served may be sent again.
func repeatable(request *http.Request, err error) bool {
	return err == nil || request.Method == http.MethodGet || platform.NotSent(err)
}

// settled reports whether a call through a peer needs no second way.
func settled(request *http.Request, response *http.Response, err error) bool {
	if err == nil {
		return !turnedAway(response)
	}
	return mayBeDone(request, err)
}

// direct calls the store itself and leaves time for a second way if there is one.
func (r *Relayer) direct(request *http.Request, body []byte) (*http.Response, error) {
	ctx := request.Context()
	r.mu.Lock()
	_, hasPeer := r.path.choose(r.now(), 0)
	r.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok && hasPeer {
		left := time.Until(deadline)
		limited, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := r.endIfSilent(left-min(maxReserve, time.Duration(relayShare*float64(left))), cancel)
		defer stop()
		ctx = limited
	}
	return exchange(ctx, r.Direct, request, request.URL.Host, body)
}

// endIfSilent ends a call after the time given if the store has answered no other call lately; a slow store is as slow for the peers.
func (r *Relayer) endIfSilent(after time.Duration, end func()) (stop func()) {
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
			silence := r.now().Sub(r.answered)
			r.mu.Unlock()
			if silence >= aliveWindow {
				end()
				return
			}
			timer.Reset(aliveWindow - silence)
		}
	}()
	return func() { close(done) }
}

// errNoPeer means that no peer could be asked.
var errNoPeer = errors.New("no peer to ask")

// throughPeer sends the call to a peer.
func (r *Relayer) throughPeer(request *http.Request, body []byte) (*http.Response, error) {
	r.mu.Lock()
	peer, ok := r.path.choose(r.now(), rand.Float64()) //nolint:gosec // A choice of peers needs no secrecy.
	r.mu.Unlock()
	if !ok {
		return nil, errNoPeer
	}
	response, err := exchange(request.Context(), r.Direct, request, peer, body)
	served := err == nil && !turnedAway(response)
	r.count(countSent)
	if !served {
		r.count(countFailed)
	}
	r.mu.Lock()
	r.path.notePeer(r.now(), peer, served)
	r.mu.Unlock()
	return response, err
}

// exchange makes one call at a host and reads its whole answer.
func exchange(ctx context.Context, transport http.RoundTripper, request *http.Request, host string, body []byte) (*http.Response, error) {
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

// noteDirect takes in what the store did for this VM and looks after a store that was lost.
func (r *Relayer) noteDirect(served bool, response *http.Response, err error) {
	r.mu.Lock()
	changed := r.path.noteDirect(served)
	if served {
		r.answered = r.now()
	}
	base, peers := r.base, len(r.path.peers)
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
	if base != nil && r.Check != nil {
		r.tasks.Go(func() { r.awaitStore(base) })
	}
}

// awaitStore asks the store directly until it serves this VM again.
func (r *Relayer) awaitStore(ctx context.Context) {
	for r.Lost() && ctx.Err() == nil {
		sleeper.Sleep(ctx, checkPause)
		if err := r.Check(ctx); err == nil {
			r.noteDirect(true, nil, nil)
		}
	}
}

// ServeHTTP implements http.Handler: it brings a peer's call to the store.
//
// A call that surely did nothing is answered with 503; the connection of one
// whose outcome is unknown is cut, so that the peer does not know either.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.Lost() {
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
	response, err := exchange(request.Context(), r.Direct, request, r.Store, body)
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
