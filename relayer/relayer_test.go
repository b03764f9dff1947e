package relayer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/platform"
)

const storeAddress = "store:1"

// fakeReply is how a fake store or a fake peer responds to a request.
type fakeReply struct {
	status int
	body   string
	err    error
	// noResponse leaves the request without a response.
	noResponse bool
	// latency delays the response; a request that is cancelled before gets none.
	latency time.Duration
}

// fakeTransport maps each host to the function that returns its next reply.
type fakeTransport map[string]func() fakeReply

func (f fakeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	r := f[request.URL.Host]()
	if r.noResponse {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if r.err != nil {
		return nil, r.err
	}
	select {
	case <-time.After(r.latency):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	return &http.Response{StatusCode: r.status, Status: http.StatusText(r.status), Body: io.NopCloser(strings.NewReader(r.body))}, nil
}

func always(r fakeReply) func() fakeReply { return func() fakeReply { return r } }

func respond(status int, body string) fakeReply { return fakeReply{status: status, body: body} }

func fail(err error) fakeReply { return fakeReply{err: err} }

var noResponse = fakeReply{noResponse: true}

var (
	errRefused         = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	errConnectionReset = errors.New("connection reset")
)

func newRelayer(w fakeTransport, peers ...string) *Relayer {
	r := &Relayer{Store: storeAddress, Direct: w, Logger: slog.New(slog.DiscardHandler)}
	r.SetPeers(peers)
	return r
}

// call sends a request with a timeout of 1.2 s and returns the body of the response, or its status text if the status is not 200.
func call(r *Relayer, method string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+storeAddress+"/rows", strings.NewReader("body"))
	if err != nil {
		return "", err
	}
	response, err := r.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return http.StatusText(response.StatusCode), nil
	}
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func TestACallTakesASecondWayOnlyWhereThatIsSafe(t *testing.T) {
	busy := http.StatusText(http.StatusServiceUnavailable)
	for _, test := range []struct {
		name         string
		direct, peer fakeReply
		method       string
		first, next  string
	}{
		{"served", respond(200, "store"), respond(200, "peer"), http.MethodPost, "store", "store"},
		{"store rejects", respond(503, ""), respond(200, "peer"), http.MethodPost, "peer", "peer"},
		{"store throttles", respond(429, ""), respond(200, "peer"), http.MethodPost, "peer", "peer"},
		{"connection refused", fail(errRefused), respond(200, "peer"), http.MethodPost, "peer", "peer"},
		// The write may have been executed, so the caller has to find out.
		{"write with connection reset", fail(errConnectionReset), respond(200, "peer"), http.MethodPost, "error", "peer"},
		{"write without a response", noResponse, respond(200, "peer"), http.MethodPost, "error", "peer"},
		{"read with connection reset", fail(errConnectionReset), respond(200, "peer"), http.MethodGet, "peer", "peer"},
		{"read without a response", noResponse, respond(200, "peer"), http.MethodGet, "peer", "peer"},
		{"store and peer reject", respond(503, ""), respond(503, ""), http.MethodPost, busy, busy},
		{"peer refuses connection", respond(503, ""), fail(errRefused), http.MethodPost, busy, busy},
		{"write with connection reset by the peer", respond(503, ""), fail(errConnectionReset), http.MethodPost, "error", busy},
		{"write without a response from the peer", respond(503, ""), noResponse, http.MethodPost, "error", busy},
		{"read with connection reset by the peer", respond(503, ""), fail(errConnectionReset), http.MethodGet, busy, busy},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRelayer(fakeTransport{storeAddress: always(test.direct), "peer:1": always(test.peer)}, "peer:1")
				for i, want := range []string{test.first, test.next} {
					got, err := call(r, test.method)
					if err != nil {
						got = "error"
					}
					if got != want {
						t.Errorf("call %d: got %q (%v), want %q", i, got, err, want)
					}
				}
			})
		})
	}
}

// The response takes longer than a direct request is given, but the store responds to other requests meanwhile.
func TestSlowStoreIsNotTreatedAsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := respond(200, "store")
		slow.latency = 900 * time.Millisecond
		r := newRelayer(fakeTransport{
			storeAddress: always(slow),
			"peer:1":     always(respond(200, "peer")),
		}, "peer:1")
		go func() {
			for range 5 {
				time.Sleep(200 * time.Millisecond)
				r.recordDirect(true, nil, nil)
			}
		}()
		if got, err := call(r, http.MethodPost); got != "store" {
			t.Errorf("got %q, %v, want the slow response", got, err)
		}
		time.Sleep(time.Second)
		if r.StoreUnavailable() {
			t.Error("the store counts as unavailable")
		}
	})
}

// An answer that took longer to arrive than a direct request is given was cancelled, and the store counted as unavailable.
func TestArrivingResponseIsNotCancelled(t *testing.T) {
	for _, storeUnavailable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const body = 3 << 20
			network := faker.NewHTTPNetwork()
			network.SetRate("entry", 1<<20)
			network.SetRate("peer", 1<<20)
			network.Handle(storeAddress, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, body)) }))
			peer := &Relayer{Store: storeAddress, Direct: network.Client("peer").Transport, Logger: slog.New(slog.DiscardHandler)}
			network.Handle("peer:1", peer)
			r := &Relayer{Store: storeAddress, Direct: network.Client("entry").Transport, Logger: slog.New(slog.DiscardHandler)}
			r.SetPeers([]string{"peer:1"})
			r.selector.storeUnavailable = storeUnavailable
			ctx, cancel := platform.WithTransferLimit(t.Context(), 1200*time.Millisecond, 1200*time.Millisecond)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+storeAddress+"/rows-feed", nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := r.RoundTrip(request)
			if err != nil {
				t.Fatalf("through a peer %v: %v", storeUnavailable, err)
			}
			defer func() { _ = response.Body.Close() }()
			if data, err := io.ReadAll(response.Body); err != nil || len(data) != body {
				t.Errorf("through a peer %v: got %d bytes, %v, want %d", storeUnavailable, len(data), err, body)
			}
			if r.StoreUnavailable() != storeUnavailable {
				t.Error("the belief about the store changed")
			}
		})
	}
}

func TestWriteWithUnknownOutcomeAtPeerIsNotRetried(t *testing.T) {
	sent := 0
	r := newRelayer(fakeTransport{
		storeAddress: func() fakeReply { sent++; return fail(errRefused) },
		"peer:1":     always(fail(errConnectionReset)),
	}, "peer:1")
	r.selector.storeUnavailable = true
	counts := map[string]int{}
	r.CountEvent = func(name string) { counts[name]++ }
	if _, err := call(r, http.MethodPost); !errors.Is(err, errConnectionReset) {
		t.Fatalf("got %v, want the error of the reset connection", err)
	}
	if sent != 0 {
		t.Fatalf("the write was sent to the store %d times after its outcome was unknown", sent)
	}
	if counts[countSent] != 1 || counts[countFailed] != 1 {
		t.Errorf("counted %v, want one request sent and failed", counts)
	}
}

func TestStoreIsUsedDirectlyAfterRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var serves atomic.Bool
		r := newRelayer(fakeTransport{
			storeAddress: func() fakeReply {
				if serves.Load() {
					return respond(200, "store")
				}
				return fail(errRefused)
			},
			"peer:1": always(respond(200, "peer")),
		}, "peer:1")
		r.Probe = func(context.Context) error {
			if serves.Load() {
				return nil
			}
			return errRefused
		}
		stop := r.Start()
		defer stop()
		if got, err := call(r, http.MethodPost); got != "peer" {
			t.Fatalf("got %q, %v while the store refuses connections of this VM", got, err)
		}
		serves.Store(true)
		time.Sleep(2 * probeInterval)
		if got, err := call(r, http.MethodPost); got != "store" {
			t.Fatalf("got %q, %v after the recovery of the store", got, err)
		}
	})
}

func TestFailedPeerIsSkippedDuringCooldown(t *testing.T) {
	now := time.Unix(0, 0)
	p := selector{}
	p.setPeers([]string{"a", "b"})
	p.recordPeer(now, "a", true)
	p.recordPeer(now, "a", false)
	if got, ok := p.choose(now, 0); got != "b" || !ok {
		t.Fatalf("got %q, want the other peer", got)
	}
	p.recordPeer(now, "b", false)
	if got, ok := p.choose(now, 0); ok {
		t.Fatalf("got %q, want none", got)
	}
	if got, ok := p.choose(now.Add(peerCooldown), 0); got != "a" || !ok {
		t.Fatalf("got %q after the cooldown, want the last used peer", got)
	}
	p.setPeers([]string{"b"})
	if got, ok := p.choose(now.Add(peerCooldown), 0.99); got != "b" || !ok {
		t.Fatalf("got %q, want the only peer left", got)
	}
}

func TestPeerRequestIsForwardedToStore(t *testing.T) {
	for _, test := range []struct {
		name             string
		direct           fakeReply
		storeUnavailable bool
		want             int
		body             string
	}{
		{"served", respond(200, "store"), false, 200, "store"},
		{"conflict", respond(412, "rows"), false, 412, "rows"},
		{"store unavailable here too", respond(200, "store"), true, 503, ""},
		{"store unreachable", fail(errRefused), false, 503, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRelayer(fakeTransport{storeAddress: always(test.direct)})
			r.selector.storeUnavailable = test.storeUnavailable
			w := httptest.NewRecorder()
			r.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/rows?x=1", strings.NewReader("body")))
			if w.Code != test.want || w.Body.String() != test.body {
				t.Errorf("got %d %q, want %d %q", w.Code, w.Body.String(), test.want, test.body)
			}
		})
	}
}

func TestPeerRequestWithUnknownOutcomeAbortsConnection(t *testing.T) {
	defer func() {
		if got := recover(); got != http.ErrAbortHandler { //nolint:errorlint // The server compares the value itself.
			t.Errorf("got %v, want http.ErrAbortHandler", got)
		}
	}()
	r := newRelayer(fakeTransport{storeAddress: always(fail(errConnectionReset))})
	r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/rows", strings.NewReader("body")))
}
