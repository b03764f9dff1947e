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
	// initialPeerInterval is the shorter interval after the start, so that VMs that start together find each other soon.
	initialPeerInterval = 2 * time.Second
	// peerInterval is the mean time between two writes of this VM's record and reads of its peers' records.
	peerInterval = 15 * time.Second
	// peerSampleSize is the number of records that a VM reads: of 32 peers some remain usable while the store is unavailable from two thirds of the VMs, and the total read load grows only linearly with the number of VMs.
	peerSampleSize = 32
	// peerExpiry is the age at which the record of a VM is deleted.
	peerExpiry = 10 * time.Minute
	// maxPeerAge is the age from which the VM of a record is considered gone and no longer used as a peer.
	maxPeerAge = 3 * peerInterval
)

// maintainPeers periodically publishes the peer address of this VM and passes those of other VMs to the relayer.
func (p *Process) maintainPeers(ctx context.Context) {
	if p.Settings.PeerAddress == "" {
		return
	}
	pause := initialPeerInterval
	for ctx.Err() == nil {
		if err := p.refreshPeers(ctx); err != nil && ctx.Err() == nil {
			p.Logger.Warn("cannot refresh peers", "error", err.Error())
		}
		sleeper.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(pause))) //nolint:gosec // Jitter needs no cryptographic randomness.
		pause = peerInterval
	}
}

// refreshPeers writes the record of this VM, reads a sample of all records, passes the peers in it to the relayer and deletes the expired records.
func (p *Process) refreshPeers(ctx context.Context) error {
	now := time.Now()
	row := registrar.EntryRow(p.Settings.Node)
	row.Value = registrar.Encode(registrar.Entry{PeerEndpoint: p.Settings.PeerAddress, SeenMillis: now.UnixMilli(), ProgressForms: registrar.ProgressForms})
	if _, err := p.store.Transact(ctx, platform.Transaction{Put: []platform.Row{row}}); err != nil {
		return err
	}
	rows, err := p.sampleEntries(ctx, registrar.EntryKeyPrefix(rand.Uint32())) //nolint:gosec // A sample needs no cryptographic randomness.
	if err != nil {
		return err
	}
	p.relay.SetPeers(p.peerEndpoints(rows, now))
	p.removeExpiredEntries(ctx, rows, now)
	return nil
}

// sampleEntries reads peerSampleSize records starting at a key, and wraps around to the first key if too few follow.
func (p *Process) sampleEntries(ctx context.Context, from string) ([]platform.Row, error) {
	page, err := p.store.ListFrom(ctx, registrar.EntryTable, registrar.EntryPartition, from, peerSampleSize)
	if err != nil || len(page.Rows) >= peerSampleSize {
		return page.Rows, err
	}
	first, err := p.store.ListFrom(ctx, registrar.EntryTable, registrar.EntryPartition, "", peerSampleSize-len(page.Rows))
	if err != nil {
		return nil, err
	}
	for _, row := range first.Rows {
		if row.Key < from {
			page.Rows = append(page.Rows, row)
		}
	}
	return page.Rows, nil
}

// removeExpiredEntries deletes expired and invalid records, unless they have been written again since they were read.
func (p *Process) removeExpiredEntries(ctx context.Context, rows []platform.Row, now time.Time) {
	var expired []platform.Row
	for _, row := range rows {
		entry, err := registrar.Decode[registrar.Entry](row)
		if err != nil || now.Sub(time.UnixMilli(entry.SeenMillis)) > peerExpiry {
			expired = append(expired, row)
		}
	}
	if len(expired) == 0 {
		return
	}
	_, err := p.store.Transact(ctx, platform.Transaction{Expect: expired, Remove: expired})
	if err != nil {
		p.Logger.Info("cannot delete expired records of entry VMs; will retry", "rows", len(expired), "error", err.Error())
		return
	}
	p.Logger.Info("deleted expired records of entry VMs", "rows", len(expired))
}

// peerEndpoints returns the peer addresses of the other VMs that wrote their record recently.
func (p *Process) peerEndpoints(rows []platform.Row, now time.Time) []string {
	var peers []string
	for _, row := range rows {
		entry, err := registrar.Decode[registrar.Entry](row)
		if err != nil {
			p.Logger.Error("invalid record of an entry VM", "row", row.Key, "error", err.Error())
			continue
		}
		if entry.PeerEndpoint != p.Settings.PeerAddress && now.Sub(time.UnixMilli(entry.SeenMillis)) < maxPeerAge {
			peers = append(peers, entry.PeerEndpoint)
		}
	}
	return peers
}
