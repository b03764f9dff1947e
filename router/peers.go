package router

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/messenger"
	"github.com/snipelift/snipelift/owner"
	"github.com/snipelift/snipelift/spreader"
)

const (
	// pingInterval is the mean time between pings of the same peer.
	pingInterval = 2 * time.Second
	// pingFanout is the number of peers that an entry pings.
	//
	// They are the next ones in a ring, so every entry is also pinged by as many.
	pingFanout = 4
	// listInterval is the minimum time between reads of the VM list.
	listInterval = 5 * time.Second
)

func (r *Router) peer(address string) *messenger.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[address]
	if p == nil {
		p = messenger.NewPeer(address, r.options.Dial)
		r.peers[address] = p
	}
	return p
}

func (r *Router) closePeers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.Close()
	}
}

func (r *Router) listedVMs() []lister.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vms
}

// peerAddresses returns the addresses of the other listed entries, sorted as a ring that starts after this entry.
func (r *Router) peerAddresses() []string {
	var before, after []string
	for _, vm := range r.listedVMs() {
		switch {
		case vm.Role != lister.RoleEntry || vm.Address == r.options.Address:
		case vm.Address < r.options.Address:
			before = append(before, vm.Address)
		default:
			after = append(after, vm.Address)
		}
	}
	slices.Sort(before)
	slices.Sort(after)
	return append(after, before...)
}

// trackPeers refreshes the VM list and pings the next pingFanout entries of the ring.
func (r *Router) trackPeers(ctx context.Context) {
	var listedAt time.Time
	for ctx.Err() == nil {
		if time.Since(listedAt) >= listInterval {
			r.refreshVMs(ctx)
			listedAt = time.Now()
		}
		peerAddresses := r.peerAddresses()
		for _, address := range peerAddresses[:min(len(peerAddresses), pingFanout)] {
			r.spawn(func() { r.ping(ctx, address) })
		}
		sleeper.Sleep(ctx, time.Duration(float64(pingInterval)*(0.8+0.4*r.options.Random())))
	}
}

func (r *Router) refreshVMs(ctx context.Context) {
	vms, err := r.options.List(ctx)
	if err != nil {
		r.options.Logger.Debug("failed to read VM list", "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms = vms
	r.closeUnlistedPeers()
}

// closeUnlistedPeers closes and removes the peers that are no longer listed, except the lease holder; the caller holds r.mu.
func (r *Router) closeUnlistedPeers() {
	lease, _ := r.leaser.Current()
	for address, p := range r.peers {
		listed := slices.ContainsFunc(r.vms, func(vm lister.VM) bool { return vm.Address == address })
		if !listed && address != lease.Address {
			p.Close()
			delete(r.peers, address)
			delete(r.peerStatus, address)
		}
	}
}

// ping exchanges status with a peer.
func (r *Router) ping(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var status messenger.Ping
	if err := r.peer(address).Call(ctx, messenger.MethodPing, r.Self(), &status); err != nil {
		r.options.Logger.Debug("failed to ping peer", "peer", address, "error", err)
		return
	}
	r.handlePeerStatus(ctx, address, status)
}

// handlePeerStatus stores a peer's status and fetches its document if that is newer; otherwise the peer confirms the current version.
func (r *Router) handlePeerStatus(ctx context.Context, address string, p messenger.Ping) {
	r.mu.Lock()
	r.peerStatus[address] = p
	r.mu.Unlock()
	if p.DocumentVersion > r.Self().DocumentVersion {
		if v, err := r.fetchDocument(ctx, address); err == nil {
			r.spreader.Apply(v)
		}
		return
	}
	r.spreader.ConfirmByPeer(p.DocumentVersion)
}

func (r *Router) fetchDocument(ctx context.Context, address string) (spreader.Version, error) {
	var message messenger.DocumentMessage
	err := r.peer(address).Call(ctx, messenger.MethodDocument, messenger.DocumentMessage{}, &message)
	if err != nil {
		return spreader.Version{}, err
	}
	if message.Version == 0 {
		return spreader.Version{}, spreader.ErrNoDocument
	}
	return spreader.Parse(message.Version, message.Text)
}

// fetchLatestDocument returns the latest version known to any reachable entry, or spreader.ErrNoDocument.
func (r *Router) fetchLatestDocument(ctx context.Context) (spreader.Version, error) {
	var latest spreader.Version
	for _, address := range r.peerAddresses() {
		fetchCtx, cancel := context.WithTimeout(ctx, callTimeout)
		v, err := r.fetchDocument(fetchCtx, address)
		cancel()
		if err == nil && v.Number > latest.Number {
			latest = v
		}
	}
	if latest.Number == 0 {
		return latest, spreader.ErrNoDocument
	}
	return latest, nil
}

// broadcastDocument sends a document version to all other entries.
func (r *Router) broadcastDocument(v spreader.Version) {
	message := messenger.DocumentMessage{Version: v.Number, Text: v.Text}
	r.broadcast(messenger.MethodDocumentChanged, message)
}

// announceRelease tells all other entries that the lease may be free, so that they try to acquire it without waiting for the next poll.
func (r *Router) announceRelease() {
	if r.Self().Epoch == 0 {
		r.broadcast(messenger.MethodLeaseReleased, r.Self())
	}
}

func (r *Router) broadcast(method string, params any) {
	for _, address := range r.peerAddresses() {
		r.spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			if err := r.peer(address).Call(ctx, method, params, nil); err != nil {
				r.options.Logger.Debug("failed to notify peer", "peer", address, "method", method, "error", err)
			}
		})
	}
}

// ownerReachable reports whether the owner is on this entry or responds to a ping.
func (r *Router) ownerReachable(ctx context.Context) bool {
	rt, ok := r.route()
	if !ok {
		return false
	}
	if rt.local != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var status messenger.Ping
	err := rt.remote.Call(ctx, messenger.MethodPing, r.Self(), &status)
	return err == nil && status.Epoch > 0
}

// Handlers returns the handlers for calls of other entries.
func (r *Router) Handlers() messenger.Handlers {
	return messenger.Handlers{
		Submit: func(ctx context.Context, p messenger.SubmitParams) (any, error) {
			return withOwner(r, func(o *owner.Owner) (any, error) { return o.Submit(ctx, p.Record) })
		},
		Wait: func(ctx context.Context, p messenger.WaitParams) (any, error) {
			ctx, cancel := context.WithTimeout(ctx, time.Duration(p.WaitMillis)*time.Millisecond)
			defer cancel()
			return withOwner(r, func(o *owner.Owner) (any, error) { return o.Wait(ctx, p.ID) })
		},
		Cancel: func(ctx context.Context, p messenger.CancelParams) (any, error) {
			return withOwner(r, func(o *owner.Owner) (any, error) { return nil, o.Cancel(ctx, p.ID) })
		},
		View: func(ctx context.Context, p messenger.ViewParams) (any, error) {
			return withOwner(r, func(o *owner.Owner) (any, error) { return o.View(ctx, p.WithJobs) })
		},
		Ping:     r.handlePing,
		Document: r.handleDocument,
		Nudge:    r.handleDocumentChanged,
		LeaseReleased: func(context.Context, messenger.Ping) (any, error) {
			r.leaser.Nudge()
			return nil, nil
		},
	}
}

func withOwner(r *Router, f func(o *owner.Owner) (any, error)) (any, error) {
	o := r.localOwner()
	if o == nil {
		return nil, owner.ErrNotOwner
	}
	return f(o)
}

func (r *Router) handlePing(_ context.Context, p messenger.Ping) (any, error) {
	if p.Entry != "" {
		r.spreader.ConfirmByPeer(p.DocumentVersion)
	}
	return r.Self(), nil
}

func (r *Router) handleDocument(context.Context, messenger.DocumentMessage) (any, error) {
	v, err := r.spreader.Current()
	if errors.Is(err, spreader.ErrNoDocument) {
		return messenger.DocumentMessage{}, nil
	}
	return messenger.DocumentMessage{Version: v.Number, Text: v.Text}, err
}

func (r *Router) handleDocumentChanged(_ context.Context, p messenger.DocumentMessage) (any, error) {
	v, err := spreader.Parse(p.Version, p.Text)
	if err != nil {
		return nil, err
	}
	r.spreader.Apply(v)
	return r.Self(), nil
}

// Entries returns the last status of each peer that this entry pings, by address.
func (r *Router) Entries() map[string]messenger.Ping {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := map[string]messenger.Ping{}
	for address, p := range r.peerStatus {
		entries[address] = p
	}
	return entries
}
