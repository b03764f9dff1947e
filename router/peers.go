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
	// pingPause is the time between pings of the same peers.
	pingPause = 2 * time.Second
	// pingedPeers is the number of peers that an entry pings; every entry is pinged by as many.
	pingedPeers = 4
	// listPause is the time between looks at the VM list.
	listPause = 5 * time.Second
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

func (r *Router) lastList() []lister.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vms
}

// addresses returns where the other entries of the list are called, in ring order from this entry on.
func (r *Router) addresses() []string {
	var before, after []string
	for _, vm := range r.lastList() {
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

// followPeers keeps the list of VMs fresh and pings the next few entries of the ring.
func (r *Router) followPeers(ctx context.Context) {
	var listedAt time.Time
	for ctx.Err() == nil {
		if time.Since(listedAt) >= listPause {
			r.refreshList(ctx)
			listedAt = time.Now()
		}
		addresses := r.addresses()
		for _, address := range addresses[:min(len(addresses), pingedPeers)] {
			r.spawn(func() { r.ping(ctx, address) })
		}
		sleeper.Sleep(ctx, time.Duration(float64(pingPause)*(0.8+0.4*r.options.Random())))
	}
}

func (r *Router) refreshList(ctx context.Context) {
	vms, err := r.options.List(ctx)
	if err != nil {
		r.options.Logger.Debug("VM list not readable", "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms = vms
	r.forgetPeers()
}

// forgetPeers closes the ways to entries that are no longer listed; the lock is held.
func (r *Router) forgetPeers() {
	lease, _ := r.leaser.Current()
	for address, p := range r.peers {
		listed := slices.ContainsFunc(r.vms, func(vm lister.VM) bool { return vm.Address == address })
		if !listed && address != lease.Address {
			p.Close()
			delete(r.peers, address)
			delete(r.heard, address)
		}
	}
}

// ping tells a peer what this entry knows and learns what the peer knows.
func (r *Router) ping(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer messenger.Ping
	if err := r.peer(address).Call(ctx, messenger.MethodPing, r.Self(), &answer); err != nil {
		r.options.Logger.Debug("peer does not answer", "peer", address, "error", err)
		return
	}
	r.learn(ctx, address, answer)
}

// learn takes in what a peer said of itself; a later document is fetched, an equal one confirms the own.
func (r *Router) learn(ctx context.Context, address string, p messenger.Ping) {
	r.mu.Lock()
	r.heard[address] = p
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

// askDocument returns the latest version that any reachable entry knows.
func (r *Router) askDocument(ctx context.Context) (spreader.Version, error) {
	var latest spreader.Version
	for _, address := range r.addresses() {
		ask, cancel := context.WithTimeout(ctx, callTimeout)
		v, err := r.fetchDocument(ask, address)
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

// tellDocument sends a version to all other entries.
func (r *Router) tellDocument(v spreader.Version) {
	message := messenger.DocumentMessage{Version: v.Number, Text: v.Text}
	r.tellAll(messenger.MethodDocumentChanged, message)
}

// tellReleased lets the other entries claim the lease at once.
func (r *Router) tellReleased() {
	if r.Self().Epoch == 0 {
		r.tellAll(messenger.MethodLeaseReleased, r.Self())
	}
}

func (r *Router) tellAll(method string, params any) {
	for _, address := range r.addresses() {
		r.spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			if err := r.peer(address).Call(ctx, method, params, nil); err != nil {
				r.options.Logger.Debug("peer not told", "peer", address, "method", method, "error", err)
			}
		})
	}
}

// ownerAnswers reports whether the owner can be reached from here.
func (r *Router) ownerAnswers(ctx context.Context) bool {
	w, ok := r.route()
	if !ok {
		return false
	}
	if w.local != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer messenger.Ping
	err := w.remote.Call(ctx, messenger.MethodPing, r.Self(), &answer)
	return err == nil && answer.Epoch > 0
}

// Handlers answers the calls of other entries.
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
		Ping:     r.answerPing,
		Document: r.answerDocument,
		Nudge:    r.answerNudge,
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

func (r *Router) answerPing(_ context.Context, p messenger.Ping) (any, error) {
	if p.Entry != "" {
		r.spreader.ConfirmByPeer(p.DocumentVersion)
	}
	return r.Self(), nil
}

func (r *Router) answerDocument(context.Context, messenger.DocumentMessage) (any, error) {
	v, err := r.spreader.Current()
	if errors.Is(err, spreader.ErrNoDocument) {
		return messenger.DocumentMessage{}, nil
	}
	return messenger.DocumentMessage{Version: v.Number, Text: v.Text}, err
}

func (r *Router) answerNudge(_ context.Context, p messenger.DocumentMessage) (any, error) {
	v, err := spreader.Parse(p.Version, p.Text)
	if err != nil {
		return nil, err
	}
	r.spreader.Apply(v)
	return r.Self(), nil
}

// Entries returns what this entry has heard of the entries that it pings, by address.
func (r *Router) Entries() map[string]messenger.Ping {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := map[string]messenger.Ping{}
	for address, p := range r.heard {
		entries[address] = p
	}
	return entries
}
