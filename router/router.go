package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/leaser"
	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/messenger"
	"github.com/snipelift/snipelift/owner"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/spreader"
	"github.com/snipelift/snipelift/storer"
)

// ErrNoOwner means that no owner could be reached before the deadline; the request had no effect.
var ErrNoOwner = errors.New("no owner reachable")

// Options configure a Router.
type Options struct {
	// Entry is the ID of this entry, Incarnation identifies this run of its process, and Address is where other entries call it.
	Entry       string
	Incarnation string
	Zone        string
	Address     string
	Dial        messenger.Dial
	Table       storer.Table
	Objects     storer.Objects
	Workers     dispatcher.Client
	List        lister.List
	Random      func() float64
	NewID       func() string
	// Checked asserts the scheduler's invariants after every event.
	Checked bool
	Logger  *slog.Logger
	Tracer  owner.Tracer
}

// Router connects one entry to the owner and to the other entries of the service.
type Router struct {
	options         Options
	spreader        *spreader.Spreader
	leaser          *leaser.Leaser
	documentChanged chan struct{}
	tasks           sync.WaitGroup

	mu         sync.Mutex
	owner      *owner.Owner
	epoch      int64
	peers      map[string]*messenger.Peer
	peerStatus map[string]messenger.Ping
	vms        []lister.VM
	draining   bool
}

// New returns a Router, which does nothing in the background until Run is called.
func New(options Options) *Router {
	r := &Router{
		options:         options,
		documentChanged: make(chan struct{}, 1),
		peers:           map[string]*messenger.Peer{},
		peerStatus:      map[string]messenger.Ping{},
	}
	r.spreader = spreader.New(spreader.Options{
		Table:       options.Table,
		Random:      options.Random,
		Logger:      options.Logger,
		OnChange:    func(spreader.Version) { notify(r.documentChanged) },
		FetchLatest: r.fetchLatestDocument,
		Broadcast:   r.broadcastDocument,
	})
	r.leaser = leaser.New(leaser.Options{
		Table:   options.Table,
		Holder:  options.Entry,
		Address: options.Address,
		Random:  options.Random,
		NewID:   options.NewID,
		Logger:  options.Logger,
	})
	return r
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Document returns the spreader, which holds this entry's version of the document.
func (r *Router) Document() *spreader.Spreader { return r.spreader }

// Run takes part in leader election, serves as owner while it holds the lease, and tracks the document and the peers.
//
// When the context ends, it releases the lease, notifies the other entries and waits for its goroutines.
func (r *Router) Run(ctx context.Context) {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	r.spawn(func() { r.spreader.Run(background) })
	r.spawn(func() { r.forwardDocument(background) })
	r.spawn(func() { r.trackPeers(background) })
	r.spawn(func() { r.keepAlive(background) })
	r.leaser.Run(ctx, r.serveAsOwner)
	r.announceRelease()
	stop()
	r.tasks.Wait()
	r.closePeers()
}

func (r *Router) spawn(f func()) { r.tasks.Go(f) }

// serveAsOwner runs an owner on this entry for one epoch, once a document is known.
func (r *Router) serveAsOwner(ctx context.Context, epoch int64) {
	version, ok := r.awaitDocument(ctx)
	if !ok {
		return
	}
	o := owner.New(owner.Options{
		Entry:        r.options.Entry,
		Epoch:        epoch,
		Document:     version.Document,
		Table:        r.options.Table,
		Objects:      r.options.Objects,
		Workers:      r.options.Workers,
		List:         r.options.List,
		MayHoldLease: r.leaser.MayHoldLease,
		OnSuperseded: r.leaser.ReportSuperseded,
		Random:       r.options.Random,
		NewID:        r.options.NewID,
		Checked:      r.options.Checked,
		Logger:       r.options.Logger,
		Tracer:       r.options.Tracer,
	})
	r.setOwner(o, epoch)
	defer r.setOwner(nil, 0)
	notify(r.documentChanged)
	o.Run(ctx)
}

func (r *Router) setOwner(o *owner.Owner, epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner = o
	r.epoch = epoch
}

// awaitDocument waits for the first document version; it returns false if the context ends first.
func (r *Router) awaitDocument(ctx context.Context) (spreader.Version, bool) {
	for ctx.Err() == nil {
		if v, err := r.spreader.Current(); err == nil {
			return v, true
		}
		sleeper.Sleep(ctx, documentPollInterval)
	}
	return spreader.Version{}, false
}

const (
	// documentPollInterval is the time between checks for the first document version.
	documentPollInterval = 200 * time.Millisecond
	// routeRetryInterval is the time between attempts to reach the owner.
	routeRetryInterval = 200 * time.Millisecond
	// directPlacementDelay is how long Submit tries to reach the owner before it places an urgent job without one.
	directPlacementDelay = 2 * time.Second
	// longPollTimeout limits one long poll of the owner for a job's answer.
	longPollTimeout = 5 * time.Second
	// responseMargin is subtracted from the timeout of a forwarded long poll, so that the response arrives before the caller's deadline.
	responseMargin = 50 * time.Millisecond
	// callTimeout limits a request that should return at once, to a peer or the table.
	callTimeout = 3 * time.Second
)

// forwardDocument passes each new document version to the owner on this entry, if there is one.
func (r *Router) forwardDocument(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.documentChanged:
		}
		o := r.localOwner()
		v, err := r.spreader.Current()
		if o == nil || err != nil {
			continue
		}
		if err := o.SetDocument(ctx, v.Document); err != nil {
			r.options.Logger.Debug("failed to pass document to owner", "error", err)
		}
	}
}

func (r *Router) localOwner() *owner.Owner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// route reaches the owner, which is either local or a remote peer.
type route struct {
	local  *owner.Owner
	remote *messenger.Peer
}

// route returns the route to the owner, or false if no owner is known.
func (r *Router) route() (route, bool) {
	if o := r.localOwner(); o != nil {
		return route{local: o}, true
	}
	lease, _ := r.leaser.Current()
	if lease.Address == "" || lease.Address == r.options.Address || lease.Released {
		return route{}, false
	}
	return route{remote: r.peer(lease.Address)}, true
}

func (rt route) submit(ctx context.Context, record recorder.OpenJob) (owner.Admission, error) {
	if rt.local != nil {
		return rt.local.Submit(ctx, record)
	}
	var admission owner.Admission
	err := rt.remote.Call(ctx, messenger.MethodSubmit, messenger.SubmitParams{Record: record}, &admission)
	return admission, err
}

func (rt route) wait(ctx context.Context, id string, timeout time.Duration) (owner.Progress, error) {
	if rt.local != nil {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return rt.local.Wait(ctx, id)
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(0, min(timeout, time.Until(deadline)-responseMargin))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout+callTimeout)
	defer cancel()
	var progress owner.Progress
	err := rt.remote.Call(ctx, messenger.MethodWait, messenger.WaitParams{ID: id, WaitMillis: timeout.Milliseconds()}, &progress)
	return progress, err
}

func (rt route) cancel(ctx context.Context, id string) error {
	if rt.local != nil {
		return rt.local.Cancel(ctx, id)
	}
	return rt.remote.Call(ctx, messenger.MethodCancel, messenger.CancelParams{ID: id}, nil)
}

func (rt route) view(ctx context.Context, withJobs bool) (scheduler.View, error) {
	if rt.local != nil {
		return rt.local.View(ctx, withJobs)
	}
	var view scheduler.View
	err := rt.remote.Call(ctx, messenger.MethodView, messenger.ViewParams{WithJobs: withJobs}, &view)
	return view, err
}

// View returns the state of the service from its owner.
func (r *Router) View(ctx context.Context, withJobs bool) (scheduler.View, error) {
	for {
		if rt, ok := r.route(); ok {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			view, err := rt.view(callCtx, withJobs)
			cancel()
			if err == nil {
				return view, nil
			}
		}
		if ctx.Err() != nil {
			return scheduler.View{}, fmt.Errorf("%w: %w", ErrNoOwner, ctx.Err())
		}
		sleeper.Sleep(ctx, routeRetryInterval)
	}
}

// Self returns the status of this entry.
func (r *Router) Self() messenger.Ping {
	ping := messenger.Ping{
		Entry:       r.options.Entry,
		Incarnation: r.options.Incarnation,
		Zone:        r.options.Zone,
		Confirmed:   r.spreader.ConfirmedByTable(),
	}
	if v, err := r.spreader.Current(); err == nil {
		ping.DocumentVersion = v.Number
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ping.Epoch = r.epoch
	ping.Ready = ping.DocumentVersion > 0 && !r.draining
	return ping
}

// Ready reports whether the load balancer should send requests to this entry.
func (r *Router) Ready() bool { return r.Self().Ready }

// Drain makes the entry not ready, so that the load balancer stops sending it requests.
func (r *Router) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}
