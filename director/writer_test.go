package director

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

func TestTheLeaseShowsWhetherAWriteWithoutAResponseWasExecuted(t *testing.T) {
	own := registrar.Lease{Node: "self", Incarnation: "i", Epoch: 4, Renewal: 9}
	earlier, another := own, own
	earlier.Renewal = 8
	another.Incarnation = "j"
	for _, test := range []struct {
		name  string
		found registrar.Lease
		want  error
	}{
		{"executed", own, nil},
		{"not executed, or not yet", earlier, errBatchNotWritten},
		{"another process holds the lease", another, errLeaseLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			owner := &term{lease: own}
			err := owner.adoptLeaseVersion(platform.Row{Version: 7, Value: registrar.Encode(test.found)})
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if wantVersion := int64(7); !errors.Is(err, errLeaseLost) && owner.writer.leaseVersion != wantVersion {
				t.Errorf("the next write expects version %d, want %d", owner.writer.leaseVersion, wantVersion)
			}
		})
	}
}

func TestAWorkerListWithoutAWriteResponseIsWrittenAgain(t *testing.T) {
	owner := newTerm(&Director{Logger: slog.New(slog.DiscardHandler), Clock: func() time.Duration { return time.Minute }}, registrar.Lease{Epoch: 1}, 1, 0)
	s := &session{term: owner, worker: arranger.Worker{ID: "w"}}
	owner.sessions["w"] = s
	owner.markWorkerDirty("w")
	first := owner.nextBatch()
	owner.confirmBatch(first)
	// A write that omits the drained worker gets no response; before its outcome is known the worker is no longer drained.
	s.setDrained(true)
	owner.requeueBatch(owner.nextBatch())
	s.setDrained(false)
	again := owner.nextBatch()
	if len(again.shards) != 1 || !bytes.Equal(again.puts[0].Value, first.puts[0].Value) {
		t.Errorf("got shards %v, want the list of workers written again, since the store may hold the value of the write without a response", again.shards)
	}
}
