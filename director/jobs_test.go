package director

import (
	"testing"

	"github.com/snipelift/snipelift/platform"
)

func TestAppliedRowsAreNotAppliedAgain(t *testing.T) {
	rows := newerThan([]platform.Row{{Key: "ended", Version: 5}, {Key: "last", Version: 9}, {Key: "new", Version: 10}}, 9)
	if len(rows) != 1 || rows[0].Key != "new" {
		t.Fatalf("got %+v, want the new row alone", rows)
	}
}
