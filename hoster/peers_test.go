package hoster

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

func TestOnlyOtherVMsThatDescribedThemselvesLatelyArePeers(t *testing.T) {
	now := time.Unix(1000, 0)
	row := func(node, link string, age time.Duration) platform.Row {
		r := registrar.EntryRow(node)
		r.Value = registrar.Encode(registrar.Entry{Link: link, SeenMillis: now.Add(-age).UnixMilli()})
		return r
	}
	unreadable := registrar.EntryRow("other")
	unreadable.Value = []byte("{")
	h := &Host{Logger: slog.New(slog.DiscardHandler), Settings: platform.Settings{LinkAddress: "10.0.0.1:7001"}}
	got := h.peersOf([]platform.Row{
		row("self", "10.0.0.1:7001", 0),
		row("lately", "10.0.0.2:7001", peerFresh-time.Second),
		row("clock ahead", "10.0.0.3:7001", -2*time.Second),
		row("gone", "10.0.0.4:7001", peerFresh),
		unreadable,
	}, now)
	if want := []string{"10.0.0.2:7001", "10.0.0.3:7001"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
