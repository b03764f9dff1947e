package acceptor

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// lateBy is how late the store executes a write without a response.
const lateBy = 6 * time.Second

// cluster is a number of entry VMs without an owner in front of a fake store.
type cluster struct {
	t       *testing.T
	rows    *faker.RowStore
	network *faker.HTTPNetwork
	entries []*Acceptor
}

// runCluster runs a test against two entry VMs in virtual time.
func runCluster(t *testing.T, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, rows: faker.NewRowStore(), network: faker.NewHTTPNetwork()}
		c.configure(1, false)
		c.network.Handle("store:1", c.rows)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 2 {
			store := &platform.Store{Client: c.network.Client(fmt.Sprint("entry-", i)), Address: "store:1", Timeout: 1200 * time.Millisecond}
			logger := slog.New(slog.DiscardHandler)
			config := &follower.Follower{Store: store, Logger: logger}
			c.entries = append(c.entries, New(store, config, logger))
			go config.Run(ctx)
		}
		time.Sleep(time.Second)
		test(c)
		c.rows.SetFaults(faker.RowFaults{})
		time.Sleep(lateBy + time.Second)
	})
}

// configure writes a configuration, in which the queue "q" is public or not.
func (c *cluster) configure(version int, public bool) {
	c.rows.Put(platform.OperatorTable, platform.ConfigKey, map[string]any{
		"version": version, "routes": []map[string]any{{"name": "q", "host": "x.example", "prefix": "/q/", "service": "s", "public": public}, {"name": "r", "host": "x.example", "prefix": "/r/", "service": "s"}},
		"tenants": []map[string]any{{"name": "unions", "apiKeys": []string{"key"}}, {"name": "others", "apiKeys": []string{"other"}}},
	})
}

// call sends a request of an organisation to an entry VM and returns the response.
func (c *cluster) call(entry int, key, method, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://x.example"+path, strings.NewReader(`{"spec":"x","steps":[{"count":1}]}`))
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("X-Timeout-Ms", "3000")
	w := httptest.NewRecorder()
	c.entries[entry].ServeHTTP(w, r)
	return w
}

// expect fails the test unless the response to a call has the status.
func (c *cluster) expect(entry int, key, method, path string, want int) {
	c.t.Helper()
	if w := c.call(entry, key, method, path); w.Code != want {
		c.t.Errorf("%s %s by %s: %d %s, want %d", method, path, key, w.Code, w.Body, want)
	}
}

func (c *cluster) stored(jobID string) bool {
	_, ok := c.rows.Rows(registrar.JobTable, registrar.Partition(jobID))[jobID]
	return ok
}

// review/10: a job ran after its cancellation had been answered with 410, since its write was executed late.
func TestACancelledJobIsNotAcceptedByALateWrite(t *testing.T) {
	const path = "/q/" + id
	for _, test := range []struct {
		name string
		// cancel is what happens between the submission, whose write is executed late, and the execution.
		cancel func(c *cluster)
	}{
		{"once", func(c *cluster) { c.expect(0, "key", http.MethodDelete, path, http.StatusGone) }},
		{"at another entry VM", func(c *cluster) { c.expect(1, "key", http.MethodDelete, path, http.StatusGone) }},
		{"at both entry VMs", func(c *cluster) {
			c.expect(0, "key", http.MethodDelete, path, http.StatusGone)
			c.expect(1, "key", http.MethodDelete, path, http.StatusGone)
		}},
		{"without a response of the store at first", func(c *cluster) {
			c.rows.SetFaults(faker.RowFaults{LoseReplies: 1})
			c.expect(1, "key", http.MethodDelete, path, http.StatusGone)
		}},
		{"late itself at first", func(c *cluster) {
			c.rows.SetFaults(faker.RowFaults{LateTransactions: 1, LateBy: lateBy / 2})
			c.expect(1, "key", http.MethodDelete, path, http.StatusGone)
		}},
		{"then repeated at another entry VM", func(c *cluster) {
			c.expect(0, "key", http.MethodDelete, path, http.StatusGone)
			c.expect(1, "key", http.MethodPost, path, http.StatusGone)
			c.expect(0, "key", http.MethodPost, path, http.StatusGone)
		}},
		{"in a public queue, without a key", func(c *cluster) {
			c.configure(2, true)
			time.Sleep(time.Second)
			c.expect(1, "", http.MethodDelete, path, http.StatusGone)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				c.rows.SetFaults(faker.RowFaults{LateTransactions: 2, LateBy: lateBy})
				c.expect(0, "key", http.MethodPost, path, http.StatusGatewayTimeout)
				c.rows.SetFaults(faker.RowFaults{})
				test.cancel(c)
				time.Sleep(lateBy + time.Second)
				if c.stored(id) {
					t.Error("the cancelled job was accepted")
				}
				c.expect(1, "key", http.MethodGet, path, http.StatusGone)
			})
		})
	}
}

// An entry VM that repeats the write of a job learns that another one has answered its cancellation.
func TestACancelledJobIsNotAcceptedByARepeatedWrite(t *testing.T) {
	runCluster(t, func(c *cluster) {
		other := sameBatch(t)
		c.rows.SetFaults(faker.RowFaults{LateTransactions: 1, LateBy: lateBy})
		results := make(chan int, 2)
		for _, jobID := range []string{id, other} {
			go func() { results <- c.call(0, "key", http.MethodPost, "/q/"+jobID).Code }()
			synctest.Wait()
		}
		time.Sleep(500 * time.Millisecond)
		c.expect(1, "key", http.MethodDelete, "/q/"+id, http.StatusGone)
		got := map[int]int{<-results: 1}
		got[<-results]++
		if got[http.StatusGone] != 1 || got[http.StatusOK] != 1 {
			t.Errorf("responses %v, want one job cancelled and the other accepted", got)
		}
		time.Sleep(lateBy)
		if c.stored(id) || !c.stored(other) {
			t.Errorf("cancelled job accepted: %t, other job accepted: %t", c.stored(id), c.stored(other))
		}
	})
}

// sameBatch returns the ID of a job that shares the partition of id.
func sameBatch(t *testing.T) string {
	t.Helper()
	for i := range 1000 {
		if other := fmt.Sprintf("%016x", i); registrar.Partition(other) == registrar.Partition(id) {
			return other
		}
	}
	t.Fatal("no other job in the partition")
	return ""
}

// The outcome of a cancellation is told only once it is certain.
func TestACancellationWithoutAKnownOutcomeIsNotAcknowledged(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		t.Run(fmt.Sprintf("accepted %t", accepted), func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				if accepted {
					c.expect(0, "key", http.MethodPost, "/q/"+id, http.StatusOK)
				}
				c.rows.SetFaults(faker.RowFaults{LateTransactions: 100, LateBy: lateBy})
				c.expect(0, "key", http.MethodDelete, "/q/"+id, http.StatusServiceUnavailable)
			})
		})
	}
}

func TestACancellationKeepsNoJobOfOthersFromBeingAccepted(t *testing.T) {
	const path = "/q/" + id
	for _, test := range []struct {
		name   string
		before func(c *cluster)
		key    string
		path   string
		want   int
	}{
		{"of another organisation", func(*cluster) {}, "other", path, http.StatusOK},
		{"of another queue", func(*cluster) {}, "key", "/r/" + id, http.StatusOK},
		{"of the same organisation", func(*cluster) {}, "key", path, http.StatusGone},
		{"with another ID", func(*cluster) {}, "key", "/q/bbbbbbbbbbbbbbbb", http.StatusOK},
		{"accepted before", func(c *cluster) { c.expect(0, "other", http.MethodPost, path, http.StatusOK) }, "other", path, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				test.before(c)
				c.expect(0, "key", http.MethodDelete, path, http.StatusGone)
				c.expect(1, test.key, http.MethodPost, test.path, test.want)
			})
		})
	}
}

// The late write of the job is executed after the cancellation has read that there is no job, and before it writes the tombstone.
func TestAJobAcceptedDuringItsCancellationIsCancelled(t *testing.T) {
	const read = 100 * time.Millisecond
	runCluster(t, func(c *cluster) {
		began := time.Now()
		c.rows.SetFaults(faker.RowFaults{LateTransactions: 2, LateBy: 2*time.Second - read/2})
		c.expect(0, "key", http.MethodPost, "/q/"+id, http.StatusGatewayTimeout)
		// The cancellation reads the progress, the job twice and the tombstones.
		time.Sleep(2*time.Second - 4*read - time.Since(began))
		c.rows.SetFaults(faker.RowFaults{Delay: read})
		c.expect(1, "key", http.MethodDelete, "/q/"+id, http.StatusOK)
		if _, ok := c.rows.Rows(registrar.JobTable, registrar.Partition(id))[registrar.CancelRow(id).Key]; !ok {
			t.Error("the cancellation was not recorded")
		}
		if rows := c.rows.Rows(registrar.TombstoneTable, registrar.Partition(id)); len(rows) > 0 {
			t.Error("an accepted job has a tombstone")
		}
	})
}

// Cancellations of random IDs must not fill the store, nor last for ever.
func TestTombstonesAreLimitedAndExpire(t *testing.T) {
	runCluster(t, func(c *cluster) {
		refused := 0
		for i := range 4 * maxTombstonesPerOrganisation * len(registrar.Partitions()) {
			w := c.call(i%2, "key", http.MethodDelete, fmt.Sprintf("/q/%016x", i))
			if w.Code == http.StatusGone {
				continue
			}
			refused++
			if seconds, err := strconv.Atoi(w.Header().Get("Retry-After")); w.Code != http.StatusTooManyRequests || err != nil || seconds < 1 {
				t.Fatalf("got %d %s, Retry-After %q", w.Code, w.Body, w.Header().Get("Retry-After"))
			}
		}
		if refused == 0 {
			t.Error("no cancellation was refused")
		}
		c.expect(0, "other", http.MethodDelete, "/q/"+id, http.StatusGone)
		for _, partition := range registrar.Partitions() {
			if size := len(c.rows.Rows(registrar.TombstoneTable, partition)[registrar.TombstoneKey]); size > registrar.MaxValueBytes {
				t.Errorf("%d bytes of tombstones in %s", size, partition)
			}
		}
		first := fmt.Sprintf("/q/%016x", 0)
		c.expect(0, "key", http.MethodPost, first, http.StatusGone)
		time.Sleep(tombstoneRetention)
		c.expect(0, "key", http.MethodPost, first, http.StatusOK)
		c.expect(0, "key", http.MethodDelete, "/q/"+id, http.StatusGone)
		if size := len(c.rows.Rows(registrar.TombstoneTable, registrar.Partition(id))[registrar.TombstoneKey]); size > 200 {
			t.Errorf("%d bytes of tombstones left after their retention", size)
		}
	})
}
