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

func TestTheLeaseTellsWhetherAWriteWithoutAnAnswerWasCarriedOut(t *testing.T) {
	own := registrar.Lease{Node: "self", Incarnation: "i", Epoch: 4, Renewal: 9}
	older, another := own, own
	older.Renewal = 8
	another.Incarnation = "j"
	for _, test := range []struct {
		name  string
		found registrar.Lease
		want  error
	}{
		{"carried out", own, nil},
		{"not carried out, or not yet", older, errRepeat},
		{"another process holds the lease", another, errDeposed},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := &term{lease: own}
			err := o.adoptVersion(platform.Row{Version: 7, Value: registrar.Encode(test.found)})
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if wantVersion := int64(7); !errors.Is(err, errDeposed) && o.writer.version != wantVersion {
				t.Errorf("the next write expects version %d, want %d", o.writer.version, wantVersion)
			}
		})
	}
}

func TestAListOfWorkersWithoutAnAnswerIsWrittenAgain(t *testing.T) {
	o := newTerm(&Director{Logger: slog.New(slog.DiscardHandler), Clock: func() time.Duration { return time.Minute }}, registrar.Lease{Epoch: 1}, 1, 0)
	s := &session{term: o, worker: arranger.Worker{ID: "w"}}
	o.sessions["w"] = s
	o.markWorkerDirty("w")
	first := o.nextBatch()
	o.finishBatch(first)
	// A write says that the worker is vacant and gets no answer; before it is settled the worker is not vacant any more.
	s.setDrained(true)
	o.returnBatch(o.nextBatch())
	s.setDrained(false)
	again := o.nextBatch()
	if len(again.groups) != 1 || !bytes.Equal(again.puts[0].Value, first.puts[0].Value) {
		t.Errorf("got groups %v, want the list of workers written again, since the store may come to hold the other one", again.groups)
	}
}
