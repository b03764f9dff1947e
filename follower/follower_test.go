package follower

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/relayer"
)

const (
	storeAddress = "store:1"
	// slowLink is a link of 10 Mbit/s in bytes per second.
	slowLink = 10_000_000 / 8
	// applyLimit is the shortest time that a deployment allows for a configuration to take effect.
	applyLimit = 2 * time.Second
)

// world is a follower at the end of a slow link to a fake store.
type world struct {
	rows     *faker.RowStore
	network  *faker.HTTPNetwork
	follower *Follower
}

// newWorld returns a follower that sends its requests as an entry does, through a relayer with the given peers.
func newWorld(peers ...string) *world {
	w := &world{rows: faker.NewRowStore(), network: faker.NewHTTPNetwork()}
	w.network.Handle(storeAddress, w.rows)
	w.network.SetRate("entry", slowLink)
	logger := slog.New(slog.DiscardHandler)
	relay := &relayer.Relayer{Store: storeAddress, Direct: w.network.Client("entry").Transport, Logger: logger}
	relay.SetPeers(peers)
	store := &platform.Store{Client: &http.Client{Transport: relay}, Address: storeAddress, Timeout: 1200 * time.Millisecond}
	w.follower = &Follower{Store: store, Logger: logger}
	return w
}

// publish writes a configuration with the given number of queues.
func (w *world) publish(version, queues int) {
	routes := make([]map[string]any, queues)
	for i := range routes {
		routes[i] = map[string]any{
			"name": fmt.Sprintf("r-%06d", i), "host": fmt.Sprintf("host%06d.example", i), "prefix": fmt.Sprintf("/prefix%06d/", i),
			"service": "chestkeeper", "priority": 1, "maxAttempts": 3, "stretch": 1.5, "sloMs": 1000, "timeoutMs": 3000,
		}
	}
	w.rows.Put(platform.OperatorTable, platform.ConfigKey, map[string]any{"version": version, "routes": routes})
}

func (w *world) expectVersion(t *testing.T, when string, want int64) {
	t.Helper()
	var got int64
	if current := w.follower.Current(); current != nil {
		got = current.Version
	}
	if got != want {
		t.Errorf("%s: version %d is in force, want %d", when, got, want)
	}
}

// An entry that once failed to read a configuration too large for one probe stayed on the version before for good.
func TestFollowerCatchesUpAfterFailedReadOfLargeConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.publish(1, 4000)
		go w.follower.Run(t.Context())
		time.Sleep(5 * time.Second)
		w.expectVersion(t, "at the start", 1)
		w.rows.SetFaults(faker.RowFaults{Silent: true})
		time.Sleep(3 * time.Second)
		w.rows.SetFaults(faker.RowFaults{})
		w.publish(2, 4000)
		time.Sleep(applyLimit)
		w.expectVersion(t, "after an outage of the store", 2)
	})
}

// The feed and its fallback through a peer cancelled answers that were arriving, and started from nothing.
func TestFollowerReadsConfigurationThatArrivesForLongerThanTheTimeout(t *testing.T) {
	for _, test := range []struct {
		name  string
		peers []string
	}{{"alone", nil}, {"with peers", []string{"peer:1"}}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(test.peers...)
				w.publish(1, 1)
				go w.follower.Run(t.Context())
				time.Sleep(time.Second)
				w.expectVersion(t, "at the start", 1)
				w.publish(2, 12000)
				time.Sleep(4 * time.Second)
				w.expectVersion(t, "after a change to 12,000 queues", 2)
				w.publish(3, 12000)
				time.Sleep(4 * time.Second)
				w.expectVersion(t, "after a further change", 3)
			})
		})
	}
}

// A feed that had to deliver several large versions broke off at each attempt, and was repeated from the same version.
func TestFollowerReadsOnlyTheNewestVersionAfterFeedBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.publish(1, 1)
		go w.follower.Run(t.Context())
		time.Sleep(time.Second)
		w.expectVersion(t, "at the start", 1)
		w.network.Handle(storeAddress, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/rows-feed" {
				_, _ = rw.Write([]byte(`{"rows":[`))
				panic(http.ErrAbortHandler)
			}
			w.rows.ServeHTTP(rw, r)
		}))
		// The poll in progress still has an answer of the store.
		time.Sleep(feedWait)
		w.publish(2, 1)
		time.Sleep(applyLimit)
		w.expectVersion(t, "after a feed that breaks off", 2)
	})
}

// After a suspend of the VM the configuration looked as new as before it.
func TestAgeOfConfigurationIncludesSuspends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.publish(1, 1)
		var suspended time.Duration
		began := time.Now()
		w.follower.Clock = func() time.Duration { return time.Since(began) + suspended }
		ctx, cancel := context.WithCancel(t.Context())
		go w.follower.Run(ctx)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		suspended = time.Minute
		if age, known := w.follower.Age(); !known || age < time.Minute {
			t.Errorf("age %v, %t after a minute", age, known)
		}
	})
}
