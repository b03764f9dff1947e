package follower

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// feedWait limits one long poll, so that a dead connection is detected within the time in which a new configuration has to take effect.
	feedWait = 700 * time.Millisecond
	// retryPause is the time between attempts while the store does not respond.
	retryPause = 150 * time.Millisecond
	// probeTimeout limits one probe of an unavailable store; a slow store responds to a read within a third of a second.
	probeTimeout = 500 * time.Millisecond
	// probeKey is the key that a probe reads; the operator's table has no such row.
	probeKey = "snipelift-probe"
	// reportInterval is the time between log lines about failed reads while the store is unavailable.
	reportInterval = 2 * time.Second
)

// Follower holds the newest configuration and the newest set of evacuated zones that this process has read; it never returns to an older configuration.
type Follower struct {
	Store  *platform.Store
	Logger *slog.Logger
	// OnChange is called with each new configuration; it may be nil.
	OnChange func(*Snapshot)
	// Clock returns a monotonic time that includes suspends of the VM; nil means the wall clock.
	Clock func() time.Duration

	current    atomic.Pointer[Snapshot]
	evacuation atomic.Pointer[Evacuation]
	// appliedVersion is the highest version of the store of which a page was applied; only Run uses it.
	appliedVersion int64
	// hooks are called after each change of the evacuated zones; lastHook numbers them.
	hooksMu  sync.Mutex
	hooks    map[int]func()
	lastHook int

	storeUnavailable atomic.Bool
	known            atomic.Pointer[knowledge]
	// reportedAt is the time of the last log line about failed reads, and failures is the number of failed reads since the last successful one.
	reportedAt time.Time
	failures   int
}

// knowledge is the result of a successful read.
type knowledge struct {
	// at is a time at which the current configuration was the newest one.
	at time.Duration
	// replaced is closed by the next successful read.
	replaced chan struct{}
}

// Age returns the time since which the current configuration and the set of evacuated zones may have been replaced, or false if no read has succeeded yet.
func (f *Follower) Age() (time.Duration, bool) {
	known := f.known.Load()
	if known == nil {
		return 0, false
	}
	return f.now() - known.at, true
}

// Failing reports whether the latest read failed.
func (f *Follower) Failing() bool { return f.storeUnavailable.Load() }

// Await waits until the current configuration is known to have been the newest one within maxAge, and reports whether it is.
func (f *Follower) Await(ctx context.Context, maxAge time.Duration) bool {
	for {
		known := f.known.Load()
		if known == nil {
			return false
		}
		if f.now()-known.at <= maxAge {
			return true
		}
		select {
		case <-known.replaced:
		case <-ctx.Done():
			return false
		}
	}
}

func (f *Follower) now() time.Duration {
	if f.Clock != nil {
		return f.Clock()
	}
	return time.Duration(time.Now().UnixNano())
}

// recordKnown records that the current configuration was the newest one at a time.
func (f *Follower) recordKnown(at time.Duration) {
	if previous := f.known.Swap(&knowledge{at: at, replaced: make(chan struct{})}); previous != nil {
		close(previous.replaced)
	}
}

// Snapshot is one version of the configuration, with its organisations indexed by API key and its queues by host.
type Snapshot struct {
	platform.Config

	organisationsByKey map[string]string
	queuesByHost       map[string][]platform.Queue
}

func newSnapshot(c platform.Config) *Snapshot {
	s := &Snapshot{Config: c, organisationsByKey: map[string]string{}, queuesByHost: map[string][]platform.Queue{}}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			s.organisationsByKey[key] = o.Name
		}
	}
	for _, q := range c.Queues {
		host := strings.ToLower(q.Host)
		s.queuesByHost[host] = append(s.queuesByHost[host], q)
	}
	return s
}

// Organisation returns the name of the organisation that an API key belongs to, or false.
func (s *Snapshot) Organisation(key string) (string, bool) {
	name, ok := s.organisationsByKey[key]
	return name, ok
}

// Queue returns the queue at the host whose prefix is the longest match of the path, or false.
func (s *Snapshot) Queue(host, path string) (platform.Queue, bool) {
	var best platform.Queue
	found := false
	for _, q := range s.queuesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// Current returns the newest configuration, or nil if none has been read yet.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Run watches the configuration until the context ends.
func (f *Follower) Run(ctx context.Context) {
	version := int64(-1)
	for ctx.Err() == nil {
		var err error
		var operation string
		start := time.Now()
		switch {
		case f.storeUnavailable.Load():
			operation, err = "probe", f.probe(ctx)
		case version < 0:
			operation = "read"
			version, err = f.read(ctx)
		default:
			operation = "feed"
			version, err = f.follow(ctx, version)
		}
		if ctx.Err() == nil {
			f.recordResult(operation, time.Since(start), err)
		}
		if err != nil && ctx.Err() == nil {
			sleeper.Sleep(ctx, retryPause)
		}
	}
}

// probe reads a row that does not exist from an unavailable store, so that its recovery is detected quickly; the response has the same size for any configuration.
func (f *Follower) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := f.Store.Get(ctx, platform.OperatorTable, "", probeKey)
	return err
}

// read loads the current configuration and returns the version from which to follow the feed.
func (f *Follower) read(ctx context.Context) (int64, error) {
	start := f.now()
	page, err := f.Store.Range(ctx, platform.OperatorTable, "", "", "")
	if err != nil {
		return -1, err
	}
	outdated := page.Version < f.appliedVersion
	f.applyRows(page, start)
	f.replaceEvacuation(page)
	if !outdated {
		f.recordKnown(start)
	}
	return page.Version, nil
}

func (f *Follower) follow(ctx context.Context, version int64) (int64, error) {
	wait := feedWait
	if age, _ := f.Age(); age > 2*feedWait {
		// After a pause of the process or of the store, requests may wait for the response.
		wait = 0
	}
	start := f.now()
	page, err := f.Store.Feed(ctx, platform.OperatorTable, version, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		f.Logger.Info("configuration history no longer kept; reloading", "version", version)
		return -1, nil
	}
	if errors.Is(err, platform.ErrIncomplete) {
		// The feed may hold several versions of the configuration; a read holds only the newest.
		return -1, err
	}
	if err != nil {
		return version, err
	}
	f.applyRows(page, start)
	f.changeEvacuation(page)
	if len(page.Rows) == 0 && f.now()-start >= wait {
		// The store found no change during the whole wait.
		start += wait
	}
	f.recordKnown(start)
	return max(version, page.Version), nil
}

// recordResult logs the first failed read, one in reportInterval of those that follow, and the recovery.
func (f *Follower) recordResult(operation string, took time.Duration, err error) {
	if err == nil {
		if f.storeUnavailable.Swap(false) {
			f.Logger.Info("store answers again", "operation", operation, "failures", f.failures, f.belief())
		}
		f.failures = 0
		return
	}
	f.failures++
	if !f.storeUnavailable.Swap(true) {
		f.reportedAt = time.Now()
		f.Logger.Warn("store does not answer", "operation", operation, "took", took.String(), "error", err.Error(), f.belief())
		return
	}
	if time.Since(f.reportedAt) >= reportInterval {
		f.reportedAt = time.Now()
		f.Logger.Warn("configuration may be out of date", "operation", operation, "took", took.String(), "failures", f.failures, "error", err.Error(), f.belief())
	}
}

// belief returns the version in force and its age as a log attribute.
func (f *Follower) belief() slog.Attr {
	var version int64
	if current := f.current.Load(); current != nil {
		version = current.Version
	}
	age, known := f.Age()
	return slog.Group("config", "version", version, "age", age.Truncate(time.Millisecond).String(), "known", known)
}

// applyRows puts the newest configuration of a page into force; the page was requested at start.
func (f *Follower) applyRows(page platform.Page, start time.Duration) {
	for _, r := range page.Rows {
		if r.Key != platform.ConfigKey || r.Deleted {
			continue
		}
		c, err := platform.DecodeConfig(r.Value)
		if err != nil {
			f.Logger.Error("invalid configuration; keeping the previous one", "row", r.Version, "error", err.Error())
			continue
		}
		old := f.current.Load()
		if old != nil && c.Version <= old.Version {
			continue
		}
		s := newSnapshot(c)
		f.current.Store(s)
		f.Logger.Info("configuration in force", "version", c.Version, "row", r.Version, "queues", len(c.Queues), "organisations", len(c.Organisations),
			"bytes", page.Bytes, "took", (f.now() - start).Truncate(time.Millisecond).String())
		if f.OnChange != nil {
			f.OnChange(s)
		}
	}
}
