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

func TestPeersAreOtherVMsWithRecentRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	row := func(node, endpoint string, age time.Duration) platform.Row {
		r := registrar.EntryRow(node)
		r.Value = registrar.Encode(registrar.Entry{PeerEndpoint: endpoint, SeenMillis: now.Add(-age).UnixMilli()})
		return r
	}
	invalid := registrar.EntryRow("other")
	invalid.Value = []byte("{")
	p := &Process{Logger: slog.New(slog.DiscardHandler), Settings: platform.Settings{PeerAddress: "10.0.0.1:7001"}}
	got := p.peerEndpoints([]platform.Row{
		row("self", "10.0.0.1:7001", 0),
		row("recent", "10.0.0.2:7001", maxPeerAge-time.Second),
		row("clock ahead", "10.0.0.3:7001", -2*time.Second),
		row("gone", "10.0.0.4:7001", maxPeerAge),
		invalid,
	}, now)
	if want := []string{"10.0.0.2:7001", "10.0.0.3:7001"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// newProcess returns a process with a fake store that holds records of other VMs, all of the given age.
func newProcess(t *testing.T, others int, age time.Duration) (*Process, *faker.RowStore) {
	t.Helper()
	store := faker.NewRowStore()
	board := faker.NewHTTPNetwork()
	board.Handle("store:1", store)
	p := &Process{
		Logger: slog.New(slog.DiscardHandler), Settings: platform.Settings{Node: "self", PeerAddress: "self:1", Cores: 0.8}, startedAt: time.Now(),
		store: &platform.Store{Client: board.Client("self"), Address: "store:1", Timeout: time.Second}, relay: &relayer.Relayer{},
	}
	for i := range others {
		row := registrar.EntryRow(fmt.Sprintf("node-%d", i))
		row.Value = registrar.Encode(registrar.Entry{PeerEndpoint: fmt.Sprintf("10.0.0.1:%d", i), SeenMillis: time.Now().Add(-age).UnixMilli()})
		if _, err := p.store.Transact(t.Context(), platform.Transaction{Put: []platform.Row{row}}); err != nil {
			t.Fatal(err)
		}
	}
	return p, store
}

func TestPeerSampleSizeIsBounded(t *testing.T) {
	for _, test := range []struct{ others, want int }{{0, 0}, {8, 8}, {31, 31}, {32, 32}, {300, 32}, {3000, 32}} {
		p, _ := newProcess(t, test.others, 0)
		for _, from := range []string{registrar.EntryKeyPrefix(0), registrar.EntryKeyPrefix(1 << 31), registrar.EntryKeyPrefix(1<<32 - 1)} {
			page, err := p.sampleEntries(t.Context(), from)
			if err != nil {
				t.Fatal(err)
			}
			rows := page.Rows
			slices.SortFunc(rows, func(x, y platform.Row) int { return strings.Compare(x.Key, y.Key) })
			if distinct := len(slices.CompactFunc(rows, func(x, y platform.Row) bool { return x.Key == y.Key })); distinct != test.want {
				t.Errorf("read %d different records of %d starting at %s, want %d", distinct, test.others, from, test.want)
			}
		}
	}
}

func TestExpiredEntriesAreRemoved(t *testing.T) {
	for _, test := range []struct {
		age  time.Duration
		want int
	}{{maxPeerAge, 5}, {peerExpiry + time.Second, 1}} {
		p, store := newProcess(t, 4, test.age)
		if err := p.refreshPeers(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := len(store.Rows(registrar.EntryTable, registrar.EntryPartition)); got != test.want {
			t.Errorf("%d records are left at an age of %s, want %d", got, test.age, test.want)
		}
	}
}

// An owner that shuts down chooses its successor by these records; without the state of a VM that shuts down it would name that one.
func TestTheRecordTellsStartAndShutdown(t *testing.T) {
	p, store := newProcess(t, 2, 0)
	// The clock of the fake store starts with it.
	time.Sleep(5 * time.Millisecond)
	p.startedAt = time.Now()
	read := func() registrar.Entry {
		entry, err := registrar.Decode[registrar.Entry](platform.Row{Value: store.Rows(registrar.EntryTable, registrar.EntryPartition)[registrar.EntryRow("self").Key]})
		if err != nil {
			t.Fatal(err)
		}
		return entry
	}
	if err := p.refreshPeers(t.Context()); err != nil {
		t.Fatal(err)
	}
	started := read()
	if started.StartedMillis <= 0 || started.Cores != 0.8 || started.Leaving {
		t.Errorf("after the start: %+v", started)
	}
	p.recordLeaving()
	if left := read(); !left.Leaving || left.StartedMillis != started.StartedMillis {
		t.Errorf("at shutdown: %+v, started at %d", left, started.StartedMillis)
	}
	row := registrar.EntryRow("self")
	row.Value = registrar.Encode(read())
	other := &Process{Logger: p.Logger, Settings: platform.Settings{PeerAddress: "other:1"}}
	if peers := other.peerEndpoints([]platform.Row{row}, time.Now()); len(peers) != 0 {
		t.Errorf("a VM that shuts down is used as a peer: %v", peers)
	}
}
