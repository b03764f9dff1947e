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
		want      time.Duration
	}{
		{"short leases, another VM was the owner", 6 * time.Second, false, 10*time.Second + 900*time.Millisecond},
		{"short leases, this VM was the owner", 6 * time.Second, true, 6 * time.Second},
		{"long leases, this VM was the owner", 10 * time.Second, true, workerLeaseDuration},
	} {
		t.Run(tt.name, func(t *testing.T) {
			term := newTerm(&Director{Bounds: platform.Bounds{MaxLease: tt.maxLease}}, registrar.Lease{Epoch: 2}, 1, 0)
			term.restartedOwner = tt.restarted
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
