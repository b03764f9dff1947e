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

// ErrNoOwner means that no owner could be reached in time; nothing was done.
var ErrNoOwner = errors.New("no owner reachable")

// Options configure a Router.
type Options struct {
	// Entry is the ID of this entry, Incarnation tells it from its predecessors, and Address is where its peers call it.
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
	Checked     bool
	Logger      *slog.Logger
	Tracer      owner.Tracer
}

// Router is one entry's part in the service.
type Router struct {
	options  Options
	spreader *spreader.Spreader
	leaser   *leaser.Leaser
	changed  chan struct{}
	tasks    sync.WaitGroup

	mu       sync.Mutex
	owner    *owner.Owner
	epoch    int64
	peers    map[string]*messenger.Peer
	heard    map[string]messenger.Ping
	vms      []lister.VM
	draining bool
}

// New returns a router that does nothing until Run.
func New(options Options) *Router {
	r := &Router{
		options: options,
		changed: make(chan struct{}, 1),
		peers:   map[string]*messenger.Peer{},
		heard:   map[string]messenger.Ping{},
	}
	r.spreader = spreader.New(spreader.Options{
		Table:       options.Table,
		Random:      options.Random,
		Logger:      options.Logger,
		OnChange:    func(spreader.Version) { wake(r.changed) },
		FetchLatest: r.askDocument,
		Broadcast:   r.tellDocument,
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

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Document returns the part of the router that holds the document.
func (r *Router) Document() *spreader.Spreader { return r.spreader }

// Run takes part in the service until the context ends, then hands ownership on and returns when all is quiet.
func (r *Router) Run(ctx context.Context) {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	r.spawn(func() { r.spreader.Run(background) })
	r.spawn(func() { r.followDocument(background) })
	r.spawn(func() { r.followPeers(background) })
	r.spawn(func() { r.keepAlive(background) })
	r.leaser.Run(ctx, r.own)
	r.tellReleased()
	stop()
	r.tasks.Wait()
	r.closePeers()
}

func (r *Router) spawn(f func()) { r.tasks.Go(f) }

// own serves as owner for one epoch.
func (r *Router) own(ctx context.Context, epoch int64) {
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
	wake(r.changed)
	o.Run(ctx)
}

func (r *Router) setOwner(o *owner.Owner, epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner = o
	r.epoch = epoch
}

// awaitDocument returns the version in force once there is one.
func (r *Router) awaitDocument(ctx context.Context) (spreader.Version, bool) {
	for ctx.Err() == nil {
		if v, err := r.spreader.Current(); err == nil {
			return v, true
		}
		sleeper.Sleep(ctx, documentPause)
	}
	return spreader.Version{}, false
}

const (
	// documentPause is the time between looks for a first document.
	documentPause = 200 * time.Millisecond
	// routePause is the time between tries to reach an owner.
	routePause = 200 * time.Millisecond
	// directAfter is how long an owner may be unreachable before urgent work is placed without one.
	directAfter = 2 * time.Second
	// waitChunk is how long one question after an answer is left open.
	waitChunk = 5 * time.Second
	// answerMargin is taken off a question that is passed on, so that the answer is back in time.
	answerMargin = 50 * time.Millisecond
	// callTimeout bounds calls to peers that are answered at once.
	callTimeout = 3 * time.Second
)

// followDocument gives each new version to the owner on this entry.
func (r *Router) followDocument(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
		}
		o := r.localOwner()
		v, err := r.spreader.Current()
		if o == nil || err != nil {
			continue
		}
		if err := o.SetDocument(ctx, v.Document); err != nil {
			r.options.Logger.Debug("document not given to owner", "error", err)
		}
	}
}

func (r *Router) localOwner() *owner.Owner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// route is a way to the owner, on this entry or another.
type route struct {
	local  *owner.Owner
	remote *messenger.Peer
}

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

func (w route) submit(ctx context.Context, record recorder.Open) (owner.Admission, error) {
	if w.local != nil {
		return w.local.Submit(ctx, record)
	}
	var admission owner.Admission
	err := w.remote.Call(ctx, messenger.MethodSubmit, messenger.SubmitParams{Record: record}, &admission)
	return admission, err
}

func (w route) wait(ctx context.Context, id string, chunk time.Duration) (owner.Progress, error) {
	if w.local != nil {
		ctx, cancel := context.WithTimeout(ctx, chunk)
		defer cancel()
		return w.local.Wait(ctx, id)
	}
	if deadline, ok := ctx.Deadline(); ok {
		chunk = max(0, min(chunk, time.Until(deadline)-answerMargin))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), chunk+callTimeout)
	defer cancel()
	var progress owner.Progress
	err := w.remote.Call(ctx, messenger.MethodWait, messenger.WaitParams{ID: id, WaitMillis: chunk.Milliseconds()}, &progress)
	return progress, err
}

func (w route) cancel(ctx context.Context, id string) error {
	if w.local != nil {
		return w.local.Cancel(ctx, id)
	}
	return w.remote.Call(ctx, messenger.MethodCancel, messenger.CancelParams{ID: id}, nil)
}

func (w route) view(ctx context.Context, withJobs bool) (scheduler.View, error) {
	if w.local != nil {
		return w.local.View(ctx, withJobs)
	}
	var view scheduler.View
	err := w.remote.Call(ctx, messenger.MethodView, messenger.ViewParams{WithJobs: withJobs}, &view)
	return view, err
}

// View returns the state of the service as its owner sees it.
func (r *Router) View(ctx context.Context, withJobs bool) (scheduler.View, error) {
	for {
		if w, ok := r.route(); ok {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			view, err := w.view(call, withJobs)
			cancel()
			if err == nil {
				return view, nil
			}
		}
		if ctx.Err() != nil {
			return scheduler.View{}, fmt.Errorf("%w: %w", ErrNoOwner, ctx.Err())
		}
		sleeper.Sleep(ctx, routePause)
	}
}

// Self tells who this entry is and what it knows.
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

// Ready reports whether the entry should get requests from the balancer.
func (r *Router) Ready() bool { return r.Self().Ready }

// Drain makes the entry not ready, so that the balancer looks elsewhere.
func (r *Router) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}
