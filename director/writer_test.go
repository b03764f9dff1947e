package director

import (
	"errors"
	"testing"

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
