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
)

const store = "store:1"

// reply is what a stand-in of the store or a peer does with a call.
type reply struct {
	status int
	body   string
	err    error
	// silent leaves the call without an answer.
	silent bool
	// took is how long the answer takes; a call that is given up meanwhile gets none.
	took time.Duration
}

// wires carries calls to what stands at each host.
type wires map[string]func() reply

func (w wires) RoundTrip(request *http.Request) (*http.Response, error) {
	r := w[request.URL.Host]()
	if r.silent {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if r.err != nil {
		return nil, r.err
	}
	select {
	case <-time.After(r.took):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	return &http.Response{StatusCode: r.status, Status: http.StatusText(r.status), Body: io.NopCloser(strings.NewReader(r.body))}, nil
}

func always(r reply) func() reply { return func() reply { return r } }

func answering(status int, body string) reply { return reply{status: status, body: body} }

func failing(err error) reply { return reply{err: err} }

var silent = reply{silent: true}

var (
	errRefused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	errCut     = errors.New("connection reset")
)

func newRelayer(w wires, peers ...string) *Relayer {
	r := &Relayer{Store: store, Direct: w, Logger: slog.New(slog.DiscardHandler)}
	r.SetPeers(peers)
	return r
}

// call makes a call within 1.2 seconds and returns the body of its answer, or its status if that is not 200.
func call(r *Relayer, method string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+store+"/rows", strings.NewReader("body"))
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
		direct, peer reply
		method       string
		first, next  string
	}{
		{"served", answering(200, "store"), answering(200, "peer"), http.MethodPost, "store", "store"},
		{"turned away", answering(503, ""), answering(200, "peer"), http.MethodPost, "peer", "peer"},
		{"too many calls", answering(429, ""), answering(200, "peer"), http.MethodPost, "peer", "peer"},
		{"refused", failing(errRefused), answering(200, "peer"), http.MethodPost, "peer", "peer"},
		// The write may have been carried out; whoever asked for it settles that.
		{"write cut off", failing(errCut), answering(200, "peer"), http.MethodPost, "error", "peer"},
		{"write without an answer", silent, answering(200, "peer"), http.MethodPost, "error", "peer"},
		{"read cut off", failing(errCut), answering(200, "peer"), http.MethodGet, "peer", "peer"},
		{"read without an answer", silent, answering(200, "peer"), http.MethodGet, "peer", "peer"},
		{"peer turned away as well", answering(503, ""), answering(503, ""), http.MethodPost, busy, busy},
		{"peer gone", answering(503, ""), failing(errRefused), http.MethodPost, busy, busy},
		{"write cut off at the peer", answering(503, ""), failing(errCut), http.MethodPost, "error", busy},
		{"write without an answer at the peer", answering(503, ""), silent, http.MethodPost, "error", busy},
		{"read cut off at the peer", answering(503, ""), failing(errCut), http.MethodGet, busy, busy},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRelayer(wires{store: always(test.direct), "peer:1": always(test.peer)}, "peer:1")
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

// The store takes longer than the direct way is given, but answers other calls meanwhile.
func TestASlowStoreIsNotTakenForASilentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := answering(200, "store")
		slow.took = 900 * time.Millisecond
		r := newRelayer(wires{
			store:    always(slow),
			"peer:1": always(answering(200, "peer")),
		}, "peer:1")
		go func() {
			for range 5 {
				time.Sleep(200 * time.Millisecond)
				r.noteDirect(true, nil, nil)
			}
		}()
		if got, err := call(r, http.MethodPost); got != "store" {
			t.Errorf("got %q, %v, want the slow answer", got, err)
		}
		time.Sleep(time.Second)
		if r.Lost() {
			t.Error("the store counts as lost")
		}
	})
}

func TestAWriteWhoseOutcomeAtAPeerIsUnknownIsNotSentAgain(t *testing.T) {
	sent := 0
	r := newRelayer(wires{
		store:    func() reply { sent++; return failing(errRefused) },
		"peer:1": always(failing(errCut)),
	}, "peer:1")
	r.path.lost = true
	counts := map[string]int{}
	r.Count = func(name string) { counts[name]++ }
	if _, err := call(r, http.MethodPost); !errors.Is(err, errCut) {
		t.Fatalf("got %v, want that the outcome is unknown", err)
	}
	if sent != 0 {
		t.Fatalf("the write went to the store %d times after its outcome was unknown", sent)
	}
	if counts[countSent] != 1 || counts[countFailed] != 1 {
		t.Errorf("counted %v, want one call sent and failed", counts)
	}
}

func TestTheStoreIsUsedAgainOnceItServesThisVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var serves atomic.Bool
		r := newRelayer(wires{
			store: func() reply {
				if serves.Load() {
					return answering(200, "store")
				}
				return failing(errRefused)
			},
			"peer:1": always(answering(200, "peer")),
		}, "peer:1")
		r.Check = func(context.Context) error {
			if serves.Load() {
				return nil
			}
			return errRefused
		}
		stop := r.Start()
		defer stop()
		if got, err := call(r, http.MethodPost); got != "peer" {
			t.Fatalf("got %q, %v while the store turns this VM away", got, err)
		}
		serves.Store(true)
		time.Sleep(2 * checkPause)
		if got, err := call(r, http.MethodPost); got != "store" {
			t.Fatalf("got %q, %v after the store's return", got, err)
		}
	})
}

func TestAPeerThatFailedIsLeftAlone(t *testing.T) {
	now := time.Unix(0, 0)
	p := path{}
	p.setPeers([]string{"a", "b"})
	p.notePeer(now, "a", true)
	p.notePeer(now, "a", false)
	if got, ok := p.choose(now, 0); got != "b" || !ok {
		t.Fatalf("got %q, want the other peer", got)
	}
	p.notePeer(now, "b", false)
	if got, ok := p.choose(now, 0); ok {
		t.Fatalf("got %q, want none", got)
	}
	if got, ok := p.choose(now.Add(peerRest), 0); got != "a" || !ok {
		t.Fatalf("got %q after the rest, want the one used last", got)
	}
	p.setPeers([]string{"b"})
	if got, ok := p.choose(now.Add(peerRest), 0.99); got != "b" || !ok {
		t.Fatalf("got %q, want the only peer left", got)
	}
}

func TestAPeersCallIsBroughtToTheStore(t *testing.T) {
	for _, test := range []struct {
		name   string
		direct reply
		lost   bool
		want   int
		body   string
	}{
		{"served", answering(200, "store"), false, 200, "store"},
		{"conflict", answering(412, "rows"), false, 412, "rows"},
		{"this VM is not served either", answering(200, "store"), true, 503, ""},
		{"the store cannot be reached", failing(errRefused), false, 503, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRelayer(wires{store: always(test.direct)})
			r.path.lost = test.lost
			w := httptest.NewRecorder()
			r.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/rows?x=1", strings.NewReader("body")))
			if w.Code != test.want || w.Body.String() != test.body {
				t.Errorf("got %d %q, want %d %q", w.Code, w.Body.String(), test.want, test.body)
			}
		})
	}
}

func TestAPeersCallWithAnUnknownOutcomeIsCutOff(t *testing.T) {
	defer func() {
		if got := recover(); got != http.ErrAbortHandler { //nolint:errorlint // The server compares the value itself.
			t.Errorf("got %v, want the connection cut", got)
		}
	}()
	r := newRelayer(wires{store: always(failing(errCut))})
	r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/rows", strings.NewReader("body")))
}
