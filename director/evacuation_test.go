package director_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

const (
	zoneA, zoneB = "zone-a", "zone-b"
	// evacuationDeadline and evacuationStretch are the bounds that the platform sets.
	evacuationDeadline, evacuationStretch = 5 * time.Second, 5 * time.Second
	// resumeTime is the time in which starts begin again after the end of an evacuation, a takeover included.
	resumeTime = 8 * time.Second
	// everyTable makes a storeLink leave the requests for all tables unanswered.
	everyTable = "*"
)

// zoneNames are the zones of the workers, in turn.
var zoneNames = []string{zoneA, zoneB}

// storeLink is an entry VM's link to the store, which can be cut for one table or for all.
type storeLink struct {
	next http.RoundTripper
	cut  atomic.Value
}

// RoundTrip implements http.RoundTripper.
func (l *storeLink) RoundTrip(r *http.Request) (*http.Response, error) {
	if table, _ := l.cut.Load().(string); table == everyTable || table != "" && r.URL.Query().Get("table") == table {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return l.next.RoundTrip(r)
}

// evacuate writes the row of an evacuation; the fleet records starts in the zone that are later than bound.
func (s *service) evacuate(zone string, value any, bound time.Duration) {
	s.store.Put("op", "evacuate/"+zone, value)
	s.fleet.Evacuate(zone, bound)
}

func (s *service) endEvacuation(zone string) {
	s.store.Remove("op", "evacuate/"+zone)
	s.fleet.EndEvacuation(zone)
}

// runSteadyWork runs a test while more short tasks wait than the fleet can run.
func runSteadyWork(t *testing.T, test func(s *service)) {
	t.Helper()
	// Up to four owners are killed.
	runService(t, 5, 4, func(s *service) {
		s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 300 * time.Millisecond, Accelerators: 8}, 900)
		s.await(s.entries[0], jobA, "running", time.Second)
		test(s)
	})
}

// expectStarts checks whether starts in a zone occur within a period.
func (s *service) expectStarts(zone string, period time.Duration, want bool) {
	s.t.Helper()
	before := s.fleet.StartsIn(zone)
	time.Sleep(period)
	if got := s.fleet.StartsIn(zone) - before; got > 0 != want {
		s.t.Errorf("%d starts in %s within %s, want some: %t", got, zone, period, want)
	}
}

// cut cuts the links of entry VMs to a table of the store; an empty name ends that.
func cut(table string, entries ...*entry) {
	for _, e := range entries {
		e.link.cut.Store(table)
	}
}

// 647 tasks were started in an evacuated zone on one day. The next owner must know the zones whenever its predecessor is lost, and an owner that the
// store does not serve must not go on with those that it knew.
func TestNoTaskStartsInAnEvacuatedZone(t *testing.T) {
	type disturbance func(s *service, change func())
	quietly := func(_ *service, change func()) { change() }
	kill := func(delay time.Duration) disturbance {
		return func(s *service, change func()) {
			owner := s.owner()
			time.AfterFunc(max(0, delay), func() {
				s.board.Isolate(owner.name, true)
				owner.stop()
			})
			time.Sleep(max(0, -delay))
			change()
		}
	}
	loseHistory := func(s *service, change func()) {
		cut("op", s.entries...)
		// The poll in progress still has an answer of the store.
		time.Sleep(time.Second)
		change()
		s.store.Compact()
		cut("", s.entries...)
	}
	cutOwner := func(s *service, change func()) {
		owner := s.owner()
		cut(everyTable, owner)
		change()
		time.AfterFunc(14*time.Second, func() { cut("", owner) })
	}
	type scenario struct {
		name       string
		zones      []string
		value      any
		begin, end disturbance
	}
	scenarios := []scenario{
		{"one zone", []string{zoneB}, map[string]any{}, quietly, quietly},
		{"all zones", []string{zoneA, zoneB}, map[string]any{}, quietly, quietly},
		{"malformed value", []string{zoneA}, "soon", quietly, quietly},
		{"an unknown zone as well", []string{"nowhere", zoneA}, map[string]any{}, quietly, quietly},
		{"history lost", []string{zoneB}, map[string]any{}, loseHistory, loseHistory},
		{"owner cut off", []string{zoneB}, map[string]any{}, cutOwner, cutOwner},
	}
	for _, delay := range []time.Duration{-50 * time.Millisecond, 0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, 3 * time.Second} {
		scenarios = append(scenarios, scenario{fmt.Sprintf("owner killed %s after the row", delay), []string{zoneB}, map[string]any{}, kill(delay), kill(delay)})
	}
	for _, test := range scenarios {
		t.Run(test.name, func(t *testing.T) {
			runSteadyWork(t, func(s *service) {
				// The second time, the zones are evacuated again.
				for range 2 {
					test.begin(s, func() {
						for _, zone := range test.zones {
							s.evacuate(zone, test.value, evacuationDeadline)
						}
					})
					time.Sleep(evacuationDeadline)
					s.expectStarts(zoneA, 4*time.Second, !slices.Contains(test.zones, zoneA))
					s.expectStarts(zoneB, 4*time.Second, !slices.Contains(test.zones, zoneB))
					test.end(s, func() {
						for _, zone := range test.zones {
							s.endEvacuation(zone)
						}
					})
					time.Sleep(resumeTime)
					s.expectStarts(zoneA, time.Second, true)
					s.expectStarts(zoneB, time.Second, true)
				}
			})
		})
	}
}

// While the zones are not known, starts are allowed up to the bound of their age, or until the lease has not been renewed for 6 s.
func TestNothingStartsWhileTheEvacuatedZonesAreNotKnown(t *testing.T) {
	for table, before := range map[string]bool{"op": true, everyTable: false} {
		t.Run(table, func(t *testing.T) {
			runSteadyWork(t, func(s *service) {
				cut(table, s.entries...)
				s.evacuate(zoneB, map[string]any{}, evacuationDeadline+evacuationStretch)
				time.Sleep(evacuationDeadline + evacuationStretch - 2*time.Second)
				s.expectStarts(zoneA, time.Second, before)
				time.Sleep(2 * time.Second)
				s.expectStarts(zoneA, 4*time.Second, false)
				cut("", s.entries...)
				time.Sleep(resumeTime)
				s.expectStarts(zoneA, time.Second, true)
				s.expectStarts(zoneB, time.Second, false)
			})
		})
	}
}

// A start without a response is sent again after 0.3 s; by then the zone may be evacuated.
func TestAStartIsNotRepeatedInAZoneEvacuatedMeanwhile(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		t.Run(fmt.Sprintf("evacuated %t", evacuated), func(t *testing.T) {
			runService(t, 1, 2, func(s *service) {
				s.evacuate(zoneA, map[string]any{}, evacuationDeadline)
				time.Sleep(200 * time.Millisecond)
				s.workers[1].DelayStarts(1, 6*time.Second)
				s.submit(s.entries[0], jobA, faker.TaskJob{Duration: time.Second, Accelerators: 8}, 1)
				time.Sleep(150 * time.Millisecond)
				if evacuated {
					s.evacuate(zoneB, map[string]any{}, 100*time.Millisecond)
				}
				s.expectStarts(zoneB, 4*time.Second, !evacuated)
				s.endEvacuation(zoneA)
				s.await(s.entries[0], jobA, "succeeded", 12*time.Second)
			})
		})
	}
}
