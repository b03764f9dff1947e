package follower

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/platform"
)

// expectZones checks the set of evacuated zones.
func (w *world) expectZones(t *testing.T, when string, want ...string) {
	t.Helper()
	time.Sleep(applyLimit)
	if got := w.follower.Evacuation().Zones(); !slices.Equal(got, want) {
		t.Errorf("%s: zones %v are evacuated, want %v", when, got, want)
	}
}

// evacuate writes the row of an evacuation without a valid value, which counts all the same.
func (w *world) evacuate(zone string) {
	w.rows.PutRow(platform.OperatorTable, "", platform.EvacuationPrefix+zone, []byte("{"))
}

// A row that exists counts, whatever its value; rows of other partitions or without a zone are no evacuations.
func TestEvacuationsFollowTheRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.publish(1, 1)
		w.evacuate("a")
		w.evacuate("")
		changes := 0
		remove := w.follower.OnEvacuation(func() { changes++ })
		go w.follower.Run(t.Context())
		w.expectZones(t, "first read", "a")
		w.evacuate("b")
		w.rows.PutRow(platform.OperatorTable, "other", platform.EvacuationPrefix+"x", []byte("{}"))
		w.expectZones(t, "second zone", "a", "b")
		first := w.follower.Evacuation()
		w.rows.Remove(platform.OperatorTable, platform.EvacuationPrefix+"a")
		w.expectZones(t, "row removed", "b")
		at := w.follower.Evacuation().Returned()["a"]
		if since := time.Since(at); since > applyLimit || !first.Contains("a") {
			t.Errorf("zone a returned %s ago, the set before holds it: %t", since, first.Contains("a"))
		}
		remove()
		w.evacuate("a")
		if w.expectZones(t, "evacuated again", "a", "b"); len(w.follower.Evacuation().Returned()) != 0 || changes != 3 {
			t.Errorf("returned %v; %d calls of the hook, want one for each change before its removal", w.follower.Evacuation().Returned(), changes)
		}
	})
}

// A read from a replica that lags behind shows a table without the row of an evacuation that is known.
func TestAnOutdatedReadRemovesNoEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.publish(1, 1)
		lagging := faker.NewRowStore()
		lagging.Put(platform.OperatorTable, platform.ConfigKey, map[string]any{"version": 1})
		go w.follower.Run(t.Context())
		w.evacuate("a")
		w.expectZones(t, "at first", "a")
		w.network.Handle(storeAddress, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/rows-get":
				lagging.ServeHTTP(rw, r)
			case r.URL.Query().Get("after") == "1":
				// The feed from the state of the replica is not served yet.
				rw.WriteHeader(http.StatusServiceUnavailable)
			default:
				rw.WriteHeader(http.StatusGone)
			}
		}))
		w.expectZones(t, "after a read of an earlier state", "a")
		if age, _ := w.follower.Age(); age < time.Second {
			t.Errorf("an earlier state counts as known %s ago", age)
		}
		w.network.Handle(storeAddress, w.rows)
		w.rows.Remove(platform.OperatorTable, platform.EvacuationPrefix+"a")
		w.expectZones(t, "after the removal")
	})
}

// A change that falls into a loss of history is seen by a full read, which removes zones as well as adding them.
func TestAFullReadReplacesTheEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.publish(1, 1)
		w.evacuate("a")
		go w.follower.Run(t.Context())
		time.Sleep(time.Second)
		w.rows.SetFaults(faker.RowFaults{Silent: true})
		time.Sleep(3 * time.Second)
		w.rows.Remove(platform.OperatorTable, platform.EvacuationPrefix+"a")
		w.evacuate("b")
		w.rows.Compact()
		if age, known := w.follower.Age(); !known || age < 2*time.Second {
			t.Errorf("age %s after 3 s without the store", age)
		}
		w.rows.SetFaults(faker.RowFaults{})
		time.Sleep(applyLimit)
		w.expectZones(t, "after the loss of history", "b")
	})
}
