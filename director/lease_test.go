package director

import (
	"testing"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// leasePoll is one read of the lease and the expected decision.
type leasePoll struct {
	at      time.Duration
	version int64
	lease   registrar.Lease
	want    bool
}

func leaseStateAt(version int64, lease registrar.Lease) leaseState {
	return leaseState{row: platform.Row{Version: version}, lease: lease, storeVersion: version + 100}
}

func TestALeaseIsTakenOnlyWhenItIsSurelyFree(t *testing.T) {
	other := registrar.Lease{Node: "other"}
	for _, test := range []struct {
		name  string
		polls []leasePoll
	}{
		{"never acquired", []leasePoll{{at: time.Second, want: true}}},
		{"released", []leasePoll{{at: time.Second, version: 3, lease: registrar.Lease{Node: "other", Released: true}, want: true}}},
		{"held by an earlier process of this VM", []leasePoll{{at: time.Second, version: 3, lease: registrar.Lease{Node: "self"}, want: true}}},
		{"renewed", []leasePoll{
			{at: 1000 * time.Millisecond, version: 3, lease: other},
			{at: 1800 * time.Millisecond, version: 4, lease: other},
			{at: 2600 * time.Millisecond, version: 5, lease: other},
			{at: 3400 * time.Millisecond, version: 6, lease: other},
		}},
		{"not renewed", []leasePoll{
			{at: 1000 * time.Millisecond, version: 3, lease: other},
			{at: 1800 * time.Millisecond, version: 3, lease: other},
			{at: 2090 * time.Millisecond, version: 3, lease: other},
			{at: 2100 * time.Millisecond, version: 3, lease: other, want: true},
		}},
		// The store was unavailable to all VMs, so that the owner could not renew its lease either.
		{"store unavailable", []leasePoll{
			{at: 1000 * time.Millisecond, version: 3, lease: other},
			{at: 6000 * time.Millisecond, version: 3, lease: other},
			{at: 6800 * time.Millisecond, version: 3, lease: other},
			{at: 7090 * time.Millisecond, version: 3, lease: other},
			{at: 7100 * time.Millisecond, version: 3, lease: other, want: true},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			monitor := leaseMonitor{}
			for i, poll := range test.polls {
				if got := monitor.canAcquire(poll.at, leaseStateAt(poll.version, poll.lease), "self"); got != poll.want {
					t.Fatalf("poll %d: got %v, want %v", i, got, poll.want)
				}
			}
		})
	}
}

func TestASmallVMWaitsLongerForTheLease(t *testing.T) {
	for _, test := range []struct {
		name  string
		lease registrar.Lease
		wait  time.Duration
	}{
		{"released", registrar.Lease{Node: "other", Released: true}, smallVMDelay},
		{"not renewed", registrar.Lease{Node: "other"}, leaseTimeout + smallVMDelay},
		{"held by an earlier process of this VM", registrar.Lease{Node: "self"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			monitor := leaseMonitor{takeoverDelay: (&Director{Cores: smallVMCores / 2}).takeoverDelay()}
			const step = 100 * time.Millisecond
			for elapsed := time.Duration(0); ; elapsed += step {
				if monitor.canAcquire(time.Second+elapsed, leaseStateAt(3, test.lease), "self") {
					if elapsed != test.wait {
						t.Fatalf("acquired after %s, want %s", elapsed, test.wait)
					}
					return
				}
			}
		})
	}
}

func TestAnOverdueLeaseIsPolledFaster(t *testing.T) {
	monitor := leaseMonitor{}
	monitor.canAcquire(time.Second, leaseStateAt(3, registrar.Lease{Node: "other"}), "self")
	if got := monitor.pollDelay(time.Second+renewalInterval, 0.5); got != leasePollInterval {
		t.Errorf("next poll of a renewed lease after %s, want %s", got, leasePollInterval)
	}
	if got := monitor.pollDelay(time.Second+3*renewalInterval, 0.5); got != fastLeasePollInterval {
		t.Errorf("next poll of an overdue lease after %s, want %s", got, fastLeasePollInterval)
	}
}

// An owner must stop starting new jobs before another VM may acquire its lease, even if its clock runs slow.
func TestAnOwnerIsExclusiveOnlyWhileNobodyMayAcquireItsLease(t *testing.T) {
	const clockError = 1.02
	if float64(exclusiveRenewalAge)*clockError >= float64(leaseTimeout) {
		t.Errorf("an owner starts new jobs for %s after a renewal, its lease may be acquired after %s", exclusiveRenewalAge, leaseTimeout)
	}
}

func TestTheInheritedVersionDependsOnTheHolderOfTheLease(t *testing.T) {
	d := Director{Node: "self", Incarnation: "second"}
	for _, test := range []struct {
		name  string
		lease registrar.Lease
		want  int64
	}{
		{"released at version 7", registrar.Lease{Node: "other", Released: true}, 7},
		{"held by an earlier process of this VM", registrar.Lease{Node: "self", Incarnation: "first"}, 90},
		{"acquired by this process without a response", registrar.Lease{Node: "self", Incarnation: "second"}, 0},
		{"not renewed", registrar.Lease{Node: "other"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			monitor := leaseMonitor{}
			monitor.canAcquire(time.Second, leaseState{row: platform.Row{Version: 7}, lease: test.lease, storeVersion: 90}, "self")
			if got := monitor.inheritedVersion(leaseStateAt(7, test.lease), d.isPreviousProcess(test.lease)); got != test.want {
				t.Fatalf("got %d, want %d", got, test.want)
			}
		})
	}
}
