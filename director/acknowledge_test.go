package director

import (
	"testing"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// A poll meant for one incarnation of a worker acknowledged ended runs of the next one, which had the same numbers, unseen: their tasks ran again.
func TestEndsAreAcknowledgedOnlyRightAfterAnAnswer(t *testing.T) {
	const recorded = 40
	for _, test := range []struct {
		name string
		// acknowledged is the number up to which the worker has forgotten its ends, age the time since its last answer, failures the number of failed polls since.
		acknowledged int64
		age          time.Duration
		failures     int
		want         int64
		waits        bool
	}{
		{"right after an answer", 0, 10 * time.Millisecond, 0, recorded, true},
		{"late, so that the worker is asked first", 0, 300 * time.Millisecond, 0, 0, false},
		{"after a failed poll", 0, 10 * time.Millisecond, 1, 0, false},
		{"forgotten already", recorded, 10 * time.Millisecond, 0, 0, true},
		{"forgotten already, late", recorded, 300 * time.Millisecond, 0, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			const acquired = time.Hour
			owner := newTerm(&Director{Bounds: platform.Bounds{MaxLease: 10 * time.Second}, Clock: func() time.Duration { return acquired + test.age }}, registrar.Lease{Epoch: 2}, 1, acquired)
			s := &session{term: owner, responded: true, respondedAt: acquired, failures: test.failures, lastEnded: recorded, lastRecorded: recorded, acknowledged: test.acknowledged}
			request, _ := s.nextPoll()
			if request.Acknowledged != test.want || request.Wait > 0 != test.waits {
				t.Errorf("acknowledges %d and waits %s, want %d and a wait: %t", request.Acknowledged, request.Wait, test.want, test.waits)
			}
		})
	}
}
