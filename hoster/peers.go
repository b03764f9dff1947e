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
	// leavingTimeout limits the last write of the record, which tells the others that the process shuts down.
	leavingTimeout = 800 * time.Millisecond
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
	p.recordLeaving()
}

// refreshPeers writes the record of this VM, reads a sample of all records, passes the peers in it to the relayer and deletes the expired records.
func (p *Process) refreshPeers(ctx context.Context) error {
	now := time.Now()
	// The sample is read first, since its response holds the store's time.
	page, err := p.sampleEntries(ctx, registrar.EntryKeyPrefix(rand.Uint32())) //nolint:gosec // A sample needs no cryptographic randomness.
	if err != nil {
		return err
	}
	if page.StoreTime > 0 {
		p.startedMillis = (page.StoreTime - time.Since(p.startedAt)).Milliseconds()
	}
	if err := p.writeEntry(ctx, false); err != nil {
		return err
	}
	p.relay.SetPeers(p.peerEndpoints(page.Rows, now))
	p.removeExpiredEntries(ctx, page.Rows, now)
	return nil
}

// writeEntry writes the record of this VM.
func (p *Process) writeEntry(ctx context.Context, leaving bool) error {
	row := registrar.EntryRow(p.Settings.Node)
	row.Value = registrar.Encode(registrar.Entry{
		PeerEndpoint: p.Settings.PeerAddress, SeenMillis: time.Now().UnixMilli(), ProgressForms: registrar.ProgressForms,
		StartedMillis: p.startedMillis, Cores: p.Settings.Cores, Leaving: leaving,
	})
	_, err := p.store.Transact(ctx, platform.Transaction{Put: []platform.Row{row}})
	return err
}

// recordLeaving tells the other VMs that this process shuts down, so that none names it the successor of an owner.
func (p *Process) recordLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), leavingTimeout)
	defer cancel()
	if err := p.writeEntry(ctx, true); err != nil {
		p.Logger.Warn("shutdown not recorded for the other VMs", "error", err.Error())
	}
}

// sampleEntries reads peerSampleSize records starting at a key, and wraps around to the first key if too few follow.
func (p *Process) sampleEntries(ctx context.Context, from string) (platform.Page, error) {
	page, err := p.store.ListFrom(ctx, registrar.EntryTable, registrar.EntryPartition, from, peerSampleSize)
	if err != nil || len(page.Rows) >= peerSampleSize {
		return page, err
	}
	first, err := p.store.ListFrom(ctx, registrar.EntryTable, registrar.EntryPartition, "", peerSampleSize-len(page.Rows))
	if err != nil {
		return platform.Page{}, err
	}
	for _, row := range first.Rows {
		if row.Key < from {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
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

// peerEndpoints returns the peer addresses of the other VMs that wrote their record recently and do not shut down.
func (p *Process) peerEndpoints(rows []platform.Row, now time.Time) []string {
	var peers []string
	for _, row := range rows {
		entry, err := registrar.Decode[registrar.Entry](row)
		if err != nil {
			p.Logger.Error("invalid record of an entry VM", "row", row.Key, "error", err.Error())
			continue
		}
		if entry.PeerEndpoint != p.Settings.PeerAddress && !entry.Leaving && now.Sub(time.UnixMilli(entry.SeenMillis)) < maxPeerAge {
			peers = append(peers, entry.PeerEndpoint)
		}
	}
	return peers
}
