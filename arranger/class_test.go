package arranger

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// review/7: a gang that no longer fitted, since a worker had left, kept other gangs from the idle workers.
func TestAGangThatFindsNoRoomKeepsNoOtherOnesWaiting(t *testing.T) {
	spread := func(step Step) Step { step.SameRack = false; return step }
	limited := func(step Step, most int) Step { step.MaxPerWorker = most; return step }
	for _, test := range []struct {
		name          string
		first, second Step
	}{
		{"with a limit for each worker", limited(spread(gang(16, 1)), 1), spread(gang(16, 1))},
		{"with a lower limit for each worker", limited(spread(gang(16, 1)), 1), limited(spread(gang(16, 1)), 2)},
		{"single tasks beside a gang", limited(spread(gang(16, 1)), 1), single(16, 1)},
		{"single tasks with a limit", limited(single(20, 1), 1), limited(single(3, 1), 1)},
		{"in one rack", gang(16, 8), spread(gang(15, 8))},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2, 8)
			w, _ := h.Worker("w0-0")
			w.Draining = true
			h.SetWorker(h.now, w)
			h.RemoveWorker(h.now, "w0-0", "left")
			h.AddJob(h.now, jobOf("first", 1, test.first), Progress{}, false)
			h.AddJob(h.now, jobOf("second", 1, test.second), Progress{}, false)
			started := 0
			for _, s := range h.planAfter(0).Starts {
				if s.Task.Job == "second" {
					started++
				}
			}
			if started != test.second.Count {
				t.Errorf("%d starts of the second job, want %d", started, test.second.Count)
			}
		})
	}
}

// A job on probation may start beside its own suspected task, where others may not.
func TestAJobOnProbationIsNotSkippedWithOthers(t *testing.T) {
	h := newHarness(t, 1, 1)
	suspected := jobOf("suspected", 1, single(1, 1), single(1, 1))
	h.AddJob(h.now, suspected, Progress{}, false)
	j := h.jobs["suspected"]
	j.stages[0].tasks[0].crashes, j.stages[0].suspects = []string{"w9@1"}, 1
	// The other job precedes the second step.
	j.stages[1].ready = time.Time{}
	h.confirmStarts(h.planAfter(0))
	h.AddJob(h.now.Add(-time.Hour), jobOf("other", 1, single(1, 1)), Progress{}, false)
	h.jobs["other"].deadline = h.now.Add(30 * time.Second)
	j.stages[1].ready, j.deadline = h.now, h.now.Add(time.Minute)
	o := h.planAfter(0)
	if len(o.Starts) != 1 || o.Starts[0].Task.Job != "suspected" {
		t.Errorf("got starts %+v, want the second step of the suspected job", o.Starts)
	}
}

// Each skipped unit is searched for in its turn, whatever its class leaves out.
func TestSkippedUnitsAreSearchedForInTurn(t *testing.T) {
	h := newHarness(t, 1, 1)
	const jobs = 10
	for i := range jobs {
		h.AddJob(h.now, jobOf(fmt.Sprintf("job-%d", i), 1, gang(20, 8)), Progress{}, false)
	}
	for range 2 * jobs {
		h.planAfter(maxSkipTime / jobs)
	}
	for id, j := range h.jobs {
		if since := h.now.Sub(j.stages[0].wait.searchedAt); since > 2*maxSkipTime {
			t.Errorf("%s was last searched for %s ago", id, since)
		}
	}
}

// A gang that the fleet could not run if it were empty keeps no accelerators free, and says so.
func TestAGangThatExceedsTheFleetIsToldApart(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(j *Job)
		advised func(s *stage)
		want    waitReason
	}{
		{"fits", func(*Job) {}, nil, waitCapacity},
		{"by its limit for each worker", func(j *Job) { j.Steps[0].MaxPerWorker = 1 }, nil, waitExceedsFleet},
		{"by its label", func(j *Job) { j.Steps[0].Requires = "r1-1" }, nil, waitExceedsFleet},
		{"by advice", func(j *Job) { j.Policy.Advised = true }, func(s *stage) {
			s.advice = &advice{requested: map[string]int64{"w0-0": 1, "w0-1": 1, "w1-0": 1, "w1-1": 1}, tickets: map[string]ticket{"w0-0": {incarnation: 1, expiresAt: start.Add(time.Hour)}}}
		}, waitExceedsFleet},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2, 2)
			h.AddJob(h.now, jobOf("running", 1, single(4, 8)), Progress{}, false)
			h.confirmStarts(h.planAfter(0))
			spec := jobOf("gang", 1, gang(8, 4))
			spec.Steps[0].SameRack = false
			test.change(&spec)
			h.AddJob(h.now, spec, Progress{}, false)
			s := h.jobs["gang"].stages[0]
			if test.advised != nil {
				test.advised(s)
			}
			ps := h.newPass(h.now, h.ranks())
			u := h.unitOf(h.now, s, rankUrgent+1)
			ps.place(u)
			if got, _ := ps.explainCapacity(u); got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
			if reserved := ps.gangReserve > 0; reserved != (test.want == waitCapacity) {
				t.Errorf("accelerators kept free: %t", reserved)
			}
		})
	}
}

// A gang that fits into no rack, even an empty one, may be spread over several at once.
func TestAGangThatNoRackCouldHoldIsSpread(t *testing.T) {
	h := newHarness(t, 2, 4)
	step := gang(8, 1)
	step.MaxPerWorker = 1
	h.AddJob(h.now, jobOf("gang", 1, step), Progress{}, false)
	if o := h.planAfter(0); len(o.Starts) != step.Count {
		t.Errorf("%d starts, want the whole gang", len(o.Starts))
	}
}

// A field of a step that decides where its tasks may run belongs to the class of a unit.
func TestEachFieldOfAStepIsInItsClassOrDecidesNothing(t *testing.T) {
	decidesNothing := map[string]bool{
		"Count": true, "Estimate": true, "After": true, "Checkpoints": true, "DataRack": true, "LongRunning": true, "MaxUnavailable": true,
	}
	class := reflect.TypeFor[placement]()
	for i := range reflect.TypeFor[Step]().NumField() {
		name := reflect.TypeFor[Step]().Field(i).Name
		if _, inClass := class.FieldByName(name); inClass == decidesNothing[name] {
			t.Errorf("field %s: in the class %t, want a decision", name, inClass)
		}
	}
	full := Step{}
	v := reflect.ValueOf(&full).Elem()
	for i := range v.NumField() {
		switch f := v.Field(i); f.Kind() {
		case reflect.Int:
			f.SetInt(1)
		case reflect.Bool:
			f.SetBool(true)
		case reflect.String:
			f.SetString("x")
		default:
		}
	}
	full.Need.CPU = 1
	got := reflect.ValueOf(full.placement())
	for i := range got.NumField() {
		if got.Field(i).IsZero() {
			t.Errorf("field %s is not copied into the class", class.Field(i).Name)
		}
	}
}

// checkSkips fails the test if a unit is skipped for which a search finds room.
func (h *harness) checkSkips() {
	h.onSkip = func(ps *pass, u unit) {
		h.t.Helper()
		tasks := u.stage.tasks
		if !u.stage.step.Gang {
			for _, t := range u.stage.tasks {
				if !t.done && t.place == nil {
					tasks = []*task{t}
					break
				}
			}
		}
		if ps.mustDeferStart(u) || ps.exceedsReserve(u, tasks) {
			return
		}
		ps.acceptsSuspects = false
		if p := ps.cheapestPacking(u, tasks); p != nil {
			key, count := ps.classOf(u)
			h.t.Fatalf("%s with %d tasks was skipped, and has room on %s and others; class %+v, first %s", u.stage.stepName(), count, p.candidates[0].worker.ID, key, ps.unplaceable[key].stage.stepName())
		}
	}
}

// randomStep returns a step with any of the constraints on places.
func randomStep(random *rand.Rand, racks int) Step {
	s := single(1+random.IntN(8), 1+random.IntN(4))
	if random.IntN(2) == 0 {
		s = gang(2+random.IntN(15), []int{1, 2, 4, 8}[random.IntN(4)])
		s.SameRack = random.IntN(2) == 0
	}
	if random.IntN(3) == 0 {
		s.MaxPerWorker = 1 + random.IntN(3)
	}
	if random.IntN(4) == 0 {
		s.Requires = fmt.Sprintf("r1-%d", random.IntN(racks))
	}
	if random.IntN(4) == 0 {
		s.DataRack = fmt.Sprintf("r1-%d", random.IntN(racks))
	}
	switch random.IntN(8) {
	case 0:
		s.LatencySensitive = true
	case 1:
		s.BestEffort, s.Need.CPU = true, 0
	default:
	}
	if random.IntN(8) == 0 {
		s.LongRunning, s.MaxUnavailable = true, random.IntN(3)
	}
	s.Checkpoints = random.IntN(2) == 0
	return s
}

// The comparison of each pass with one that skips nothing holds for whatever a step may ask for.
func TestNoUnitWithRoomIsSkipped(t *testing.T) {
	for seed := range *idleSeeds * 5 {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7)) //nolint:gosec // Tests need repeatable numbers.
			const racks, perRack = 3, 6
			h := newHarness(t, racks, perRack)
			h.SetGuarantees(map[string]int{"unions": 24})
			h.checkSkips()
			for i := range 150 {
				if random.IntN(2) == 0 {
					spec := jobOf(fmt.Sprintf("job-%d", i), random.IntN(4), randomStep(random, racks))
					spec.Accepted, spec.Policy.Advised = h.now, random.IntN(8) == 0
					h.AddJob(h.now, spec, Progress{}, false)
				}
				h.disturbWorkers(random)
				h.act(random, h.planAfter(time.Duration(random.IntN(900))*time.Millisecond))
			}
		})
	}
}

// disturbWorkers lets workers leave, return, drain, crash and fail.
func (h *harness) disturbWorkers(random *rand.Rand) {
	if len(h.sortedWorkers) == 0 {
		return
	}
	w := h.sortedWorkers[random.IntN(len(h.sortedWorkers))]
	info := w.Worker
	switch random.IntN(12) {
	case 0:
		h.RemoveWorker(h.now, w.ID, "lost")
		if random.IntN(2) == 0 {
			delete(h.endNumbers, w.ID)
			h.addWorker(w.ID, w.Rack)
		}
	case 1:
		info.Draining = !info.Draining
		h.SetWorker(h.now, info)
	case 2:
		h.SetReachable(h.now, w.ID, random.IntN(2) == 0)
	case 3:
		info.Incarnation++
		delete(h.endNumbers, w.ID)
		h.WorkerRestarted(h.now, info, "restarted", func(TaskName, int64) bool { return true })
		h.SetWorker(h.now, info)
		h.HandleReport(h.now, Report{Worker: w.ID, RequestedAt: h.now})
	default:
	}
}

// act carries out orders, ends runs and answers requests for advice at random.
func (h *harness) act(random *rand.Rand, o Orders) {
	for _, s := range o.Starts {
		if random.IntN(10) == 0 {
			h.StartRefused(h.now, s.Task, s.Run)
			continue
		}
		h.StartConfirmed(h.now, s.Task, s.Run)
	}
	for _, s := range o.Stops {
		h.StopConfirmed(h.now, s.Task, s.Run, s.Worker)
	}
	for _, r := range o.AdviceRequests {
		tickets := map[string]string{}
		for _, id := range r.Workers {
			if random.IntN(3) > 0 {
				tickets[id] = "ticket"
			}
		}
		h.HandleAdvice(AdviceResponse{AdviceRequest: r, Tickets: tickets, ExpiresAt: h.now.Add(5 * time.Second)})
	}
	for _, w := range h.sortedWorkers {
		if len(w.places) == 0 || random.IntN(3) > 0 {
			continue
		}
		p := w.places[random.IntN(len(w.places))]
		switch {
		case p.state == placeStopping:
			h.endRun(w.ID, p.task.name(), p.run, EndedInterrupted)
		case p.state != placeRunning:
		case random.IntN(4) == 0:
			h.endRun(w.ID, p.task.name(), p.run, EndedFailed)
		default:
			h.endRun(w.ID, p.task.name(), p.run, EndedDone)
		}
	}
}
