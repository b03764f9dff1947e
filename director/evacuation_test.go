package director_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

const (
	zoneA = "zone-a"
	zoneB = "zone-b"
	// evacuationDeadline and evacuationStretch are the bounds that the platform sets.
	evacuationDeadline = 5 * time.Second
	evacuationStretch  = 5 * time.Second
	// resumeTime is the time in which starts begin again after the end of an evacuation, a takeover included.
	resumeTime = 8 * time.Second
)

// zoneNames are the zones of the workers, in turn.
var zoneNames = []string{zoneA, zoneB}

// everyTable makes a storeLink leave the requests for all tables unanswered.
const everyTable = "*"

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

// endEvacuation removes the row of an evacuation.
func (s *service) endEvacuation(zone string) {
	s.store.Remove("op", "evacuate/"+zone)
	s.fleet.EndEvacuation(zone)
}

// kill ends the process of an entry VM, which gets no chance to release the lease.
func (s *service) kill(e *entry) {
	s.board.Isolate(e.name, true)
	e.stop()
	<-e.done
	s.board.Isolate(e.name, false)
}

// submitSteadyWork submits more short tasks than the fleet can run in a test.
func (s *service) submitSteadyWork() {
	s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 300 * time.Millisecond, Accelerators: 8}, 900)
	s.await(s.entries[0], jobA, "running", time.Second)
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

// 647 tasks were started in an evacuated zone on one day.
func TestNoTaskStartsInAnEvacuatedZone(t *testing.T) {
	for _, test := range []struct {
		name      string
		zones     []string
		evacuated []string
		value     any
	}{
		{"one zone", []string{zoneB}, []string{zoneB}, map[string]any{}},
		{"all zones", []string{zoneA, zoneB}, []string{zoneA, zoneB}, map[string]any{}},
		{"malformed value", []string{zoneA}, []string{zoneA}, "soon"},
		{"an unknown zone as well", []string{"nowhere", zoneA}, []string{zoneA}, map[string]any{}},
		{"an unknown zone only", []string{"nowhere"}, nil, map[string]any{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runService(t, 2, 4, func(s *service) {
				s.submitSteadyWork()
				for range 2 {
					for _, zone := range test.zones {
						s.evacuate(zone, test.value, evacuationDeadline)
					}
					time.Sleep(time.Second)
					for _, zone := range zoneNames {
						evacuated := strings.Contains(strings.Join(test.evacuated, " "), zone)
						s.expectStarts(zone, 6*time.Second, !evacuated)
					}
					for _, zone := range test.zones {
						s.endEvacuation(zone)
					}
					time.Sleep(time.Second)
					for _, zone := range zoneNames {
						s.expectStarts(zone, time.Second, true)
					}
				}
			})
		})
	}
}

// The next owner must know the zones, whenever its predecessor is lost.
func TestNoTaskStartsInAnEvacuatedZoneWhenTheOwnerIsKilled(t *testing.T) {
	for _, delay := range []time.Duration{-50 * time.Millisecond, 0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, 3 * time.Second} {
		for _, step := range []string{"begin", "return"} {
			t.Run(fmt.Sprintf("%s after the %s", delay, step), func(t *testing.T) {
				runService(t, 3, 4, func(s *service) {
					s.submitSteadyWork()
					s.aroundKill(step == "begin", delay, func() { s.evacuate(zoneB, map[string]any{}, evacuationDeadline) })
					time.Sleep(evacuationDeadline)
					s.expectStarts(zoneB, 4*time.Second, false)
					s.aroundKill(step == "return", delay, func() { s.endEvacuation(zoneB) })
					time.Sleep(resumeTime)
					s.expectStarts(zoneB, time.Second, true)
				})
			})
		}
	}
}

// aroundKill runs a change, and kills the owner at the delay after it if wanted, or before it if the delay is negative.
func (s *service) aroundKill(wanted bool, delay time.Duration, change func()) {
	if !wanted {
		change()
		return
	}
	owner := s.owner()
	if delay < 0 {
		s.kill(owner)
		time.Sleep(-delay)
		change()
		return
	}
	change()
	time.Sleep(delay)
	s.kill(owner)
}

// An owner that the store does not serve must not go on with the zones that it knew.
func TestAnOwnerThatIsCutOffFromTheStoreStartsNothingInAnEvacuatedZone(t *testing.T) {
	for _, test := range []struct {
		name, table string
		// everyEntry means that no entry VM is served, so that the store counts as disrupted.
		everyEntry bool
		// work means that the zone in service is used during the cut, at its end.
		work bool
	}{
		{"owner only", everyTable, false, true},
		{"all VMs", everyTable, true, false},
		{"the operator's table only", "op", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runService(t, 3, 4, func(s *service) {
				s.submitSteadyWork()
				owner := s.owner()
				for _, e := range s.entries {
					if e == owner || test.everyEntry {
						e.link.cut.Store(test.table)
					}
				}
				bound := evacuationDeadline
				if test.everyEntry {
					bound += evacuationStretch
				}
				s.evacuate(zoneB, map[string]any{}, bound)
				time.Sleep(evacuationDeadline + evacuationStretch)
				s.expectStarts(zoneB, 4*time.Second, false)
				s.expectStarts(zoneA, time.Second, test.work)
				for _, e := range s.entries {
					e.link.cut.Store("")
				}
				time.Sleep(resumeTime)
				s.expectStarts(zoneB, 2*time.Second, false)
				s.expectStarts(zoneA, time.Second, true)
				s.endEvacuation(zoneB)
				time.Sleep(time.Second)
				s.expectStarts(zoneB, time.Second, true)
			})
		})
	}
}

// A store that has lost the history of its changes serves the rows as they are.
func TestEvacuationsAreKnownAfterALossOfHistory(t *testing.T) {
	runService(t, 2, 4, func(s *service) {
		s.submitSteadyWork()
		owner := s.owner()
		for _, change := range []struct {
			apply func()
			want  bool
		}{
			{func() { s.evacuate(zoneB, map[string]any{}, evacuationDeadline) }, false},
			{func() { s.endEvacuation(zoneB) }, true},
		} {
			for _, e := range s.entries {
				e.link.cut.Store("op")
			}
			// The poll in progress still has an answer of the store.
			time.Sleep(time.Second)
			change.apply()
			s.store.Compact()
			for _, e := range s.entries {
				e.link.cut.Store("")
			}
			time.Sleep(2 * time.Second)
			s.expectStarts(zoneB, 6*time.Second, change.want)
		}
		if s.owner() != owner {
			t.Error("the owner was lost, so that the reload was not tested")
		}
	})
}

// A start without a response is sent again after 0.3 s; by then the zone may be evacuated. The bound is that of the reading of the row.
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
