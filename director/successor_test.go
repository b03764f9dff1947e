package director

import (
	"log/slog"
	"testing"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// Ownership that passes to a VM that is restarted next, shuts down, is gone or is too small changes again at once.
func TestTheSuccessorIsTheVMThatStartedLast(t *testing.T) {
	now := time.Unix(5000, 0)
	record := func(node string, entry registrar.Entry) platform.Row {
		row := registrar.EntryRow(node)
		if entry.SeenMillis == 0 {
			entry.SeenMillis = now.Add(-time.Second).UnixMilli()
		}
		row.Value = registrar.Encode(entry)
		return row
	}
	owner := record("owner", registrar.Entry{StartedMillis: 500, Cores: 0.8})
	earlier := record("earlier", registrar.Entry{StartedMillis: 300, Cores: 0.8})
	later := record("later", registrar.Entry{StartedMillis: 700, Cores: 0.4})
	unreadable := platform.Row{Key: registrar.EntryRow("unreadable").Key, Value: []byte("{")}
	for _, test := range []struct {
		name   string
		chosen string
		rows   []platform.Row
		want   string
	}{
		{"no records", "", nil, ""},
		{"owner alone", "", []platform.Row{owner}, ""},
		{"restarted in this round", "", []platform.Row{earlier, later, owner}, "later"},
		{"first in its round", "", []platform.Row{owner, earlier}, "earlier"},
		{"shuts down", "", []platform.Row{earlier, record("last", registrar.Entry{StartedMillis: 900, Leaving: true})}, "earlier"},
		{"too small", "", []platform.Row{earlier, record("last", registrar.Entry{StartedMillis: 900, Cores: 0.192})}, "earlier"},
		{"gone", "", []platform.Row{earlier, record("last", registrar.Entry{StartedMillis: 900, SeenMillis: now.Add(-maxSuccessorAge).UnixMilli()})}, "earlier"},
		{"earlier version of the program", "", []platform.Row{earlier, record("last", registrar.Entry{})}, "earlier"},
		{"unreadable", "", []platform.Row{unreadable, earlier}, "earlier"},
		{"key of another form", "", []platform.Row{{Key: "last", Value: registrar.Encode(registrar.Entry{StartedMillis: 900, SeenMillis: now.UnixMilli()})}}, ""},
		{"chosen before", "earlier", []platform.Row{earlier, later}, "earlier"},
		{"chosen before, shuts down", "last", []platform.Row{later, record("last", registrar.Entry{StartedMillis: 900, Leaving: true})}, "later"},
		{"two at the same time", "", []platform.Row{record("b", registrar.Entry{StartedMillis: 700}), record("a", registrar.Entry{StartedMillis: 700})}, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := chooseSuccessor("owner", test.chosen, test.rows, now); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// Any VM may acquire a released lease in the end: a successor that has died costs successorHeadStart.
func TestOthersWaitForTheNamedSuccessor(t *testing.T) {
	for _, test := range []struct {
		name, node, successor string
		cores                 float64
		want                  time.Duration
	}{
		{"nobody named", "self", "", 0.8, 0},
		{"named", "self", "self", 0.8, 0},
		{"another VM named", "self", "other", 0.8, successorHeadStart},
		{"another VM named, small VM", "self", "other", smallVMCores / 2, smallVMDelay + successorHeadStart},
		{"named, small VM", "self", "self", smallVMCores / 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			monitor := leaseMonitor{takeoverDelay: (&Director{Cores: test.cores}).takeoverDelay()}
			released := leaseStateAt(3, registrar.Lease{Node: "before", Released: true, Successor: test.successor})
			now := time.Second
			for !monitor.canAcquire(now, released, test.node) {
				delay := monitor.pollDelay(now, 0.5)
				if delay > fastLeasePollInterval {
					t.Fatalf("next poll after %s", delay)
				}
				now += delay
			}
			if got := now - time.Second; got != test.want {
				t.Errorf("acquired after %s, want %s", got, test.want)
			}
		})
	}
}

func TestAnAnnouncedSuccessorAwaitsTheRelease(t *testing.T) {
	monitor := leaseMonitor{}
	held := registrar.Lease{Node: "before", Successor: "self"}
	if monitor.canAcquire(time.Second, leaseStateAt(3, held), "self") {
		t.Error("a lease that is held was acquired")
	}
	if got := monitor.pollDelay(time.Second, 0.5); got != successorPollInterval {
		t.Errorf("next poll after %s, want %s", got, successorPollInterval)
	}
	monitor.canAcquire(2*time.Second, leaseStateAt(4, registrar.Lease{Node: "third"}), "self")
	if got := monitor.pollDelay(2*time.Second, 0.5); got != leasePollInterval {
		t.Errorf("next poll after another VM took the lease after %s, want %s", got, leasePollInterval)
	}
}

// The cost of a change is counted from the release, or the last renewal of a lost owner, by the store's clock, up to a plan that can place something.
func TestTheCostOfAChangeEndsWithTheFirstUsefulPlan(t *testing.T) {
	for _, test := range []struct {
		name                         string
		renewed, acquired, storeTime time.Duration
		reported, workers            int
		want                         time.Duration
		counts                       bool
	}{
		{"released", 90 * time.Second, time.Second, 90040 * time.Millisecond, 1, 4, 50 * time.Millisecond, true},
		{"lost", 90 * time.Second, time.Second, 91200 * time.Millisecond, 4, 4, 1210 * time.Millisecond, true},
		{"no workers", 90 * time.Second, time.Second, 90040 * time.Millisecond, 0, 0, 50 * time.Millisecond, true},
		{"no worker has reported", 90 * time.Second, time.Second, 90040 * time.Millisecond, 0, 4, 0, false},
		{"owner of the earlier version", 0, time.Second, 90040 * time.Millisecond, 4, 4, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &Director{Logger: slog.New(slog.DiscardHandler)}
			cost := newHandoverCost(d, 2048, registrar.Lease{RenewedMillis: test.renewed.Milliseconds()}, test.acquired, test.storeTime)
			if got, counts := cost.firstPlan(test.acquired+10*time.Millisecond, test.reported, test.workers); got != test.want || counts != test.counts {
				t.Errorf("got %s, %t, want %s, %t", got, counts, test.want, test.counts)
			}
			if _, again := cost.firstPlan(test.acquired+time.Second, 4, 4); again && test.counts {
				t.Error("counted twice")
			}
		})
	}
}
