package director

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// roundTrip is a function as the transport of a client.
type roundTrip func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A new owner that discarded all reads when one failed held the lease without loading the state for 25 s, while an
// overloaded store served part of the reads, and the fleet stood idle.
func TestANewOwnerKeepsTheReadsThatSucceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			// served is the number of reads that succeed in each interval.
			served   = 2
			interval = 200 * time.Millisecond
			reads    = 11
			timeout  = 2 * reads / served * interval
		)
		var mu sync.Mutex
		var intervalBegin time.Time
		inInterval := 0
		transport := roundTrip(func(*http.Request) (*http.Response, error) {
			mu.Lock()
			defer mu.Unlock()
			if time.Since(intervalBegin) >= interval {
				intervalBegin, inInterval = time.Now(), 0
			}
			status, body := http.StatusServiceUnavailable, ""
			if inInterval++; inInterval <= served {
				status, body = http.StatusOK, `{"rows":[],"ver":7}`
			}
			return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
		})
		store := &platform.Store{Client: &http.Client{Transport: transport}, Address: "store:1", Timeout: time.Second}
		logger := slog.New(slog.DiscardHandler)
		d := &Director{Logger: logger, Store: store, Config: &follower.Follower{}, Clock: func() time.Duration { return time.Minute }}
		owner := newTerm(d, registrar.Lease{Epoch: 1}, 1, time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		versions, ok := owner.load(ctx)
		if !ok || versions.jobs != 7 {
			t.Errorf("loaded: %t, versions %+v, want version 7 within %s", ok, versions, timeout)
		}
	})
}
