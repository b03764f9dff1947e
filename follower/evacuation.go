package follower

import (
	"maps"
	"slices"
	"time"

	"github.com/snipelift/snipelift/platform"
)

// returnMemory is how long the end of an evacuation is remembered; the workers of a zone are warm again long before.
const returnMemory = 10 * time.Minute

// Evacuation is the immutable set of availability zones in which no task may start; the zero value is the empty set.
type Evacuation struct {
	// rows maps the evacuated zones to the versions of their rows.
	rows map[string]int64
	// returned maps zones to the time at which the end of their latest evacuation became known.
	returned map[string]time.Time
}

// Contains reports whether no task may start in the zone.
func (e *Evacuation) Contains(zone string) bool {
	_, evacuated := e.rows[zone]
	return evacuated
}

// Zones returns the evacuated zones in the order of their names.
func (e *Evacuation) Zones() []string { return slices.Sorted(maps.Keys(e.rows)) }

// Returned returns the zones whose evacuation has ended, with the time at which that became known.
func (e *Evacuation) Returned() map[string]time.Time { return maps.Clone(e.returned) }

// WithZone returns the set with a zone whose row has the given version.
func (e *Evacuation) WithZone(zone string, version int64) *Evacuation {
	next := &Evacuation{rows: map[string]int64{}, returned: maps.Clone(e.returned)}
	maps.Copy(next.rows, e.rows)
	next.rows[zone] = version
	delete(next.returned, zone)
	return next
}

// WithoutZone returns the set without a zone, whose evacuation ended at now as far as is known.
func (e *Evacuation) WithoutZone(zone string, now time.Time) *Evacuation {
	next := &Evacuation{rows: maps.Clone(e.rows), returned: map[string]time.Time{zone: now}}
	delete(next.rows, zone)
	for other, at := range e.returned {
		if now.Sub(at) < returnMemory {
			next.returned[other] = at
		}
	}
	return next
}

// Evacuation returns the set of evacuated zones as of the time that Age tells.
func (f *Follower) Evacuation() *Evacuation {
	if e := f.evacuation.Load(); e != nil {
		return e
	}
	return &emptyEvacuation
}

var emptyEvacuation Evacuation

// OnEvacuation calls the hook after each change of the set of evacuated zones, until the returned function is called. The hook must not block.
func (f *Follower) OnEvacuation(hook func()) (remove func()) {
	f.hooksMu.Lock()
	defer f.hooksMu.Unlock()
	f.lastHook++
	number := f.lastHook
	if f.hooks == nil {
		f.hooks = map[int]func(){}
	}
	f.hooks[number] = hook
	return func() {
		f.hooksMu.Lock()
		defer f.hooksMu.Unlock()
		delete(f.hooks, number)
	}
}

// replaceEvacuation puts the evacuations of a full read into force. A read of an earlier state than one that is known removes none: a feed from there
// repeats the changes in between, and a zone whose row exists would be used until then.
func (f *Follower) replaceEvacuation(page platform.Page) {
	previous := f.Evacuation()
	listed := map[string]bool{}
	next := f.withRows(previous, page.Rows)
	for _, r := range page.Rows {
		if zone, ok := platform.EvacuatedZone(r); ok {
			listed[zone] = true
		}
	}
	for _, zone := range previous.Zones() {
		switch {
		case listed[zone]:
		case page.Version < f.appliedVersion:
			f.Logger.Warn("read older than the known version; keeping the evacuation", "zone", zone, "version", page.Version, "known", f.appliedVersion)
		default:
			next = f.without(next, zone, page.Version)
		}
	}
	f.setEvacuation(previous, next, page.Version)
}

// changeEvacuation puts the changes of a page of the feed into force.
func (f *Follower) changeEvacuation(page platform.Page) {
	previous := f.Evacuation()
	f.setEvacuation(previous, f.withRows(previous, page.Rows), page.Version)
}

// withRows returns the set after the changes of the rows, ignoring those that are older than the known row of their zone.
func (f *Follower) withRows(e *Evacuation, rows []platform.Row) *Evacuation {
	for _, r := range rows {
		zone, ok := platform.EvacuatedZone(r)
		if !ok {
			continue
		}
		known, evacuated := e.rows[zone]
		switch {
		case evacuated && r.Version != 0 && r.Version <= known:
		case r.Deleted && evacuated:
			e = f.without(e, zone, r.Version)
		case !r.Deleted:
			if err := platform.CheckEvacuation(r.Value); err != nil {
				f.Logger.Warn("malformed evacuation; it is in force all the same", "zone", zone, "row", r.Version, "error", err.Error())
			}
			if !evacuated {
				f.Logger.Info("evacuation of an availability zone read", "zone", zone, "row", r.Version)
			}
			e = e.WithZone(zone, r.Version)
		}
	}
	return e
}

func (f *Follower) without(e *Evacuation, zone string, version int64) *Evacuation {
	f.Logger.Info("removal of an evacuation read", "zone", zone, "row", version)
	return e.WithoutZone(zone, time.Now())
}

// setEvacuation replaces the set and calls the hooks if it has changed.
func (f *Follower) setEvacuation(previous, next *Evacuation, version int64) {
	f.appliedVersion = max(f.appliedVersion, version)
	if next == previous {
		return
	}
	f.evacuation.Store(next)
	f.hooksMu.Lock()
	defer f.hooksMu.Unlock()
	for _, hook := range f.hooks {
		hook()
	}
}
