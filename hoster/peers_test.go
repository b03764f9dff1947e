package hoster

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/relayer"
)

func TestOnlyOtherVMsThatDescribedThemselvesLatelyArePeers(t *testing.T) {
	now := time.Unix(1000, 0)
	row := func(node, link string, age time.Duration) platform.Row {
		r := registrar.EntryRow(node)
		r.Value = registrar.Encode(registrar.Entry{PeerEndpoint: link, SeenMillis: now.Add(-age).UnixMilli()})
		return r
	}
	unreadable := registrar.EntryRow("other")
	unreadable.Value = []byte("{")
	h := &Process{Logger: slog.New(slog.DiscardHandler), Settings: platform.Settings{PeerAddress: "10.0.0.1:7001"}}
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

// newHost returns a host whose store is a stand-in with descriptions of other VMs, all of the given age.
func newHost(t *testing.T, others int, age time.Duration) (*Process, *faker.RowStore) {
	t.Helper()
	store := faker.NewRowStore()
	board := faker.NewSwitchboard()
	board.Handle("store:1", store)
	h := &Process{
		Logger: slog.New(slog.DiscardHandler), Settings: platform.Settings{Node: "self", PeerAddress: "self:1"},
		store: &platform.Store{Client: board.Client("self"), Address: "store:1", Timeout: time.Second}, relay: &relayer.Relayer{},
	}
	for i := range others {
		row := registrar.EntryRow(fmt.Sprintf("node-%d", i))
		row.Value = registrar.Encode(registrar.Entry{PeerEndpoint: fmt.Sprintf("10.0.0.1:%d", i), SeenMillis: time.Now().Add(-age).UnixMilli()})
		if _, err := h.store.Transact(t.Context(), platform.Transaction{Put: []platform.Row{row}}); err != nil {
			t.Fatal(err)
		}
	}
	return h, store
}

func TestAVMReadsAsManyDescriptionsHoweverManyThereAre(t *testing.T) {
	for _, test := range []struct{ others, want int }{{0, 0}, {8, 8}, {31, 31}, {32, 32}, {300, 32}, {3000, 32}} {
		h, _ := newHost(t, test.others, 0)
		for _, from := range []string{registrar.EntryKeyPrefix(0), registrar.EntryKeyPrefix(1 << 31), registrar.EntryKeyPrefix(1<<32 - 1)} {
			rows, err := h.sampleEntries(t.Context(), from)
			if err != nil {
				t.Fatal(err)
			}
			slices.SortFunc(rows, func(x, y platform.Row) int { return strings.Compare(x.Key, y.Key) })
			if once := len(slices.CompactFunc(rows, func(x, y platform.Row) bool { return x.Key == y.Key })); once != test.want {
				t.Errorf("%d descriptions of %d from %s, want %d", once, test.others, from, test.want)
			}
		}
	}
}

func TestDescriptionsOfVMsThatHaveGoneAreRemoved(t *testing.T) {
	for _, test := range []struct {
		age  time.Duration
		want int
	}{{peerFresh, 5}, {peerForgotten + time.Second, 1}} {
		h, store := newHost(t, 4, test.age)
		if err := h.meetPeers(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := len(store.Rows(registrar.EntryTable, registrar.EntryPartition)); got != test.want {
			t.Errorf("%d descriptions are left at an age of %s, want %d", got, test.age, test.want)
		}
	}
}
