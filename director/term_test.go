package director

import (
	"testing"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// TestInheritedJobsWaitForTheLongestLeaseThatWorkersAccept checks how long a new owner waits for a worker that does not
// report: after the previous owner's last possible grant, as long as a lease can last there, and not longer.
func TestInheritedJobsWaitForTheLongestLeaseThatWorkersAccept(t *testing.T) {
	for _, tt := range []struct {
		name      string
		maxLease  time.Duration
		restarted bool
		previous  registrar.Lease
		want      time.Duration
	}{
		{"short leases, another VM was the owner", 6 * time.Second, false, registrar.Lease{}, 10*time.Second + 900*time.Millisecond},
		{"short leases, this VM was the owner", 6 * time.Second, true, registrar.Lease{}, 6 * time.Second},
		{"long leases, this VM was the owner", 10 * time.Second, true, registrar.Lease{}, workerLeaseDuration},
		{"long leases, limited by the last renewal", 10 * time.Second, false, registrar.Lease{LeasesLimited: true}, workerLeaseDuration - leaseTimeout},
		{"long leases, limited and released", 10 * time.Second, false, registrar.Lease{LeasesLimited: true, Released: true}, workerLeaseDuration},
		{"long leases, acquired by this process without a response", 10 * time.Second, false, registrar.Lease{LeasesLimited: true, Incarnation: "self"}, 13*time.Second + 900*time.Millisecond},
		{"short leases, limited by the last renewal", 6 * time.Second, false, registrar.Lease{LeasesLimited: true}, workerLeaseDuration - leaseTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			term := newTerm(&Director{Incarnation: "self", Bounds: platform.Bounds{MaxLease: tt.maxLease}}, registrar.Lease{Epoch: 2}, 1, 0)
			term.restartedOwner, term.previous = tt.restarted, tt.previous
			// The worker's clock may run 2% slow, and a grant takes some time to arrive.
			want := time.Duration(float64(tt.want)*clockDriftFactor) + leaseExpiryMargin
			if got := term.maxInheritedLease(); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if got := term.leaseDuration(); got > tt.maxLease {
				t.Errorf("granted leases last %s, workers accept %s", got, tt.maxLease)
			}
		})
	}
}

// An owner that cannot renew its own lease granted full leases until it gave up, so that the next one had to wait 5 s longer for a silent worker.
func TestLeasesOfWorkersEndWithTheLastRenewal(t *testing.T) {
	for _, test := range []struct {
		maxLease, sinceRenewal, want time.Duration
	}{
		{10 * time.Second, 0, promptLeaseDuration},
		{10 * time.Second, lateRenewalAge - time.Millisecond, promptLeaseDuration},
		{10 * time.Second, lateRenewalAge, workerLeaseDuration - lateRenewalAge},
		{10 * time.Second, 2 * time.Second, workerLeaseDuration - 2*time.Second},
		{10 * time.Second, maxRenewalAge, workerLeaseDuration - maxRenewalAge},
		{6 * time.Second, 2 * time.Second, 6 * time.Second},
		{6 * time.Second, 5 * time.Second, workerLeaseDuration - 5*time.Second},
	} {
		const acquired = time.Hour
		now := acquired + test.sinceRenewal
		owner := newTerm(&Director{Bounds: platform.Bounds{MaxLease: test.maxLease}, Clock: func() time.Duration { return now }}, registrar.Lease{Epoch: 2}, 1, acquired)
		s := &session{term: owner, responded: true, workerClock: time.Minute, respondedAt: now}
		if got := s.extendLease() - s.workerClock; got != test.want {
			t.Errorf("%s after the last renewal, limit %s: a lease of %s, want %s", test.sinceRenewal, test.maxLease, got, test.want)
		}
	}
}
