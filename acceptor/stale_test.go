package acceptor

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
)

// An entry that no longer received the configuration went on to answer by the one it had.
func TestRequestsAreNotDecidedByOutdatedConfiguration(t *testing.T) {
	const deadline, stretch = 2 * time.Second, 5 * time.Second
	for _, test := range []struct {
		name string
		// after is the time since the store stopped answering for the configuration.
		after time.Duration
		// suspended is the time for which the VM was suspended instead, with a store that answers.
		suspended time.Duration
		path      string
		key       string
		want      int
		longest   time.Duration
	}{
		{"known queue, recent", time.Second, 0, "/known/", "key", http.StatusOK, 0},
		{"unknown queue, recent", time.Second, 0, "/other/", "key", http.StatusNotFound, 0},
		{"unknown key, recent", time.Second, 0, "/known/", "other", http.StatusUnauthorized, 0},
		{"known queue, past the deadline", 4 * time.Second, 0, "/known/", "key", http.StatusOK, 0},
		{"unknown queue, past the deadline", 4 * time.Second, 0, "/other/", "key", http.StatusServiceUnavailable, 0},
		{"unknown key, past the deadline", 4 * time.Second, 0, "/known/", "other", http.StatusServiceUnavailable, 0},
		{"known queue, long past the deadline", 9 * time.Second, 0, "/known/", "key", http.StatusServiceUnavailable, 0},
		{"unknown queue, after a suspend", 0, 10 * time.Second, "/other/", "key", http.StatusNotFound, refreshTimeout},
		{"known queue, after a suspend", 0, 10 * time.Second, "/known/", "key", http.StatusOK, refreshTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := faker.NewRowStore()
				rows.Put(platform.OperatorTable, platform.ConfigKey, map[string]any{
					"version": 1, "routes": []map[string]any{{"name": "known", "host": "x.example", "prefix": "/known/", "service": "s"}},
					"tenants": []map[string]any{{"name": "unions", "apiKeys": []string{"key"}}},
				})
				var outage atomic.Bool
				network := faker.NewHTTPNetwork()
				network.Handle("store:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if outage.Load() && r.URL.Query().Get("table") == platform.OperatorTable {
						<-r.Context().Done()
						return
					}
					rows.ServeHTTP(w, r)
				}))
				store := &platform.Store{Client: network.Client("entry"), Address: "store:1", Timeout: time.Second}
				logger := slog.New(slog.DiscardHandler)
				began := time.Now()
				var suspended atomic.Int64
				config := &follower.Follower{Store: store, Logger: logger, Clock: func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) }}
				a := New(store, config, logger)
				a.ConfigDeadline, a.ConfigStretch = deadline, stretch
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go config.Run(ctx)
				time.Sleep(400 * time.Millisecond)
				suspended.Store(int64(test.suspended))
				outage.Store(test.suspended == 0)
				time.Sleep(test.after)
				if _, err := store.Get(ctx, "other", "", "row"); err != nil {
					t.Fatal(err)
				}
				r := httptest.NewRequest(http.MethodGet, "http://x.example"+test.path, nil)
				r.Header.Set("Authorization", "Token "+test.key)
				w := httptest.NewRecorder()
				start := time.Now()
				a.ServeHTTP(w, r)
				if w.Code != test.want {
					t.Errorf("got %d %s, want %d", w.Code, w.Body, test.want)
				}
				if took := time.Since(start); took > test.longest {
					t.Errorf("took %v, want at most %v", took, test.longest)
				}
				if w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
					t.Error("no Retry-After")
				}
			})
		})
	}
}
