package hoster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// firstPeerPause lets VMs that start together find each other.
	firstPeerPause = 2 * time.Second
	// peerPause is the time between two descriptions of this VM, and between two readings of its peers.
	peerPause = 15 * time.Second
	// peerSample is the number of VMs that a VM asks about; of 32 some are left when two thirds do without the store, and what all VMs read grows no faster than their number.
	peerSample = 32
	// peerForgotten is the age at which the description of a VM that has gone is removed.
	peerForgotten = 10 * time.Minute
	// peerFresh is the age beyond which a description is that of a VM that has gone.
	peerFresh = 3 * peerPause
)

// followPeers tells the peers where this VM takes their calls, and the relayer where they do.
func (h *Process) followPeers(ctx context.Context) {
	if h.Settings.PeerAddress == "" {
		return
	}
	pause := firstPeerPause
	for ctx.Err() == nil {
		if err := h.meetPeers(ctx); err != nil && ctx.Err() == nil {
			h.Logger.Warn("peers not read", "error", err.Error())
		}
		sleeper.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(pause))) //nolint:gosec // Jitter needs no secrecy.
		pause = peerPause
	}
}

func (h *Process) meetPeers(ctx context.Context) error {
	now := time.Now()
	row := registrar.EntryRow(h.Settings.Node)
	row.Value = registrar.Encode(registrar.Entry{PeerEndpoint: h.Settings.PeerAddress, SeenMillis: now.UnixMilli()})
	if _, err := h.store.Transact(ctx, platform.Transaction{Put: []platform.Row{row}}); err != nil {
		return err
	}
	rows, err := h.sampleEntries(ctx, registrar.EntryKeyPrefix(rand.Uint32())) //nolint:gosec // A sample needs no secrecy.
	if err != nil {
		return err
	}
	h.relay.SetPeers(h.peersOf(rows, now))
	h.forgetEntries(ctx, rows, now)
	return nil
}

// sampleEntries reads the descriptions that follow a key, and those at the beginning if there are too few.
func (h *Process) sampleEntries(ctx context.Context, from string) ([]platform.Row, error) {
	page, err := h.store.ListFrom(ctx, registrar.EntryTable, registrar.EntryPartition, from, peerSample)
	if err != nil || len(page.Rows) >= peerSample {
		return page.Rows, err
	}
	rest, err := h.store.ListFrom(ctx, registrar.EntryTable, registrar.EntryPartition, "", peerSample-len(page.Rows))
	if err != nil {
		return nil, err
	}
	for _, row := range rest.Rows {
		if row.Key < from {
			page.Rows = append(page.Rows, row)
		}
	}
	return page.Rows, nil
}

// forgetEntries removes descriptions of VMs that have gone, unless they come back meanwhile.
func (h *Process) forgetEntries(ctx context.Context, rows []platform.Row, now time.Time) {
	var gone []platform.Row
	for _, row := range rows {
		entry, err := registrar.Decode[registrar.Entry](row)
		if err != nil || now.Sub(time.UnixMilli(entry.SeenMillis)) > peerForgotten {
			gone = append(gone, row)
		}
	}
	if len(gone) == 0 {
		return
	}
	_, err := h.store.Transact(ctx, platform.Transaction{Expect: gone, Remove: gone})
	if err != nil {
		h.Logger.Info("descriptions of VMs that have gone not removed, trying again later", "rows", len(gone), "error", err.Error())
		return
	}
	h.Logger.Info("descriptions of VMs that have gone removed", "rows", len(gone))
}

// peersOf returns the link addresses of the other VMs that described themselves lately.
func (h *Process) peersOf(rows []platform.Row, now time.Time) []string {
	var peers []string
	for _, row := range rows {
		entry, err := registrar.Decode[registrar.Entry](row)
		if err != nil {
			h.Logger.Error("entry VM unreadable", "row", row.Key, "error", err.Error())
			continue
		}
		if entry.PeerEndpoint != h.Settings.PeerAddress && now.Sub(time.UnixMilli(entry.SeenMillis)) < peerFresh {
			peers = append(peers, entry.PeerEndpoint)
		}
	}
	return peers
}
