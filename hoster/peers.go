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
	// peerFresh is the age beyond which a description is that of a VM that has gone.
	peerFresh = 3 * peerPause
)

// followPeers tells the peers where this VM takes their calls, and the relayer where they do.
func (h *Host) followPeers(ctx context.Context) {
	if h.Settings.LinkAddress == "" {
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

func (h *Host) meetPeers(ctx context.Context) error {
	now := time.Now()
	row := registrar.EntryRow(h.Settings.Node)
	row.Value = registrar.Encode(registrar.Entry{Link: h.Settings.LinkAddress, SeenMillis: now.UnixMilli()})
	if _, err := h.store.Transact(ctx, platform.Transaction{Put: []platform.Row{row}}); err != nil {
		return err
	}
	page, err := h.store.Range(ctx, registrar.EntryTable, registrar.EntryPart, "", "")
	if err != nil {
		return err
	}
	h.relay.SetPeers(h.peersOf(page.Rows, now))
	return nil
}

// peersOf returns the link addresses of the other VMs that described themselves lately.
func (h *Host) peersOf(rows []platform.Row, now time.Time) []string {
	var peers []string
	for _, row := range rows {
		entry, err := registrar.Decode[registrar.Entry](row)
		if err != nil {
			h.Logger.Error("entry VM unreadable", "row", row.Key, "error", err.Error())
			continue
		}
		if entry.Link != h.Settings.LinkAddress && now.Sub(time.UnixMilli(entry.SeenMillis)) < peerFresh {
			peers = append(peers, entry.Link)
		}
	}
	return peers
}
