package director

import (
	"testing"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// look is one reading of the lease.
type look struct {
	at      time.Duration
	version int64
	lease   registrar.Lease
	want    bool
}

func seenAt(version int64, lease registrar.Lease) leaseSeen {
	return leaseSeen{row: platform.Row{Version: version}, lease: lease, at: version + 100}
}

func TestALeaseIsTakenOnlyWhenItIsSurelyFree(t *testing.T) {
	other := registrar.Lease{Node: "other"}
	for _, test := range []struct {
		name  string
		looks []look
	}{
		{"nobody has it", []look{{at: time.Second, want: true}}},
		{"it was released", []look{{at: time.Second, version: 3, lease: registrar.Lease{Node: "other", Released: true}, want: true}}},
		{"an earlier process of this VM has it", []look{{at: time.Second, version: 3, lease: registrar.Lease{Node: "self"}, want: true}}},
		{"it is renewed", []look{
			{at: 1000 * time.Millisecond, version: 3, lease: other},
			{at: 1800 * time.Millisecond, version: 4, lease: other},
			{at: 2600 * time.Millisecond, version: 5, lease: other},
			{at: 3400 * time.Millisecond, version: 6, lease: other},
		}},
		{"it is silent", []look{
			{at: 1000 * time.Millisecond, version: 3, lease: other},
			{at: 1800 * time.Millisecond, version: 3, lease: other},
			{at: 2090 * time.Millisecond, version: 3, lease: other},
			{at: 2100 * time.Millisecond, version: 3, lease: other, want: true},
		}},
		// The store was away for everybody, so that the owner could not renew either.
		{"the store was away", []look{
			{at: 1000 * time.Millisecond, version: 3, lease: other},
			{at: 6000 * time.Millisecond, version: 3, lease: other},
			{at: 6800 * time.Millisecond, version: 3, lease: other},
			{at: 7090 * time.Millisecond, version: 3, lease: other},
			{at: 7100 * time.Millisecond, version: 3, lease: other, want: true},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := leaseWatch{}
			for i, l := range test.looks {
				if got := w.mayTake(l.at, seenAt(l.version, l.lease), "self"); got != l.want {
					t.Fatalf("look %d: got %v, want %v", i, got, l.want)
				}
			}
		})
	}
}

func TestASmallVMLeavesTheLeaseToLargerOnes(t *testing.T) {
	for _, test := range []struct {
		name  string
		lease registrar.Lease
		wait  time.Duration
	}{
		{"released", registrar.Lease{Node: "other", Released: true}, smallPatience},
		{"silent", registrar.Lease{Node: "other"}, leaseSilence + smallPatience},
		{"its own", registrar.Lease{Node: "self"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := leaseWatch{patience: (&Director{Cores: smallCores / 2}).patience()}
			const step = 100 * time.Millisecond
			for at := time.Duration(0); ; at += step {
				if w.mayTake(time.Second+at, seenAt(3, test.lease), "self") {
					if at != test.wait {
						t.Fatalf("taken after %s, want %s", at, test.wait)
					}
					return
				}
			}
		})
	}
}

func TestASilentLeaseIsLookedAtOften(t *testing.T) {
	w := leaseWatch{}
	w.mayTake(time.Second, seenAt(3, registrar.Lease{Node: "other"}), "self")
	if got := w.pause(time.Second+renewInterval, 0.5); got != watchPause {
		t.Errorf("%s to the next look at a lease that is renewed, want %s", got, watchPause)
	}
	if got := w.pause(time.Second+3*renewInterval, 0.5); got != watchSoon {
		t.Errorf("%s to the next look at a silent lease, want %s", got, watchSoon)
	}
}

// An owner must know that it is still the owner before another may believe that it is not.
func TestAnOwnerIsSureOnlyWhileNobodyMayTakeItsLease(t *testing.T) {
	const clockError = 1.02
	if float64(strictLimit)*clockError >= float64(leaseSilence) {
		t.Errorf("an owner is sure for %s, its lease is taken after %s", strictLimit, leaseSilence)
	}
}

func TestJobsThatAnEarlierOwnerCannotHaveReadAreTold(t *testing.T) {
	d := Director{Node: "self", Incarnation: "second"}
	for _, test := range []struct {
		name  string
		lease registrar.Lease
		want  int64
	}{
		{"released at version 7", registrar.Lease{Node: "other", Released: true}, 7},
		{"held by an earlier process of this VM", registrar.Lease{Node: "self", Incarnation: "first"}, 90},
		{"taken by this process without an answer", registrar.Lease{Node: "self", Incarnation: "second"}, 0},
		{"silent", registrar.Lease{Node: "other"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := leaseWatch{}
			w.mayTake(time.Second, leaseSeen{row: platform.Row{Version: 7}, lease: test.lease, at: 90}, "self")
			if got := w.bound(seenAt(7, test.lease), d.isPredecessor(test.lease)); got != test.want {
				t.Fatalf("got %d, want %d", got, test.want)
			}
		})
	}
}
