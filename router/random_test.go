package router

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
)

var (
	fleetSeeds = flag.Int("fleet.seeds", 6, "random runs of a fleet")
	fleetFirst = flag.Uint64("fleet.first", 1, "first seed")
	fleetSteps = flag.Int("fleet.steps", 120, "steps of each random run")
)

// chaos injects random faults into a fleet under load and records how its jobs ended.
type chaos struct {
	*fleet

	accepted []work
	unknown  []work
	refused  []work
	versions map[string]int64
	version  int64
	next     int
}

func (c *chaos) chance(n int) bool { return c.int(n) == 0 }

func (c *chaos) int(n int) int { return int(c.float() * float64(n)) }

// live returns a random entry that is not isolated.
func (c *chaos) live() *entry {
	for {
		e := c.entries[c.int(len(c.entries))]
		if !e.isolated.Load() {
			return e
		}
	}
}

func (c *chaos) randomWork() work {
	c.next++
	key := fmt.Sprintf("random-%d", c.next)
	run := time.Duration(c.int(40_000)) * time.Millisecond
	switch c.int(5) {
	case 0:
		return gang(key, run)
	case 1:
		return work{key: key, organisation: "researchers", class: "imputation", shape: packer.Shape{Accelerators: 4}, run: run}
	case 2, 3:
		return preview(key, run)
	default:
		return lookup(key)
	}
}

func (c *chaos) step() {
	for range 1 + c.int(3) {
		w := c.randomWork()
		s := c.submit(c.live(), w, 4*time.Second)
		switch {
		case s.Answer != nil || s.Unrecorded:
		case s.Accepted:
			c.accepted = append(c.accepted, w)
		case s.Unknown:
			c.unknown = append(c.unknown, w)
		default:
			c.refused = append(c.refused, w)
		}
	}
	c.injectFault()
	time.Sleep(time.Duration(c.int(6000)) * time.Millisecond)
	c.checkVersions()
}

func (c *chaos) injectFault() {
	switch c.int(12) {
	case 0:
		c.table().SetFaults(faker.Faults{Down: c.chance(2)})
	case 1:
		c.table().SetFaults(faker.Faults{LoseReplies: c.int(4)})
	case 2:
		c.table().SetFaults(faker.Faults{DelayMillis: c.int(800)})
	case 3:
		c.isolateOne()
	case 4, 5:
		for _, e := range c.entries {
			e.isolated.Store(false)
		}
	case 6:
		c.network.Blackhole()
	case 7:
		c.injectWorkerFault()
	case 8:
		for _, w := range c.workers {
			w.SetFaults(faker.Faults{})
		}
	case 9:
		c.edit()
	case 10:
		c.cancelOne()
	default:
		c.table().SetFaults(faker.Faults{})
	}
}

// isolateOne isolates a random entry if more than two are reachable.
func (c *chaos) isolateOne() {
	live := 0
	for _, e := range c.entries {
		if !e.isolated.Load() {
			live++
		}
	}
	if live > 2 {
		c.live().isolated.Store(true)
	}
}

func (c *chaos) injectWorkerFault() {
	w := c.workers[fmt.Sprintf("worker-%d", c.int(8))]
	switch c.int(5) {
	case 0:
		w.SetFaults(faker.Faults{Down: true})
	case 1:
		w.SetFaults(faker.Faults{Leaving: true})
	case 2:
		w.SetFaults(faker.Faults{LoseReplies: 3, RepeatAnswers: true})
	case 3:
		w.SetFaults(faker.Faults{FailTasks: true})
	default:
		w.Restart(c.newID())
	}
}

func (c *chaos) edit() {
	v, err := c.live().Document().Current()
	if err != nil {
		return
	}
	text := strings.Replace(fleetDocument, `"queued":100,`, fmt.Sprintf(`"queued":%d,`, 100+v.Number), 1)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if now, err := c.live().Document().Put(ctx, v.Number, []byte(text), c.newID(), "test"); err == nil {
		c.version = max(c.version, now.Number)
	}
}

func (c *chaos) cancelOne() {
	if len(c.accepted) == 0 {
		return
	}
	w := c.accepted[c.int(len(c.accepted))]
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = c.live().Cancel(ctx, w.id())
}

// checkVersions asserts that no entry's document version decreases.
func (c *chaos) checkVersions() {
	for _, e := range c.entries {
		v, err := e.Document().Current()
		if err != nil {
			continue
		}
		if v.Number < c.versions[e.name] {
			c.t.Fatalf("%s reverted from version %d to %d", e.name, c.versions[e.name], v.Number)
		}
		c.versions[e.name] = v.Number
	}
}

// repairAndCheck clears all faults and checks the final state.
//
// All entries must return the same answer for an accepted job, a job reported as not
// run must not have been started, and no accepted document version may be lost.
func (c *chaos) repairAndCheck() {
	c.platform.SetFaults(faker.Faults{})
	c.table().SetFaults(faker.Faults{})
	for _, e := range c.entries {
		e.isolated.Store(false)
	}
	for _, w := range c.workers {
		w.SetFaults(faker.Faults{})
	}
	time.Sleep(2 * time.Minute)
	for _, w := range c.accepted {
		first := c.mustAnswer(c.entries[0], w, 20*time.Minute)
		for _, e := range c.entries[1:] {
			if again := c.mustAnswer(e, w, time.Minute); again.Outcome != first.Outcome || !bytes.Equal(again.Result, first.Result) {
				c.t.Fatalf("%s ended %s at one entry and %s at %s", w.key, first.Outcome, again.Outcome, e.name)
			}
		}
		if first.Ran == scheduler.NotRun && c.starts(w) > 0 {
			c.t.Fatalf("%s (%s) is said not to have run but was started", w.key, w.id())
		}
		c.checkRunOnce(w)
	}
	for _, w := range c.unknown {
		c.checkRunOnce(w)
	}
	for _, w := range c.refused {
		if c.starts(w) > 0 {
			c.t.Fatalf("%s (%s) was refused as not run but was started", w.key, w.id())
		}
	}
	for _, e := range c.entries {
		if v, _ := e.Document().Current(); v.Number < c.version {
			c.t.Fatalf("%s has version %d, %d was accepted", e.name, v.Number, c.version)
		}
	}
}

func (c *chaos) checkRunOnce(w work) {
	if w.class == "weighting" || w.class == "preview" {
		c.mustRunOnce(w)
	}
}

func TestRandomFaultsUnderLoadLoseAndDoubleNothing(t *testing.T) {
	for i := range *fleetSeeds {
		seed := *fleetFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Logf("rerun with: go test ./router -run TestRandomFaults -fleet.first=%d -fleet.seeds=1 -fleet.steps=%d", seed, *fleetSteps)
			withFleet(t, 5, seed, func(t *testing.T, f *fleet) {
				c := &chaos{fleet: f, versions: map[string]int64{}}
				for range *fleetSteps {
					c.step()
				}
				c.repairAndCheck()
				t.Logf("accepted %d, unknown %d, refused %d", len(c.accepted), len(c.unknown), len(c.refused))
			})
		})
	}
}
