package follower

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// feedWait bounds one wait for a change, so that a connection that went silent is noticed within the time in which a configuration has to be in force.
	feedWait = 700 * time.Millisecond
	// retryPause is the time between tries while the store does not answer.
	retryPause = 150 * time.Millisecond
	// probeTimeout bounds one look whether a store that was lost answers again; a slow store answers a reading within a third of a second.
	probeTimeout = 500 * time.Millisecond
)

// Follower holds the newest configuration that this process has read; it never goes back to an older one.
type Follower struct {
	Store  *platform.Store
	Logger *slog.Logger
	// OnChange is called with each new configuration.
	OnChange func(*Snapshot)

	current atomic.Pointer[Snapshot]
	lost    atomic.Bool
}

// Snapshot is a configuration with an index of its queues and keys.
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

// Organisation returns the organisation that a key belongs to, or false.
func (s *Snapshot) Organisation(key string) (string, bool) {
	name, ok := s.organisationsByKey[key]
	return name, ok
}

// Queue returns the queue with the longest prefix of the path at the host, or false.
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

// Current returns the configuration, or nil before the first was read.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Run follows the configuration until the context ends.
func (f *Follower) Run(ctx context.Context) {
	version := int64(-1)
	for ctx.Err() == nil {
		var err error
		switch {
		case f.lost.Load():
			err = f.probe(ctx)
		case version < 0:
			version, err = f.read(ctx)
		default:
			version, err = f.follow(ctx, version)
		}
		if ctx.Err() == nil {
			f.noteContact(err)
		}
		if err != nil && ctx.Err() == nil {
			sleeper.Sleep(ctx, retryPause)
		}
	}
}

// probe asks a store that was lost for little, so that its return is noticed soon.
func (f *Follower) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := f.Store.Get(ctx, platform.OperatorTable, "", platform.ConfigKey)
	return err
}

// read takes the configuration as it is now and returns the version to follow from.
func (f *Follower) read(ctx context.Context) (int64, error) {
	page, err := f.Store.Range(ctx, platform.OperatorTable, "", "", "")
	if err != nil {
		return -1, err
	}
	f.apply(page.Rows)
	return page.Version, nil
}

func (f *Follower) follow(ctx context.Context, version int64) (int64, error) {
	page, err := f.Store.Feed(ctx, platform.OperatorTable, version, feedWait)
	if errors.Is(err, platform.ErrHistoryGone) {
		f.Logger.Info("configuration history gone, reading anew", "version", version)
		return -1, nil
	}
	if err != nil {
		return version, err
	}
	f.apply(page.Rows)
	return max(version, page.Version), nil
}

func (f *Follower) noteContact(err error) {
	if err == nil {
		if f.lost.Swap(false) {
			f.Logger.Info("store answers again")
		}
		return
	}
	if !f.lost.Swap(true) {
		f.Logger.Warn("store does not answer", "error", err.Error())
	}
}

func (f *Follower) apply(rows []platform.Row) {
	for _, r := range rows {
		if r.Key != platform.ConfigKey || r.Deleted {
			continue
		}
		c, err := platform.DecodeConfig(r.Value)
		if err != nil {
			f.Logger.Error("configuration unreadable, the earlier one stays in force", "row", r.Version, "error", err.Error())
			continue
		}
		old := f.current.Load()
		if old != nil && c.Version <= old.Version {
			continue
		}
		s := newSnapshot(c)
		f.current.Store(s)
		f.Logger.Info("configuration in force", "version", c.Version, "row", r.Version, "queues", len(c.Queues), "organisations", len(c.Organisations))
		if f.OnChange != nil {
			f.OnChange(s)
		}
	}
}
