package director_test

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// recordEntry writes the record of an entry VM as its process does, which started at a time.
func (s *service) recordEntry(name string, started time.Time, leaving bool) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	value, err := json.Marshal(map[string]any{
		"link": name + ":1", "seenMillis": time.Now().UnixMilli(), "startedMillis": started.UnixMilli(), "cores": 0.8, "leaving": leaving,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.PutRow("entries", "entries", fmt.Sprintf("%08x-%s", hash.Sum32(), name), value)
}

// ownership is what a test has seen of the lease.
type ownership struct {
	holder  string
	changes int
	// without is the time in which the lease was released or its holder had stopped, longest its longest part.
	without, longest, current time.Duration
}

const ownershipStep = 5 * time.Millisecond

// observe adds what the store shows after one step.
func (o *ownership) observe(s *service) {
	var lease struct {
		Node     string
		Released bool
	}
	if err := json.Unmarshal(s.store.Rows("lease", "owner")["lease"], &lease); err != nil {
		s.t.Error(err)
	}
	if lease.Node != o.holder {
		o.holder = lease.Node
		o.changes++
	}
	running := false
	for _, e := range s.entries {
		select {
		case <-e.done:
		default:
			running = running || e.name == lease.Node
		}
	}
	if running && !lease.Released {
		o.current = 0
		return
	}
	o.without += ownershipStep
	o.current += ownershipStep
	o.longest = max(o.longest, o.current)
}

// sleepUntil observes the lease until a time.
func (o *ownership) sleepUntil(s *service, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(ownershipStep)
		o.observe(s)
	}
}

// restart stops the VMs at once, and starts them again 1.5 s later or once their processes have ended.
func (o *ownership) restart(s *service, entries []*entry) {
	downUntil := time.Now().Add(1500 * time.Millisecond)
	for _, e := range entries {
		e.stop()
		s.recordEntry(e.name, e.started, true)
	}
	o.sleepUntil(s, downUntil)
	for _, e := range entries {
		for stopped := false; !stopped; {
			select {
			case <-e.done:
				stopped = true
			default:
				o.sleepUntil(s, time.Now().Add(ownershipStep))
			}
		}
		started := s.startEntry(e.name)
		s.recordEntry(e.name, started.started, false)
	}
}

// With two VMs restarted every 2 s, ownership passed to VMs that were restarted next: up to five changes, each with up to 0.6 s without an owner.
func TestOwnershipPassesAtMostTwiceInARollingRestart(t *testing.T) {
	const (
		entries = 10
		period  = 2 * time.Second
		// maxChanges are that from the first owner to a VM that may still be restarted, and that to one that was.
		maxChanges = 2
	)
	for _, test := range []struct {
		name   string
		faults func(round int) faker.RowFaults
		// maxWithout is the longest time without an owner at one change: a poll and the time to acquire the lease.
		maxWithout time.Duration
	}{
		{"store as usual", func(int) faker.RowFaults { return faker.RowFaults{Delay: 4 * time.Millisecond} }, 50 * time.Millisecond},
		{"store slow", func(int) faker.RowFaults { return faker.RowFaults{Delay: 200 * time.Millisecond} }, 700 * time.Millisecond},
		// While the store is away the owner keeps the lease; after that, a lease that could not be released is acquired 1.1 s later.
		{"store away for a while", func(round int) faker.RowFaults { return faker.RowFaults{Busy: round == 2} }, 1500 * time.Millisecond},
		{"store silent for a while", func(round int) faker.RowFaults { return faker.RowFaults{Silent: round == 2} }, 3500 * time.Millisecond},
	} {
		for play := range 4 {
			t.Run(fmt.Sprintf("%s, play %d", test.name, play), func(t *testing.T) {
				runService(t, entries, 4, func(s *service) {
					initial := append([]*entry(nil), s.entries...)
					for _, e := range initial {
						s.recordEntry(e.name, e.started, false)
					}
					s.submit(s.entries[0], jobB, faker.TaskJob{Duration: 12 * time.Second, Gang: 2, Accelerators: 8}, 2)
					s.await(s.entries[0], jobB, "running", time.Second)
					s.store.SetFaults(test.faults(0))
					seen := ownership{holder: s.owner().name}
					// The owner is restarted first, fifth or last, and its first successor last or, in the fourth play, soon after it.
					if play == 3 {
						slices.Reverse(initial)
					}
					order := ordered(initial, s.owner(), []int{0, 4, entries - 1, 0}[play])
					for round := 0; round < entries/2; round++ {
						next := time.Now().Add(period)
						s.store.SetFaults(test.faults(round))
						seen.restart(s, order[2*round:2*round+2])
						seen.sleepUntil(s, next)
					}
					s.store.SetFaults(faker.RowFaults{})
					seen.sleepUntil(s, time.Now().Add(3*time.Second))
					t.Logf("%d changes, %s without an owner, longest %s", seen.changes, seen.without, seen.longest)
					if seen.changes > maxChanges || seen.longest > test.maxWithout {
						t.Errorf("%d changes with up to %s without an owner, want at most %d with %s", seen.changes, seen.longest, maxChanges, test.maxWithout)
					}
					s.submit(s.entries[len(s.entries)-1], jobA, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
					s.await(s.entries[len(s.entries)-1], jobA, "succeeded", 3*time.Second)
					s.await(s.entries[len(s.entries)-1], jobB, "succeeded", 3*time.Second)
					if got := s.fleet.Starts(jobB); got != 2 {
						t.Errorf("%d starts, want the two of the gang that all owners took over", got)
					}
				})
			})
		}
	}
}

// ordered returns the entry VMs with the owner at a position.
func ordered(entries []*entry, owner *entry, position int) []*entry {
	var order []*entry
	for _, e := range entries {
		if e != owner {
			order = append(order, e)
		}
	}
	return append(order[:position:position], append([]*entry{owner}, order[position:]...)...)
}

// A successor that does not acquire the lease costs other VMs its head start and one poll, and no more.
func TestASuccessorThatFailsCostsItsHeadStart(t *testing.T) {
	const maxWithout = 300*time.Millisecond + 600*time.Millisecond
	for _, test := range []struct {
		name string
		// after is the time from the owner's signal to the fault.
		after time.Duration
		fail  func(s *service, successor *entry)
	}{
		{"dies after its choice", 200 * time.Millisecond, func(_ *service, successor *entry) { successor.stop() }},
		{"cut off from the store", 200 * time.Millisecond, func(s *service, successor *entry) { s.board.Isolate(successor.name, true) }},
		{"gone for a while", 0, func(s *service, _ *entry) { s.recordEntry("ghost", time.Now().Add(time.Second), false) }},
		{"restarted too", 200 * time.Millisecond, func(s *service, successor *entry) {
			successor.stop()
			s.recordEntry(successor.name, successor.started, true)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runService(t, 4, 4, func(s *service) {
				first := s.owner()
				successor := s.other(first)
				for _, e := range s.entries {
					s.recordEntry(e.name, e.started, false)
				}
				s.recordEntry(successor.name, time.Now(), false)
				s.submit(s.entries[0], jobA, faker.TaskJob{Duration: 4 * time.Second, Gang: 2, Accelerators: 8}, 2)
				s.await(s.entries[0], jobA, "running", time.Second)
				seen := ownership{holder: first.name}
				first.stop()
				seen.sleepUntil(s, time.Now().Add(test.after))
				test.fail(s, successor)
				seen.sleepUntil(s, time.Now().Add(3*time.Second))
				t.Logf("%d changes, %s without an owner", seen.changes, seen.without)
				if seen.changes != 1 || seen.longest > maxWithout {
					t.Errorf("%d changes with up to %s without an owner, want one with %s", seen.changes, seen.longest, maxWithout)
				}
				s.await(s.other(first, successor), jobA, "succeeded", 4*time.Second)
				if got := s.fleet.Starts(jobA); got != 2 {
					t.Errorf("%d starts, want the gang's two", got)
				}
			})
		})
	}
}

// An owner with a grace period of 2 s took 3 s to shut down while the store gave no response, so that it was killed.
func TestAnOwnerShutsDownWithinItsGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 3 * time.Second, 6 * time.Second} {
		for name, faults := range map[string]faker.RowFaults{"silent": {Silent: true}, "busy": {Busy: true}, "slow": {Delay: 600 * time.Millisecond}} {
			t.Run(fmt.Sprintf("%s, store %s", grace, name), func(t *testing.T) {
				runService(t, 1, 2, func(s *service) {
					s.grace = grace
					s.owner().stop()
					owner := s.startEntry("short")
					time.Sleep(2 * time.Second)
					if s.owner() != owner {
						t.Fatal("the VM with the short grace period is not the owner")
					}
					s.store.SetFaults(faults)
					stopped := time.Now()
					owner.stop()
					<-owner.done
					if took := time.Since(stopped); took > grace {
						t.Errorf("shut down after %s, want at most %s", took, grace)
					}
					s.store.SetFaults(faker.RowFaults{})
				})
			})
		}
	}
}
